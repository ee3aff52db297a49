#pragma once

/** \file
 * Defines an entry's link to one agent: its connection, heartbeat and last load report.
 */

#include "policy/outlierdetector.h"
#include "policy/router.h"
#include "state/registry.h"
#include "wire/messages.h"
#include "wire/rpc.h"

#include <functional>
#include <memory>

namespace jujube::entry {

/** An open connection and the agent incarnation that answered on it. */
struct AgentConnection
{
    std::shared_ptr<wire::RpcConnection> rpc;
    uint64_t incarnation = 0;
};

/** Keeps a connection to one agent and everything this entry knows of its endpoint. */
class AgentLink : public std::enable_shared_from_this<AgentLink>
{
public:
    /** \param ping makes the message sent with each heartbeat. */
    AgentLink(wire::IoContext &io, wire::RpcIdentity identity, state::AgentRecord record,
              std::function<wire::PingMessage()> ping,
              std::function<void(const core::FreshnessToken &)> onEvidence);

    void start();
    /** Ends the link after running requests let go of it. */
    void close() { m_closed = true; }

    /** Notes a changed registration, for example a new address. */
    void updateRecord(const state::AgentRecord &record);
    const state::AgentRecord &record() const { return m_record; }

    /** The present connection, or nothing while the agent is not reached. */
    std::shared_ptr<AgentConnection> connection() const { return m_connection; }
    /** Drops a connection that did not answer in time, and dials anew at once. */
    void suspect(const std::shared_ptr<AgentConnection> &connection);
    /** Waits for a connection other than \a old; nothing when the time is over. */
    wire::Task<std::shared_ptr<AgentConnection>>
    freshConnection(std::shared_ptr<AgentConnection> old, core::Milliseconds limit);

    /** Sends the next heartbeat at once, because it carries something new. */
    void pingSoon() { m_pingedAt = core::TimePoint{}; }

    void noteLoad(const core::LoadReport &load);
    const core::LoadReport &load() const { return m_view.load; }
    /** Counts a request sent, until the next load report includes it. */
    void noteSent(uint32_t prefillTokens, uint32_t outputTokens);
    /** What the router is given. */
    policy::EndpointView view(core::TimePoint now) const;
    policy::OutlierDetector &health() { return m_health; }

    /** Whether the agent was reached within the last seconds. */
    bool up() const { return m_connection != nullptr; }

private:
    wire::Task<void> maintain();
    bool pingDue(core::TimePoint now) const;
    wire::Task<bool> ping(std::shared_ptr<AgentConnection> connection);

    wire::IoContext &m_io;
    wire::RpcIdentity m_identity;
    state::AgentRecord m_record;
    std::function<wire::PingMessage()> m_ping;
    std::function<void(const core::FreshnessToken &)> m_onEvidence;
    std::shared_ptr<AgentConnection> m_connection;
    policy::EndpointView m_view;
    policy::OutlierDetector m_health;
    core::TimePoint m_usedAt{}; ///< When a request was last sent to this agent.
    core::TimePoint m_pingedAt{};
    bool m_wantsEvidence = false; ///< This entry has had no confirmation for a while.
    bool m_closed = false;
};

} // namespace jujube::entry
