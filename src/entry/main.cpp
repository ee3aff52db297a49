/** \file
 * Implements the program jujube-entry, which serves the HTTP interfaces of callers and operators.
 */

#include "core/eventlog.h"
#include "core/metrics.h"
#include "entry/callerapi.h"
#include "entry/entryprocess.h"
#include "entry/entrysettings.h"
#include "entry/operatorapi.h"
#include "wire/processmain.h"

#include <gflags/gflags.h>
#include <QCoreApplication>
#include <QTimer>

#include <iostream>

DEFINE_string(settings, "", "path of the TOML settings file (required)");
DEFINE_bool(check, false, "check the settings and exit");

namespace {

using namespace jujube;

constexpr core::Milliseconds DrainPollInterval{20};

bool serveHealth(const wire::IncomingRequest &request, const entry::EntryView &view,
                 wire::Exchange &exchange)
{
    wire::OutgoingResponse response;
    response.contentType = "text/plain";
    if (request.path == "/healthz") {
        response.body = "ok\n";
    } else if (request.path == "/readyz") {
        response.status = view.ready() ? 200 : 503;
        response.body = view.ready() ? "ready\n" : "not ready\n";
    } else if (request.path == "/metrics") {
        response.body = core::renderMetrics();
    } else {
        return false;
    }
    exchange.send(response);
    return true;
}

// Posts calls to the EntryProcess on the KJ thread, which exists before the HTTP server starts.
class EntryBridge
{
public:
    EntryBridge(wire::IoThread &io, std::atomic<entry::EntryProcess *> &process)
        : m_io(io), m_process(process)
    {
    }

    entry::SessionHandle startSession(entry::CallerRequest request, entry::AnswerSink sink)
    {
        auto session = std::make_shared<std::shared_ptr<entry::RequestSession>>();
        m_io.post([this, session, request = std::move(request), sink = std::move(sink)]() {
            *session = m_process.load()->runSession(request, sink);
        });
        // Tasks run in the order of their posting, so the session exists when this one runs.
        return {[this, session]() {
            m_io.post([session]() {
                if (*session)
                    (*session)->onCallerDisconnected();
            });
        }};
    }

    entry::OperatorActions operatorActions()
    {
        entry::OperatorActions actions;
        actions.publish = [this](const std::string &shard, uint64_t from, const std::string &value,
                                 const entry::OperatorCallback &done) {
            m_io.post([=, this]() { m_process.load()->publish(shard, from, value, done); });
        };
        actions.timeline = [this](uint64_t after, const entry::OperatorCallback &done) {
            m_io.post([=, this]() { m_process.load()->timeline(after, done); });
        };
        return actions;
    }

private:
    wire::IoThread &m_io;
    std::atomic<entry::EntryProcess *> &m_process;
};

// Stops the entry in steps: reports not ready, so that the load balancer stops sending requests;
// refuses new connections after stopDelay; waits for running exchanges; stops the EntryProcess.
void stopGracefully(const entry::EntrySettings &settings, entry::EntryView &view,
                    wire::HttpServer &http, wire::IoThread &io, entry::EntryProcess &process,
                    std::function<void()> done)
{
    view.stopping = true;
    QTimer::singleShot(
        settings.stopDelay, [&settings, &http, &io, &process, done = std::move(done)]() {
            http.stopAccepting();
            auto *poll = new QTimer(QCoreApplication::instance());
            const core::TimePoint limit = core::BootClock::now() + settings.stopTimeout;
            QObject::connect(poll, &QTimer::timeout, [poll, limit, &http, &io, &process, done]() {
                if (http.activeExchanges() > 0 && core::BootClock::now() < limit)
                    return;
                poll->stop();
                io.post([&process, done]() { process.stop(done); });
            });
            poll->start(DrainPollInterval);
        });
}

} // namespace

int main(int argc, char *argv[])
{
    gflags::SetUsageMessage("serves callers and operators and may be elected controller\n"
                            "usage: jujube-entry --settings FILE [--check]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto settings = entry::EntrySettings::load(FLAGS_settings);
    if (!settings.ok()) {
        std::cerr << "jujube-entry: " << settings.status().message() << "\n";
        return wire::ExitUsage;
    }
    if (FLAGS_check)
        return wire::ExitOk;

    QCoreApplication app(argc, argv);
    core::startEventLog(settings->name);
    entry::EntryView view;
    std::atomic<entry::EntryProcess *> process{nullptr};
    wire::ProcessMain lifecycle;
    auto io = wire::IoThread::create([&](wire::IoContext &context) {
        // Never destroyed, as detached coroutines refer to it until the process ends.
        auto *it = new entry::EntryProcess(context, *settings, view);
        process = it;
        it->start([&lifecycle](const absl::Status &status) { lifecycle.fail(status); });
    });
    EntryBridge bridge(*io, process);
    const entry::CallerApi callers(view, settings->usageWindow,
                                   [&bridge](entry::CallerRequest request, entry::AnswerSink sink) {
                                       return bridge.startSession(std::move(request),
                                                                  std::move(sink));
                                   });
    const entry::OperatorApi operators(view, settings->operatorToken, bridge.operatorActions());
    auto http = wire::HttpServer::create(
        settings->httpListen, settings->httpThreads, settings->httpLimits,
        [&](const wire::IncomingRequest &request, const std::shared_ptr<wire::Exchange> &exchange) {
            if (serveHealth(request, view, *exchange))
                return;
            if (callers.handle(request, exchange) || operators.handle(request, exchange))
                return;
            entry::AnswerFailure failure;
            failure.outcome = core::Outcome::NotRun;
            failure.status = 404;
            failure.code = "not-found";
            failure.message = "no such path: " + request.path;
            entry::sendError(*exchange, failure);
        });
    if (!http.ok())
        lifecycle.fail(http.status());
    lifecycle.onStop([&](std::function<void()> done) {
        stopGracefully(*settings, view, **http, *io, *process.load(), std::move(done));
    });
    return lifecycle.run();
}
