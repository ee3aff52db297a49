/** \file
 * Handles endpoints' answers to a session's sends: relay to the client, failures and retries.
 */

#include "serving/session.h"

#include "core/eventlog.h"
#include "core/metrics.h"
#include "core/text.h"
#include "platform/requestcodec.h"

#include <algorithm>
#include <array>

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;

constexpr uint32_t MaxPrefillAttempts =
    3; ///< After these the endpoint that runs the request prefills.
// The same if connections fail before anything is sent.
constexpr uint32_t MaxUnreachableAttempts = 8;
// Answers up to this size are buffered, so that a failure can still be reported to the client with
// its own status; larger ones are relayed as they arrive. 200 concurrent requests then take 50 MB
// of a VM with 160 MB.
constexpr size_t MaxBufferedAnswerBytes = 256UL << 10U;
// The answer to a prefill is a small JSON object with a cache handle.
constexpr size_t MaxPrefillAnswerBytes = 64UL << 10U;
// An event of a resumable stream is buffered until it is complete; typical events have a few
// hundred bytes.
constexpr size_t MaxPartialEventBytes = 256UL << 10U;

// Statuses by which a client assumes that its request has not run. Without the endpoint's explicit
// statement (notRun) they are not trusted.
bool claimsNotRun(uint32_t status)
{
    constexpr std::array<uint32_t, 4> statuses{
        http::status::RequestTimeout, http::status::Misdirected, http::status::TooManyRequests,
        http::status::ServiceUnavailable};
    return std::find(statuses.begin(), statuses.end(), status) != statuses.end();
}

std::string mediaType(const http::Head &head)
{
    const std::string_view type = head.fields.find("Content-Type").value_or("");
    return std::string(type.substr(0, type.find(';')));
}

bool isEventStream(const http::Head &head)
{
    const std::string type = mediaType(head);
    return type.empty() || type == "text/event-stream";
}

} // namespace

bool Session::onHead(const http::Head &head)
{
    AnswerMetadata metadata = platform::decodeResponseHead(head);
    if (head.status == http::status::Misdirected)
        metadata.load.reset(); // It comes from another instance at this address.
    if (metadata.requestId && *metadata.requestId != m_request.metadata.id) {
        core::Event("answer.foreign")
            .with("request", m_request.metadata.id)
            .with("answer", *metadata.requestId)
            .with("endpoint", m_endpoint->record.id);
        return false;
    }
    // It may repeat the answer to an earlier request of this connection.
    if (!metadata.requestId && m_connection->reused()) {
        onFailure(http::Failure::Malformed, "the answer does not name its request");
        return false;
    }
    if (m_streaming && m_purpose == Purpose::Run && http::status::isSuccess(head.status)
        && mediaType(head) != m_streamType) {
        onFailure(http::Failure::Malformed, "the answer is of another type than the stream");
        return false;
    }
    if (!m_services.placement.avoidsUnreachable)
        metadata.otherInstance.clear();
    m_endpoint->connectFailures.reset();
    m_head = head;
    m_answer = metadata;
    applyAnswerNotices(*m_endpoint, metadata, core::BootClock::now());
    return true;
}

void Session::onBody(std::string &body)
{
    const bool success = http::status::isSuccess(m_head.status);
    if (m_purpose == Purpose::Run && m_request.route->kind == RouteKind::Stream && success
        && m_answer.hasSignature) {
        relayEvents(body);
        return;
    }
    if (m_relayingLargeAnswer)
        relayLargeAnswer(body);
    else
        bufferAnswer(body);
}

void Session::bufferAnswer(std::string &body)
{
    m_body += body;
    body.clear();
    const bool success = http::status::isSuccess(m_head.status);
    const size_t limit =
        m_purpose == Purpose::Prefill ? MaxPrefillAnswerBytes : MaxBufferedAnswerBytes;
    if (m_body.size() <= limit && m_answerShare.resize(m_body.size()))
        return;
    if (m_purpose == Purpose::Prefill || !success || !m_answer.hasSignature) {
        onFailure(http::Failure::Malformed,
                  "the answer exceeds the limit for failed or unsigned answers");
        return;
    }
    m_answerShare.release();
    m_relayingLargeAnswer = true;
    m_mayHaveRun = true;
    countForUsage();
    if (m_head.contentLength)
        m_responder.begin(platform::encodeForClient(m_head), http::Framing::Length,
                          *m_head.contentLength);
    else
        m_responder.begin(platform::encodeForClient(m_head), http::Framing::Chunked, 0);
    m_streaming = true;
    std::string held = std::exchange(m_body, {});
    relayLargeAnswer(held);
}

void Session::relayLargeAnswer(std::string &body)
{
    m_responder.write(body);
    body.clear();
    applyBackPressure();
}

// Stops reading from the endpoint while the client reads slowly.
void Session::applyBackPressure()
{
    if (!m_connection || !m_responder.outputFull())
        return;
    m_connection->pauseReading();
    const auto weak = weak_from_this();
    m_responder.onDrained([weak]() {
        const auto self = weak.lock();
        if (self && self->m_connection)
            self->m_connection->resumeReading();
    });
}

void Session::clearAnswer()
{
    m_body.clear();
    m_answerShare.release();
}

void Session::relayEvents(std::string &body)
{
    if (m_sentBacklogTokens > 0)
        m_endpoint->ownLoad.backlogTokens -= std::exchange(m_sentBacklogTokens, 0);
    countForUsage();
    m_mayHaveRun = true;
    recordStepTime(body);
    const bool firstEvent = m_events.count() == 0;
    m_events.add(body);
    updateWork();
    if (firstEvent && m_events.count() > 0)
        m_services.quarantine.recordSuccess(m_sharedBlocks);
    if (m_request.route->resumable) {
        const std::string events = m_eventFramer.add(body);
        body.clear();
        const size_t partial = m_eventFramer.partialBytes();
        if (partial > MaxPartialEventBytes || !m_answerShare.resize(partial)) {
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
    applyBackPressure();
}

// Sends the head of the answer. It is held until the first bytes of the body, as a failure before
// them can still be reported with its own status.
void Session::beginStream()
{
    if (std::exchange(m_streaming, true))
        return;
    m_responder.begin(platform::encodeForClient(m_head), http::Framing::Chunked, 0);
    m_streamType = mediaType(m_head);
    m_firstEventAt = core::BootClock::now();
    // The first event of a probe request proves the endpoint healthy; its stream may go on for
    // long.
    if (m_endpoint->health.state(m_firstEventAt) == policy::OutlierDetector::State::Probing)
        m_endpoint->health.noteSuccess();
    recordFirstToken();
    core::recordDuration("jujube_first_event_seconds", "", core::BootClock::now() - m_arrivedAt);
}

void Session::onEnd()
{
    if (m_purpose == Purpose::Prefill)
        handlePrefillAnswer();
    else
        handleRunAnswer();
}

void Session::handlePrefillAnswer()
{
    if (m_head.status != http::status::Ok) {
        handlePrefillFailure(true, m_answer.notRun ? "refused" : "failed");
        return;
    }
    auto handle = platform::decodeCacheHandle(m_body);
    if (!handle.ok()) {
        handlePrefillFailure(true, "the answer to the prefill has no valid cache handle");
        return;
    }
    recordEndpointAnswer(false);
    m_cacheHandle = std::move(*handle);
    m_prefilledAt = core::BootClock::now();
    recordPrefill();
    m_prefillEngine = m_endpoint;
    m_prefillTried = true;
    endSend(true);
    startNextStep();
}

void Session::handlePrefillFailure(bool mayHaveArrived, const std::string &why)
{
    core::Event("prefill.failed")
        .with("request", m_request.metadata.id)
        .with("endpoint", m_endpoint->record.id)
        .with("why", why);
    m_avoidedEndpoints.insert(m_endpoint->record.id);
    if (m_answer.notRun)
        recordRefusal(*m_endpoint, core::BootClock::now());
    endSend(false);
    // Any further send is a retry, including a run without a handle: only the run after a
    // successful prefill is free. Nothing has run yet, so 503 is correct.
    if (mayHaveArrived && !spendRetryBudget()) {
        fail(http::status::ServiceUnavailable, "the prefill failed and the retry budget is spent",
             retryAfterDelay());
        return;
    }
    m_failedPrefills += mayHaveArrived ? 1 : 0;
    m_prefillTried = prefillAttemptsSpent();
    startNextStep();
}

// A refused connection takes about a millisecond. When a quarter of the engines had ended, three of
// them in a row sent prompts to decode engines for prefill, whose streams then took longer.
bool Session::prefillAttemptsSpent() const
{
    if (!m_services.placement.avoidsUnreachable)
        return m_avoidedEndpoints.size() >= MaxPrefillAttempts;
    return m_failedPrefills >= MaxPrefillAttempts
        || m_avoidedEndpoints.size() >= MaxUnreachableAttempts;
}

void Session::handleRunAnswer()
{
    const bool success = http::status::isSuccess(m_head.status);
    if (m_request.route->kind == RouteKind::Stream && success && m_answer.hasSignature
        && isEventStream(m_head)) {
        // The end of a connection delimits such an answer, whether it is whole or not.
        const bool empty = m_head.closeDelimited && m_events.count() == 0;
        if (empty || m_events.partial()) {
            onFailure(http::Failure::ConnectionLost,
                      empty ? "the stream ended without an event"
                            : "the stream ended inside an event");
            return;
        }
    }
    if (success && m_answer.hasSignature && !m_streaming)
        m_services.quarantine.recordSuccess(m_sharedBlocks);
    if (m_streaming && success && m_answer.hasSignature) {
        recordEndpointAnswer(false);
        recordOutputLength();
        recordRunTime();
        endSend(true);
        finishStream(true);
        return;
    }
    if (m_answer.notRun) {
        handleRunFailure(true, true, "refused by the endpoint");
        return;
    }
    if ((success && !m_answer.hasSignature) || claimsNotRun(m_head.status)) {
        handleRunFailure(
            false, true,
            "the answer is unsigned, or its status claims without proof that nothing ran");
        return;
    }
    if (m_head.status >= http::status::FirstServerError && m_request.route->repeatable()
        && mayRunAgain() && spendRetryBudget()) {
        countForUsage();
        recordEndpointAnswer(true);
        m_avoidedEndpoints.insert(m_endpoint->record.id);
        m_mayHaveRun = true;
        endSend(true);
        startNextStep();
        return;
    }
    countForUsage();
    recordEndpointAnswer(m_head.status >= http::status::FirstServerError);
    if (m_streaming) {
        // The head of the first run's answer was sent: a second head would become part of the body.
        endSend(true);
        finishStream(m_relayingLargeAnswer);
        return;
    }
    const auto duration =
        std::chrono::duration_cast<Milliseconds>(core::BootClock::now() - m_arrivedAt);
    core::recordDuration("jujube_answer_seconds", "", duration);
    endSend(true);
    m_responder.send(platform::encodeForClient(m_head), m_body);
    finish("answered", m_head.status);
}

void Session::recordEndpointAnswer(bool failed)
{
    recordAnswer(*m_endpoint, m_services.endpoints.ofService(m_request.service), failed,
                 core::BootClock::now());
}

void Session::recordConnectFailure()
{
    if (m_services.placement.avoidsUnreachable)
        serving::recordConnectFailure(
            *m_endpoint, m_services.endpoints.ofService(m_request.service), core::BootClock::now());
}

void Session::recordLostAnswer()
{
    serving::recordLostAnswer(*m_endpoint, core::BootClock::now());
}

// The client's answer ends as complete only if the endpoint's did; otherwise it is aborted.
void Session::finishStream(bool complete)
{
    if (complete)
        m_responder.finish();
    else
        m_responder.abort();
    finish(complete ? "answered" : "broken", m_head.status);
}

void Session::onFailure(http::Failure failure, const std::string &why)
{
    if (failure == http::Failure::NotSent)
        recordConnectFailure();
    recordSlowSend();
    if (m_purpose == Purpose::Prefill) {
        recordLostAnswer();
        handlePrefillFailure(failure != http::Failure::NotSent, why);
        return;
    }
    if (failure == http::Failure::ConnectionLost && mayHaveCrashedEndpoint())
        m_services.quarantine.recordCrash(m_sharedBlocks, m_endpoint->record,
                                          m_request.metadata.id);
    // An endpoint may begin to work on a request once it has the head.
    const bool notRun = failure == http::Failure::NotSent || failure == http::Failure::HeadNotSent;
    handleRunFailure(notRun, failure != http::Failure::NotSent, why);
}

// An engine that crashes on a prompt does so when it begins to answer. Runs that had sent an event
// are victims, and runs without an answer had not begun.
bool Session::mayHaveCrashedEndpoint() const
{
    return http::status::isSuccess(m_head.status) && m_events.count() == 0;
}

void Session::handleRunFailure(bool notRun, bool sent, const std::string &why)
{
    core::Event("run.failed")
        .with("request", m_request.metadata.id)
        .with("endpoint", m_endpoint->record.id)
        .with("not_run", notRun)
        .with("sent", sent)
        .with("status", m_head.status)
        .with("events", m_events.count())
        .with("blocks", sharedBlockIds())
        .with("unwritten", m_connection ? m_connection->unwrittenBytes() : 0)
        .with("why", why);
    m_avoidedEndpoints.insert(m_endpoint->record.id);
    if (notRun && m_answer.notRun)
        recordRefusal(*m_endpoint, core::BootClock::now());
    else
        recordLostAnswer();
    endSend(false);
    if (m_finished)
        return;
    if (m_clientDetached) {
        finish("client-left", 0);
        return;
    }
    if (notRun) {
        --m_runs;
        // The refused send may already have used up the cache handle of the prefill.
        if (sent)
            m_prefillEngine = nullptr;
        if (!sent || spendRetryBudget())
            startNextStep();
        else if (m_streaming)
            finishStream(false);
        else if (m_mayHaveRun)
            fail(http::status::BadGateway, "the run failed and its retry was refused");
        else
            fail(http::status::ServiceUnavailable,
                 core::concat("the endpoint did not run the request (", why,
                              ") and the retry budget is spent"),
                 retryAfterDelay());
        return;
    }
    m_prefillEngine = nullptr;
    m_mayHaveRun = true;
    if (m_request.route->kind != RouteKind::Stream)
        countForUsage();
    // A large answer that is being relayed is never continued with that of another run.
    if (m_request.route->repeatable() && !m_relayingLargeAnswer && mayRunAgain()
        && !m_services.quarantine.suspects(m_sharedBlocks) && spendRetryBudget()) {
        m_eventFramer.dropPartial();
        startNextStep();
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

bool Session::spendRetryBudget()
{
    const TimePoint now = core::BootClock::now();
    const uint32_t gateways = m_services.budgetGateways();
    policy::SendBudget &budget = m_services.retryBudget(m_request.service);
    const policy::SendBudget::Usage before = budget.usage(now, gateways);
    const bool granted = budget.trySpend(now, gateways);
    core::Event("request.repeat")
        .with("request", m_request.metadata.id)
        .with("service", m_request.service)
        .with("granted", granted)
        .with("spent", before.extraSends)
        .with("allowed", before.allowedExtraSends)
        .with("gateways", gateways);
    if (!granted)
        core::incrementCounter("jujube_retries_denied_total");
    return granted;
}

void Session::countForUsage()
{
    if (!std::exchange(m_countedForUsage, true) && !m_request.team.empty())
        m_services.usage.countRequest(m_request.team, m_services.wallTime());
}

} // namespace jujube::serving
