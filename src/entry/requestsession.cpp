#include "entry/requestsession.h"

#include "core/eventlog.h"
#include "core/metrics.h"
#include "core/text.h"

#include <algorithm>

namespace jujube::entry {

namespace {

using SubmitResponse = capnp::Response<wire::schema::AgentSession::SubmitResults>;
using FetchResponse = capnp::Response<wire::schema::AgentSession::FetchResults>;
using ResolveResponse = capnp::Response<wire::schema::AgentSession::ResolveResults>;

constexpr uint32_t MaxAttempts = 5;
constexpr core::Milliseconds SubmitTimeout{1'500};
// An agent replies to a fetch after at most FetchLongPollWait, so a connection without a reply for
// FetchTimeout is considered dead.
constexpr core::Milliseconds FetchLongPollWait{500};
constexpr core::Milliseconds FetchTimeout{1'500};
// How long a session tries to reach the agent of a lost connection, to resolve a submission or to
// resume an answer.
constexpr core::Milliseconds RecoveryTimeout{4'000};
constexpr core::Milliseconds ResolveTimeout{1'000};
// How long a request waits for an endpoint to become usable before it is refused.
constexpr core::Milliseconds EndpointWaitLimit{2'000};
constexpr core::Milliseconds EndpointPollInterval{25};
constexpr core::Milliseconds DefaultRetryAfter{1'000};
constexpr int HttpStatusNotRun = 503;
constexpr int HttpStatusUnknown = 504;
constexpr int HttpStatusFailed = 502;

} // namespace

RequestSession::RequestSession(SessionServices services, CallerRequest request, AnswerSink sink)
    : m_services(services), m_request(std::move(request)), m_sink(std::move(sink))
{
    if (m_request.work.kind == core::WorkKind::Language)
        m_prefixBlocks = policy::prefixBlocks(m_request.work.prompt);
}

void RequestSession::onCallerDisconnected()
{
    m_callerDisconnected = true;
    if (m_currentAttempt)
        cancelAttempt(m_currentAttempt, false);
}

void RequestSession::onKeyWithdrawn()
{
    m_keyWithdrawn = true;
    if (m_currentAttempt)
        cancelAttempt(m_currentAttempt, true);
}

wire::Task<void> RequestSession::run()
{
    const auto self = shared_from_this();
    m_services.retryBudget.noteFirstTry(m_request.work.team);
    if (!m_request.claimKey.empty() && !co_await claimIdempotencyKey())
        co_return;
    while (!m_finished) {
        if (m_keyWithdrawn) {
            fail(core::Outcome::NotRun, 401, "key-withdrawn", "the key has been withdrawn");
            break;
        }
        const std::shared_ptr<AgentLink> link = co_await waitForEndpoint();
        if (!link) {
            if (!m_finished) {
                const std::string reason = m_lastReason.empty() ? "" : ": " + m_lastReason;
                fail(core::Outcome::NotRun, HttpStatusNotRun, "no-endpoint",
                     "no endpoint can take the request now" + reason,
                     std::max(m_retryAfter, DefaultRetryAfter));
            }
            break;
        }
        const AttemptResult result = co_await runAttempt(link);
        m_currentAttempt = nullptr;
        if (result == AttemptResult::Complete || result == AttemptResult::AlreadyFinished)
            break;
        m_excludedVms.insert(link->record().vm);
        m_mayHaveRun = m_mayHaveRun || result != AttemptResult::NotRun;
        if (!mayRetry(result)) {
            failAfterAttempt(result);
            break;
        }
        core::incrementCounter("jujube_retries_total");
        if (result != AttemptResult::NotRun)
            co_await m_services.io.sleep(
                m_services.retryBudget.backoff(m_attemptCount, m_services.random));
    }
}

wire::Task<bool> RequestSession::claimIdempotencyKey()
{
    const auto claim = co_await m_services.claimStore.claim(
        m_request.claimKey, m_request.work.requestId, m_request.fingerprint);
    if (!claim.ok()) {
        fail(core::Outcome::NotRun, HttpStatusNotRun, "claim-unavailable",
             "the Idempotency-Key could not be recorded", DefaultRetryAfter);
        co_return false;
    }
    if (std::holds_alternative<state::ClaimGranted>(*claim)) {
        m_keyClaimed = true;
        co_return true;
    }
    if (const auto *answered = std::get_if<state::ClaimCompleted>(&*claim)) {
        if (answered->bodyKept) {
            CompletedAnswer answer;
            answer.status = answered->status;
            answer.contentType = answered->contentType;
            answer.body = answered->body;
            succeed(std::move(answer));
        } else {
            fail(core::Outcome::Failed, 409, "answer-not-kept",
                 "the request has run; its answer was too large to be kept");
        }
        co_return false;
    }
    if (std::holds_alternative<state::ClaimMismatch>(*claim)) {
        fail(core::Outcome::NotRun, 422, "idempotency-key-reused",
             "the Idempotency-Key was used for a different request");
        co_return false;
    }
    fail(core::Outcome::Unknown, 409, "in-progress",
         "a request with this Idempotency-Key was let through and its end is not known");
    co_return false;
}

std::shared_ptr<AgentLink> RequestSession::chooseEndpoint()
{
    const core::TimePoint now = core::BootClock::now();
    std::vector<std::shared_ptr<AgentLink>> links;
    std::vector<policy::EndpointView> views;
    for (const auto &link : m_services.fleet.candidates(m_request.work.kind, m_request.model)) {
        if (m_excludedVms.contains(link->record().vm))
            continue;
        links.push_back(link);
        views.push_back(link->view(now));
    }
    policy::RouteRequest route;
    route.kind = m_request.work.kind;
    route.promptTokens = core::estimatedTokenCount(m_request.work.prompt);
    route.outputTokens = m_request.work.maxTokens - m_outputTokens;
    route.prefixBlocks = m_prefixBlocks;
    route.firstTokenObjective = m_request.work.firstTokenObjective;
    route.timeLeft = timeLeft();
    const auto decision =
        m_services.router.choose(views, route, m_services.prefixIndex, m_services.random);
    if (!decision)
        return nullptr;
    const auto &link = links[decision->index];
    if (views[decision->index].probeDue)
        link->outlierDetector().startProbe(now);
    const uint32_t uncached =
        route.promptTokens - std::min(decision->cachedTokens, route.promptTokens);
    link->countSentRequest(uncached, route.outputTokens);
    core::Event("request.routed")
        .with("request", m_request.work.requestId)
        .with("team", m_request.work.team)
        .with("vm", link->record().vm)
        .with("attempt", m_attemptCount + 1)
        .with("predicted_first_ms", decision->predictedFirstToken.count())
        .with("cached_tokens", decision->cachedTokens);
    return link;
}

wire::Task<std::shared_ptr<AgentLink>> RequestSession::waitForEndpoint()
{
    const core::TimePoint giveUp = core::BootClock::now() + std::min(EndpointWaitLimit, timeLeft());
    while (true) {
        if (m_callerDisconnected) {
            fail(core::Outcome::NotRun, 499, "caller-left", "the caller left");
            co_return nullptr;
        }
        if (auto link = chooseEndpoint())
            co_return link;
        // Once all candidates have refused, waiting only delays the failure. A candidate that is
        // merely disconnected may become usable again within the wait.
        if (allCandidatesExcluded() || m_keyWithdrawn || core::BootClock::now() >= giveUp)
            co_return nullptr;
        co_await m_services.io.sleep(EndpointPollInterval);
    }
}

bool RequestSession::allCandidatesExcluded() const
{
    if (m_excludedVms.empty())
        return false;
    const auto links = m_services.fleet.candidates(m_request.work.kind, m_request.model);
    return std::all_of(links.begin(), links.end(), [this](const auto &link) {
        return m_excludedVms.contains(link->record().vm);
    });
}

wire::Task<RequestSession::AttemptResult>
RequestSession::runAttempt(std::shared_ptr<AgentLink> link)
{
    auto current = std::make_shared<Attempt>();
    current->link = link;
    current->connection = link->connection();
    current->outputTokensBefore = m_outputTokens;
    current->sentAt = core::BootClock::now();
    ++m_attemptCount;
    if (!current->connection)
        co_return AttemptResult::NotRun;
    current->incarnation = current->connection->incarnation;
    m_currentAttempt = current;

    const Submission submission = co_await submit(current);
    if (submission == Submission::NotRun)
        co_return AttemptResult::NotRun;
    if (submission == Submission::Unknown) {
        link->outlierDetector().noteFailure(core::BootClock::now());
        co_return AttemptResult::Unknown;
    }
    if (m_callerDisconnected)
        cancelAttempt(current, false);
    else if (m_keyWithdrawn)
        cancelAttempt(current, true);
    const AttemptResult result = co_await relayAnswer(current);
    if (result == AttemptResult::Complete)
        link->outlierDetector().noteSuccess();
    else if (result != AttemptResult::AlreadyFinished && result != AttemptResult::NotRun)
        link->outlierDetector().noteFailure(core::BootClock::now());
    co_return result;
}

wire::Task<RequestSession::Submission> RequestSession::submit(std::shared_ptr<Attempt> attempt)
{
    try {
        auto request = attempt->connection->rpc->agent.submitRequest();
        wire::WorkMessage work = m_request.work;
        work.agentIncarnation = attempt->incarnation;
        work.resumeTokens = m_outputTokens;
        work.timeLeft = timeLeft();
        wire::write(request.initRequest(), work);
        auto response = co_await m_services.io.withTimeout(
            SubmitTimeout, kj::Promise<SubmitResponse>(request.send()));
        const wire::SubmitReply reply = wire::read(response.getResult());
        attempt->link->updateLoad(reply.load);
        if (reply.accepted) {
            m_services.prefixIndex.record(attempt->link->record().vm, m_prefixBlocks);
            co_return Submission::Accepted;
        }
        m_lastReason = reply.message;
        m_retryAfter = std::max(m_retryAfter, reply.retryAfter);
        co_return Submission::NotRun;
    } catch (const kj::Exception &ex) {
        m_lastReason = ex.getDescription().cStr();
    }
    attempt->link->dropConnection(attempt->connection);
    co_return co_await resolveSubmission(attempt);
}

// Asks the same agent incarnation for the progress of a submission that got no reply. If the agent
// does not know the id, the call leaves a tombstone for it, so "not run" stays true even if the
// submission is still in flight.
wire::Task<RequestSession::Submission>
RequestSession::resolveSubmission(std::shared_ptr<Attempt> attempt)
{
    const core::TimePoint giveUp = core::BootClock::now() + RecoveryTimeout;
    while (core::BootClock::now() < giveUp) {
        const auto left = std::chrono::ceil<core::Milliseconds>(giveUp - core::BootClock::now());
        auto connection = co_await attempt->link->waitForNewConnection(attempt->connection, left);
        if (!connection)
            break;
        attempt->connection = connection;
        if (connection->incarnation != attempt->incarnation)
            break;
        bool lost = false;
        wire::Progress progress = wire::Progress::ABSENT;
        try {
            auto request = connection->rpc->agent.resolveRequest();
            request.setRequestId(m_request.work.requestId.c_str());
            auto response = co_await m_services.io.withTimeout(
                ResolveTimeout, kj::Promise<ResolveResponse>(request.send()));
            progress = response.getProgress();
        } catch (const kj::Exception &ex) {
            lost = true;
            m_lastReason = ex.getDescription().cStr();
        }
        if (lost) {
            attempt->link->dropConnection(connection);
            continue;
        }
        core::Event("request.resolved")
            .with("request", m_request.work.requestId)
            .with("vm", attempt->link->record().vm)
            .with("progress", static_cast<int>(progress));
        co_return progress == wire::Progress::TOMBSTONE ? Submission::NotRun : Submission::Accepted;
    }
    m_lastReason = "the agent that was sent the request is gone or cannot be reached";
    co_return Submission::Unknown;
}

wire::Task<RequestSession::AttemptResult>
RequestSession::relayAnswer(std::shared_ptr<Attempt> attempt)
{
    while (true) {
        const bool expired = timeLeft().count() <= 0;
        if (expired)
            cancelAttempt(attempt, false);
        std::optional<wire::ChunkMessage> chunk;
        try {
            auto request = attempt->connection->rpc->agent.fetchRequest();
            request.setRequestId(m_request.work.requestId.c_str());
            request.setOffset(attempt->offset);
            request.setWaitMs(static_cast<uint32_t>(FetchLongPollWait.count()));
            auto response = co_await m_services.io.withTimeout(
                FetchTimeout, kj::Promise<FetchResponse>(request.send()));
            chunk = wire::read(response.getChunk());
        } catch (const kj::Exception &ex) {
            m_lastReason = ex.getDescription().cStr();
        }
        if (!chunk) {
            // Resume from the same offset over a new connection to the same incarnation.
            attempt->link->dropConnection(attempt->connection);
            auto connection =
                co_await attempt->link->waitForNewConnection(attempt->connection, RecoveryTimeout);
            if (!connection || connection->incarnation != attempt->incarnation) {
                countUsage(*attempt, false, {});
                m_lastReason = "the agent that ran the request is gone";
                co_return AttemptResult::Unknown;
            }
            attempt->connection = connection;
            core::Event("request.reattached")
                .with("request", m_request.work.requestId)
                .with("vm", attempt->link->record().vm)
                .with("offset", attempt->offset);
            continue;
        }
        attempt->link->updateLoad(chunk->load);
        if (!chunk->data.empty()) {
            attempt->offset = chunk->nextOffset;
            m_outputTokens = std::max(m_outputTokens, chunk->tokens);
            if (m_request.work.kind == core::WorkKind::Language)
                m_sink(AnswerPiece{chunk->data});
            else
                m_serviceBody += chunk->data;
        }
        if (chunk->progress == wire::Progress::FINISHED)
            co_return finishAttempt(*attempt, *chunk);
        const bool lost = chunk->progress == wire::Progress::ABSENT
            || chunk->progress == wire::Progress::TOMBSTONE;
        if (lost || expired) {
            countUsage(*attempt, false, {});
            m_lastReason = lost ? "the agent no longer knows the request" : "deadline passed";
            co_return AttemptResult::Unknown;
        }
    }
}

RequestSession::AttemptResult RequestSession::finishAttempt(Attempt &attempt,
                                                            const wire::ChunkMessage &chunk)
{
    const bool complete = chunk.outcome == core::Outcome::Whole;
    countUsage(attempt, complete, chunk.usage);
    m_lastReason = chunk.message;
    m_retryAfter = std::max(m_retryAfter, chunk.retryAfter);
    switch (chunk.outcome) {
    case core::Outcome::Whole: {
        CompletedAnswer answer;
        answer.usage = m_usage;
        answer.status = chunk.status == 0 ? 200 : chunk.status;
        answer.contentType = chunk.contentType;
        answer.body = std::move(m_serviceBody);
        succeed(std::move(answer));
        return AttemptResult::Complete;
    }
    case core::Outcome::NotRun:
        return AttemptResult::NotRun;
    case core::Outcome::Failed:
        m_serviceBody.clear();
        return AttemptResult::EndpointFailed;
    case core::Outcome::Unknown:
        return AttemptResult::Unknown;
    }
    return AttemptResult::Unknown;
}

void RequestSession::cancelAttempt(const std::shared_ptr<Attempt> &attempt, bool onlyQueued)
{
    if (!attempt->connection)
        return;
    // Running work that is not idempotent is left to end: its side effects cannot be undone.
    const bool leaveRunning = onlyQueued || !m_request.work.idempotent;
    auto request = attempt->connection->rpc->agent.cancelRequest();
    request.setRequestId(m_request.work.requestId.c_str());
    request.setOnlyQueued(leaveRunning);
    wire::coroutineTasks().add(request.send().ignoreResult().catch_([](kj::Exception &&) {}));
}

// Follows the same rule as EndpointGate::countUsage, so that both counts agree: the prompt is
// charged with the first output token of a request.
void RequestSession::countUsage(Attempt &attempt, bool complete, const core::Usage &usage)
{
    if (std::exchange(attempt.usageCounted, true))
        return;
    state::UsageFigures figures;
    figures.requests = complete ? 1 : 0;
    figures.usage.outputTokens = m_outputTokens - attempt.outputTokensBefore;
    if (figures.usage.outputTokens > 0 && attempt.outputTokensBefore == 0) {
        figures.usage.promptTokens = core::estimatedTokenCount(m_request.work.prompt);
        figures.usage.cachedTokens = usage.cachedTokens;
    }
    m_usage.promptTokens += figures.usage.promptTokens;
    m_usage.cachedTokens += figures.usage.cachedTokens;
    m_usage.outputTokens += figures.usage.outputTokens;
    m_services.usageLedger.count(m_request.work.usageWindow, attempt.incarnation,
                                 m_request.work.team, figures);
}

bool RequestSession::mayRetry(AttemptResult result)
{
    const bool safe = result == AttemptResult::NotRun || m_request.work.idempotent;
    return safe && !m_callerDisconnected && !m_keyWithdrawn && m_attemptCount < MaxAttempts
        && timeLeft().count() > 0 && m_services.retryBudget.trySpend(m_request.work.team);
}

void RequestSession::failAfterAttempt(AttemptResult result)
{
    if (m_keyWithdrawn && result == AttemptResult::NotRun) {
        fail(core::Outcome::NotRun, 401, "key-withdrawn", "the key has been withdrawn");
    } else if (result == AttemptResult::NotRun) {
        fail(core::Outcome::NotRun, HttpStatusNotRun, "overloaded", "not taken: " + m_lastReason,
             std::max(m_retryAfter, core::Milliseconds(100)));
    } else if (result == AttemptResult::EndpointFailed) {
        fail(core::Outcome::Failed, HttpStatusFailed, "endpoint-failed", m_lastReason,
             DefaultRetryAfter);
    } else if (m_request.work.idempotent) {
        fail(core::Outcome::Failed, HttpStatusUnknown, "endpoint-lost", m_lastReason,
             DefaultRetryAfter);
    } else {
        fail(core::Outcome::Unknown, HttpStatusUnknown, "outcome-unknown",
             "the request may have run: " + m_lastReason);
    }
}

void RequestSession::fail(core::Outcome outcome, int status, std::string code, std::string message,
                          core::Milliseconds retryAfter)
{
    if (std::exchange(m_finished, true))
        return;
    // NotRun holds for the last attempt only; an earlier attempt may have run.
    if (outcome == core::Outcome::NotRun && m_mayHaveRun)
        outcome = m_request.work.idempotent ? core::Outcome::Failed : core::Outcome::Unknown;
    if (m_keyClaimed && outcome == core::Outcome::NotRun)
        m_services.claimStore.release(m_request.claimKey, m_request.work.requestId);
    core::Event("request.failed")
        .with("request", m_request.work.requestId)
        .with("team", m_request.work.team)
        .with("outcome", core::outcomeName(outcome))
        .with("code", code)
        .with("why", message);
    core::incrementCounter("jujube_requests_total",
                           core::concat("outcome=\"", core::outcomeName(outcome), "\""));
    m_sink(AnswerFailure{outcome, status, std::move(code), std::move(message), retryAfter});
}

void RequestSession::succeed(CompletedAnswer answer)
{
    if (std::exchange(m_finished, true))
        return;
    if (m_keyClaimed) {
        m_services.claimStore.recordResponse(
            m_request.claimKey, m_request.work.requestId,
            {answer.status, answer.contentType, answer.body, true});
    }
    core::Event("request.done")
        .with("request", m_request.work.requestId)
        .with("team", m_request.work.team)
        .with("attempts", m_attemptCount)
        .with("output_tokens", answer.usage.outputTokens);
    core::incrementCounter("jujube_requests_total", "outcome=\"whole\"");
    m_sink(std::move(answer));
}

core::Milliseconds RequestSession::timeLeft() const
{
    return std::chrono::floor<core::Milliseconds>(m_request.deadline - core::BootClock::now());
}

} // namespace jujube::entry
