#include "agent/agentprocess.h"

#include "core/eventlog.h"
#include "core/keyhash.h"
#include "core/text.h"
#include "state/registry.h"
#include "wire/events.h"

namespace jujube::agent {

namespace {

constexpr core::Milliseconds ConnectionIdleTimeout{8'000};
constexpr core::Milliseconds RetryDelay{500};
constexpr core::Milliseconds DrainPollInterval{50};
// Shortest time between refusing work and closing the connections, so that each entry receives a
// load report that says the agent is leaving.
constexpr core::Milliseconds LeaveNoticePeriod{1'500};
constexpr core::Milliseconds FinalFlushTimeout{10'000};
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

// RPC interface that an entry receives after its login.
class AgentProcess::Session : public wire::schema::AgentSession::Server
{
public:
    Session(AgentProcess &process, std::function<void()> onMessage)
        : m_process(process), m_onMessage(std::move(onMessage))
    {
    }

    kj::Promise<void> submit(SubmitContext context) override
    {
        m_onMessage();
        const wire::WorkMessage work = wire::read(context.getParams().getRequest());
        wire::write(context.getResults().initResult(), m_process.m_gate.submit(work));
        return kj::READY_NOW;
    }

    kj::Promise<void> fetch(FetchContext context) override
    {
        m_onMessage();
        return fetchChunk(kj::mv(context));
    }

    wire::Task<void> fetchChunk(FetchContext context)
    {
        const auto params = context.getParams();
        const auto wait = std::min(core::Milliseconds(params.getWaitMs()), MaxFetchWait);
        const wire::ChunkMessage chunk =
            co_await m_process.m_gate.fetch(params.getRequestId().cStr(), params.getOffset(), wait);
        wire::write(context.getResults().initChunk(), chunk);
    }

    kj::Promise<void> resolve(ResolveContext context) override
    {
        m_onMessage();
        const std::string requestId = context.getParams().getRequestId().cStr();
        auto results = context.getResults();
        results.setProgress(m_process.m_gate.resolve(requestId));
        results.setIncarnation(m_process.m_incarnation);
        return kj::READY_NOW;
    }

    kj::Promise<void> cancel(CancelContext context) override
    {
        m_onMessage();
        const auto params = context.getParams();
        context.getResults().setCancelled(
            m_process.m_gate.cancel(params.getRequestId().cStr(), params.getOnlyQueued()));
        return kj::READY_NOW;
    }

    kj::Promise<void> ping(PingContext context) override
    {
        m_onMessage();
        const wire::PingMessage ping = wire::read(context.getParams().getPing());
        m_process.m_gate.updateFreshnessToken(ping.evidence);
        m_process.m_follower.hintPlanNumber({ping.planTerm, ping.planSequence});
        wire::write(context.getResults().initLoad(), m_process.m_gate.load());
        return kj::READY_NOW;
    }

    kj::Promise<void> events(EventsContext context) override
    {
        m_onMessage();
        wire::writeEvents(context.getParams().getAfter(), context.getResults());
        context.getResults().setProcess(core::concat("agent-", m_process.m_settings.vm).c_str());
        return kj::READY_NOW;
    }

private:
    AgentProcess &m_process;
    std::function<void()> m_onMessage;
};

AgentProcess::AgentProcess(wire::IoContext &io, AgentSettings settings)
    : m_io(io),
      m_settings(std::move(settings)),
      m_incarnation(core::randomIncarnation()),
      m_httpClient(io),
      m_kv(m_httpClient, m_settings.platformAddress, m_settings.platformTimeout),
      m_usageLedger(m_kv, m_settings.scope, state::UsageSide::Agent, m_incarnation),
      m_engine(m_httpClient, m_settings.endpointAddress),
      m_gate(io, m_engine, m_usageLedger, gateSettings(m_settings), m_incarnation),
      m_follower(io, m_kv, m_engine, m_gate, followerIdentity(m_settings, m_incarnation)),
      m_rpcServer(
          io, {core::concat("agent-", m_settings.vm), m_settings.fleetSecret},
          [this](std::function<void()> onMessage) {
              wire::RpcServer::Sessions sessions;
              sessions.agent = kj::heap<Session>(*this, std::move(onMessage));
              return sessions;
          },
          ConnectionIdleTimeout)
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
    const absl::Status listening = co_await m_rpcServer.listen(m_settings.rpcListen);
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
    wire::coroutineTasks().add(usageFlushLoop());
    co_await registerLoop();
}

wire::Task<void> AgentProcess::registerLoop()
{
    state::AgentRecord record;
    record.vm = m_settings.vm;
    record.address = m_settings.rpcAddress;
    record.domain = m_settings.failureDomain;
    record.kind = m_settings.kind;
    record.model = m_settings.model;
    record.incarnation = m_incarnation;
    while (!m_stopping) {
        // Replaces the record of an earlier incarnation, whose address this process now owns.
        const auto entry = co_await m_kv.update(
            state::agentKey(m_settings.vm),
            [text = record.serialize()](const state::KvEntry &) { return text; });
        if (entry.ok()) {
            m_ready = true;
            core::Event("agent.registered").with("vm", m_settings.vm);
            co_return;
        }
        co_await m_io.sleep(RetryDelay);
    }
}

wire::Task<void> AgentProcess::usageFlushLoop()
{
    while (true) {
        co_await m_io.sleep(m_settings.usageFlushInterval);
        const absl::Status status = co_await m_usageLedger.flush();
        if (!status.ok())
            core::Event("usage.flush.failed").with("why", status.message());
    }
}

wire::Task<void> AgentProcess::shutdown(std::function<void()> stopped)
{
    core::Event("agent.stopping").with("vm", m_settings.vm);
    m_ready = false;
    m_gate.setAdmissionState(EndpointGate::AdmissionState::Stopping);
    const core::TimePoint begun = core::BootClock::now();
    const core::TimePoint limit = begun + m_settings.stopTimeout;
    while (core::BootClock::now() < limit) {
        const bool noticeElapsed = core::BootClock::now() - begun > LeaveNoticePeriod;
        if (noticeElapsed && m_gate.idle() && m_gate.unfetchedAnswerCount() == 0)
            break;
        co_await m_io.sleep(DrainPollInterval);
    }
    m_follower.stop();
    m_rpcServer.stopListening();
    const core::TimePoint flushLimit = core::BootClock::now() + FinalFlushTimeout;
    while (!m_usageLedger.allWritten() && core::BootClock::now() < flushLimit) {
        const absl::Status status = co_await m_usageLedger.flush();
        if (!status.ok())
            co_await m_io.sleep(RetryDelay);
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
