/** \file
 * Accounts for the work and the memory of a session's sends at endpoints.
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

// A stream ends every few ms on a busy engine. The spread keeps sessions of several gateways from
// trying at the same time.
constexpr Milliseconds MemoryWait{20};
constexpr Milliseconds MemoryWaitSpread{20};
// Far above what an engine holds. The sums over the requests of an endpoint must not wrap around.
constexpr uint64_t MaxTokensPerSend = 1UL << 22U;

uint32_t limitedTokens(double tokens)
{
    return static_cast<uint32_t>(std::min(std::ceil(tokens), double(MaxTokensPerSend)));
}

} // namespace

bool Session::estimateWork()
{
    const auto it = m_request.config->services.find(m_request.service);
    const bool engines = it != m_request.config->services.end() && it->second.engine.has_value();
    if (!m_services.placement.limitsEngineMemory || !engines
        || m_request.route->kind != RouteKind::Stream)
        return true;
    const EngineConfig &engine = *it->second.engine;
    m_tokensPerEvent = std::max(1U, engine.tokensPerEvent);
    // A run has at least one event.
    m_plannedOutputTokens = std::max(m_services.outputLengths.estimate(outputRequest()).expected,
                                     static_cast<double>(m_tokensPerEvent));
    const auto cost = policy::RequestCost::of(m_promptInfo.tokens, 0, m_plannedOutputTokens);
    m_promptInfo.memory = policy::MemoryNeed::of(cost.memoryTokens, engine.cacheTokens);
    if (!m_promptInfo.memory.exceedsEngines())
        return true;
    core::Event("request.too_large_for_engines")
        .with("request", m_request.metadata.id)
        .with("tokens", m_promptInfo.memory.tokens)
        .with("limit", m_promptInfo.memory.limit);
    fail(http::status::ServiceUnavailable, "the request exceeds the memory of the engines",
         retryAfterDelay());
    return false;
}

double Session::streamedTokens() const
{
    return static_cast<double>((m_earlierEvents + m_events.count()) * m_tokensPerEvent);
}

// A prompt in prefill produces no tokens there, and its need of memory is known to the queue of
// prompts before an engine runs it.
void Session::updateWork()
{
    if (m_plannedOutputTokens <= 0 || !m_endpoint)
        return;
    const bool begins = m_sentWork.heldTokens == 0;
    removeWork();
    const double streamed = streamedTokens();
    const double rest = policy::expectedRemainingTokens(m_plannedOutputTokens, streamed);
    const auto held = policy::RequestCost::of(m_promptInfo.tokens, 0, streamed + rest).memoryTokens;
    m_sentWork.remainingTokens = m_purpose == Purpose::Run ? limitedTokens(rest) : 0;
    m_sentWork.heldTokens = limitedTokens(static_cast<double>(held));
    m_endpoint->ownLoad += m_sentWork;
    if (begins)
        m_endpoint->unseenTokens.note(m_sentWork.heldTokens, core::BootClock::now());
}

void Session::removeWork()
{
    m_endpoint->ownLoad.remainingTokens -= m_sentWork.remainingTokens;
    m_endpoint->ownLoad.heldTokens -= m_sentWork.heldTokens;
    m_sentWork = {};
}

// The engine prefills the prompt itself before it runs the request.
void Session::expectRunAt(const Endpoint &endpoint, Milliseconds firstToken)
{
    m_runChoice = {};
    if (m_plannedOutputTokens <= 0)
        return;
    const std::vector views{placementViewOf(endpoint, {}, core::BootClock::now())};
    m_runChoice = policy::chooseRunner(views, {m_plannedOutputTokens, {}, {}}, views.front().domain,
                                       m_services.runSteps(m_request.service), m_services.placement,
                                       m_services.random);
    if (m_runChoice.index)
        m_runChoice.expectedTime += firstToken;
}

void Session::waitForMemory()
{
    core::incrementCounter("jujube_memory_waits_total");
    if (!std::exchange(m_waitedForMemory, true))
        core::Event("request.waits_for_memory")
            .with("request", m_request.metadata.id)
            .with("tokens", m_promptInfo.memory.tokens)
            .with("limit", m_promptInfo.memory.limit)
            .with("left_ms", timeLeft().count());
    std::uniform_int_distribution<int64_t> spread(0, MemoryWaitSpread.count());
    m_prefillTimer.expires_after(MemoryWait + Milliseconds(spread(m_services.random)));
    const auto self = shared_from_this();
    m_prefillTimer.async_wait([self](const boost::system::error_code &ec) {
        if (!ec && !self->m_finished && !self->m_connection)
            self->startNextStep();
    });
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
