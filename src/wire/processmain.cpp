#include "wire/processmain.h"

#include "core/eventlog.h"

#include <QCoreApplication>
#include <QSocketNotifier>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <sys/signalfd.h>
#include <unistd.h>

namespace jujube::wire {

namespace {

int createSignalFd()
{
    sigset_t mask;
    sigemptyset(&mask);
    sigaddset(&mask, SIGTERM);
    sigaddset(&mask, SIGINT);
    // The signals are blocked before any thread starts, so that every thread inherits the mask.
    pthread_sigmask(SIG_BLOCK, &mask, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signalfd(-1, &mask, SFD_CLOEXEC | SFD_NONBLOCK);
}

[[noreturn]] void endProcess(int code)
{
    std::cout.flush();
    std::cerr.flush();
    std::_Exit(code);
}

} // namespace

ProcessMain::ProcessMain() : m_signalFd(createSignalFd())
{
}

void ProcessMain::onStop(StopHandler handler)
{
    m_stopHandler = std::move(handler);
}

void ProcessMain::fail(const absl::Status &status)
{
    core::Event("process.failed").with("why", status.message());
    endProcess(ExitFailure);
}

int ProcessMain::run()
{
    QSocketNotifier notifier(m_signalFd, QSocketNotifier::Read);
    QObject::connect(&notifier, &QSocketNotifier::activated, &notifier, [this]() {
        signalfd_siginfo info{};
        while (read(m_signalFd, &info, sizeof(info)) == sizeof(info)) {
            if (m_stopping) {
                core::Event("process.stop.forced").with("signals", 2);
                endProcess(ExitFailure);
            }
            m_stopping = true;
            if (!m_stopHandler)
                endProcess(ExitOk);
            m_stopHandler([]() { endProcess(ExitOk); });
        }
    });
    QCoreApplication::exec();
    endProcess(ExitOk);
}

} // namespace jujube::wire
