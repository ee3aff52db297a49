#include "agent/agentprocess.h"

#include "core/eventlog.h"
#include "core/keyhash.h"
#include "core/text.h"
#include "state/registry.h"
#include "wire/events.h"

namespace jujube::agent {

namespace {

constexpr core::Milliseconds ConnectionSilence{8'000};
constexpr core::Milliseconds RegisterRetry{500};
constexpr core::Milliseconds DrainPoll{50};
// Entries learn from any reply that this agent is leaving; give each the time to hear it.
constexpr core::Milliseconds LeaveNotice{1'500};
constexpr core::Milliseconds FinalFlushLimit{10'000};
constexpr core::Milliseconds MaxFetchWait{5'000};

GateSettings gateSettings(const AgentSettings &settings)
{
    GateSettings gate;
    gate.kind = settings.kind;
    gate.serviceSlots = settings.serviceSlots;
    return gate;
}

FollowerIdentity followerIdentity(const AgentSettings &settings, uint64_t incarnation)
{
    return {settings.vm, settings.scope, incarnation, settings.kind == core::WorkKind::Language};
}

} // namespace

// The interface an entry holds after its login.
class AgentProcess::Session : public wire::schema::AgentSession::Server
{
public:
    Session(AgentProcess &process, std::function<void()> touch)
        : m_process(process), m_touch(std::move(touch))
    {
    }

    kj::Promise<void> submit(SubmitContext context) override
    {
        m_touch();
        const wire::WorkMessage work = wire::read(context.getParams().getRequest());
        wire::write(context.getResults().initResult(), m_process.m_gate.submit(work));
        return kj::READY_NOW;
    }

    kj::Promise<void> fetch(FetchContext context) override
    {
        m_touch();
        return fetchPiece(kj::mv(context));
    }

    wire::Task<void> fetchPiece(FetchContext context)
    {
        const auto params = context.getParams();
        const auto wait = std::min(core::Milliseconds(params.getWaitMs()), MaxFetchWait);
        const wire::ChunkMessage chunk =
            co_await m_process.m_gate.fetch(params.getRequestId().cStr(), params.getOffset(), wait);
        wire::write(context.getResults().initChunk(), chunk);
    }

    kj::Promise<void> resolve(ResolveContext context) override
    {
        m_touch();
        const std::string requestId = context.getParams().getRequestId().cStr();
        auto results = context.getResults();
        results.setProgress(m_process.m_gate.resolve(requestId));
        results.setIncarnation(m_process.m_incarnation);
        return kj::READY_NOW;
    }

    kj::Promise<void> cancel(CancelContext context) override
    {
        m_touch();
        const auto params = context.getParams();
        context.getResults().setCancelled(
            m_process.m_gate.cancel(params.getRequestId().cStr(), params.getOnlyQueued()));
        return kj::READY_NOW;
    }

    kj::Promise<void> ping(PingContext context) override
    {
        m_touch();
        const wire::PingMessage ping = wire::read(context.getParams().getPing());
        m_process.m_gate.setEvidence(ping.evidence);
        m_process.m_follower.hint({ping.planTerm, ping.planSequence});
        wire::write(context.getResults().initLoad(), m_process.m_gate.load());
        return kj::READY_NOW;
    }

    kj::Promise<void> events(EventsContext context) override
    {
        m_touch();
        wire::writeEvents(context.getParams().getAfter(), context.getResults());
        context.getResults().setProcess(core::concat("agent-", m_process.m_settings.vm).c_str());
        return kj::READY_NOW;
    }

private:
    AgentProcess &m_process;
    std::function<void()> m_touch;
};

AgentProcess::AgentProcess(wire::IoContext &io, AgentSettings settings)
    : m_io(io),
      m_settings(std::move(settings)),
      m_incarnation(core::randomIncarnation()),
      m_http(io),
      m_kv(m_http, m_settings.platform, m_settings.platformTimeout),
      m_ledger(m_kv, m_settings.scope, state::UsageSide::Agent, m_incarnation),
      m_engine(m_http, m_settings.endpoint),
      m_gate(io, m_engine, m_ledger, gateSettings(m_settings), m_incarnation),
      m_follower(io, m_kv, m_engine, m_gate, followerIdentity(m_settings, m_incarnation)),
      m_server(
          io, {core::concat("agent-", m_settings.vm), m_settings.fleetSecret},
          [this](std::function<void()> touch) {
              wire::RpcServer::Sessions sessions;
              sessions.agent = kj::heap<Session>(*this, std::move(touch));
              return sessions;
          },
          ConnectionSilence)
{
}

AgentProcess::~AgentProcess() = default;

void AgentProcess::start(std::function<void(absl::Status)> failed)
{
    wire::coroutineTasks().add(startup(std::move(failed)));
}

void AgentProcess::stop(std::function<void()> stopped)
{
    if (m_stopping)
        return;
    m_stopping = true;
    wire::coroutineTasks().add(shutdown(std::move(stopped)));
}

wire::Task<void> AgentProcess::startup(std::function<void(absl::Status)> failed)
{
    const absl::Status listening = co_await m_server.listen(m_settings.rpcListen);
    if (!listening.ok()) {
        failed(listening);
        co_return;
    }
    core::Event("agent.started")
        .with("vm", m_settings.vm)
        .with("incarnation", m_incarnation)
        .with("address", m_settings.rpcListen);
    m_gate.start();
    m_follower.start();
    wire::coroutineTasks().add(flushLoop());
    co_await registerLoop();
}

wire::Task<void> AgentProcess::registerLoop()
{
    state::AgentRecord record;
    record.vm = m_settings.vm;
    record.address = m_settings.rpcAddress;
    record.domain = m_settings.domain;
    record.kind = m_settings.kind;
    record.model = m_settings.model;
    record.incarnation = m_incarnation;
    while (!m_stopping) {
        // A record of an earlier incarnation is replaced: it had this address, which is ours now.
        const auto entry = co_await m_kv.update(
            state::agentKey(m_settings.vm),
            [text = record.serialize()](const state::KvEntry &) { return text; });
        if (entry.ok()) {
            m_ready = true;
            core::Event("agent.registered").with("vm", m_settings.vm);
            co_return;
        }
        co_await m_io.sleep(RegisterRetry);
    }
}

wire::Task<void> AgentProcess::flushLoop()
{
    while (true) {
        co_await m_io.sleep(m_settings.usageFlush);
        const absl::Status status = co_await m_ledger.flush();
        if (!status.ok())
            core::Event("usage.flush.failed").with("why", status.message());
    }
}

wire::Task<void> AgentProcess::shutdown(std::function<void()> stopped)
{
    core::Event("agent.stopping").with("vm", m_settings.vm);
    m_ready = false;
    m_gate.setClosure(EndpointGate::Closure::Stopping);
    const core::TimePoint begun = core::BootClock::now();
    const core::TimePoint limit = begun + m_settings.stopLimit;
    while (core::BootClock::now() < limit) {
        const bool noticed = core::BootClock::now() - begun > LeaveNotice;
        if (noticed && m_gate.idle() && m_gate.unfetched() == 0)
            break;
        co_await m_io.sleep(DrainPoll);
    }
    m_follower.stop();
    m_server.stopListening();
    const core::TimePoint flushLimit = core::BootClock::now() + FinalFlushLimit;
    while (!m_ledger.allWritten() && core::BootClock::now() < flushLimit) {
        const absl::Status status = co_await m_ledger.flush();
        if (!status.ok())
            co_await m_io.sleep(RegisterRetry);
    }
    const auto entry = co_await m_kv.get(state::agentKey(m_settings.vm));
    if (entry.ok()) {
        const auto record = state::AgentRecord::parse(entry->value);
        if (record.ok() && record->incarnation == m_incarnation)
            co_await m_kv.remove(entry->key, entry->revision);
    }
    core::Event("agent.stopped").with("vm", m_settings.vm);
    stopped();
}

} // namespace jujube::agent
