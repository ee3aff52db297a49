/** \file
 * Tests of the estimator of decode step times and of the stage split that follows from it.
 */

#include "policy/decodestepestimator.h"
#include "policy/stageplanner.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>

using namespace jujube;
using namespace std::chrono_literals;

namespace {

/** Engine properties and traffic of a deployment with equal engines. */
struct Deployment
{
    const char *name;
    double fixedMs;
    double msPerRequest;
    uint32_t slots;
    double prefillTokensPerSecond;
    size_t engines;
    double promptTokens; ///< Per second, over the fleet.
    double outputTokens;
};

// Kinds of deployments: little output, much output, large batches.
constexpr Deployment Deployments[] = {
    {"long prompts, short answers", 2.6, 0.12, 64, 48'000, 9, 190'000, 5'000},
    {"long prompts, long answers", 3.7, 0.08, 64, 82'000, 12, 310'000, 22'000},
    {"large batches", 3.5, 0.046, 128, 157'000, 9, 410'000, 30'000},
    {"short prompts, long answers", 4, 0.1, 32, 80'000, 20, 120'000, 60'000},
};

policy::DecodeStepEstimator calibratedEstimator(const Deployment &it)
{
    policy::DecodeStepEstimator estimator;
    for (int i = 0; i < 400; ++i) {
        const double running = 1 + i * 7 % it.slots;
        estimator.note(running, it.fixedMs + it.msPerRequest * running);
    }
    return estimator;
}

/** Use of the bottleneck stage. */
double bottleneckUse(const Deployment &it, size_t prefill)
{
    const double full = it.slots * 1000.0 / (it.fixedMs + it.msPerRequest * it.slots);
    return std::max(it.promptTokens / (static_cast<double>(prefill) * it.prefillTokensPerSecond),
                    it.outputTokens / (static_cast<double>(it.engines - prefill) * full));
}

} // namespace

Test(decodepace, learns_the_step_time_of_an_engine)
{
    for (const Deployment &it : Deployments) {
        const policy::DecodeStepEstimator estimator = calibratedEstimator(it);
        cr_assert(estimator.calibrated());
        const double full = it.fixedMs + it.msPerRequest * it.slots;
        cr_assert_leq(std::abs(estimator.stepMs(it.slots) - full), 0.25 * full, "%s", it.name);
    }
}

// Streams that wait for a prefill between each two tokens occupy slots but produce few tokens, so
// the number of streams would overestimate the need.
Test(decodepace, needed_slots_follow_from_the_output_rate)
{
    const policy::DecodeStepEstimator estimator = calibratedEstimator(Deployments[0]);
    const double full = 64 * 1000.0 / (2.6 + 0.12 * 64);
    cr_assert_leq(std::abs(estimator.slotsNeeded(full, 64) - 64), 0.25 * 64);
    cr_assert_leq(std::abs(estimator.slotsNeeded(full / 4, 64) - 16), 0.25 * 16);
}

Test(decodepace, intervals_that_are_not_steps_are_ignored)
{
    policy::DecodeStepEstimator estimator = calibratedEstimator(Deployments[1]);
    const double before = estimator.stepMs(32);
    for (int i = 0; i < 200; ++i) {
        estimator.note(32, 2'000);
    }
    cr_assert_eq(estimator.stepMs(32), before);
}

// A third of the intervals include chunks of prompts, which take longer than the step itself.
Test(decodepace, prefills_between_tokens_do_not_count_as_steps)
{
    policy::DecodeStepEstimator estimator;
    for (int i = 0; i < 600; ++i)
        estimator.note(20, 5 + (i % 3 == 0 ? 20 : 0) + 0.01 * (i % 50));
    cr_assert_leq(std::abs(estimator.stepMs(20) - 5), 0.75);
}

// Without any tuning for the deployment, the split must fit its engines and load mix in one round,
// seconds after traffic began, whatever the initial split.
Test(decodepace, the_split_fits_step_times_and_load_within_seconds)
{
    for (const Deployment &it : Deployments) {
        const policy::DecodeStepEstimator estimator = calibratedEstimator(it);
        std::vector<policy::StageView> engines;
        for (size_t i = 0; i < it.engines; ++i)
            engines.push_back({"e" + std::to_string(10 + i), "a", i < it.engines / 2, true, 0});
        policy::StagePlanner planner({});
        size_t rounds = 0;
        for (core::TimePoint now{1h}; now < core::TimePoint{1h} + 6s; now += 200ms) {
            const auto decoders = static_cast<double>(std::count_if(
                engines.begin(), engines.end(), [](const auto &e) { return !e.prefill; }));
            policy::StageDemand demand;
            demand.slots = it.slots;
            demand.prefillTokensPerSecond = it.prefillTokensPerSecond;
            demand.decodeStepsKnown = true;
            if (now > core::TimePoint{1h} + 1s) {
                demand.promptTokensPerSecond = it.promptTokens;
                demand.busyDecodeSlots =
                    std::min(decoders * it.slots, estimator.slotsNeeded(it.outputTokens, it.slots));
            }
            const auto round = planner.plan(engines, demand, now);
            rounds += demand.promptTokensPerSecond > 0 && !round.empty() ? 1 : 0;
            for (const auto &change : round) {
                for (auto &e : engines) {
                    if (e.id == change.id)
                        e.prefill = change.prefill;
                }
            }
        }
        const auto prefill = static_cast<size_t>(
            std::count_if(engines.begin(), engines.end(), [](const auto &e) { return e.prefill; }));
        double best = 1e9;
        for (size_t n = 1; n < it.engines; ++n)
            best = std::min(best, bottleneckUse(it, n));
        cr_assert_leq(rounds, 1U, "%s", it.name);
        cr_assert_leq(bottleneckUse(it, prefill), 1.25 * best, "%s: %zu prefill engines", it.name,
                      prefill);
    }
}
