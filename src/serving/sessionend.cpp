/** \file
 * Ends sessions: outcomes, clients that leave, deadlines and refusals.
 */

#include "serving/session.h"

#include "core/eventlog.h"
#include "core/metrics.h"
#include "core/text.h"
#include "platform/requestcodec.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cmath>

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;

// Retry-After of a refusal: this minimum, or the service's remaining back-off if that is longer,
// plus a random part of the spread, so that refused clients do not return in one burst.
constexpr Milliseconds MinRetryAfter{400};
constexpr Milliseconds RetryAfterSpread{1'200};
constexpr Milliseconds HandleReleaseTimeout{1'000};

} // namespace

void Session::releaseCacheHandle()
{
    if (!m_prefillEngine || m_runSends > 0)
        return;
    const EndpointPtr at = std::exchange(m_prefillEngine, nullptr);
    m_services.httpClient.call(
        at->record.address, platform::encodeHandleRelease(m_cacheHandle.handle, at->record.id),
        HandleReleaseTimeout,
        [at, handle = m_cacheHandle.handle](const http::CallResult &result) {
            if (result.response.ok())
                applyAnswerNotices(*at, platform::decodeResponseHead(result.response->head),
                                   core::BootClock::now());
            if (!result.response.ok())
                core::Event("handle.release.failed")
                    .with("handle", handle)
                    .with("why", result.response.status().message());
        },
        http::ConnectionMode::Dedicated);
}

void Session::fail(uint32_t status, const std::string &why, Milliseconds retryAfter)
{
    if (m_finished)
        return;
    core::Event("request.failed")
        .with("request", m_request.metadata.id)
        .with("status", status)
        .with("why", why)
        .with("config", m_request.config->version)
        .with("retry_after_ms", retryAfter.count());
    m_responder.send(platform::gatewayResponseHead(status, m_request.metadata.id, retryAfter), {});
    finish("failed", status);
}

void Session::finish(std::string_view outcome, uint32_t status)
{
    if (std::exchange(m_finished, true))
        return;
    const auto self = shared_from_this();
    m_services.open.erase(self);
    leavePromptQueue();
    releaseCacheHandle();
    endSend(false);
    m_deadlineTimer.cancel();
    // A prefill is work of the request as well.
    if (m_request.charge.tokens > 0 && m_runs == 0 && !m_mayHaveRun && !m_prefillSent)
        m_services.refundQuota(m_request.charge);
    core::Event("request.end")
        .with("request", m_request.metadata.id)
        .with("route", m_request.route->name)
        .with("outcome", outcome)
        .with("status", status)
        .with("sends", m_runSends)
        .with("assigned_ms", msSinceArrival(m_assignedAt))
        .with("read_ms", msSinceArrival(m_prefilledAt))
        .with("first_ms", msSinceArrival(m_firstEventAt))
        .with("ms", msSinceArrival(core::BootClock::now()))
        .with("output_expected", std::llround(m_expectedOutputTokens))
        .with("output", std::llround(m_outputTokens));
    core::incrementCounter("jujube_requests_total", core::concat("outcome=\"", outcome, "\""));
}

std::string Session::sharedBlockIds() const
{
    std::string text;
    const auto &blocks = m_request.metadata.prefixBlocks;
    for (size_t i = 0; i + 1 < blocks.size(); ++i)
        text += core::concat(i == 0 ? "" : ",", absl::Hex(blocks[i].id));
    return text;
}

int64_t Session::msSinceArrival(TimePoint at) const
{
    return at == TimePoint{} ? -1
                             : std::chrono::duration_cast<Milliseconds>(at - m_arrivedAt).count();
}

void Session::onClientDisconnected()
{
    if (m_finished)
        return;
    // A request that must not run twice is not cancelled: after a cancellation it would be unknown
    // whether it took effect.
    if (m_connection && m_purpose == Purpose::Run
        && m_request.route->kind == RouteKind::AtMostOnce) {
        m_clientDetached = true;
        return;
    }
    endSend(false);
    finish("client-left", 0);
}

bool Session::runInProgress() const
{
    return m_connection && m_purpose == Purpose::Run && m_connection->headMayArrive();
}

void Session::onDeadline()
{
    giveUp(runInProgress() || m_mayHaveRun
               ? "no answer before the deadline"
               : "no endpoint accepted the request before the deadline");
}

void Session::giveUp(const std::string &why)
{
    if (m_finished)
        return;
    const bool running = runInProgress();
    // The end of the send discards the rest of an incomplete request.
    if (m_connection && m_purpose == Purpose::Run && !running)
        --m_runs;
    endSend(false);
    if (m_streaming) {
        m_responder.abort();
        finish("timed-out", m_head.status);
    } else if (running || m_mayHaveRun) {
        fail(http::status::GatewayTimeout, why);
    } else {
        fail(http::status::ServiceUnavailable, why, retryAfterDelay());
    }
}

// The event loop handles one event after another: a disconnect or a deadline may have occurred
// before the event that leads to this send and still be queued behind it.
bool Session::endIfPointless()
{
    if (m_finished)
        return true;
    if (m_responder.clientDisconnected()) {
        core::incrementCounter("jujube_sends_abandoned_total");
        onClientDisconnected();
        return true;
    }
    if (timeLeft().count() <= 0) {
        onDeadline();
        return true;
    }
    return endIfQuarantined();
}

bool Session::endIfQuarantined()
{
    const auto left = m_services.quarantine.timeLeft(m_sharedBlocks);
    if (!left)
        return false;
    core::incrementCounter("jujube_quarantine_refusals_total");
    if (m_streaming)
        finishStream(false);
    else if (m_mayHaveRun)
        fail(http::status::BadGateway, "the prompt crashes engines");
    else
        fail(http::status::ServiceUnavailable, "the prompt crashes engines", *left);
    return true;
}

TimePoint Session::firstEventDeadline() const
{
    const Milliseconds patience = m_request.route->eventTimeout;
    return patience.count() > 0 ? std::min(m_deadline, m_arrivedAt + patience) : m_deadline;
}

Milliseconds Session::timeLeft() const
{
    return std::chrono::floor<Milliseconds>(m_deadline - core::BootClock::now());
}

Milliseconds Session::retryAfterDelay()
{
    const RetryAfterRange range =
        retryAfterRange(m_services.endpoints, m_request.service, core::BootClock::now());
    std::uniform_int_distribution<int64_t> spread(0, range.spread.count());
    return range.least + Milliseconds(spread(m_services.random));
}

RetryAfterRange retryAfterRange(const EndpointTable &endpoints, const std::string &service,
                                TimePoint now)
{
    const auto backoff = endpoints.remainingBackoff(service, now);
    return {std::max(MinRetryAfter, backoff.value_or(Milliseconds(0))), RetryAfterSpread};
}

} // namespace jujube::serving
