/** \file
 * Program soak-gateway: injects random faults into gateways that run as processes, under load, and
 * checks invariants against what clients, endpoints and the platform observe.
 *
 * Exit code 0: no invariant was violated. Settings files and logs of the gateways stay in the
 * folder.
 */

#include "core/eventlog.h"
#include "serving/loopmonitor.h"
#include "soak/faults.h"
#include "soak/greedyteam.h"
#include "soak/invariants.h"
#include "soak/limitschedule.h"
#include "soak/quotaschedule.h"
#include "soak/retrybudget.h"
#include "soak/slowreaders.h"

#include <gflags/gflags.h>

#include <csignal>
#include <cstdio>
#include <filesystem>
#include <optional>

DEFINE_string(program, "build/jujube-gateway", "path of the gateway's executable");
DEFINE_string(folder, "build/soak", "folder in which a subfolder is created for each seed");
DEFINE_uint64(seed, 1, "random seed of the faults and the load");
DEFINE_int32(seconds, 30, "duration of the phase with faults");
DEFINE_uint32(gateways, 3, "gateways");
DEFINE_bool(drills, false, "also restore the store from snapshots");
DEFINE_bool(crashes, false, "also send prompts that crash each engine which answers them");
DEFINE_bool(limits, false, "also let endpoints name limits of requests");
DEFINE_bool(retries, false, "also use up the retry budgets, beside kills and reloads in series");
DEFINE_bool(quotas, false, "also give teams quotas that change, and exceed them at times");
DEFINE_bool(teams, false, "also let one team ask for far more than its share of scarce engines");
DEFINE_bool(slow_readers, false, "also let some clients and some endpoints read slowly");
DEFINE_uint32(callers, 60, "number of concurrent clients");

namespace {

using namespace jujube;
using namespace std::chrono_literals;

constexpr core::Milliseconds StartTime{3'000};
constexpr core::Milliseconds CheckInterval{250};
// After the last fault: leases, suspicions and connections recover in RecoveryTime, then
// MinSuccessShare must hold over SteadyTime.
constexpr core::Milliseconds RecoveryTime{6'000};
constexpr core::Milliseconds SteadyTime{4'000};
// Few repeats for the failures that are injected, so that the budget binds. The slack has the size
// of what the requests allow, as in a small deployment.
constexpr soak::RetryBudgetLimits TightRetryLimits{0.02, 12, std::chrono::seconds(4)};
constexpr double MinSuccessShare = 0.97; ///< Of the requests sent in SteadyTime.

void runFor(boost::asio::io_context &io, core::Milliseconds time)
{
    io.restart();
    io.run_for(time);
}

// Prints the results and returns the number of breaches.
size_t report(const std::vector<soak::InvariantResult> &results, bool onlyBreaches)
{
    size_t breaches = 0;
    for (const soak::InvariantResult &it : results) {
        breaches += it.breaches.size();
        if (onlyBreaches && it.breaches.empty())
            continue;
        std::printf("%-75s %6zu examined  %s\n", it.invariant.c_str(), it.examinedCount,
                    !it.breaches.empty()        ? "BROKEN"
                        : it.examinedCount == 0 ? "not exercised"
                                                : "held");
        for (const std::string &breach : it.breaches)
            std::printf("    %s\n", breach.c_str());
    }
    return breaches;
}

int runSoak(boost::asio::io_context &io, soak::SoakDeployment &deployment)
{
    std::optional<soak::QuotaSchedule> quotas;
    if (FLAGS_quotas)
        quotas.emplace(io, deployment, FLAGS_seed);
    soak::LoadSettings loadSettings;
    loadSettings.gateways = deployment.clientAddresses();
    loadSettings.inRotation = [&deployment](size_t i) { return deployment.inRotation(i); };
    loadSettings.count = FLAGS_callers;
    loadSettings.seed = FLAGS_seed;
    if (FLAGS_crashes)
        loadSettings.crashingBlock = soak::SoakDeployment::CrashingBlock;
    if (quotas)
        loadSettings.drawTeam = [&quotas](std::mt19937_64 &random) {
            return quotas->drawTeam(random);
        };
    std::optional<soak::GreedyTeam> greedy;
    if (FLAGS_teams) {
        greedy.emplace(deployment);
        loadSettings.drawTeam = [&greedy](std::mt19937_64 &random) {
            return greedy->drawTeam(random);
        };
    }
    soak::LoadGenerator load(io, std::move(loadSettings));
    // The fakes and the clients run on this loop, so a delay of the loop delays them.
    serving::LoopMonitor loop(io);
    loop.start();
    const std::chrono::seconds length(FLAGS_seconds);
    std::vector<soak::Fault> faults = soak::drawFaults(FLAGS_seed, length);
    if (FLAGS_drills)
        faults = soak::withRestores(std::move(faults), FLAGS_seed, length);
    if (FLAGS_retries)
        faults = soak::withRetryPressure(std::move(faults), FLAGS_seed, length);
    soak::FaultInjector injector(io, deployment, std::move(faults));
    soak::LimitSchedule limits(io, deployment, FLAGS_seed);
    std::optional<soak::SlowReaders> slowReaders;
    if (FLAGS_slow_readers) {
        slowReaders.emplace(io, deployment, FLAGS_seed);
        if (const absl::Status status = slowReaders->create(); !status.ok()) {
            std::fprintf(stderr, "soak-gateway: %s\n", std::string(status.message()).c_str());
            return 2;
        }
    }
    const auto checkAll = [&]() {
        auto results = soak::checkInvariants(load, deployment, core::BootClock::now());
        results.push_back(limits.check(load));
        results.push_back(soak::checkRetryBudget(load, deployment));
        if (quotas) {
            for (soak::InvariantResult &it : quotas->check(load))
                results.push_back(std::move(it));
        }
        if (greedy)
            results.push_back(greedy->check(load));
        if (slowReaders) {
            slowReaders->noteMemory();
            for (soak::InvariantResult &it : slowReaders->check(load))
                results.push_back(std::move(it));
        }
        return results;
    };
    const size_t startUpDisturbance =
        deployment.disturbances().begin(soak::AllGateways, core::BootClock::now());
    runFor(io, StartTime);
    load.start();
    deployment.disturbances().end(startUpDisturbance, core::BootClock::now());
    injector.start();
    if (FLAGS_limits)
        limits.start();
    if (quotas)
        quotas->start();
    if (greedy)
        greedy->start(core::BootClock::now());
    if (slowReaders)
        slowReaders->start();
    // A breach may be visible for a moment only, so checks run all the time and the first breach
    // ends the phase with faults.
    size_t breaches = 0;
    while (!injector.done() && breaches == 0) {
        runFor(io, CheckInterval);
        breaches = report(checkAll(), true) + injector.breaches().size();
    }
    if (FLAGS_limits)
        limits.stop();
    if (quotas)
        quotas->stop();
    if (greedy)
        greedy->stop(core::BootClock::now());
    runFor(io, RecoveryTime);
    const core::TimePoint recovered = core::BootClock::now();
    runFor(io, SteadyTime);
    const double successShare = soak::successShareSince(load, recovered);
    load.stop();
    if (slowReaders)
        slowReaders->stop();
    runFor(io, soak::SoakDeployment::RouteTimeout + 1s);

    if (breaches == 0)
        breaches = report(checkAll(), false) + injector.breaches().size();
    for (const std::string &it : injector.breaches())
        std::printf("%s\n", it.c_str());
    std::printf("served after the last fault: %.3f of at least %.3f\n", successShare,
                MinSuccessShare);
    breaches += successShare < MinSuccessShare ? 1 : 0;
    std::printf("loop of the soak late by at most: %lld ms\n",
                static_cast<long long>(loop.worstDelay().count()));
    std::printf("seed %llu: %zu calls, %zu breaches\n", static_cast<unsigned long long>(FLAGS_seed),
                load.records().size(), breaches);
    return breaches == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char *argv[])
{
    gflags::SetUsageMessage("injects random faults into gateways under load");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    core::startEventLog("soak", core::LogSettings{core::LogTarget::None, 100});
    const std::string folder = FLAGS_folder + "/" + std::to_string(FLAGS_seed);
    std::filesystem::create_directories(folder);
    boost::asio::io_context io;
    soak::SoakSettings settings{FLAGS_program, folder, FLAGS_gateways, FLAGS_crashes};
    if (FLAGS_retries)
        settings.retryLimits = TightRetryLimits;
    if (FLAGS_quotas && FLAGS_drills) {
        std::fprintf(stderr,
                     "soak-gateway: a restored store brings former quotas back into force, "
                     "which --quotas does not take into account\n");
        return 2;
    }
    if (FLAGS_teams && FLAGS_quotas) {
        std::fprintf(stderr, "soak-gateway: --teams and --quotas draw teams differently\n");
        return 2;
    }
    settings.contention = FLAGS_teams;
    if (FLAGS_slow_readers)
        settings.memoryMb = soak::SlowReaders::GatewayMemoryMb;
    if (FLAGS_quotas)
        settings.quotaRule = soak::QuotaSchedule::Rule;
    const auto deployment = soak::SoakDeployment::create(io, std::move(settings));
    if (!deployment.ok()) {
        std::fprintf(stderr, "soak-gateway: %s\n",
                     std::string(deployment.status().message()).c_str());
        return 2;
    }
    return runSoak(io, **deployment);
}
