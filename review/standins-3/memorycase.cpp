/** \file
 * Program memory-case: the platform kills each gateway that exceeds its memory and starts it again.
 * Workers read bodies and write answers slowly.
 *
 * Usage: memory-case PROGRAM FOLDER RECORD TROUBLE. Exit status: 1 if two gateways were killed
 * three times each, 0 if not, 2 if the case could not run.
 */

#include "gatewayunit.h"
#include "slowtraffic.h"

#include "core/eventlog.h"
#include "fakes/fakestore.h"
#include "http/server.h"

#include <cstdio>
#include <memory>
#include <unistd.h>

namespace {

using namespace jujube;
using std::chrono::milliseconds;
using ErrorCode = boost::system::error_code;

constexpr size_t Gateways = 2;
constexpr size_t Workers = 12;
constexpr size_t Uploads = 200; ///< Requesters with bodies for each gateway.
constexpr size_t Reads = 350;   ///< Requesters without.
constexpr uint64_t MemoryMb = 260;
constexpr uint64_t MemoryBytes = MemoryMb << 20U;
constexpr uint64_t BytesPerMb = 1UL << 20U;
constexpr size_t UploadBytesPerSecond = 400'000;
constexpr size_t SlowBytesPerSecond = 110'000;
constexpr size_t AnswerBytes = 250'000;
constexpr milliseconds Period{3'000};
constexpr milliseconds BodyTurn{3'000};
constexpr milliseconds StartTime{2'500};
constexpr milliseconds RestartDelay{500};
constexpr milliseconds SampleInterval{20};
constexpr milliseconds RunTime{105'000};
constexpr size_t KillsOfFault = 3;

const std::string Config =
    R"({"Version":7,"Routes":[{"Name":"upload","Host":"t.example","PathPrefix":"/upload/",)"
    R"("Kind":"non_idempotent","TimeoutMs":10000,"TargetLatencyMs":600,"Priority":1,)"
    R"("Service":"app","MaxAttempts":1},{"Name":"read","Host":"t.example",)"
    R"("PathPrefix":"/read/","Kind":"idempotent","TimeoutMs":10000,"TargetLatencyMs":600,)"
    R"("Priority":1,"Service":"app","MaxAttempts":2}],"Services":[{"Name":"app",)"
    R"("HealthPath":"/health","MaxConnections":370}],"Limits":{"MaxHeaderBytes":16384,)"
    R"("MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},)"
    R"("Tenants":[{"Name":"team","ApiKeys":["key"]}]})";

struct Machine
{
    std::unique_ptr<review::GatewayUnit> unit;
    size_t kills = 0;
    uint64_t highestBytes = 0;
    size_t otherEnds = 0;
};

void watch(boost::asio::io_context &io, boost::asio::steady_timer &timer, Machine &machine,
           review::Record &record)
{
    timer.expires_after(SampleInterval);
    timer.async_wait([&](const ErrorCode &) {
        const std::string &name = machine.unit->settings().name;
        const uint64_t bytes = machine.unit->residentBytes();
        machine.highestBytes = std::max(machine.highestBytes, bytes);
        bool ended = false;
        if (bytes > MemoryBytes) {
            machine.unit->kill();
            ended = true;
            ++machine.kills;
            record.note("killed " + name + " at " + std::to_string(bytes / BytesPerMb) + " MiB");
        } else if (machine.unit->pollEnd()) {
            ended = true;
            ++machine.otherEnds;
            record.note("ended by itself: " + name);
        }
        if (!ended) {
            watch(io, timer, machine, record);
            return;
        }
        timer.expires_after(RestartDelay);
        timer.async_wait([&](const ErrorCode &) {
            machine.unit->start(false);
            watch(io, timer, machine, record);
        });
    });
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 5)
        return 2;
    const std::string program = argv[1];
    const std::string folder = argv[2];
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
    if (!store.listen(net + "1:8362").ok() || !platform.listen(net + "1:8363").ok())
        return 2;
    review::Runs runs;
    std::vector<std::unique_ptr<review::SlowWorker>> workers;
    for (size_t i = 0; i < Workers; ++i) {
        const std::string address = net + "2:" + std::to_string(9000 + i);
        workers.push_back(std::make_unique<review::SlowWorker>(
            io, address, trouble ? SlowBytesPerSecond : 0, AnswerBytes, runs));
        store.put("servers/i-" + std::to_string(i),
                  R"({"Service":"app","Address":")" + address
                      + R"(","Zone":"a","Version":"v1","Slots":64,"State":"ready",)"
                        R"("ColdLeftMs":0,"Sequence":1,"born":1800000000000})");
    }
    store.put("op/config", Config);
    std::vector<Machine> machines(Gateways);
    std::vector<std::unique_ptr<boost::asio::steady_timer>> timers;
    for (size_t i = 0; i < Gateways; ++i) {
        machines[i].unit = std::make_unique<review::GatewayUnit>(
            program, folder,
            review::UnitSettings{"front-a-" + std::to_string(i + 1), net + std::to_string(10 + i),
                                 net + "1:8362", net + "1:8363", MemoryMb});
        if (!machines[i].unit->start(true))
            return 2;
        timers.push_back(std::make_unique<boost::asio::steady_timer>(io));
        watch(io, *timers.back(), machines[i], record);
    }
    io.run_for(StartTime);
    const review::TrafficSettings uploads{
        {1'080'000, 100'000, 540'000}, UploadBytesPerSecond, BodyTurn, Period};
    const review::TrafficSettings reads{{}, 0, {}, Period};
    review::Requester::Outcomes outcomes;
    std::vector<std::shared_ptr<review::Requester>> requesters;
    for (size_t i = 0; i < Gateways; ++i) {
        for (size_t n = 0; n < Uploads + Reads; ++n) {
            requesters.push_back(std::make_shared<review::Requester>(
                io, (n < Uploads ? "u" : "r") + std::to_string(i) + "x" + std::to_string(n),
                machines[i].unit->clientAddress(), n < Uploads ? uploads : reads, record,
                outcomes));
            requesters.back()->start(Period * n / (Uploads + Reads));
        }
    }
    const auto allKilled = [&]() {
        return std::all_of(machines.begin(), machines.end(),
                           [](const Machine &it) { return it.kills >= KillsOfFault; });
    };
    while (record.elapsed() < RunTime && !allKilled())
        io.run_for(milliseconds(500));
    for (const auto &it : requesters)
        it->stop();
    size_t served = 0;
    for (const auto &[outcome, n] : outcomes) {
        std::printf("requests that ended with %s: %zu\n", outcome.c_str(), n);
        served += outcome == "200" ? n : 0;
    }
    for (const auto &[id, n] : runs)
        record.note("run " + id + " " + std::to_string(n));
    bool broken = true;
    for (const Machine &it : machines) {
        std::printf("%s: killed %zu times, ended by itself %zu times, highest %.1f MiB of %zu\n",
                    it.unit->settings().name.c_str(), it.kills, it.otherEnds,
                    double(it.highestBytes) / double(BytesPerMb), size_t(MemoryMb));
        broken = broken && it.kills + it.otherEnds >= KillsOfFault;
        it.unit->kill();
    }
    std::printf("after %.1f s\n", double(record.elapsed().count()) / 1000);
    std::fflush(stdout);
    if (served == 0)
        std::_Exit(2);
    std::_Exit(broken ? 1 : 0);
}
