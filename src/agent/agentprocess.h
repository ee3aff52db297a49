#pragma once

/** \file
 * Defines the objects of an agent process that live on its KJ thread.
 */

#include "agent/agentsettings.h"
#include "agent/endpointgate.h"
#include "agent/planfollower.h"
#include "wire/rpc.h"

#include <atomic>
#include <functional>
#include <memory>

namespace jujube::agent {

/** Owns the objects of an agent's KJ thread, connects them and runs the periodic tasks. */
class AgentProcess
{
public:
    AgentProcess(wire::IoContext &io, AgentSettings settings);
    ~AgentProcess();

    /** Listens for RPC and registers the agent. Calls \a failed if the RPC address cannot be bound.
     */
    void start(std::function<void(absl::Status)> failed);
    /** Shuts down gracefully: refuses new work, waits until running answers have ended and were
     * fetched, writes the usage counts and deregisters. Calls \a stopped at the end. */
    void stop(std::function<void()> stopped);

    /** Whether the agent is registered and not stopping. May be called from any thread. */
    bool ready() const { return m_ready.load(); }

private:
    class Session;

    wire::Task<void> startup(std::function<void(absl::Status)> failed);
    wire::Task<void> shutdown(std::function<void()> stopped);
    wire::Task<void> registerLoop();
    wire::Task<void> usageFlushLoop();

    wire::IoContext &m_io;
    AgentSettings m_settings;
    uint64_t m_incarnation;
    wire::HttpClient m_httpClient;
    state::KvClient m_kv;
    state::UsageLedger m_usageLedger;
    EngineClient m_engine;
    EndpointGate m_gate;
    PlanFollower m_follower;
    wire::RpcServer m_rpcServer;
    std::atomic<bool> m_ready{false};
    bool m_stopping = false;
};

} // namespace jujube::agent
