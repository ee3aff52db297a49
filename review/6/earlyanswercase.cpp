/** \file
 * Case 6: an order runs again after a worker has answered it early and closed the connection.
 *
 * Exit code 1: the rule TWICE was broken; 0: it held; 2: the case could not run.
 */

#include "../casekit/caseclient.h"
#include "../casekit/casefleet.h"
#include "../casekit/longworker.h"
#include "core/eventlog.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>

namespace {

using namespace jujube;
using core::Milliseconds;
using review::CaseCall;
using review::CaseClient;
using review::LongWorker;

constexpr int Broken = 1;
constexpr int CannotRun = 2;
constexpr size_t Workers = 3;
constexpr size_t Rounds = 6;
constexpr size_t OrdersOfRound = 5;      // A worker has six slots, whichever of them it gets.
constexpr size_t BodyBytes = 1UL << 20U; // A quarter of the limit in the configuration.
constexpr Milliseconds WorkTime{30};
constexpr Milliseconds WholeTime{12'000};

int run(const std::string &recordPath, bool trouble)
{
    review::CaseRecord record(recordPath);
    boost::asio::io_context io;
    review::CaseFleet fleet(io, record);
    if (!record.good() || !fleet.start())
        return CannotRun;
    const auto start = trouble ? review::WorkStart::AfterHead : review::WorkStart::AfterBody;
    record.add(trouble ? "workers answer before they read the body, and close"
                       : "workers read the body first, answer and close");
    std::vector<std::unique_ptr<LongWorker>> workers;
    for (size_t i = 0; i < Workers; ++i) {
        workers.push_back(std::make_unique<LongWorker>(io, record, core::concat("w-", i), start,
                                                       review::AfterAnswer::Closes, WorkTime));
        if (!workers.back()->listen(fleet.endpointAddress(i)))
            return CannotRun;
        fleet.store().put("servers/" + workers.back()->id(),
                          workers.back()->makeEntry("orders-app"));
    }
    fleet.publishConfig({{"/release/", "non_idempotent", "orders-app"}},
                        R"({"Name":"orders-app"})");
    if (!fleet.startGateway())
        return CannotRun;
    std::vector<std::shared_ptr<CaseClient>> clients;
    std::vector<std::shared_ptr<CaseCall>> calls;
    for (size_t round = 0; round < Rounds; ++round) {
        for (size_t i = 0; i < OrdersOfRound; ++i) {
            clients.push_back(
                CaseClient::create(io, record, core::concat("client-", clients.size())));
            if (!clients.back()->connect(fleet.clientAddress(0)))
                return CannotRun;
            calls.push_back(clients.back()->send(
                "POST", "/release/1", core::concat("order-", calls.size()), {}, BodyBytes));
        }
        fleet.runUntil(
            [&]() {
                return std::all_of(calls.begin(), calls.end(),
                                   [](const auto &it) { return it->ended; });
            },
            WholeTime);
    }
    size_t runTwice = 0;
    size_t refusedAfterRun = 0;
    for (const auto &call : calls) {
        size_t runs = 0;
        for (const auto &it : workers)
            runs += it->runCount(call->id);
        record.add(call->id, ": answered ", call->status, ", has run ", runs, " times");
        runTwice += runs > 1 ? 1 : 0;
        refusedAfterRun += runs > 0 && call->status == http::status::ServiceUnavailable ? 1 : 0;
    }
    record.add(runTwice, " of ", calls.size(), " orders ran more than once, and ", refusedAfterRun,
               " that had run were answered 503; the rules allow none");
    return runTwice > 0 ? Broken : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2)
        return CannotRun;
    std::signal(SIGPIPE, SIG_IGN);
    core::startEventLog("case-6", core::LogSettings{core::LogTarget::None});
    const char *trouble = std::getenv("TROUBLE");
    return run(argv[1], !trouble || std::string(trouble) != "0");
}
