#include "jujubereplay/bound.h"

#include "core/work.h"
#include "jujubereplay/enginemodel.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace jujube::replay {

namespace {

using namespace std::chrono_literals;

constexpr core::Milliseconds GridStep = 10s;
constexpr size_t MaxIntervalSteps = 36; ///< In multiples of GridStep.

struct Job
{
    double releaseMs = 0;
    double deadlineMs = 0;
    double costMs = 0; ///< Engine-milliseconds.
};

// Counts the prompt's unique tenth only. A document has to be prefilled once as well, but charging
// that to one of its requests could overstate the cost, and the bound would no longer hold.
double minimumCostMs(const ReplayRequest &request, const EngineParameters &fastest)
{
    const double ownShare = 0.1;
    const double prefill = request.promptTokens * ownShare
        / (fastest.prefillTokensPerSecond * roleFactors(core::Role::Prefill).prefillRateFactor)
        * 1'000;
    const double step = (fastest.decodeStepMs / fastest.slots + fastest.decodeStepMsPerRequest)
        * roleFactors(core::Role::Decode).stepTimeFactor;
    return prefill + request.outputTokens * step;
}

// Engine time between from and to, without that of crashed, drained and withdrawn engines.
double engineCapacityMs(const Workload &workload, double from, double to)
{
    double total = workload.engines * (to - from);
    for (const FleetEvent &event : workload.events) {
        const auto begin = static_cast<double>(event.at.count());
        const double end = event.duration.count() == 0
            ? 1e18
            : begin + static_cast<double>(event.duration.count());
        total -= std::max(0.0, std::min(to, end) - std::max(from, begin));
    }
    return total;
}

size_t minimumMissed(std::vector<double> &costs, double availableMs)
{
    double sum = 0;
    for (const double costMs : costs)
        sum += costMs;
    if (sum <= availableMs)
        return 0;
    std::sort(costs.begin(), costs.end(), std::greater<>());
    size_t missed = 0;
    while (missed < costs.size() && sum > availableMs)
        sum -= costs[missed++];
    return missed;
}

} // namespace

double clairvoyantBound(const Workload &workload)
{
    const EngineParameters fastest;
    std::vector<Job> jobs;
    for (const ReplayRequest &it : workload.requests) {
        const auto releaseMs = static_cast<double>(it.at.count());
        jobs.push_back({releaseMs,
                        releaseMs + static_cast<double>(objectivesOf(it.profile).deadline.count()),
                        minimumCostMs(it, fastest)});
    }
    const auto grid = static_cast<double>(GridStep.count());
    const auto steps = static_cast<size_t>((workload.duration + 60s) / GridStep) + 1;
    // best[i]: largest number of requests that must be missed in disjoint intervals up to point i
    // of the grid.
    std::vector<size_t> best(steps + 1, 0);
    for (size_t end = 1; end <= steps; ++end) {
        best[end] = best[end - 1];
        const size_t first = end > MaxIntervalSteps ? end - MaxIntervalSteps : 0;
        for (size_t begin = first; begin < end; ++begin) {
            const double from = static_cast<double>(begin) * grid;
            const double to = static_cast<double>(end) * grid;
            std::vector<double> costs;
            const auto low =
                std::lower_bound(jobs.begin(), jobs.end(), from,
                                 [](const Job &job, double at) { return job.releaseMs < at; });
            for (auto it = low; it != jobs.end() && it->releaseMs < to; ++it) {
                if (it->deadlineMs <= to)
                    costs.push_back(it->costMs);
            }
            best[end] =
                std::max(best[end],
                         best[begin] + minimumMissed(costs, engineCapacityMs(workload, from, to)));
        }
    }
    return 1 - static_cast<double>(best[steps]) / static_cast<double>(jobs.size());
}

} // namespace jujube::replay
