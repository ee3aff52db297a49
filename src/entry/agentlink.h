#pragma once

/** \file
 * Defines an entry's link to one agent: the connection, its heartbeats and the last load report.
 */

#include "policy/outlierdetector.h"
#include "policy/router.h"
#include "state/registry.h"
#include "wire/messages.h"
#include "wire/rpc.h"

#include <functional>
#include <memory>

namespace jujube::entry {

/** An open connection and the agent incarnation that replied on it. */
struct AgentConnection
{
    std::shared_ptr<wire::RpcConnection> rpc;
    uint64_t incarnation = 0;
};

/** Maintains a connection to one agent and holds the state of its endpoint as this entry knows it.
 *
 * All members run on the entry's KJ thread.
 */
class AgentLink : public std::enable_shared_from_this<AgentLink>
{
public:
    /** \param makePing builds the message of each heartbeat.
     * \param onFreshnessToken receives the freshness token of each load report. */
    AgentLink(wire::IoContext &io, wire::RpcIdentity identity, state::AgentRecord record,
              std::function<wire::PingMessage()> makePing,
              std::function<void(const core::FreshnessToken &)> onFreshnessToken);

    /** Connects and starts the heartbeats. */
    void start();
    /** Ends the heartbeats and drops the connection; running requests keep the one they hold. */
    void close() { m_closed = true; }

    /** Replaces the agent's registration. A new address causes a reconnect. */
    void updateRecord(const state::AgentRecord &record);
    const state::AgentRecord &record() const { return m_record; }

    /** The open connection, or nullptr while the agent is not connected. */
    std::shared_ptr<AgentConnection> connection() const { return m_connection; }
    /** Drops a connection that did not reply in time, so that the link reconnects at once.
     *
     * Does nothing if \a connection is no longer the current one. */
    void dropConnection(const std::shared_ptr<AgentConnection> &connection);
    /** Waits for a connection other than \a old; nullptr after \a limit. */
    wire::Task<std::shared_ptr<AgentConnection>>
    waitForNewConnection(std::shared_ptr<AgentConnection> old, core::Milliseconds limit);

    /** Makes the next heartbeat due at once, so that the agent receives a new plan number early. */
    void schedulePing() { m_lastPingAt = core::TimePoint{}; }

    /** Stores a load report; it replaces the counts of requests sent since the previous one. */
    void updateLoad(const core::LoadReport &load);
    const core::LoadReport &load() const { return m_view.load; }
    /** Adds a request to the load estimate, until the next load report includes it. */
    void countSentRequest(uint32_t prefillTokens, uint32_t outputTokens);
    /** Input of the router: load, including requests sent since the report, and usability. */
    policy::EndpointView view(core::TimePoint now) const;
    policy::OutlierDetector &outlierDetector() { return m_outlierDetector; }

    /** Whether a connection is open. A heartbeat without a reply closes it. */
    bool isConnected() const { return m_connection != nullptr; }

private:
    wire::Task<void> maintainConnection();
    bool pingDue(core::TimePoint now) const;
    wire::Task<bool> ping(std::shared_ptr<AgentConnection> connection);

    wire::IoContext &m_io;
    wire::RpcIdentity m_identity;
    state::AgentRecord m_record;
    std::function<wire::PingMessage()> m_makePing;
    std::function<void(const core::FreshnessToken &)> m_onFreshnessToken;
    std::shared_ptr<AgentConnection> m_connection;
    policy::EndpointView m_view;
    policy::OutlierDetector m_outlierDetector;
    core::TimePoint m_lastRequestAt{}; ///< When a request was last sent to this agent.
    core::TimePoint m_lastPingAt{};
    bool m_freshnessTokenStale = false; ///< Token older than MaxFreshnessTokenAge.
    bool m_closed = false;
};

} // namespace jujube::entry
