#include "agent/planfollower.h"

#include "core/eventlog.h"
#include "core/text.h"
#include "state/registry.h"

namespace jujube::agent {

namespace {

constexpr core::Milliseconds FollowInterval{200};
// The plan is read again without a hint this often, in case every hint was lost.
constexpr core::Milliseconds RereadInterval{30'000};
constexpr core::Milliseconds EngineInterval{250};
constexpr core::Milliseconds OrderLockTtl{6'000};
constexpr core::Milliseconds RolePollInterval{100};
constexpr core::Milliseconds IdlePollInterval{20};
constexpr core::Milliseconds RoleChangeTimeout{30'000};
// Engine polls lost in a row before the engine counts as down.
constexpr int LostPolls = 2;

std::string orderLockKey(const std::string &vm)
{
    return core::concat("orderlocks/", vm);
}

} // namespace

PlanFollower::PlanFollower(wire::IoContext &io, state::KvClient &kv, EngineClient &engine,
                           EndpointGate &gate, FollowerIdentity identity)
    : m_io(io), m_kv(kv), m_engine(engine), m_gate(gate), m_identity(std::move(identity))
{
}

void PlanFollower::start()
{
    wire::coroutineTasks().add(engineLoop());
    wire::coroutineTasks().add(followLoop());
}

void PlanFollower::hint(state::OrderNumber number)
{
    m_hinted = std::max(m_hinted, number);
}

wire::Task<void> PlanFollower::engineLoop()
{
    int lost = 0;
    while (!m_stopping) {
        if (m_identity.hasEngine) {
            const auto state = co_await m_engine.state();
            if (state.ok()) {
                lost = 0;
                m_engineState = *state;
                m_engineKnown = true;
                m_gate.setEngineState(*state);
            } else if (++lost >= LostPolls) {
                m_engineKnown = false;
                m_gate.setEngineLost();
            }
        } else if (co_await m_engine.serviceAlive()) {
            lost = 0;
            EngineState state;
            state.ready = true;
            m_gate.setEngineState(state);
        } else if (++lost >= LostPolls) {
            m_gate.setEngineLost();
        }
        co_await m_io.sleep(EngineInterval);
    }
}

wire::Task<void> PlanFollower::followLoop()
{
    while (!m_stopping) {
        const bool due = core::BootClock::now() - m_readAt > RereadInterval;
        if (due || m_hinted > m_read)
            co_await readPlan();
        if (m_hasWanted)
            co_await apply();
        co_await m_io.sleep(FollowInterval);
    }
}

wire::Task<void> PlanFollower::readPlan()
{
    const auto entry = co_await m_kv.get(state::planKey(m_identity.scope));
    if (!entry.ok())
        co_return;
    const auto plan = state::Plan::parse(entry->value);
    if (!plan.ok()) {
        core::Event("plan.unreadable").with("why", plan.status().message());
        co_return;
    }
    m_readAt = core::BootClock::now();
    if (plan->number() < m_read)
        co_return;
    m_read = plan->number();
    const auto it = plan->endpoints.find(m_identity.vm);
    if (it == plan->endpoints.end() || it->second.number < m_wanted.number)
        co_return;
    m_wanted = it->second;
    m_hasWanted = true;
}

wire::Task<void> PlanFollower::apply()
{
    const state::EndpointPlan wanted = m_wanted;
    if (wanted.intent != core::EngineIntent::Active) {
        if (m_gate.closure() != EndpointGate::Closure::Draining) {
            core::Event("endpoint.draining").with("vm", m_identity.vm);
            m_gate.setClosure(EndpointGate::Closure::Draining);
        }
        if (m_gate.idle() && m_applied < wanted.number) {
            m_applied = wanted.number;
            m_gate.setApplied(m_applied);
            core::Event("endpoint.drained")
                .with("vm", m_identity.vm)
                .with("intent", core::intentName(wanted.intent));
        }
        co_return;
    }
    // An engine that restarted is back in its initial role, so the role is compared each time.
    const bool roleDiffers =
        m_identity.hasEngine && m_engineKnown && m_engineState.role != wanted.role;
    if (m_identity.hasEngine && !m_engineKnown)
        co_return;
    if (roleDiffers && !co_await changeRole(wanted))
        co_return;
    m_gate.setClosure(EndpointGate::Closure::Open);
    if (m_applied < wanted.number) {
        m_applied = wanted.number;
        m_gate.setApplied(m_applied);
        core::Event("endpoint.active")
            .with("vm", m_identity.vm)
            .with("role", core::roleName(wanted.role))
            .with("term", m_applied.term)
            .with("sequence", m_applied.sequence);
    }
}

wire::Task<bool> PlanFollower::changeRole(state::EndpointPlan wanted)
{
    // Running work ends first: a role change interrupts the engine.
    m_gate.setClosure(EndpointGate::Closure::ChangingRole);
    co_await waitIdle();
    if (!m_engineState.ready)
        co_return false;

    state::LeaseHolder lock(m_io, m_kv, orderLockKey(m_identity.vm),
                            core::concat(m_identity.incarnation), OrderLockTtl);
    if (!co_await lock.tryAcquire())
        co_return false;
    absl::Status sent = absl::AbortedError("a newer plan or another agent is in charge");
    if (co_await stillInCharge(wanted)) {
        core::Event("engine.order.sent")
            .with("vm", m_identity.vm)
            .with("role", core::roleName(wanted.role))
            .with("term", wanted.number.term)
            .with("sequence", wanted.number.sequence);
        sent = co_await m_engine.orderRole(wanted.role, wanted.number, {lock.validUntil()});
    }
    bool changed = false;
    if (sent.ok())
        changed = co_await waitForRole(wanted.role, lock);
    else
        core::Event("engine.order.failed").with("vm", m_identity.vm).with("why", sent.message());
    co_await lock.release();
    co_return changed;
}

wire::Task<bool> PlanFollower::waitForRole(core::Role role, state::LeaseHolder &lock)
{
    const core::TimePoint giveUp = core::BootClock::now() + RoleChangeTimeout;
    while (core::BootClock::now() < giveUp) {
        co_await m_io.sleep(RolePollInterval);
        // The lock is kept through the change: no other agent may order the engine meanwhile.
        if (lock.validUntil() - core::BootClock::now() < OrderLockTtl / 2)
            co_await lock.renew();
        const auto state = co_await m_engine.state();
        if (state.ok() && state->ready && state->role == role) {
            m_engineState = *state;
            m_gate.setEngineState(*state);
            co_return true;
        }
        // An engine that crashed in mid-change comes back in its initial role: order again.
        if (state.ok() && state->ready && state->role != role)
            co_return false;
    }
    co_return false;
}

wire::Task<bool> PlanFollower::stillInCharge(state::EndpointPlan wanted)
{
    const auto agent = co_await m_kv.get(state::agentKey(m_identity.vm));
    if (!agent.ok())
        co_return false;
    const auto record = state::AgentRecord::parse(agent->value);
    if (!record.ok() || record->incarnation != m_identity.incarnation)
        co_return false;
    co_await readPlan();
    const bool current =
        m_wanted.number == wanted.number && core::BootClock::now() - m_readAt < FollowInterval * 5;
    co_return current;
}

wire::Task<void> PlanFollower::waitIdle()
{
    while (!m_gate.idle() && !m_stopping)
        co_await m_io.sleep(IdlePollInterval);
}

} // namespace jujube::agent
