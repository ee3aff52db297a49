/** \file
 * Program silent-case: all open channels to the store go silent while new ones work, and a worker
 * reports that it drains.
 *
 * Usage: silent-case PROGRAM FOLDER RECORD TROUBLE. Exit status: 1 if the worker got requests that
 * were sent later than DrainMs after the report and later than ContactMs after the channels went
 * silent, 0 if not, 2 if the case could not run.
 */

#include "gatewayunit.h"
#include "readingrequester.h"
#include "silentrelay.h"
#include "slowtraffic.h"

#include "core/eventlog.h"
#include "fakes/fakestore.h"
#include "http/server.h"

#include <algorithm>
#include <cstdio>
#include <memory>
#include <unistd.h>

namespace {

using namespace jujube;
using std::chrono::milliseconds;

constexpr size_t Gateways = 2;
constexpr size_t Workers = 3;
constexpr size_t RequestersOfGateway = 60;
constexpr size_t AnswerBytes = 800;
constexpr milliseconds Period{500};
constexpr milliseconds StartTime{2'500};
constexpr milliseconds SteadyTime{5'000};
constexpr milliseconds AfterConfig{30}; ///< From the change of the configuration to the silence.
constexpr milliseconds AfterSilence{100};
constexpr milliseconds RestOfTime{8'000};
constexpr milliseconds DrainTime{2'000};   ///< DrainMs.
constexpr milliseconds ContactTime{3'000}; ///< ContactMs.
// From the disturbance to its record, and of a request on its way.
constexpr milliseconds Slack{10};

std::string configOf(uint64_t version, uint64_t targetMs)
{
    return R"({"Version":)" + std::to_string(version)
        + R"(,"Routes":[{"Name":"order","Host":"t.example","PathPrefix":"/order/",)"
          R"("Kind":"non_idempotent","TimeoutMs":2500,"TargetLatencyMs":)"
        + std::to_string(targetMs)
        + R"(,"Priority":1,"Service":"app","MaxAttempts":1},{"Name":"note","Host":"t.example",)"
          R"("PathPrefix":"/note/","Kind":"non_idempotent","TimeoutMs":2500,)"
          R"("TargetLatencyMs":150,"Priority":1,"Service":"app","MaxAttempts":1}],)"
          R"("Services":[{"Name":"app","HealthPath":"/health","MaxConnections":110}],)"
          R"("Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,)"
          R"("IdleTimeoutMs":15000},"Tenants":[{"Name":"team","ApiKeys":["key"]}]})";
}

std::string entryOf(const std::string &address, uint64_t sequence, const std::string &state)
{
    return R"({"Service":"app","Address":")" + address
        + R"(","Zone":"a","Version":"v1","Slots":64,"State":")" + state
        + R"(","ColdLeftMs":0,"Sequence":)" + std::to_string(sequence)
        + R"(,"born":1800000000000})";
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 5)
        return 2;
    const bool trouble = std::string(argv[4]) != "0";
    review::Record record(argv[3]);
    core::startEventLog("case", core::LogSettings{core::LogTarget::None});
    boost::asio::io_context io;
    const auto pid = static_cast<uint32_t>(getpid());
    const std::string net =
        "127." + std::to_string(1 + pid / 250 % 250) + "." + std::to_string(1 + pid % 250) + ".";
    test::FakeStore store(io);
    store.setSendsEra(false);
    http::Server platform(io, [](const http::Request &, const http::Responder &responder) {
        http::Head head;
        head.status = http::status::Ok;
        responder.send(head, {});
    });
    if (!store.listen(net + "1:8364").ok() || !platform.listen(net + "1:8363").ok())
        return 2;
    review::SilentRelay relay(io, net + "1:8362", net + "1:8364");
    review::Runs runs;
    std::vector<std::string> addresses;
    std::vector<std::unique_ptr<review::SlowWorker>> workers;
    for (size_t i = 0; i < Workers; ++i) {
        addresses.push_back(net + "2:" + std::to_string(9000 + i));
        workers.push_back(
            std::make_unique<review::SlowWorker>(io, addresses[i], 0, AnswerBytes, runs));
        store.put("servers/i-" + std::to_string(i), entryOf(addresses[i], 1, "ready"));
    }
    store.put("op/config", configOf(7, 150));
    std::vector<std::unique_ptr<review::GatewayUnit>> units;
    review::ReadingCounts counts;
    std::vector<std::shared_ptr<review::ReadingRequester>> requesters;
    for (size_t i = 0; i < Gateways; ++i) {
        units.push_back(std::make_unique<review::GatewayUnit>(
            argv[1], argv[2],
            review::UnitSettings{"front-a-" + std::to_string(i + 1), net + std::to_string(10 + i),
                                 net + "1:8362", net + "1:8363"}));
        if (!units[i]->start(true))
            return 2;
    }
    io.run_for(StartTime);
    for (size_t i = 0; i < Gateways * RequestersOfGateway; ++i) {
        requesters.push_back(std::make_shared<review::ReadingRequester>(
            io, "o" + std::to_string(i), units[i % Gateways]->clientAddress(), 0, Period, record,
            counts));
        requesters.back()->start(milliseconds(i * 4));
    }
    io.run_for(SteadyTime);
    store.put("op/config", configOf(9, 160));
    record.note("configuration 9 acknowledged");
    io.run_for(AfterConfig);
    const milliseconds silentAt = record.elapsed();
    if (trouble)
        relay.silence();
    record.note(trouble ? "open channels to the store are silent" : "no disturbance");
    io.run_for(AfterSilence);
    milliseconds drainAt{};
    size_t before = 0;
    size_t late = 0;
    milliseconds lastLate{};
    workers[0]->onRun([&](const std::string &id) {
        const milliseconds now = record.elapsed();
        const auto sent = counts.sentAt.find(id);
        const milliseconds from = std::max(drainAt + DrainTime, silentAt + ContactTime) + Slack;
        const bool isLate = sent != counts.sentAt.end() && sent->second >= from;
        ++(isLate ? late : before);
        if (isLate)
            lastLate = now;
        record.note("worker 0 runs " + id + (isLate ? " late" : ""));
    });
    store.put("servers/i-0", entryOf(addresses[0], 2, "draining"));
    drainAt = record.elapsed();
    record.note("worker 0 is draining, acknowledged");
    io.run_for(RestOfTime);
    std::printf("orders answered: %zu; runs at the draining worker in time: %zu, late: %zu, the "
                "last one %lld ms after the acknowledgement\n",
                counts.whole, before, late,
                late > 0 ? static_cast<long long>((lastLate - drainAt).count()) : 0LL);
    std::fflush(stdout);
    for (const auto &it : units)
        it->kill();
    if (counts.whole == 0)
        std::_Exit(2);
    std::_Exit(late > 0 ? 1 : 0);
}
