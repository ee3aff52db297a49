#pragma once

/** \file
 * Defines the component of an agent that applies the plan to its endpoint.
 */

#include "agent/endpointgate.h"
#include "agent/engineclient.h"
#include "state/leaseholder.h"
#include "state/plan.h"

#include <string>

namespace jujube::agent {

/** Identity of the agent and the keys under which the plan names it. */
struct FollowerIdentity
{
    std::string vm;
    std::string scope;
    uint64_t incarnation = 0;
    bool hasEngine = true; ///< False for services: they are drained, but get no role orders.
};

/** Applies the desired state of one endpoint, one order at a time and never an older one.
 *
 * Orders are read from the plan in the KV only. Plan numbers from other processes are hints to read
 * it sooner. Before it sends an order, the agent acquires the endpoint's order lock, reads plan and
 * register again, and sends within the lock's remaining time (see GuardedSocket). An agent that was
 * replaced or paused in the meantime therefore sends nothing.
 */
class PlanFollower
{
public:
    PlanFollower(wire::IoContext &io, state::KvClient &kv, EngineClient &engine, EndpointGate &gate,
                 FollowerIdentity identity);

    /** Starts polling the engine and following the plan, until stop(). */
    void start();
    void stop() { m_stopping = true; }
    /** Makes the plan be read again if \a number is newer than the plan read last. */
    void hintPlanNumber(state::OrderNumber number);

private:
    wire::Task<void> followPlanLoop();
    wire::Task<void> pollEngineLoop();
    wire::Task<void> readPlan();
    wire::Task<void> applyDesiredState();
    /** Orders the role once the endpoint is idle. \return true if the engine changed to it. */
    wire::Task<bool> changeRole(state::EndpointPlan desired);
    /** Polls the engine until it is ready in \a role, and keeps \a lock meanwhile. */
    wire::Task<bool> waitForRole(core::Role role, state::LeaseHolder &lock);
    /** Whether this incarnation is still registered and the plan still holds this order. */
    wire::Task<bool> isOrderCurrent(state::EndpointPlan desired);
    wire::Task<void> waitUntilIdle();

    wire::IoContext &m_io;
    state::KvClient &m_kv;
    EngineClient &m_engine;
    EndpointGate &m_gate;
    FollowerIdentity m_identity;
    state::OrderNumber m_hintedNumber;
    state::OrderNumber m_planNumber;    ///< Number of the plan read last.
    state::EndpointPlan m_desiredState; ///< State of this endpoint in that plan.
    bool m_hasDesiredState = false;
    state::OrderNumber m_appliedNumber;
    core::TimePoint m_planReadAt{};
    EngineState m_engineState;
    bool m_engineStateKnown = false;
    bool m_stopping = false;
};

} // namespace jujube::agent
