#include "jujubereplay/bound.h"

#include "core/work.h"
#include "jujubereplay/enginemodel.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace jujube::replay {

namespace {

using namespace std::chrono_literals;

constexpr core::Milliseconds Grid = 10s;
constexpr size_t LongestInterval = 36; ///< In grid steps.

struct Job
{
    double release = 0;
    double due = 0;
    double cost = 0; ///< Engine-milliseconds.
};

// Cached blocks still have to be prefilled once; a bound may not charge for that.
double leastCost(const ReplayRequest &request, const EngineSpeed &fastest)
{
    const double ownShare = 0.1;
    const double prefill = request.promptTokens * ownShare
        / (fastest.prefillRate * roleSpeed(core::Role::Prefill).prefill) * 1'000;
    const double step = (fastest.stepMs / fastest.slots + fastest.stepPerRequestMs)
        * roleSpeed(core::Role::Decode).step;
    return prefill + request.outputTokens * step;
}

// Engines that are neither crashed, drained nor withdrawn, summed over an interval.
double capacity(const Workload &workload, double from, double to)
{
    double total = workload.engines * (to - from);
    for (const FleetEvent &event : workload.events) {
        const auto begin = static_cast<double>(event.at.count());
        const double end =
            event.length.count() == 0 ? 1e18 : begin + static_cast<double>(event.length.count());
        total -= std::max(0.0, std::min(to, end) - std::max(from, begin));
    }
    return total;
}

size_t fewestMissed(std::vector<double> &costs, double room)
{
    double sum = 0;
    for (const double cost : costs)
        sum += cost;
    if (sum <= room)
        return 0;
    std::sort(costs.begin(), costs.end(), std::greater<>());
    size_t missed = 0;
    while (missed < costs.size() && sum > room)
        sum -= costs[missed++];
    return missed;
}

} // namespace

double clairvoyantBound(const Workload &workload)
{
    const EngineSpeed fastest;
    std::vector<Job> jobs;
    for (const ReplayRequest &it : workload.requests) {
        const auto release = static_cast<double>(it.at.count());
        jobs.push_back({release,
                        release + static_cast<double>(objectivesOf(it.profile).deadline.count()),
                        leastCost(it, fastest)});
    }
    const auto grid = static_cast<double>(Grid.count());
    const auto steps = static_cast<size_t>((workload.length + 60s) / Grid) + 1;
    // best[i]: most requests that must be missed in disjoint intervals up to grid point i.
    std::vector<size_t> best(steps + 1, 0);
    for (size_t end = 1; end <= steps; ++end) {
        best[end] = best[end - 1];
        const size_t first = end > LongestInterval ? end - LongestInterval : 0;
        for (size_t begin = first; begin < end; ++begin) {
            const double from = static_cast<double>(begin) * grid;
            const double to = static_cast<double>(end) * grid;
            std::vector<double> costs;
            const auto low =
                std::lower_bound(jobs.begin(), jobs.end(), from,
                                 [](const Job &job, double at) { return job.release < at; });
            for (auto it = low; it != jobs.end() && it->release < to; ++it) {
                if (it->due <= to)
                    costs.push_back(it->cost);
            }
            best[end] = std::max(best[end],
                                 best[begin] + fewestMissed(costs, capacity(workload, from, to)));
        }
    }
    return 1 - static_cast<double>(best[steps]) / static_cast<double>(jobs.size());
}

} // namespace jujube::replay
