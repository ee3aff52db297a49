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
// An agent answers a fetch at least this often, so silence beyond it means a dead connection.
constexpr core::Milliseconds FetchWait{500};
constexpr core::Milliseconds FetchSilence{1'500};
// How long an agent that cannot be reached is asked what became of a request.
constexpr core::Milliseconds ResolveLimit{4'000};
constexpr core::Milliseconds ResolveTimeout{1'000};
// How long a request waits for any endpoint to become usable before it is refused.
constexpr core::Milliseconds EndpointWait{2'000};
constexpr core::Milliseconds EndpointPoll{25};
constexpr core::Milliseconds ComeBackLater{1'000};
constexpr int StatusNotRun = 503;
constexpr int StatusUnknown = 504;
constexpr int StatusFailed = 502;

} // namespace

RequestSession::RequestSession(SessionServices services, CallerRequest request, AnswerSink sink)
    : m_services(services), m_request(std::move(request)), m_sink(std::move(sink))
{
    if (m_request.work.kind == core::WorkKind::Language)
        m_prefixBlocks = policy::prefixBlocks(m_request.work.prompt);
}

void RequestSession::callerLeft()
{
    m_callerGone = true;
    if (m_current)
        cancelAttempt(m_current, false);
}

void RequestSession::keyWithdrawn()
{
    m_withdrawn = true;
    if (m_current)
        cancelAttempt(m_current, true);
}

wire::Task<void> RequestSession::run()
{
    const auto self = shared_from_this();
    m_services.retries.noteFirstTry(m_request.work.team);
    if (!m_request.claimKey.empty() && !co_await claimFirst())
        co_return;
    while (!m_finished) {
        if (m_withdrawn) {
            fail(core::Outcome::NotRun, 401, "key-withdrawn", "the key has been withdrawn");
            break;
        }
        const std::shared_ptr<AgentLink> link = co_await waitForEndpoint();
        if (!link) {
            if (!m_finished) {
                const std::string reason = m_lastReason.empty() ? "" : ": " + m_lastReason;
                fail(core::Outcome::NotRun, StatusNotRun, "no-endpoint",
                     "no endpoint can take the request now" + reason,
                     std::max(m_retryAfter, ComeBackLater));
            }
            break;
        }
        const AttemptEnd end = co_await attempt(link);
        m_current = nullptr;
        if (end == AttemptEnd::Whole || end == AttemptEnd::Final)
            break;
        m_refusedBy.insert(link->record().vm);
        m_mayHaveRun = m_mayHaveRun || end != AttemptEnd::NotRun;
        if (!mayTryAgain(end)) {
            finishWith(end);
            break;
        }
        core::countMetric("jujube_retries_total");
        if (end != AttemptEnd::NotRun)
            co_await m_services.io.sleep(m_services.retries.backoff(m_attempts, m_services.random));
    }
}

wire::Task<bool> RequestSession::claimFirst()
{
    const auto claim = co_await m_services.claims.claim(
        m_request.claimKey, m_request.work.requestId, m_request.fingerprint);
    if (!claim.ok()) {
        fail(core::Outcome::NotRun, StatusNotRun, "claim-unavailable",
             "the Idempotency-Key could not be recorded", ComeBackLater);
        co_return false;
    }
    if (std::holds_alternative<state::ClaimGranted>(*claim)) {
        m_claimed = true;
        co_return true;
    }
    if (const auto *answered = std::get_if<state::ClaimAnswered>(&*claim)) {
        if (answered->bodyKept) {
            AnswerWhole answer;
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
        if (m_refusedBy.contains(link->record().vm))
            continue;
        links.push_back(link);
        views.push_back(link->view(now));
    }
    policy::RouteRequest route;
    route.kind = m_request.work.kind;
    route.promptTokens = core::tokenCount(m_request.work.prompt);
    route.outputTokens = m_request.work.maxTokens - m_tokens;
    route.prefixBlocks = m_prefixBlocks;
    route.firstTokenObjective = m_request.work.firstTokenObjective;
    route.timeLeft = timeLeft();
    const auto decision =
        m_services.router.choose(views, route, m_services.prefixes, m_services.random);
    if (!decision)
        return nullptr;
    const auto &link = links[decision->index];
    if (views[decision->index].probeDue)
        link->health().startProbe(now);
    const uint32_t uncached =
        route.promptTokens - std::min(decision->cachedTokens, route.promptTokens);
    link->noteSent(uncached, route.outputTokens);
    core::Event("request.routed")
        .with("request", m_request.work.requestId)
        .with("team", m_request.work.team)
        .with("vm", link->record().vm)
        .with("attempt", m_attempts + 1)
        .with("predicted_first_ms", decision->predictedFirstToken.count())
        .with("cached_tokens", decision->cachedTokens);
    return link;
}

wire::Task<std::shared_ptr<AgentLink>> RequestSession::waitForEndpoint()
{
    const core::TimePoint giveUp = core::BootClock::now() + std::min(EndpointWait, timeLeft());
    while (true) {
        if (m_callerGone) {
            fail(core::Outcome::NotRun, 499, "caller-left", "the caller left");
            co_return nullptr;
        }
        if (auto link = chooseEndpoint())
            co_return link;
        // Once all candidates have refused, waiting would only hold back the final answer. One that
        // is merely not reached at present may be back in a moment.
        if (allRefused() || m_withdrawn || core::BootClock::now() >= giveUp)
            co_return nullptr;
        co_await m_services.io.sleep(EndpointPoll);
    }
}

bool RequestSession::allRefused() const
{
    if (m_refusedBy.empty())
        return false;
    const auto links = m_services.fleet.candidates(m_request.work.kind, m_request.model);
    return std::all_of(links.begin(), links.end(), [this](const auto &link) {
        return m_refusedBy.contains(link->record().vm);
    });
}

wire::Task<RequestSession::AttemptEnd> RequestSession::attempt(std::shared_ptr<AgentLink> link)
{
    auto current = std::make_shared<Attempt>();
    current->link = link;
    current->connection = link->connection();
    current->tokensBefore = m_tokens;
    current->sentAt = core::BootClock::now();
    ++m_attempts;
    if (!current->connection)
        co_return AttemptEnd::NotRun;
    current->incarnation = current->connection->incarnation;
    m_current = current;

    const Submission submission = co_await submit(current);
    if (submission == Submission::NotRun)
        co_return AttemptEnd::NotRun;
    if (submission == Submission::Unknown) {
        link->health().noteFailure(core::BootClock::now());
        co_return AttemptEnd::Unknown;
    }
    if (m_callerGone)
        cancelAttempt(current, false);
    else if (m_withdrawn)
        cancelAttempt(current, true);
    const AttemptEnd end = co_await relay(current);
    if (end == AttemptEnd::Whole)
        link->health().noteSuccess();
    else if (end != AttemptEnd::Final && end != AttemptEnd::NotRun)
        link->health().noteFailure(core::BootClock::now());
    co_return end;
}

wire::Task<RequestSession::Submission> RequestSession::submit(std::shared_ptr<Attempt> attempt)
{
    try {
        auto request = attempt->connection->rpc->agent.submitRequest();
        wire::WorkMessage work = m_request.work;
        work.incarnation = attempt->incarnation;
        work.resumeTokens = m_tokens;
        work.timeLeft = timeLeft();
        wire::write(request.initRequest(), work);
        auto response = co_await m_services.io.within(SubmitTimeout,
                                                      kj::Promise<SubmitResponse>(request.send()));
        const wire::SubmitReply reply = wire::read(response.getResult());
        attempt->link->noteLoad(reply.load);
        if (reply.accepted) {
            m_services.prefixes.record(attempt->link->record().vm, m_prefixBlocks);
            co_return Submission::Accepted;
        }
        m_lastReason = reply.message;
        m_retryAfter = std::max(m_retryAfter, reply.retryAfter);
        co_return Submission::NotRun;
    } catch (const kj::Exception &ex) {
        m_lastReason = ex.getDescription().cStr();
    }
    attempt->link->suspect(attempt->connection);
    co_return co_await resolve(attempt);
}

// The submission got no answer: ask the same incarnation whether the request has started. Asking
// bars the id there if it has not, so "not run" stays true even if the submission is still on its
// way.
wire::Task<RequestSession::Submission> RequestSession::resolve(std::shared_ptr<Attempt> attempt)
{
    const core::TimePoint giveUp = core::BootClock::now() + ResolveLimit;
    while (core::BootClock::now() < giveUp) {
        const auto left = std::chrono::ceil<core::Milliseconds>(giveUp - core::BootClock::now());
        auto connection = co_await attempt->link->freshConnection(attempt->connection, left);
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
            auto response = co_await m_services.io.within(
                ResolveTimeout, kj::Promise<ResolveResponse>(request.send()));
            progress = response.getProgress();
        } catch (const kj::Exception &ex) {
            lost = true;
            m_lastReason = ex.getDescription().cStr();
        }
        if (lost) {
            attempt->link->suspect(connection);
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

wire::Task<RequestSession::AttemptEnd> RequestSession::relay(std::shared_ptr<Attempt> attempt)
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
            request.setWaitMs(static_cast<uint32_t>(FetchWait.count()));
            auto response = co_await m_services.io.within(
                FetchSilence, kj::Promise<FetchResponse>(request.send()));
            chunk = wire::read(response.getChunk());
        } catch (const kj::Exception &ex) {
            m_lastReason = ex.getDescription().cStr();
        }
        if (!chunk) {
            // Read on from the same offset over a new connection to the same incarnation.
            attempt->link->suspect(attempt->connection);
            auto connection =
                co_await attempt->link->freshConnection(attempt->connection, ResolveLimit);
            if (!connection || connection->incarnation != attempt->incarnation) {
                countUsage(*attempt, false, {});
                m_lastReason = "the agent that ran the request is gone";
                co_return AttemptEnd::Unknown;
            }
            attempt->connection = connection;
            core::Event("request.reattached")
                .with("request", m_request.work.requestId)
                .with("vm", attempt->link->record().vm)
                .with("offset", attempt->offset);
            continue;
        }
        attempt->link->noteLoad(chunk->load);
        if (!chunk->data.empty()) {
            attempt->offset = chunk->nextOffset;
            m_tokens = std::max(m_tokens, chunk->tokens);
            if (m_request.work.kind == core::WorkKind::Language)
                m_sink(AnswerPiece{chunk->data});
            else
                m_body += chunk->data;
        }
        if (chunk->progress == wire::Progress::FINISHED)
            co_return concluded(*attempt, *chunk);
        const bool lost = chunk->progress == wire::Progress::ABSENT
            || chunk->progress == wire::Progress::TOMBSTONE;
        if (lost || expired) {
            countUsage(*attempt, false, {});
            m_lastReason = lost ? "the agent no longer knows the request" : "deadline passed";
            co_return AttemptEnd::Unknown;
        }
    }
}

RequestSession::AttemptEnd RequestSession::concluded(Attempt &attempt,
                                                     const wire::ChunkMessage &chunk)
{
    const bool whole = chunk.outcome == core::Outcome::Whole;
    countUsage(attempt, whole, chunk.usage);
    m_lastReason = chunk.message;
    m_retryAfter = std::max(m_retryAfter, chunk.retryAfter);
    switch (chunk.outcome) {
    case core::Outcome::Whole: {
        AnswerWhole answer;
        answer.usage = m_usage;
        answer.status = chunk.status == 0 ? 200 : chunk.status;
        answer.contentType = chunk.contentType;
        answer.body = std::move(m_body);
        succeed(std::move(answer));
        return AttemptEnd::Whole;
    }
    case core::Outcome::NotRun:
        return AttemptEnd::NotRun;
    case core::Outcome::Failed:
        m_body.clear();
        return AttemptEnd::Broken;
    case core::Outcome::Unknown:
        return AttemptEnd::Unknown;
    }
    return AttemptEnd::Unknown;
}

void RequestSession::cancelAttempt(const std::shared_ptr<Attempt> &attempt, bool onlyQueued)
{
    if (!attempt->connection)
        return;
    // Running work that is not idempotent is left to end: its effect cannot be taken back.
    const bool sparesRunning = onlyQueued || !m_request.work.idempotent;
    auto request = attempt->connection->rpc->agent.cancelRequest();
    request.setRequestId(m_request.work.requestId.c_str());
    request.setOnlyQueued(sparesRunning);
    wire::coroutineTasks().add(request.send().ignoreResult().catch_([](kj::Exception &&) {}));
}

// Mirrors the agent's rule: the prompt is charged with the first output token of a request.
void RequestSession::countUsage(Attempt &attempt, bool whole, const core::Usage &usage)
{
    if (std::exchange(attempt.counted, true))
        return;
    state::UsageFigures figures;
    figures.requests = whole ? 1 : 0;
    figures.usage.outputTokens = m_tokens - attempt.tokensBefore;
    if (figures.usage.outputTokens > 0 && attempt.tokensBefore == 0) {
        figures.usage.promptTokens = core::tokenCount(m_request.work.prompt);
        figures.usage.cachedTokens = usage.cachedTokens;
    }
    m_usage.promptTokens += figures.usage.promptTokens;
    m_usage.cachedTokens += figures.usage.cachedTokens;
    m_usage.outputTokens += figures.usage.outputTokens;
    m_services.ledger.count(m_request.work.window, attempt.incarnation, m_request.work.team,
                            figures);
}

bool RequestSession::mayTryAgain(AttemptEnd end)
{
    const bool safe = end == AttemptEnd::NotRun || m_request.work.idempotent;
    return safe && !m_callerGone && !m_withdrawn && m_attempts < MaxAttempts
        && timeLeft().count() > 0 && m_services.retries.trySpend(m_request.work.team);
}

void RequestSession::finishWith(AttemptEnd end)
{
    if (m_withdrawn && end == AttemptEnd::NotRun) {
        fail(core::Outcome::NotRun, 401, "key-withdrawn", "the key has been withdrawn");
    } else if (end == AttemptEnd::NotRun) {
        fail(core::Outcome::NotRun, StatusNotRun, "overloaded", "not taken: " + m_lastReason,
             std::max(m_retryAfter, core::Milliseconds(100)));
    } else if (end == AttemptEnd::Broken) {
        fail(core::Outcome::Failed, StatusFailed, "endpoint-failed", m_lastReason, ComeBackLater);
    } else if (m_request.work.idempotent) {
        fail(core::Outcome::Failed, StatusUnknown, "endpoint-lost", m_lastReason, ComeBackLater);
    } else {
        fail(core::Outcome::Unknown, StatusUnknown, "outcome-unknown",
             "the request may have run: " + m_lastReason);
    }
}

void RequestSession::fail(core::Outcome outcome, int status, std::string code, std::string message,
                          core::Milliseconds retryAfter)
{
    if (std::exchange(m_finished, true))
        return;
    // A later attempt that did not run says nothing about an earlier one that did.
    if (outcome == core::Outcome::NotRun && m_mayHaveRun)
        outcome = m_request.work.idempotent ? core::Outcome::Failed : core::Outcome::Unknown;
    if (m_claimed && outcome == core::Outcome::NotRun)
        m_services.claims.release(m_request.claimKey, m_request.work.requestId);
    core::Event("request.failed")
        .with("request", m_request.work.requestId)
        .with("team", m_request.work.team)
        .with("outcome", core::outcomeName(outcome))
        .with("code", code)
        .with("why", message);
    core::countMetric("jujube_requests_total",
                      core::concat("outcome=\"", core::outcomeName(outcome), "\""));
    m_sink(AnswerFailure{outcome, status, std::move(code), std::move(message), retryAfter});
}

void RequestSession::succeed(AnswerWhole answer)
{
    if (std::exchange(m_finished, true))
        return;
    if (m_claimed) {
        m_services.claims.settle(m_request.claimKey, m_request.work.requestId,
                                 {answer.status, answer.contentType, answer.body, true});
    }
    core::Event("request.done")
        .with("request", m_request.work.requestId)
        .with("team", m_request.work.team)
        .with("attempts", m_attempts)
        .with("output_tokens", answer.usage.outputTokens);
    core::countMetric("jujube_requests_total", "outcome=\"whole\"");
    m_sink(std::move(answer));
}

core::Milliseconds RequestSession::timeLeft() const
{
    return std::chrono::floor<core::Milliseconds>(m_request.deadline - core::BootClock::now());
}

} // namespace jujube::entry
