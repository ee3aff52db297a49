#include "agent/endpointgate.h"

#include "core/eventlog.h"
#include "core/metrics.h"
#include "core/text.h"
#include "policy/prefixindex.h"

#include <algorithm>

namespace jujube::agent {

namespace {

constexpr core::Milliseconds SweepInterval{50};
// Bound on a piece of a service's answer. Pieces of language answers are not cut: the token count
// sent along has to match their bytes.
constexpr size_t MaxServiceChunkBytes = 1UL << 20U;
std::string teamLabel(const std::string &team)
{
    return core::concat("team=\"", team, "\"");
}

policy::WorkDescription shapeOf(const wire::WorkMessage &message)
{
    policy::WorkDescription shape;
    shape.id = message.requestId;
    shape.team = message.team;
    shape.kind = message.kind;
    shape.weight = message.weight;
    shape.priority = message.priority;
    shape.promptTokens = core::tokenCount(message.prompt);
    shape.outputTokens = message.maxTokens - message.resumeTokens;
    shape.prefixBlocks = policy::prefixBlocks(message.prompt);
    shape.timeLeft = message.timeLeft;
    shape.firstTokenObjective = message.firstTokenObjective;
    return shape;
}

core::Milliseconds between(core::TimePoint from, core::TimePoint to)
{
    return std::chrono::duration_cast<core::Milliseconds>(to - from);
}

} // namespace

// One request known to this agent, from its submission until it is forgotten.
struct EndpointGate::Work
{
    wire::WorkMessage message;
    wire::Progress progress = wire::Progress::QUEUED;
    core::Outcome outcome = core::Outcome::Unknown;
    std::string text; ///< Explanation of the outcome.
    core::Milliseconds retryAfter{};
    core::TimePoint acceptedAt{};
    core::TimePoint deadline{};
    core::TimePoint startedAt{};
    core::TimePoint finishedAt{};
    uint32_t produced = 0; ///< Output tokens of this attempt.
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
      m_ledger(ledger),
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
    if (message.incarnation != m_incarnation) {
        reply.incarnationMatches = false;
        reply.message = "meant for another incarnation of this agent";
        return reply;
    }
    if (m_barred.contains(message.requestId)) {
        reply.message = "declared not run before it arrived";
        return reply;
    }
    if (find(message.requestId)) {
        // A repeated submission of the same id joins the request that is already here.
        reply.accepted = true;
        return reply;
    }
    if (m_closure != Closure::Open || !m_engineUp || m_works.size() >= m_settings.maxKnown) {
        reply.message = m_engineUp ? "the endpoint takes no new work" : "the endpoint is down";
        reply.retryAfter = core::Milliseconds(500);
        return reply;
    }

    const core::TimePoint now = core::BootClock::now();
    const policy::Admission admission = m_dispatcher.offer(shapeOf(message), now);
    if (!admission.accepted) {
        core::countMetric("jujube_refused_total", teamLabel(message.team));
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
    m_works[message.requestId] = work;
    reply.accepted = true;
    pump();
    reply.load = load();
    return reply;
}

wire::Task<wire::ChunkMessage> EndpointGate::fetch(std::string requestId, uint64_t offset,
                                                   core::Milliseconds wait)
{
    const auto it = m_works.find(requestId);
    if (it == m_works.end()) {
        wire::ChunkMessage chunk;
        chunk.progress =
            m_barred.contains(requestId) ? wire::Progress::TOMBSTONE : wire::Progress::ABSENT;
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
    co_return chunkOf(*work, offset);
}

wire::Progress EndpointGate::resolve(const std::string &requestId)
{
    if (const Work *work = find(requestId))
        return work->progress;
    const auto [it, isNew] =
        m_barred.try_emplace(requestId, BarredId{core::BootClock::now(), false});
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
    load.ready = m_engineUp && m_closure == Closure::Open;
    load.leaving = m_closure == Closure::Draining || m_closure == Closure::Stopping;
    load.appliedTerm = m_applied.term;
    load.appliedSequence = m_applied.sequence;
    load.evidence = m_evidence;
    return load;
}

void EndpointGate::setClosure(Closure closure)
{
    // A process that is stopping never opens again.
    if (m_closure == Closure::Stopping)
        return;
    m_closure = closure;
    pump();
}

bool EndpointGate::idle() const
{
    return m_dispatcher.running() == 0 && m_dispatcher.queueEmpty();
}

size_t EndpointGate::unfetched() const
{
    return static_cast<size_t>(std::count_if(m_works.begin(), m_works.end(), [](const auto &it) {
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
    pump();
}

void EndpointGate::setEngineLost()
{
    m_engineUp = false;
}

void EndpointGate::setEvidence(const core::Evidence &evidence)
{
    if (evidence.confirmedAt > m_evidence.confirmedAt)
        m_evidence = evidence;
}

EndpointGate::Work *EndpointGate::find(const std::string &requestId)
{
    const auto it = m_works.find(requestId);
    return it == m_works.end() ? nullptr : it->second.get();
}

uint32_t EndpointGate::slots() const
{
    return m_settings.kind == core::WorkKind::Service ? m_settings.serviceSlots
                                                      : std::max(m_engineState.slots, 1U);
}

void EndpointGate::pump()
{
    // Queued work was accepted before the gate closed, so a planned change still runs it.
    while (m_engineUp) {
        const auto next = m_dispatcher.startNext(core::BootClock::now(), slots());
        if (!next)
            return;
        const std::shared_ptr<Work> work = m_works.at(*next);
        work->progress = wire::Progress::STARTED;
        work->startedAt = core::BootClock::now();
        wire::coroutineTasks().add(run(work));
    }
}

wire::Task<void> EndpointGate::run(std::shared_ptr<Work> work)
{
    work->message.timeLeft =
        std::max(core::Milliseconds(1), between(core::BootClock::now(), work->deadline));
    if (m_settings.kind == core::WorkKind::Service)
        co_await runService(work);
    else
        co_await runLanguage(work);
    m_dispatcher.noteEnd(work->message.requestId, work->outcome == core::Outcome::Whole,
                         work->finishedAt);
    pump();
}

wire::Task<void> EndpointGate::runLanguage(std::shared_ptr<Work> work)
{
    const auto end = co_await m_engine.generate(
        work->message, [this, work](const GeneratedPiece &piece) { notePiece(*work, piece); });
    if (end.ok() && end->whole) {
        work->usage.cachedTokens = end->usage.cachedTokens;
        finish(*work, core::Outcome::Whole, {});
        co_return;
    }
    if (work->cancelled) {
        finish(*work, core::Outcome::Failed, "cancelled by the caller");
        co_return;
    }
    if (!end.ok() && wire::sendStateOf(end.status()) == wire::SendState::NotSent) {
        setEngineLost();
        finish(*work, core::Outcome::NotRun, std::string(end.status().message()));
        co_return;
    }
    const std::string why =
        end.ok() ? "the engine ended the answer early" : std::string(end.status().message());
    // The engine may still be busy with it behind a connection that went silent.
    co_await m_engine.cancel(work->message.requestId);
    finish(*work, core::Outcome::Failed, why);
}

wire::Task<void> EndpointGate::runService(std::shared_ptr<Work> work)
{
    const auto response = co_await m_engine.call(work->message);
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

void EndpointGate::notePiece(Work &work, const GeneratedPiece &piece)
{
    const bool first = work.produced == 0;
    work.produced += piece.tokens;
    m_dispatcher.noteTokens(work.message.requestId, piece.tokens, core::BootClock::now());
    work.answer.append(piece.text);
    wake(work);
    // A finished prefill makes room for the next one.
    if (first)
        pump();
}

void EndpointGate::finish(Work &work, core::Outcome outcome, std::string message)
{
    const bool wasQueued = work.progress == wire::Progress::QUEUED;
    work.progress = wire::Progress::FINISHED;
    work.outcome = outcome;
    work.text = std::move(message);
    work.finishedAt = core::BootClock::now();
    if (outcome == core::Outcome::NotRun)
        work.retryAfter = core::Milliseconds(200);
    if (!wasQueued)
        countUsage(work);
    const std::string labels = core::concat("outcome=\"", core::outcomeName(outcome), "\"");
    core::countMetric("jujube_agent_requests_total", labels);
    core::recordMetric("jujube_agent_run_ms", labels, work.finishedAt - work.acceptedAt);
    core::Event("work.finished")
        .with("request", work.message.requestId)
        .with("team", work.message.team)
        .with("outcome", core::outcomeName(outcome))
        .with("tokens", work.produced)
        .with("why", work.text);
    wake(work);
}

void EndpointGate::countUsage(const Work &work)
{
    state::UsageFigures figures;
    figures.requests = work.outcome == core::Outcome::Whole ? 1 : 0;
    figures.usage = work.usage;
    figures.usage.outputTokens = work.produced;
    // The prompt is charged with the first output token, and not again for a resumed attempt.
    if (work.produced > 0 && work.message.resumeTokens == 0)
        figures.usage.promptTokens = core::tokenCount(work.message.prompt);
    else
        figures.usage.cachedTokens = 0;
    m_ledger.count(work.message.window, work.message.entry, work.message.team, figures);
}

void EndpointGate::wake(Work &work)
{
    for (auto &waiter : work.waiters)
        waiter->fulfill();
    work.waiters.clear();
}

wire::ChunkMessage EndpointGate::chunkOf(Work &work, uint64_t offset) const
{
    wire::ChunkMessage chunk;
    chunk.data = work.answer.read(offset,
                                  m_settings.kind == core::WorkKind::Service ? MaxServiceChunkBytes
                                                                             : std::string::npos);
    chunk.nextOffset = offset + chunk.data.size();
    chunk.tokens = work.message.resumeTokens + work.produced;
    chunk.status = work.status;
    chunk.contentType = work.contentType;
    chunk.load = load();
    const bool all = chunk.nextOffset >= work.answer.end();
    if (work.progress == wire::Progress::FINISHED && all) {
        work.fetchedToEnd = true;
        chunk.progress = wire::Progress::FINISHED;
        chunk.outcome = work.outcome;
        chunk.message = work.text;
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
        dropOld(now);
    }
}

void EndpointGate::dropOld(core::TimePoint now)
{
    for (auto it = m_works.begin(); it != m_works.end();) {
        const Work &work = *it->second;
        const bool old = work.progress == wire::Progress::FINISHED
            && now - work.finishedAt > m_settings.keepFinished;
        if (!old) {
            ++it;
            continue;
        }
        // The id stays barred, so that a submission delayed for long cannot run it again.
        m_barred[it->first] = {now, work.outcome != core::Outcome::NotRun};
        it = m_works.erase(it);
    }
    std::erase_if(m_barred, [this, now](const auto &it) {
        return now - it.second.at > m_settings.keepTombstone;
    });
}

} // namespace jujube::agent
