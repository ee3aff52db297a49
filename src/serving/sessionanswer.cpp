/** \file
 * The part of a session that deals with what endpoints answer: relay, failures, repeats.
 */

#include "serving/session.h"

#include "core/eventlog.h"
#include "core/metrics.h"
#include "platform/requestcodec.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;

constexpr uint32_t MaxPrefills = 3; ///< Then the decoder reads the prompt.
// Answers up to this size are buffered, so that a failure can still be reported with its own
// status; larger ones are streamed. 200 requests at once then take 50 MB of a VM of 160 MB.
constexpr size_t MaxBufferedAnswer = 256UL << 10U;
// A prefill answer is a small JSON object with a handle.
constexpr size_t MaxPrefillAnswer = 64UL << 10U;
// An event of a stream that may be resumed is held until it is whole; events have some hundred
// bytes.
constexpr size_t MaxPartialEvent = 256UL << 10U;
// Data that the client has not read at which reading from the endpoint stops.
constexpr size_t MaxUnread = 256UL << 10U;

// Statuses that promise that a request has not run. Only what states it plainly is believed.
bool promisesNotRun(uint32_t status)
{
    constexpr std::array<uint32_t, 4> statuses{
        http::status::RequestTimeout, http::status::Misdirected, http::status::TooManyRequests,
        http::status::ServiceUnavailable};
    return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

} // namespace

bool Session::onHead(const http::Head &head)
{
    const AnswerFacts facts = platform::decodeAnswer(head);
    if (facts.requestId && *facts.requestId != m_request.facts.id) {
        core::Event("answer.foreign")
            .with("request", m_request.facts.id)
            .with("answer", *facts.requestId)
            .with("endpoint", m_endpoint->record.id);
        return false;
    }
    m_head = head;
    m_answer = facts;
    noteNotices(*m_endpoint, facts, core::BootClock::now());
    return true;
}

void Session::onBody(std::string &body)
{
    const bool success = http::status::isSuccess(m_head.status);
    if (m_purpose == Purpose::Run && m_request.route->kind == RouteKind::Stream && success
        && m_answer.sealed) {
        relayEvents(body);
        return;
    }
    if (m_relaying)
        relayLarge(body);
    else
        collect(body);
}

void Session::collect(std::string &body)
{
    m_body += body;
    body.clear();
    const bool success = http::status::isSuccess(m_head.status);
    const size_t limit = m_purpose == Purpose::Prefill ? MaxPrefillAnswer : MaxBufferedAnswer;
    if (m_body.size() <= limit)
        return;
    if (m_purpose == Purpose::Prefill || !success || !m_answer.sealed) {
        onFailure(http::Failure::Malformed,
                  "the answer exceeds the limit for failed or unsigned answers");
        return;
    }
    m_relaying = true;
    m_mayHaveRun = true;
    noteBegun();
    if (m_head.contentLength)
        m_responder.begin(platform::encodeForClient(m_head), http::Framing::Length,
                          *m_head.contentLength);
    else
        m_responder.begin(platform::encodeForClient(m_head), http::Framing::Chunked, 0);
    m_streaming = true;
    std::string held = std::exchange(m_body, {});
    relayLarge(held);
}

void Session::relayLarge(std::string &body)
{
    m_responder.write(body);
    body.clear();
    holdBackEndpoint();
}

// Applies back pressure to the endpoint while the client reads slowly.
void Session::holdBackEndpoint()
{
    if (!m_connection || m_responder.unsent() <= MaxUnread)
        return;
    m_connection->pauseReading();
    const auto weak = weak_from_this();
    m_responder.onWritten([weak]() {
        const auto self = weak.lock();
        if (self && self->m_connection)
            self->m_connection->resumeReading();
    });
}

void Session::relayEvents(std::string &body)
{
    if (m_sentTokens > 0)
        m_endpoint->own.backlogTokens -= std::exchange(m_sentTokens, 0);
    noteBegun();
    m_mayHaveRun = true;
    notePace(body);
    if (m_request.route->resumable) {
        const std::string events = m_frames.add(body);
        body.clear();
        if (m_frames.partialBytes() > MaxPartialEvent) {
            onFailure(http::Failure::Malformed, "an event exceeds the size limit");
            return;
        }
        if (events.empty())
            return;
        beginStream();
        m_responder.write(events);
    } else {
        beginStream();
        m_responder.write(body);
        body.clear();
    }
    holdBackEndpoint();
}

// Learns the engine's pace from the pause before an event.
void Session::notePace(std::string_view body)
{
    const TimePoint now = core::BootClock::now();
    const TimePoint before = std::exchange(m_eventAt, now);
    const size_t events = EventFrames::count(body);
    const auto it = m_request.config->services.find(m_request.service);
    const bool known = it != m_request.config->services.end() && it->second.engine.has_value();
    if (before == TimePoint{} || events == 0 || !known)
        return;
    const bool reads = m_endpoint->own.backlogTokens + m_endpoint->peers.backlogTokens > 0;
    const auto tokens = static_cast<double>(events * it->second.engine->tokensPerEvent);
    const double ms = std::chrono::duration<double, std::milli>(now - before).count();
    const auto running = static_cast<double>(
        std::min(m_endpoint->own.running + m_endpoint->peers.running, m_endpoint->record.slots));
    m_services.pace(m_request.service).note(running, ms / tokens, reads);
}

// The head waits for the first bytes of the body: until then a failure can still be told as such.
void Session::beginStream()
{
    if (std::exchange(m_streaming, true))
        return;
    m_responder.begin(platform::encodeForClient(m_head), http::Framing::Chunked, 0);
    m_firstAt = core::BootClock::now();
    // A probe need not wait for the end of its stream to bring an endpoint back.
    if (m_endpoint->health.state(m_firstAt) == policy::OutlierDetector::State::Probing)
        m_endpoint->health.noteSuccess();
    noteFirstToken();
    core::recordMetric("jujube_first_event_seconds", "", core::BootClock::now() - m_arrived);
}

// Compares the way the prompt took with its prediction, for the predictions of later ones.
void Session::noteFirstToken()
{
    if (!m_plan.engine)
        return;
    const double ms = std::chrono::duration<double, std::milli>(m_firstAt - m_assignedAt).count();
    const double tokens = m_plan.aheadTokens + m_plan.choice.uncachedTokens;
    (m_handleAt ? m_services.apart : m_services.itself).note(tokens, ms);
    noteDuration(*m_plan.engine, Milliseconds(std::llround(ms)), m_plan.choice.predictedFirstToken);
}

void Session::onEnd()
{
    if (m_purpose == Purpose::Prefill)
        prefillEnded();
    else
        answerEnded();
}

void Session::prefillEnded()
{
    if (m_head.status != http::status::Ok) {
        prefillFailed(true, m_answer.notRun ? "refused" : "failed");
        return;
    }
    auto handle = platform::decodeCacheHandle(m_body);
    if (!handle.ok()) {
        prefillFailed(true, "the answer names no prompt");
        return;
    }
    noteAnswered(false);
    m_handle = std::move(*handle);
    m_readAt = core::BootClock::now();
    // Only a prompt with nothing ahead of it tells how long reading itself takes.
    if (m_plan.aheadTokens == 0 && m_plan.fetchFrom.empty()) {
        const double ms = std::chrono::duration<double, std::milli>(m_readAt - m_sentAt).count();
        m_services.reading.note(m_plan.choice.uncachedTokens, ms);
    }
    m_handleAt = m_endpoint;
    m_prefillTried = true;
    release(true);
    next();
}

void Session::prefillFailed(bool reached, const std::string &why)
{
    core::Event("prefill.failed")
        .with("request", m_request.facts.id)
        .with("endpoint", m_endpoint->record.id)
        .with("why", why);
    m_avoid.insert(m_endpoint->record.id);
    if (m_answer.notRun)
        noteRefusal(*m_endpoint, core::BootClock::now());
    release(false);
    // Any further send is a retry, including a run without a handle: only a successful prefill is
    // free. Nothing has run yet, so refusing is truthful.
    if (reached && !spendExtra()) {
        fail(http::status::ServiceUnavailable,
             "its prompt was not read, and the budget for sending it again is spent", comeBack());
        return;
    }
    if (m_avoid.size() >= MaxPrefills)
        m_prefillTried = true;
    next();
}

void Session::answerEnded()
{
    const bool success = http::status::isSuccess(m_head.status);
    if (m_streaming && success && m_answer.sealed) {
        noteAnswered(false);
        release(true);
        finishStream(!m_frames.partial());
        return;
    }
    if (m_answer.notRun) {
        runFailed(true, true, "refused by the endpoint");
        return;
    }
    if ((success && !m_answer.sealed) || promisesNotRun(m_head.status)) {
        runFailed(false, true, "the answer is not the endpoint's own or promises too much");
        return;
    }
    if (m_head.status >= http::status::FirstServerError && m_request.route->repeatable()
        && mayRunAgain() && spendExtra()) {
        noteBegun();
        noteAnswered(true);
        m_avoid.insert(m_endpoint->record.id);
        m_mayHaveRun = true;
        release(true);
        next();
        return;
    }
    noteBegun();
    noteAnswered(m_head.status >= http::status::FirstServerError);
    if (m_streaming) {
        // The client has the head of the first run: another one would be taken for its body.
        release(true);
        finishStream(m_relaying);
        return;
    }
    const auto duration =
        std::chrono::duration_cast<Milliseconds>(core::BootClock::now() - m_arrived);
    core::recordMetric("jujube_answer_seconds", "", duration);
    release(true);
    m_responder.send(platform::encodeForClient(m_head), m_body);
    finish("answered", m_head.status);
}

void Session::noteAnswered(bool failed)
{
    noteAnswer(*m_endpoint, m_services.endpoints.ofService(m_request.service), failed,
               core::BootClock::now());
}

void Session::noteBroken()
{
    serving::noteBroken(*m_endpoint, core::BootClock::now());
}

// Only the orderly end of an endpoint's answer ends the client's as complete.
void Session::finishStream(bool whole)
{
    if (whole)
        m_responder.finish();
    else
        m_responder.abort();
    finish(whole ? "answered" : "broken", m_head.status);
}

void Session::onFailure(http::Failure failure, const std::string &why)
{
    if (m_purpose == Purpose::Prefill) {
        noteBroken();
        prefillFailed(failure != http::Failure::NotSent, why);
        return;
    }
    runFailed(failure == http::Failure::NotSent, failure != http::Failure::NotSent, why);
}

// A run ended without an answer that can be given to the client.
void Session::runFailed(bool notRun, bool sent, const std::string &why)
{
    core::Event("run.failed")
        .with("request", m_request.facts.id)
        .with("endpoint", m_endpoint->record.id)
        .with("not_run", notRun)
        .with("sent", sent)
        .with("status", m_head.status)
        .with("why", why);
    m_avoid.insert(m_endpoint->record.id);
    if (!notRun || !sent)
        noteBroken();
    else
        noteRefusal(*m_endpoint, core::BootClock::now());
    release(false);
    if (m_finished)
        return;
    if (m_detached) {
        finish("client-left", 0);
        return;
    }
    if (notRun) {
        --m_runs;
        // A prompt that was read may have been taken from its engine by the refused send.
        if (sent)
            m_handleAt = nullptr;
        if (!sent || spendExtra())
            next();
        else if (m_streaming)
            finishStream(false);
        else if (m_mayHaveRun)
            fail(http::status::BadGateway, "it failed, and was refused when it was sent again");
        else
            fail(http::status::ServiceUnavailable,
                 "refused, and the budget for sending it again is spent", comeBack());
        return;
    }
    m_handleAt = nullptr;
    m_mayHaveRun = true;
    if (m_request.route->kind != RouteKind::Stream)
        noteBegun();
    // Pieces of two answers are never joined.
    if (m_request.route->repeatable() && !m_relaying && mayRunAgain() && spendExtra()) {
        m_frames.dropPartial();
        next();
    } else if (m_streaming) {
        finishStream(false);
    } else {
        fail(http::status::BadGateway, why);
    }
}

bool Session::mayRunAgain() const
{
    return m_runs < m_request.route->maxAttempts && timeLeft().count() > 0;
}

bool Session::spendExtra()
{
    const bool granted = m_services.budget(m_request.service)
                             .trySpend(core::BootClock::now(), m_services.gateways());
    if (!granted)
        core::countMetric("jujube_retries_denied_total");
    return granted;
}

void Session::noteBegun()
{
    if (!std::exchange(m_begun, true) && !m_request.team.empty())
        m_services.usage.note(m_request.team, m_services.wallTime());
}

} // namespace jujube::serving
