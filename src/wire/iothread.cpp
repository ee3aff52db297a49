#include "wire/iothread.h"

#include "core/eventlog.h"

#include <cstring>
#include <sys/eventfd.h>
#include <unistd.h>

namespace jujube::wire {

kj::Promise<void> IoContext::sleep(core::Milliseconds time) const
{
    return timer.afterDelay(time.count() * kj::MILLISECONDS);
}

std::unique_ptr<IoThread> IoThread::create(std::function<void(IoContext &)> main)
{
    const int fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
    std::unique_ptr<IoThread> thread(new IoThread(fd));
    IoThread *self = thread.get();
    thread->m_thread = std::thread([self, main = std::move(main)]() { self->run(main); });
    return thread;
}

IoThread::IoThread(int eventFd) : m_eventFd(eventFd)
{
}

IoThread::~IoThread()
{
    stop();
    close(m_eventFd);
}

void IoThread::post(std::function<void()> function)
{
    {
        const std::lock_guard guard(m_mutex);
        m_posted.push_back(std::move(function));
    }
    const uint64_t one = 1;
    [[maybe_unused]] const ssize_t n = write(m_eventFd, &one, sizeof(one));
}

void IoThread::stop()
{
    if (!m_thread.joinable())
        return;
    post([this]() { m_stopping = true; });
    m_thread.join();
}

void IoThread::run(const std::function<void(IoContext &)> &main)
{
    auto io = kj::setupAsyncIo();
    const CoroutineScope scope;
    IoContext context{*io.provider, *io.lowLevelProvider, io.provider->getTimer()};
    main(context);
    // This object keeps the ownership of the descriptor, as other threads may still call post()
    // while the loop ends.
    auto events = io.lowLevelProvider->wrapInputFd(m_eventFd);
    runPosted(*events).promise().wait(io.waitScope);
}

Task<void> IoThread::runPosted(kj::AsyncInputStream &events)
{
    uint64_t count = 0;
    while (!m_stopping) {
        co_await events.read(&count, sizeof(count));
        std::vector<std::function<void()>> batch;
        {
            const std::lock_guard guard(m_mutex);
            batch.swap(m_posted);
        }
        for (const auto &function : batch)
            function();
    }
}

} // namespace jujube::wire
