#pragma once

/** \file
 * Defines the assembly of an agent process on its KJ thread.
 */

#include "agent/agentsettings.h"
#include "agent/endpointgate.h"
#include "agent/planfollower.h"
#include "wire/rpc.h"

#include <atomic>
#include <functional>
#include <memory>

namespace jujube::agent {

/** Everything an agent runs on its KJ thread. */
class AgentProcess
{
public:
    AgentProcess(wire::IoContext &io, AgentSettings settings);
    ~AgentProcess();

    /** Binds, registers and serves. \a failed is called if that is impossible. */
    void start(std::function<void(absl::Status)> failed);
    /** Graceful shutdown: no new work, running answers end and are fetched, counts are written. */
    void stop(std::function<void()> stopped);

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
    wire::HttpClient m_http;
    state::KvClient m_kv;
    state::UsageLedger m_ledger;
    EngineClient m_engine;
    EndpointGate m_gate;
    PlanFollower m_follower;
    wire::RpcServer m_server;
    std::atomic<bool> m_ready{false};
    bool m_stopping = false;
};

} // namespace jujube::agent
