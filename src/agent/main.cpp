/** \file
 * Implements the program jujube-agent, which runs beside one endpoint and handles its requests.
 */

#include "agent/agentprocess.h"
#include "agent/agentsettings.h"
#include "core/eventlog.h"
#include "core/metrics.h"
#include "wire/httpserver.h"
#include "wire/processmain.h"

#include <gflags/gflags.h>
#include <QCoreApplication>

#include <iostream>

DEFINE_string(settings, "", "path of the TOML settings file (required)");
DEFINE_bool(check, false, "check the settings and exit");

namespace {

using namespace jujube;

void serveHealth(const wire::IncomingRequest &request, const std::shared_ptr<wire::Exchange> &it,
                 const agent::AgentProcess *process)
{
    wire::OutgoingResponse response;
    response.contentType = "text/plain";
    if (request.path == "/healthz") {
        response.body = "ok\n";
    } else if (request.path == "/readyz") {
        const bool ready = process && process->ready();
        response.status = ready ? 200 : 503;
        response.body = ready ? "ready\n" : "not ready\n";
    } else if (request.path == "/metrics") {
        response.body = core::renderMetrics();
    } else {
        response.status = 404;
        response.body = "not found\n";
    }
    it->send(response);
}

} // namespace

int main(int argc, char *argv[])
{
    gflags::SetUsageMessage("runs beside one endpoint and handles all requests to it\n"
                            "usage: jujube-agent --settings FILE [--check]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto settings = agent::AgentSettings::load(FLAGS_settings);
    if (!settings.ok()) {
        std::cerr << "jujube-agent: " << settings.status().message() << "\n";
        return wire::ExitUsage;
    }
    if (FLAGS_check)
        return wire::ExitOk;

    QCoreApplication app(argc, argv);
    core::startEventLog("agent-" + settings->vm);
    std::atomic<agent::AgentProcess *> process{nullptr};
    wire::ProcessMain lifecycle;
    auto io = wire::IoThread::create([&](wire::IoContext &context) {
        // Never destroyed, as detached coroutines refer to it until the process ends.
        auto *it = new agent::AgentProcess(context, *settings);
        process = it;
        it->start([&lifecycle](const absl::Status &status) { lifecycle.fail(status); });
    });
    auto http =
        wire::HttpServer::create(settings->httpListen, 1, {},
                                 [&process](const wire::IncomingRequest &request,
                                            const std::shared_ptr<wire::Exchange> &exchange) {
                                     serveHealth(request, exchange, process.load());
                                 });
    if (!http.ok())
        lifecycle.fail(http.status());
    lifecycle.onStop([&](std::function<void()> done) {
        io->post([&process, done = std::move(done)]() { process.load()->stop(done); });
    });
    return lifecycle.run();
}
