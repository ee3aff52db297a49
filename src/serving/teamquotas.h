#pragma once

/** \file
 * Defines how a gateway keeps the quotas of teams together with its peers.
 */

#include "policy/quotagate.h"
#include "policy/ratemeter.h"
#include "serving/fleetconfig.h"
#include "serving/gossip.h"
#include "serving/nodesettings.h"
#include "serving/requesttypes.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>

namespace jujube::serving {

/** Place of this gateway in the exchange of load. */
struct MeshPosition
{
    bool large = false;   ///< Load goes through a hub.
    std::string_view hub; ///< Name of the hub, if there is one.
};

/** Applies configuration and gossip to the ledger, and charges requests to their teams.
 *
 * Does nothing in a deployment without quotas.
 */
class TeamQuotas
{
public:
    struct Answer
    {
        bool admitted = false;
        QuotaCharge charge;              ///< Of an admitted request.
        core::Milliseconds retryAfter{}; ///< Of a refused request.
    };
    using OnAnswer = std::function<void(const Answer &)>;

    /** \param onCharged called when a charge should be reported to the peers soon. */
    TeamQuotas(boost::asio::io_context &io, const NodeSettings &settings, std::mt19937_64 &random,
               std::function<void()> onCharged);

    void configure(const FleetConfig &config);
    void addGateway(const std::string &name);
    void removeGateway(const std::string &name);

    /** Adds the counts of this gateway to a message that it sends now. */
    void addTo(GossipMessage &gossip, const MeshPosition &position);
    /** Levels to state to a peer in a summary. */
    std::vector<policy::QuotaLevel> levelsFor(const std::string &peer);
    void onGossip(const GossipMessage &gossip, const MeshPosition &position);

    /** Charges a request to its team. Calls \a onAnswer immediately or, if other gateways may have
     * charged the same tokens, within about half a second. */
    void admit(const TeamConfig &team, const RequestMetadata &request, OnAnswer onAnswer);
    /** What admit() would decide now, without a charge. */
    struct Preview
    {
        policy::QuotaRate quota;
        double tokens = 0; ///< That the request would be charged.
        policy::QuotaDecision decision;
        core::Milliseconds retrySpread{}; ///< A random part of it is added to decision.retryIn.
    };
    /** \return nothing if the team has no quota. */
    std::optional<Preview> preview(const TeamConfig &team, const RequestMetadata &request) const;
    /** Returns the tokens of a request that has ended without having run. */
    void refund(const QuotaCharge &charge);

private:
    struct Waiting
    {
        policy::QuotaHold hold;
        std::string team;
        std::string request;
        OnAnswer onAnswer;
    };

    bool active() const { return m_active; }
    void setPosition(const MeshPosition &position, core::TimePoint now);
    void logMode(core::TimePoint now);
    void settleWaiting();
    void scheduleSettling();
    Answer refusal(uint64_t team, double tokens, const std::string &name,
                   const std::string &request, const policy::QuotaDecision &decision);
    core::Milliseconds retryDelay(uint64_t team, double tokens,
                                  const policy::QuotaDecision &decision);
    double retrySpread(uint64_t team, const policy::RateMeter &refused, core::TimePoint now) const;
    std::string labelOf(const std::string &team);

    std::string m_name;
    uint64_t m_self = 0; ///< Hash of the name.
    std::mt19937_64 &m_random;
    std::function<void()> m_onCharged;
    policy::QuotaLedger m_ledger;
    policy::QuotaGate m_gate;
    bool m_active = false; ///< A team has a quota.
    policy::QuotaMode m_mode = policy::QuotaMode::Mesh;
    std::set<std::string> m_configured;                        ///< Teams that have a quota.
    std::set<std::string> m_labels;                            ///< Teams with metrics of their own.
    std::unordered_map<uint64_t, policy::RateMeter> m_refused; ///< Tokens per second by team.
    std::vector<Waiting> m_waiting;
    boost::asio::steady_timer m_timer;
    bool m_settling = false; ///< The timer runs.
};

} // namespace jujube::serving
