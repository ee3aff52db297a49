#include "agent/planfollower.h"

#include "core/eventlog.h"
#include "core/text.h"
#include "state/registry.h"

namespace jujube::agent {

namespace {

constexpr core::Milliseconds FollowInterval{200};
// The plan is read again after this time without a hint, in case all hints were lost.
constexpr core::Milliseconds PlanRereadInterval{30'000};
constexpr core::Milliseconds EnginePollInterval{250};
constexpr core::Milliseconds OrderLockTtl{6'000};
constexpr core::Milliseconds RolePollInterval{100};
constexpr core::Milliseconds IdlePollInterval{20};
constexpr core::Milliseconds RoleChangeTimeout{30'000};
// Consecutive failed polls after which the endpoint counts as down.
constexpr int FailedPollsUntilDown = 2;

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
    wire::coroutineTasks().add(pollEngineLoop());
    wire::coroutineTasks().add(followPlanLoop());
}

void PlanFollower::hintPlanNumber(state::OrderNumber number)
{
    m_hintedNumber = std::max(m_hintedNumber, number);
}

wire::Task<void> PlanFollower::pollEngineLoop()
{
    int failedPolls = 0;
    while (!m_stopping) {
        if (m_identity.hasEngine) {
            const auto state = co_await m_engine.fetchState();
            if (state.ok()) {
                failedPolls = 0;
                m_engineState = *state;
                m_engineStateKnown = true;
                m_gate.setEngineState(*state);
            } else if (++failedPolls >= FailedPollsUntilDown) {
                m_engineStateKnown = false;
                m_gate.setEngineDown();
            }
        } else if (co_await m_engine.isServiceAlive()) {
            failedPolls = 0;
            EngineState state;
            state.ready = true;
            m_gate.setEngineState(state);
        } else if (++failedPolls >= FailedPollsUntilDown) {
            m_gate.setEngineDown();
        }
        co_await m_io.sleep(EnginePollInterval);
    }
}

wire::Task<void> PlanFollower::followPlanLoop()
{
    while (!m_stopping) {
        const bool due = core::BootClock::now() - m_planReadAt > PlanRereadInterval;
        if (due || m_hintedNumber > m_planNumber)
            co_await readPlan();
        if (m_hasDesiredState)
            co_await applyDesiredState();
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
    m_planReadAt = core::BootClock::now();
    if (plan->number() < m_planNumber)
        co_return;
    m_planNumber = plan->number();
    const auto it = plan->endpoints.find(m_identity.vm);
    if (it == plan->endpoints.end() || it->second.number < m_desiredState.number)
        co_return;
    m_desiredState = it->second;
    m_hasDesiredState = true;
}

wire::Task<void> PlanFollower::applyDesiredState()
{
    const state::EndpointPlan desired = m_desiredState;
    if (desired.intent != core::EngineIntent::Active) {
        if (m_gate.admissionState() != EndpointGate::AdmissionState::Draining) {
            core::Event("endpoint.draining").with("vm", m_identity.vm);
            m_gate.setAdmissionState(EndpointGate::AdmissionState::Draining);
        }
        if (m_gate.idle() && m_appliedNumber < desired.number) {
            m_appliedNumber = desired.number;
            m_gate.setAppliedOrder(m_appliedNumber);
            core::Event("endpoint.drained")
                .with("vm", m_identity.vm)
                .with("intent", core::intentName(desired.intent));
        }
        co_return;
    }
    // A restarted engine is back in its initial role, so the role is compared on each pass.
    const bool roleDiffers =
        m_identity.hasEngine && m_engineStateKnown && m_engineState.role != desired.role;
    if (m_identity.hasEngine && !m_engineStateKnown)
        co_return;
    if (roleDiffers && !co_await changeRole(desired))
        co_return;
    m_gate.setAdmissionState(EndpointGate::AdmissionState::Open);
    if (m_appliedNumber < desired.number) {
        m_appliedNumber = desired.number;
        m_gate.setAppliedOrder(m_appliedNumber);
        core::Event("endpoint.active")
            .with("vm", m_identity.vm)
            .with("role", core::roleName(desired.role))
            .with("term", m_appliedNumber.term)
            .with("sequence", m_appliedNumber.sequence);
    }
}

wire::Task<bool> PlanFollower::changeRole(state::EndpointPlan desired)
{
    // A role change interrupts the engine, so accepted work has to end first.
    m_gate.setAdmissionState(EndpointGate::AdmissionState::ChangingRole);
    co_await waitUntilIdle();
    if (!m_engineState.ready)
        co_return false;

    state::LeaseHolder lock(m_io, m_kv, orderLockKey(m_identity.vm),
                            core::concat(m_identity.incarnation), OrderLockTtl);
    if (!co_await lock.tryAcquire())
        co_return false;
    absl::Status sent = absl::AbortedError("superseded by a newer plan or another agent");
    if (co_await isOrderCurrent(desired)) {
        core::Event("engine.order.sent")
            .with("vm", m_identity.vm)
            .with("role", core::roleName(desired.role))
            .with("term", desired.number.term)
            .with("sequence", desired.number.sequence);
        sent = co_await m_engine.orderRole(desired.role, desired.number, {lock.validUntil()});
    }
    bool changed = false;
    if (sent.ok())
        changed = co_await waitForRole(desired.role, lock);
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
        // The lock is held during the change, so that no other agent sends an order to the engine.
        if (lock.validUntil() - core::BootClock::now() < OrderLockTtl / 2)
            co_await lock.renew();
        const auto state = co_await m_engine.fetchState();
        if (state.ok() && state->ready && state->role == role) {
            m_engineState = *state;
            m_gate.setEngineState(*state);
            co_return true;
        }
        // An engine that crashed during the change restarts in its initial role and needs a new
        // order.
        if (state.ok() && state->ready && state->role != role)
            co_return false;
    }
    co_return false;
}

wire::Task<bool> PlanFollower::isOrderCurrent(state::EndpointPlan desired)
{
    const auto agent = co_await m_kv.get(state::agentKey(m_identity.vm));
    if (!agent.ok())
        co_return false;
    const auto record = state::AgentRecord::parse(agent->value);
    if (!record.ok() || record->incarnation != m_identity.incarnation)
        co_return false;
    co_await readPlan();
    const bool current = m_desiredState.number == desired.number
        && core::BootClock::now() - m_planReadAt < FollowInterval * 5;
    co_return current;
}

wire::Task<void> PlanFollower::waitUntilIdle()
{
    while (!m_gate.idle() && !m_stopping)
        co_await m_io.sleep(IdlePollInterval);
}

} // namespace jujube::agent
