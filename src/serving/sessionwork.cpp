/** \file
 * Accounts for the work of a session's sends at endpoints.
 */

#include "serving/session.h"

#include "core/eventlog.h"
#include "core/metrics.h"
#include "policy/requestcost.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jujube::serving {

namespace {

using core::Milliseconds;

// Far above what an engine holds. The sums over the requests of an endpoint must not wrap around.
constexpr uint64_t MaxTokensPerSend = 1UL << 22U;

uint32_t limitedTokens(double tokens)
{
    return static_cast<uint32_t>(std::min(std::ceil(tokens), double(MaxTokensPerSend)));
}

} // namespace

StreamWork streamWork(const FleetConfig &config, const Route &route, uint32_t promptTokens,
                      const policy::OutputRequest &request,
                      const policy::PlacementSettings &placement,
                      const policy::OutputLengthEstimator &outputLengths)
{
    StreamWork work;
    const auto it = config.services.find(request.service);
    if (!placement.avoidsUnreachable && !placement.predictsByPace)
        return work;
    if (it == config.services.end() || !it->second.engine || route.kind != RouteKind::Stream)
        return work;
    const EngineConfig &engine = *it->second.engine;
    work.tokensPerEvent = std::max(1U, engine.tokensPerEvent);
    // A run has at least one event.
    const double output = std::max(outputLengths.estimate(request).expected,
                                   static_cast<double>(work.tokensPerEvent));
    work.cost = policy::RequestCost::of(promptTokens, 0, output);
    work.memoryLimit = policy::usableMemoryTokens(engine.cacheTokens).value_or(0);
    work.tooLarge =
        placement.avoidsUnreachable && policy::exceedsEngineMemory(work.cost, engine.cacheTokens);
    if (placement.predictsByPace)
        work.outputTokens = output;
    return work;
}

bool Session::estimateWork()
{
    const StreamWork work =
        streamWork(*m_request.config, *m_request.route, m_promptInfo.tokens, outputRequest(),
                   m_services.placement, m_services.outputLengths);
    m_plannedOutputTokens = work.outputTokens;
    m_tokensPerEvent = work.tokensPerEvent;
    if (!work.tooLarge)
        return true;
    core::Event("request.too_large_for_engines")
        .with("request", m_request.metadata.id)
        .with("tokens", work.cost.memoryTokens)
        .with("limit", work.memoryLimit);
    fail(http::status::ServiceUnavailable, TooLargeForEngines, retryAfterDelay());
    return false;
}

double Session::streamedTokens() const
{
    return static_cast<double>((m_earlierEvents + m_events.count()) * m_tokensPerEvent);
}

// A prompt in prefill produces no tokens there.
void Session::updateWork()
{
    if (m_plannedOutputTokens <= 0 || !m_endpoint)
        return;
    removeWork();
    if (m_purpose == Purpose::Run)
        m_sentRemainingTokens =
            limitedTokens(policy::expectedRemainingTokens(m_plannedOutputTokens, streamedTokens()));
    m_endpoint->ownLoad.remainingTokens += m_sentRemainingTokens;
}

void Session::removeWork()
{
    m_endpoint->ownLoad.remainingTokens -= std::exchange(m_sentRemainingTokens, 0);
}

// The engine prefills the prompt itself before it runs the request.
void Session::expectRunAt(const Endpoint &endpoint, Milliseconds firstToken)
{
    m_runChoice = {};
    if (m_plannedOutputTokens <= 0)
        return;
    const std::vector views{placementViewOf(endpoint, {}, core::BootClock::now())};
    const policy::WorkScore score = policy::scoreRunByWork(
        views.front(), m_plannedOutputTokens,
        policy::usualRemainingTokens(views, m_plannedOutputTokens), views.front().domain,
        m_services.runSteps(m_request.service), m_services.placement);
    m_runChoice.expectedTime = firstToken + Milliseconds(static_cast<int64_t>(score.finishMs));
    m_runChoice.workLeftTokens = score.workLeftTokens;
}

// The ratio shows errors of the expected output as well as of the step times.
void Session::recordRunTime()
{
    const auto expected = m_runChoice.expectedTime;
    if (m_plannedOutputTokens <= 0 || expected.count() <= 0)
        return;
    const std::chrono::duration<double, std::milli> taken = core::BootClock::now() - m_sentAt;
    core::recordRatio("jujube_run_time_ratio", "",
                      taken.count() / static_cast<double>(expected.count()));
}

} // namespace jujube::serving
