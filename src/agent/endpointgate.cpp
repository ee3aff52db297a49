#include "agent/endpointgate.h"

#include "core/eventlog.h"
#include "core/metrics.h"
#include "core/text.h"
#include "policy/prefixindex.h"

#include <algorithm>

namespace jujube::agent {

namespace {

constexpr core::Milliseconds SweepInterval{50};
// Longest chunk of a service's answer. Chunks of language answers are unlimited, because the token
// count in the chunk has to match its bytes.
constexpr size_t MaxServiceChunkBytes = 1UL << 20U;
std::string teamLabel(const std::string &team)
{
    return core::concat("team=\"", team, "\"");
}

policy::WorkDescription makeWorkDescription(const wire::WorkMessage &message)
{
    policy::WorkDescription description;
    description.id = message.requestId;
    description.team = message.team;
    description.kind = message.kind;
    description.weight = message.weight;
    description.priority = message.priority;
    description.promptTokens = core::estimatedTokenCount(message.prompt);
    description.outputTokens = message.maxTokens - message.resumeTokens;
    description.prefixBlocks = policy::prefixBlocks(message.prompt);
    description.timeLeft = message.timeLeft;
    description.firstTokenObjective = message.firstTokenObjective;
    return description;
}

core::Milliseconds durationBetween(core::TimePoint from, core::TimePoint to)
{
    return std::chrono::duration_cast<core::Milliseconds>(to - from);
}

} // namespace

// A request from its submission until removeExpired() removes it.
struct EndpointGate::Work
{
    wire::WorkMessage message;
    wire::Progress progress = wire::Progress::QUEUED;
    core::Outcome outcome = core::Outcome::Unknown;
    std::string outcomeReason;
    core::Milliseconds retryAfter{};
    core::TimePoint acceptedAt{};
    core::TimePoint deadline{};
    core::TimePoint startedAt{};
    core::TimePoint finishedAt{};
    uint32_t producedTokens = 0; ///< Output tokens of this attempt.
    core::Usage usage;
    uint32_t status = 0;
    std::string contentType;
    AnswerBuffer answer;
    bool fetchedToEnd = false;
    bool cancelled = false;
    std::vector<kj::Own<kj::PromiseFulfiller<void>>> waiters;
};

EndpointGate::EndpointGate(wire::IoContext &io, EngineClient &engine, state::UsageLedger &ledger,
                           GateSettings settings, uint64_t incarnation)
    : m_io(io),
      m_engine(engine),
      m_usageLedger(ledger),
      m_settings(settings),
      m_incarnation(incarnation),
      m_dispatcher(policy::DispatcherSettings{})
{
}

void EndpointGate::start()
{
    wire::coroutineTasks().add(sweepLoop());
}

wire::SubmitReply EndpointGate::submit(const wire::WorkMessage &message)
{
    wire::SubmitReply reply;
    reply.load = load();
    if (message.agentIncarnation != m_incarnation) {
        reply.incarnationMatches = false;
        reply.message = "meant for another incarnation of this agent";
        return reply;
    }
    if (m_tombstones.contains(message.requestId)) {
        reply.message = "declared not run before it arrived";
        return reply;
    }
    if (find(message.requestId)) {
        // A repeated submission joins the request with the same id.
        reply.accepted = true;
        return reply;
    }
    if (m_admissionState != AdmissionState::Open || !m_engineUp
        || m_workById.size() >= m_settings.maxKnownRequests) {
        reply.message = m_engineUp ? "the endpoint takes no new work" : "the endpoint is down";
        reply.retryAfter = core::Milliseconds(500);
        return reply;
    }

    const core::TimePoint now = core::BootClock::now();
    const policy::Admission admission = m_dispatcher.offer(makeWorkDescription(message), now);
    if (!admission.accepted) {
        core::incrementCounter("jujube_refused_total", teamLabel(message.team));
        core::Event("request.refused")
            .with("request", message.requestId)
            .with("team", message.team)
            .with("expected_wait_ms", admission.expectedWait.count());
        reply.message = "it would not start within its deadline";
        reply.retryAfter = admission.retryAfter;
        return reply;
    }
    auto work = std::make_shared<Work>();
    work->message = message;
    work->acceptedAt = now;
    work->deadline = now + message.timeLeft;
    m_workById[message.requestId] = work;
    reply.accepted = true;
    startQueuedWork();
    reply.load = load();
    return reply;
}

wire::Task<wire::ChunkMessage> EndpointGate::fetch(std::string requestId, uint64_t offset,
                                                   core::Milliseconds wait)
{
    const auto it = m_workById.find(requestId);
    if (it == m_workById.end()) {
        wire::ChunkMessage chunk;
        chunk.progress =
            m_tombstones.contains(requestId) ? wire::Progress::TOMBSTONE : wire::Progress::ABSENT;
        chunk.load = load();
        co_return chunk;
    }
    const std::shared_ptr<Work> work = it->second;
    work->answer.acknowledge(offset);
    const bool ready = work->answer.end() > offset || work->progress == wire::Progress::FINISHED;
    if (!ready) {
        auto pair = kj::newPromiseAndFulfiller<void>();
        work->waiters.push_back(kj::mv(pair.fulfiller));
        co_await pair.promise.exclusiveJoin(m_io.sleep(wait));
    }
    co_return makeChunk(*work, offset);
}

wire::Progress EndpointGate::resolve(const std::string &requestId)
{
    if (const Work *work = find(requestId))
        return work->progress;
    const auto [it, isNew] =
        m_tombstones.try_emplace(requestId, Tombstone{core::BootClock::now(), false});
    return it->second.ran ? wire::Progress::FINISHED : wire::Progress::TOMBSTONE;
}

bool EndpointGate::cancel(const std::string &requestId, bool onlyQueued)
{
    Work *work = find(requestId);
    if (!work || work->progress == wire::Progress::FINISHED)
        return false;
    if (work->progress == wire::Progress::QUEUED) {
        m_dispatcher.cancelQueued(requestId);
        finish(*work, core::Outcome::NotRun, "cancelled before it started");
        return true;
    }
    if (onlyQueued)
        return false;
    work->cancelled = true;
    if (m_settings.kind == core::WorkKind::Language)
        wire::coroutineTasks().add(m_engine.cancel(requestId).promise().ignoreResult());
    return true;
}

core::LoadReport EndpointGate::load() const
{
    core::LoadReport load;
    load.incarnation = m_incarnation;
    load.slots = slots();
    m_dispatcher.fillReport(load, core::BootClock::now());
    load.freeKvPieces = m_engineState.freeKvPieces;
    load.role = m_engineState.role;
    load.ready = m_engineUp && m_admissionState == AdmissionState::Open;
    load.leaving = m_admissionState == AdmissionState::Draining
        || m_admissionState == AdmissionState::Stopping;
    load.appliedTerm = m_appliedOrder.term;
    load.appliedSequence = m_appliedOrder.sequence;
    load.freshnessToken = m_freshnessToken;
    return load;
}

void EndpointGate::setAdmissionState(AdmissionState admissionState)
{
    // Stopping is final: the plan may still order an active endpoint during the shutdown.
    if (m_admissionState == AdmissionState::Stopping)
        return;
    m_admissionState = admissionState;
    startQueuedWork();
}

bool EndpointGate::idle() const
{
    return m_dispatcher.running() == 0 && m_dispatcher.queueEmpty();
}

size_t EndpointGate::unfetchedAnswerCount() const
{
    return static_cast<size_t>(
        std::count_if(m_workById.begin(), m_workById.end(), [](const auto &it) {
            return it.second->progress == wire::Progress::FINISHED && !it.second->fetchedToEnd
                && !it.second->cancelled;
        }));
}

void EndpointGate::setEngineState(const EngineState &state)
{
    if (state.role != m_engineState.role || (state.ready && !m_engineUp))
        m_dispatcher.engineChanged();
    m_engineState = state;
    m_engineUp = state.ready;
    startQueuedWork();
}

void EndpointGate::setEngineDown()
{
    m_engineUp = false;
}

void EndpointGate::updateFreshnessToken(const core::FreshnessToken &token)
{
    if (token.confirmedAt > m_freshnessToken.confirmedAt)
        m_freshnessToken = token;
}

EndpointGate::Work *EndpointGate::find(const std::string &requestId)
{
    const auto it = m_workById.find(requestId);
    return it == m_workById.end() ? nullptr : it->second.get();
}

uint32_t EndpointGate::slots() const
{
    return m_settings.kind == core::WorkKind::Service ? m_settings.serviceSlots
                                                      : std::max(m_engineState.slots, 1U);
}

void EndpointGate::startQueuedWork()
{
    // Does not depend on m_admissionState: work that was accepted earlier runs before a planned
    // change.
    while (m_engineUp) {
        const auto next = m_dispatcher.startNext(core::BootClock::now(), slots());
        if (!next)
            return;
        const std::shared_ptr<Work> work = m_workById.at(*next);
        work->progress = wire::Progress::STARTED;
        work->startedAt = core::BootClock::now();
        wire::coroutineTasks().add(run(work));
    }
}

wire::Task<void> EndpointGate::run(std::shared_ptr<Work> work)
{
    work->message.timeLeft =
        std::max(core::Milliseconds(1), durationBetween(core::BootClock::now(), work->deadline));
    if (m_settings.kind == core::WorkKind::Service)
        co_await runService(work);
    else
        co_await runLanguage(work);
    m_dispatcher.noteEnd(work->message.requestId, work->outcome == core::Outcome::Whole,
                         work->finishedAt);
    startQueuedWork();
}

wire::Task<void> EndpointGate::runLanguage(std::shared_ptr<Work> work)
{
    const auto result = co_await m_engine.generate(
        work->message, [this, work](const GeneratedPiece &piece) { appendPiece(*work, piece); });
    if (result.ok() && result->complete) {
        work->usage.cachedTokens = result->usage.cachedTokens;
        finish(*work, core::Outcome::Whole, {});
        co_return;
    }
    if (work->cancelled) {
        finish(*work, core::Outcome::Failed, "cancelled by the caller");
        co_return;
    }
    if (!result.ok() && wire::sendStateOf(result.status()) == wire::SendState::NotSent) {
        setEngineDown();
        finish(*work, core::Outcome::NotRun, std::string(result.status().message()));
        co_return;
    }
    const std::string why =
        result.ok() ? "the engine ended the answer early" : std::string(result.status().message());
    // The engine may still be working on the request although its connection failed.
    co_await m_engine.cancel(work->message.requestId);
    finish(*work, core::Outcome::Failed, why);
}

wire::Task<void> EndpointGate::runService(std::shared_ptr<Work> work)
{
    const auto response = co_await m_engine.callService(work->message);
    if (response.ok()) {
        work->status = response->status;
        work->contentType = response->contentType;
        work->answer.append(response->body);
        finish(*work, core::Outcome::Whole, {});
        co_return;
    }
    const std::string why(response.status().message());
    if (wire::sendStateOf(response.status()) == wire::SendState::NotSent)
        finish(*work, core::Outcome::NotRun, why);
    else if (work->message.idempotent)
        finish(*work, core::Outcome::Failed, why);
    else
        finish(*work, core::Outcome::Unknown, why);
}

void EndpointGate::appendPiece(Work &work, const GeneratedPiece &piece)
{
    const bool first = work.producedTokens == 0;
    work.producedTokens += piece.tokens;
    m_dispatcher.noteTokens(work.message.requestId, piece.tokens, core::BootClock::now());
    work.answer.append(piece.text);
    wakeFetches(work);
    // The first token ends the prefill, which makes room for the next one.
    if (first)
        startQueuedWork();
}

void EndpointGate::finish(Work &work, core::Outcome outcome, std::string message)
{
    const bool wasQueued = work.progress == wire::Progress::QUEUED;
    work.progress = wire::Progress::FINISHED;
    work.outcome = outcome;
    work.outcomeReason = std::move(message);
    work.finishedAt = core::BootClock::now();
    if (outcome == core::Outcome::NotRun)
        work.retryAfter = core::Milliseconds(200);
    if (!wasQueued)
        countUsage(work);
    const std::string labels = core::concat("outcome=\"", core::outcomeName(outcome), "\"");
    core::incrementCounter("jujube_agent_requests_total", labels);
    core::recordDuration("jujube_agent_run_ms", labels, work.finishedAt - work.acceptedAt);
    core::Event("work.finished")
        .with("request", work.message.requestId)
        .with("team", work.message.team)
        .with("outcome", core::outcomeName(outcome))
        .with("tokens", work.producedTokens)
        .with("why", work.outcomeReason);
    wakeFetches(work);
}

void EndpointGate::countUsage(const Work &work)
{
    state::UsageFigures figures;
    figures.requests = work.outcome == core::Outcome::Whole ? 1 : 0;
    figures.usage = work.usage;
    figures.usage.outputTokens = work.producedTokens;
    // The prompt is charged with the first output token, but not again for a resumed attempt.
    if (work.producedTokens > 0 && work.message.resumeTokens == 0)
        figures.usage.promptTokens = core::estimatedTokenCount(work.message.prompt);
    else
        figures.usage.cachedTokens = 0;
    m_usageLedger.count(work.message.usageWindow, work.message.entryIncarnation, work.message.team,
                        figures);
}

void EndpointGate::wakeFetches(Work &work)
{
    for (auto &waiter : work.waiters)
        waiter->fulfill();
    work.waiters.clear();
}

wire::ChunkMessage EndpointGate::makeChunk(Work &work, uint64_t offset) const
{
    wire::ChunkMessage chunk;
    chunk.data = work.answer.read(offset,
                                  m_settings.kind == core::WorkKind::Service ? MaxServiceChunkBytes
                                                                             : std::string::npos);
    chunk.nextOffset = offset + chunk.data.size();
    chunk.tokens = work.message.resumeTokens + work.producedTokens;
    chunk.status = work.status;
    chunk.contentType = work.contentType;
    chunk.load = load();
    const bool all = chunk.nextOffset >= work.answer.end();
    if (work.progress == wire::Progress::FINISHED && all) {
        work.fetchedToEnd = true;
        chunk.progress = wire::Progress::FINISHED;
        chunk.outcome = work.outcome;
        chunk.message = work.outcomeReason;
        chunk.retryAfter = work.retryAfter;
        chunk.usage = work.usage;
        return chunk;
    }
    chunk.progress =
        work.progress == wire::Progress::QUEUED ? wire::Progress::QUEUED : wire::Progress::STARTED;
    return chunk;
}

wire::Task<void> EndpointGate::sweepLoop()
{
    while (true) {
        co_await m_io.sleep(SweepInterval);
        const core::TimePoint now = core::BootClock::now();
        for (const std::string &id : m_dispatcher.takeExpired(now)) {
            if (Work *work = find(id))
                finish(*work, core::Outcome::NotRun, "it did not start within its deadline");
        }
        removeExpired(now);
    }
}

void EndpointGate::removeExpired(core::TimePoint now)
{
    for (auto it = m_workById.begin(); it != m_workById.end();) {
        const Work &work = *it->second;
        const bool old = work.progress == wire::Progress::FINISHED
            && now - work.finishedAt > m_settings.finishedRetention;
        if (!old) {
            ++it;
            continue;
        }
        // The id stays barred, so that a long-delayed duplicate of the submission cannot run it
        // again.
        m_tombstones[it->first] = {now, work.outcome != core::Outcome::NotRun};
        it = m_workById.erase(it);
    }
    std::erase_if(m_tombstones, [this, now](const auto &it) {
        return now - it.second.createdAt > m_settings.tombstoneRetention;
    });
}

} // namespace jujube::agent
