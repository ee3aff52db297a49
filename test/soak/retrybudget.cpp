#include "soak/retrybudget.h"

#include "core/text.h"

#include <algorithm>
#include <map>

namespace jujube::soak {

namespace {

using core::Milliseconds;
using core::TimePoint;

std::string_view serviceOf(RequestKind kind)
{
    return kind == RequestKind::Prompt || kind == RequestKind::CrashingPrompt ? "model" : "app";
}

struct Arrival
{
    TimePoint at{};
    bool acceptedPrefill = false;
};

// Number of times between from (excluded) and to (included).
size_t countBetween(const std::vector<TimePoint> &sorted, TimePoint from, TimePoint to)
{
    return static_cast<size_t>(std::upper_bound(sorted.begin(), sorted.end(), to)
                               - std::upper_bound(sorted.begin(), sorted.end(), from));
}

// Times of the arrivals beyond the first of each request. The first prefill that an endpoint
// accepts does not count.
std::vector<TimePoint> repeatedArrivals(SoakDeployment &deployment, std::string_view service)
{
    std::map<std::string, std::vector<Arrival>> byRequest;
    for (const SoakedEndpoint &endpoint : deployment.endpoints()) {
        if (endpoint.service != service)
            continue;
        for (const test::ReceivedRequest &it : endpoint.fake->receivedRequests())
            byRequest[it.id].push_back({it.at, it.prefill && it.prefillAccepted});
    }
    std::vector<TimePoint> repeated;
    for (auto &[id, arrivals] : byRequest) {
        std::sort(arrivals.begin(), arrivals.end(),
                  [](const Arrival &a, const Arrival &b) { return a.at < b.at; });
        const auto free = std::find_if(arrivals.begin(), arrivals.end(),
                                       [](const Arrival &it) { return it.acceptedPrefill; });
        if (free != arrivals.end())
            arrivals.erase(free);
        for (size_t i = 1; i < arrivals.size(); ++i)
            repeated.push_back(arrivals[i].at);
    }
    std::sort(repeated.begin(), repeated.end());
    return repeated;
}

std::vector<TimePoint> requestTimes(const LoadGenerator &load, std::string_view service)
{
    std::vector<TimePoint> times;
    for (const RequestRecord &it : load.records()) {
        // What is over a quota is not sent, so no repeats are due for it.
        if (serviceOf(it.kind) == service && it.status != http::status::TooManyRequests)
            times.push_back(it.sentAt);
    }
    std::sort(times.begin(), times.end());
    return times;
}

} // namespace

InvariantResult checkRetryBudget(const LoadGenerator &load, SoakDeployment &deployment)
{
    const RetryBudgetLimits &limits = deployment.retryLimits();
    InvariantResult result;
    result.invariant = "repeated sends to a service keep to its retry budget";
    for (const std::string_view service : {"app", "model"}) {
        const std::vector<TimePoint> repeated = repeatedArrivals(deployment, service);
        const std::vector<TimePoint> requests = requestTimes(load, service);
        double fullest = 0;
        std::string worst;
        for (const TimePoint to : repeated) {
            const auto inWindow = [&](Milliseconds before) {
                return countBetween(requests, to - before - limits.window, to - before);
            };
            const size_t most = std::max(
                {inWindow(Milliseconds(0)), inWindow(limits.window / 2), inWindow(limits.window)});
            const size_t extra = countBetween(repeated, to - limits.window, to);
            const double allowed = limits.ratio * static_cast<double>(most) + limits.slack;
            ++result.examinedCount;
            if (static_cast<double>(extra) / allowed <= fullest)
                continue;
            fullest = static_cast<double>(extra) / allowed;
            worst = core::concat(service, ": ", extra, " repeated sends in one window, ", allowed,
                                 " allowed for ", most, " requests");
        }
        if (fullest > 1)
            result.breaches.push_back(worst);
        else if (!worst.empty())
            result.invariant += core::concat("; fullest ", worst);
    }
    return result;
}

} // namespace jujube::soak
