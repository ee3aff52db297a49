#include "serving/endpointhealth.h"

#include "core/eventlog.h"
#include "core/metrics.h"

#include <algorithm>

namespace jujube::serving {

namespace {

// Weight of a new observation in the moving average: a slow endpoint shows after a few
// requests.
constexpr double SlownessSmoothing = 0.15;
constexpr double MinSlowness = 0.7;
constexpr double MaxSlowness = 8;
// Shorter durations are dominated by the network and say nothing about the endpoint.
constexpr double MinExpectedMs = 20;
// Pause after a refusal, doubled by each further one: the endpoint is full or changing its stage. A
// change of stage takes three seconds after the requests in progress have ended.
constexpr core::Milliseconds RefusalPause{150};
constexpr uint32_t MaxRefusalDoublings = 3;
// Answers lost within this time have one cause, such as a reset of the network.
constexpr core::Milliseconds SameFaultInterval{30};

// Ejects an endpoint whose answers show a fault that the others of its stage do not have.
void ejectIfFaulty(Endpoint &endpoint, const std::vector<EndpointPtr> &others, bool failed,
                   core::TimePoint now)
{
    std::vector<double> shares;
    size_t healthy = 0;
    for (const EndpointPtr &it : others) {
        if (it.get() == &endpoint || it->prefills() != endpoint.prefills())
            continue;
        shares.push_back(it->errors.errorShare());
        healthy += it->health.state(now) == policy::OutlierDetector::State::Healthy ? 1 : 0;
    }
    double usual = 1;
    if (!shares.empty()) {
        const auto middle = shares.begin() + static_cast<std::ptrdiff_t>((shares.size() - 1) / 2);
        std::nth_element(shares.begin(), middle, shares.end());
        usual = *middle;
    }
    const bool probed = endpoint.health.state(now) != policy::OutlierDetector::State::Healthy;
    const bool broken = endpoint.errors.note(failed, usual) || (probed && failed);
    // While most of the others are unhealthy, the fault is not specific to this endpoint, and it is
    // needed to carry the load.
    if (!broken || healthy * 2 < shares.size())
        return;
    endpoint.health.eject(now);
    core::Event("endpoint.ejected")
        .with("endpoint", endpoint.record.id)
        .with("usual_errors", usual)
        .with("others_healthy", healthy);
}

} // namespace

void recordAnswer(Endpoint &endpoint, const std::vector<EndpointPtr> &others, bool failed,
                  core::TimePoint now)
{
    endpoint.consecutiveRefusals = 0;
    const bool probedBefore = endpoint.health.state(now) != policy::OutlierDetector::State::Healthy;
    ejectIfFaulty(endpoint, others, failed, now);
    const bool ejected = endpoint.health.state(now) == policy::OutlierDetector::State::Ejected;
    if (!ejected && !(probedBefore && failed))
        endpoint.health.noteSuccess();
}

void applyAnswerNotices(Endpoint &endpoint, const AnswerMetadata &answer, core::TimePoint now)
{
    if (answer.leaving && !std::exchange(endpoint.leaving, true))
        core::Event("endpoint.leaving").with("endpoint", endpoint.record.id);
    // The process that was addressed has ended, although its entry may stay for a second or more.
    if (!answer.otherInstance.empty() && answer.otherInstance != endpoint.record.id
        && !std::exchange(endpoint.replaced, true)) {
        endpoint.leaving = true;
        core::Event("endpoint.replaced")
            .with("endpoint", endpoint.record.id)
            .with("instance", answer.otherInstance);
    }
    if ((answer.requestLimit || answer.endsLimit)
        && endpoint.limit.observe(answer.requestLimit, now))
        logLimit(endpoint, "answer");
    if (answer.load)
        endpoint.noteReport(
            {answer.load->running, answer.load->waiting, answer.load->pacePercent.value_or(0), {}},
            now, true);
    if (!answer.retryAfter)
        return;
    // Answers can arrive out of order, so a shorter back-off does not replace a longer one.
    endpoint.backoffUntil = std::max(endpoint.backoffUntil, now + *answer.retryAfter);
    core::Event("endpoint.backoff")
        .with("endpoint", endpoint.record.id)
        .with("for_ms", answer.retryAfter->count());
}

void recordConnectFailure(Endpoint &endpoint, const std::vector<EndpointPtr> &others,
                          core::TimePoint now)
{
    size_t present = 0;
    size_t paused = 0;
    for (const EndpointPtr &it : others) {
        if (it->prefills() != endpoint.prefills() || !it->acceptsWork())
            continue;
        ++present;
        paused += now < it->pausedUntil ? 1 : 0;
    }
    const core::Milliseconds pause = endpoint.connectFailures.note(now);
    if (now < endpoint.pausedUntil || !policy::mayPauseUnreachable(paused, present))
        return;
    endpoint.pauseFor(now, pause);
    core::incrementCounter("jujube_unreachable_endpoints_total");
    core::Event("endpoint.unreachable")
        .with("endpoint", endpoint.record.id)
        .with("for_ms", pause.count())
        .with("paused", paused)
        .with("present", present);
}

// Only failures in a row count. Unlike an endpoint that returns errors at once, one that loses
// answers does not attract more requests, and while the fleet is full the answers it does give are
// needed.
void recordLostAnswer(Endpoint &endpoint, core::TimePoint now)
{
    const bool again = endpoint.lastLostAnswerAt != core::TimePoint{}
        && now - endpoint.lastLostAnswerAt < SameFaultInterval;
    endpoint.lastLostAnswerAt = now;
    if (again)
        return;
    endpoint.health.noteFailure(now);
}

void recordRefusal(Endpoint &endpoint, core::TimePoint now)
{
    const auto doublings = std::min(endpoint.consecutiveRefusals++, MaxRefusalDoublings);
    endpoint.pauseFor(now, RefusalPause * (int64_t(1) << doublings));
}

void updateSlowness(Endpoint &endpoint, core::Milliseconds observed, core::Milliseconds expected)
{
    if (static_cast<double>(expected.count()) < MinExpectedMs)
        return;
    const double ratio =
        static_cast<double>(observed.count()) / static_cast<double>(expected.count());
    endpoint.slowness +=
        SlownessSmoothing * (std::clamp(ratio, MinSlowness, MaxSlowness) - endpoint.slowness);
}

} // namespace jujube::serving
