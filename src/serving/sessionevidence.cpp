/** \file
 * Records what a session's sends show of the speed of endpoints.
 */

#include "serving/session.h"

#include "core/eventlog.h"
#include "core/metrics.h"

#include <algorithm>
#include <cmath>

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;

double msBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration<double, std::milli>(to - from).count();
}

policy::PrefillWork prefillWork(const PrefillPlan &plan)
{
    return {plan.choice.expectedTokens, plan.aheadTokens, plan.priority, plan.choice.fetch};
}

} // namespace

// Derives the decode step time from the interval before an event.
void Session::recordStepTime(std::string_view body)
{
    const TimePoint now = core::BootClock::now();
    const TimePoint before = std::exchange(m_lastEventAt, now);
    const size_t events = EventFramer::count(body);
    const auto it = m_request.config->services.find(m_request.service);
    const bool known = it != m_request.config->services.end() && it->second.engine.has_value();
    if (before == TimePoint{} || events == 0 || !known)
        return;
    const bool prefillPending =
        m_endpoint->ownLoad.backlogTokens + m_endpoint->peerLoad.backlogTokens > 0;
    const auto tokens = static_cast<double>(events * it->second.engine->tokensPerEvent);
    const double ms = std::chrono::duration<double, std::milli>(now - before).count();
    const auto running = static_cast<double>(std::min(
        m_endpoint->ownLoad.running + m_endpoint->peerLoad.running, m_endpoint->record.slots));
    m_services.decodeSteps(m_request.service).note(running, ms / tokens, prefillPending);
    if (m_plannedOutputTokens > 0) {
        const double factor = policy::runFactor(placementViewOf(*m_endpoint, {}, now));
        m_services.runSteps(m_request.service).note(running, ms / tokens / factor, prefillPending);
    }
}

// Compares the time to the first token with its prediction, to correct later predictions.
void Session::recordFirstToken()
{
    if (!m_prefillPlan.engine)
        return;
    const bool disaggregated = m_prefillEngine != nullptr;
    if (disaggregated && m_runSends == 1)
        m_services.handOver.note(m_promptInfo.tokens, msBetween(m_prefilledAt, m_firstEventAt));
    const double ms = msBetween(m_assignedAt, m_firstEventAt);
    const double tokens = m_prefillPlan.aheadTokens + m_prefillPlan.choice.uncachedTokens;
    (disaggregated ? m_services.disaggregatedPrefill : m_services.colocatedPrefill)
        .note(tokens, ms);
    // The slowdown of a prefill engine is learned from its prefills (recordEngineSpeed).
    if (disaggregated && m_prefillPlan.choice.byPace)
        return;
    updateSlowness(*m_prefillPlan.engine, Milliseconds(std::llround(ms)),
                   m_prefillPlan.choice.predictedFirstToken);
}

void Session::recordPrefill()
{
    const double ms = msBetween(m_sentAt, m_prefilledAt);
    const policy::PrefillChoice &choice = m_prefillPlan.choice;
    // The duration is that of the prefill itself only if no other prompt was queued ahead and no
    // prefix blocks were fetched.
    if (m_prefillPlan.aheadTokens == 0 && m_prefillPlan.fetchAddress.empty())
        m_services.prefillRate.note(choice.uncachedTokens, ms);
    m_services.prefillDuration.note(prefillWork(m_prefillPlan), ms, choice.slowdown * choice.pace);
    recordEngineSpeed(ms);
    core::Event("prefill.done")
        .with("request", m_request.metadata.id)
        .with("endpoint", m_endpoint->record.id)
        .with("predicted_ms", choice.predictedPrefill.count())
        .with("taken_ms", std::llround(ms))
        .with("slowdown", choice.slowdown)
        .with("pace", choice.pace)
        .with("tokens", choice.uncachedTokens)
        .with("ahead", std::llround(m_prefillPlan.aheadTokens));
}

// A prefill that waited for others, or whose time is mostly the fixed part, says little about the
// speed of its engine.
void Session::recordEngineSpeed(double takenMs)
{
    const policy::PrefillChoice &choice = m_prefillPlan.choice;
    const policy::PrefillWork work = prefillWork(m_prefillPlan);
    policy::PrefillWork alone = work;
    alone.aheadTokens = 0;
    const policy::PrefillDurationModel &model = m_services.prefillDuration.model();
    const double expectedMs = model.workMs(work) * choice.pace;
    const double ownShare =
        model.workMs(alone) * choice.pace / model.predictMs(work, choice.slowdown * choice.pace);
    m_endpoint->slowdown.note(takenMs - model.fixedPartMs(work), expectedMs, ownShare,
                              core::BootClock::now());
}

void Session::recordSlowSend() const
{
    if (!m_connection || !m_connection->slowSend())
        return;
    const http::SlowSend &send = *m_connection->slowSend();
    core::incrementCounter("jujube_slow_endpoints_total");
    core::Event("endpoint.slow")
        .with("request", m_request.metadata.id)
        .with("endpoint", m_endpoint->record.id)
        .with("unsent", send.unsentBytes)
        .with("for_ms", send.stalledFor.count());
}

// Only the whole output of a request counts: a resumed stream lacks the events before it.
void Session::recordOutputLength()
{
    const auto it = m_request.config->services.find(m_request.service);
    const bool known = it != m_request.config->services.end() && it->second.engine.has_value();
    const bool whole = m_runs == 1 && m_request.metadata.lastEventId.empty();
    if (!known || !whole || m_request.route->kind != RouteKind::Stream)
        return;
    const auto tokens = static_cast<double>(m_events.count() * it->second.engine->tokensPerEvent);
    m_services.outputLengths.note(outputRequest(), tokens);
    m_outputTokens = tokens;
}

} // namespace jujube::serving
