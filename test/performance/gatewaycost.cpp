/** \file
 * Benchmark of the CPU time of a gateway per streamed response, with a fake store and fake engines
 * in the same process.
 *
 * Prints the CPU time of the whole process, which includes that of the fakes, so the figure is only
 * good for comparing versions of the gateway.
 */

#include "core/eventlog.h"
#include "support/deployment.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <ctime>

DEFINE_int32(callers, 32, "number of concurrent clients");
DEFINE_int32(requests, 100, "requests of each client");
DEFINE_int32(events, 35, "events of each response");
DEFINE_int32(peers, 0, "number of gateways besides the measured one");

namespace {

using namespace jujube;
using namespace std::chrono_literals;

double cpuMs()
{
    constexpr double msPerClock = 1000.0 / CLOCKS_PER_SEC;
    return msPerClock * static_cast<double>(std::clock());
}

struct Client
{
    std::shared_ptr<http::ClientConnection> connection;
    std::shared_ptr<test::ClientResponse> answer;
    int sent = 0;
};

std::string prefixBlocks(int number)
{
    return "aa:500,b" + std::to_string(number % 50) + ":900,c" + std::to_string(number) + ":300";
}

} // namespace

int main(int argc, char *argv[])
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    test::Deployment deployment;
    core::startEventLog("gateway", core::LogSettings{core::LogTarget::StandardOutput, 100});
    for (int i = 0; i < 3; ++i) {
        deployment.addEndpoint("model", serving::Stage::Prefill);
        auto &decodeEngine = deployment.addEndpoint("model", serving::Stage::Decode);
        decodeEngine.setEventCount(static_cast<uint32_t>(FLAGS_events));
        decodeEngine.setEventGap(2ms);
    }
    deployment.publishConfig(1);
    for (int i = 0; i <= FLAGS_peers; ++i)
        deployment.startGateway();
    deployment.runFor(1s);

    std::vector<Client> clients(static_cast<size_t>(FLAGS_callers));
    const double before = cpuMs();
    int sent = 0;
    int completed = 0;
    deployment.runUntil(
        [&]() {
            bool busy = false;
            for (Client &it : clients) {
                const bool ended = it.answer && (it.answer->complete || !it.answer->error.empty());
                completed += ended && it.answer->complete ? 1 : 0;
                if (ended)
                    it.connection->close();
                if ((!it.answer || ended) && it.sent < FLAGS_requests) {
                    it.answer = std::make_shared<test::ClientResponse>();
                    it.connection = deployment.startRequest(
                        "/stream/prompt/1", "r" + std::to_string(++sent), it.answer,
                        {{"Token-Count", "1700,32"}, {"Prompt-Prefix", prefixBlocks(sent)}});
                    ++it.sent;
                } else if (ended) {
                    it.answer = nullptr;
                }
                busy = busy || it.answer;
            }
            return !busy;
        },
        10min);
    std::fprintf(stderr, "%d of %d responses complete, %.3f ms of CPU time each\n", completed, sent,
                 (cpuMs() - before) / std::max(1, sent));
    return 0;
}
