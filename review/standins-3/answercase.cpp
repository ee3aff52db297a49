/** \file
 * Program answer-case: requesters on kept channels read the answers to their orders slowly.
 *
 * Usage: answer-case PROGRAM FOLDER RECORD TROUBLE. Exit status: 1 if more than three channels were
 * closed before the whole answer to an order that has run, 0 if not, 2 if the case could not run.
 */

#include "gatewayunit.h"
#include "readingrequester.h"
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

constexpr size_t Workers = 12;
constexpr size_t Requesters = 300;
constexpr uint64_t MemoryMb = 260;
constexpr size_t AnswerBytes = 600'000;
constexpr size_t SlowBytesPerSecond = 80'000; ///< An answer takes 7.5 s of the limit of 10 s.
constexpr milliseconds Period{8'000};
constexpr milliseconds StartTime{2'500};
constexpr milliseconds SpreadOfStart{1'300};
constexpr milliseconds SendTime{20'000};
constexpr milliseconds LastAnswersTime{11'000};
constexpr milliseconds SampleInterval{100};
constexpr size_t AllowedLosses = 3;

const std::string Config =
    R"({"Version":7,"Routes":[{"Name":"order","Host":"t.example","PathPrefix":"/order/",)"
    R"("Kind":"non_idempotent","TimeoutMs":10000,"TargetLatencyMs":600,"Priority":1,)"
    R"("Service":"app","MaxAttempts":1},{"Name":"note","Host":"t.example",)"
    R"("PathPrefix":"/note/","Kind":"non_idempotent","TimeoutMs":10000,"TargetLatencyMs":600,)"
    R"("Priority":1,"Service":"app","MaxAttempts":1}],"Services":[{"Name":"app","HealthPath":"/health",)"
    R"("MaxConnections":370}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,)"
    R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},)"
    R"("Tenants":[{"Name":"team","ApiKeys":["key"]}]})";

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
    if (!store.listen(net + "1:8362").ok() || !platform.listen(net + "1:8363").ok())
        return 2;
    review::Runs runs;
    std::vector<std::unique_ptr<review::SlowWorker>> workers;
    for (size_t i = 0; i < Workers; ++i) {
        const std::string address = net + "2:" + std::to_string(9000 + i);
        workers.push_back(std::make_unique<review::SlowWorker>(io, address, 0, AnswerBytes, runs));
        store.put("servers/i-" + std::to_string(i),
                  R"({"Service":"app","Address":")" + address
                      + R"(","Zone":"a","Version":"v1","Slots":64,"State":"ready",)"
                        R"("ColdLeftMs":0,"Sequence":1,"born":1800000000000})");
    }
    store.put("op/config", Config);
    review::GatewayUnit unit(argv[1], argv[2],
                             {"front-a-1", net + "10", net + "1:8362", net + "1:8363", MemoryMb});
    if (!unit.start(true))
        return 2;
    io.run_for(StartTime);
    review::ReadingCounts counts;
    std::vector<std::shared_ptr<review::ReadingRequester>> requesters;
    for (size_t i = 0; i < Requesters; ++i) {
        requesters.push_back(std::make_shared<review::ReadingRequester>(
            io, "o" + std::to_string(i), unit.clientAddress(), trouble ? SlowBytesPerSecond : 0,
            Period, record, counts));
        requesters.back()->start(SpreadOfStart * i / Requesters);
    }
    uint64_t highestBytes = 0;
    const auto runUntil = [&](milliseconds end) {
        while (record.elapsed() < end) {
            io.run_for(SampleInterval);
            highestBytes = std::max(highestBytes, unit.residentBytes());
        }
    };
    runUntil(StartTime + SendTime);
    for (const auto &it : requesters)
        it->stop();
    runUntil(StartTime + SendTime + LastAnswersTime);
    size_t runTwice = 0;
    for (const auto &[id, n] : runs) {
        record.note("run " + id + " " + std::to_string(n));
        runTwice += n > 1 ? 1 : 0;
    }
    const bool ended = unit.pollEnd().has_value();
    std::printf("orders run: %zu, run twice: %zu; answers read whole: %zu, channels closed before: "
                "%zu, at the time limit: %zu, refused: %zu\nhighest resident memory %.1f MiB of "
                "%zu%s\n",
                runs.size(), runTwice, counts.whole, counts.lost, counts.late, counts.refused,
                double(highestBytes) / double(1UL << 20U), size_t(MemoryMb),
                ended ? "; the gateway ended by itself" : "");
    std::fflush(stdout);
    unit.kill();
    if (counts.whole == 0)
        std::_Exit(2);
    std::_Exit(counts.lost > AllowedLosses ? 1 : 0);
}
