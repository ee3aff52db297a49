#pragma once

/** \file
 * Defines the exchange of load through a hub, which avoids messages between all pairs of gateways.
 */

#include "serving/gossip.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace jujube::serving {

/** A gateway that may become the hub. */
struct HubCandidate
{
    std::string name;
    double processorShare = 0; ///< Cores that the gateway may use.
    bool alive = false;
};

/** Selects the hub of a large deployment.
 *
 * Every gateway ranks the live ones by processor share, then by name. A hub that does not respond
 * is skipped for some seconds. Each gateway detects that by itself, without an agreement: two hubs
 * at once only cost additional messages.
 */
class HubSelector
{
public:
    /** \return the name of the hub; empty if no candidate is eligible. */
    std::string choose(const std::vector<HubCandidate> &candidates, core::TimePoint now);
    /** Records that the hub has sent a summary. */
    void noteResponse(const std::string &hub, core::TimePoint now);

private:
    std::string m_hub;
    core::TimePoint m_lastResponseAt{};
    std::map<std::string, core::TimePoint> m_avoidUntil;
};

/** Spreads the broadcast to all peers of a large deployment over time.
 *
 * 28 datagrams of 5 KB at once occupy a link of 10 Mbit/s for 100 ms; those that exceed its
 * capacity are lost, and gateways then consider each other gone.
 */
class BroadcastRound
{
public:
    static constexpr int GroupsPerRound = 10;

    struct PeerGroup
    {
        bool startsRound = false; ///< A round starts: compose a new message.
        std::vector<std::string> peers;
    };

    /** Returns the next peers to send to. \param names of all peers in ascending order. */
    PeerGroup next(const std::vector<std::string> &names);

private:
    std::string m_lastPeer;
};

/** Whether a gateway is among the \a count best equipped live ones besides the hub.
 *
 * Ties are broken by a hash of the name, which spreads the selected ones over the failure domains;
 * names in order would be grouped by failure domain.
 */
bool isBestEquipped(const std::string &name, const std::string &hub,
                    const std::vector<HubCandidate> &candidates, size_t count);

/** Whether a gateway relays the usage counts of departed gateways. Only a few do, and not the hub,
 * which sends most of all. */
bool relaysForDeparted(const std::string &name, const std::string &hub,
                       const std::vector<HubCandidate> &candidates);

/** Keeps the load of each gateway on the hub, and computes for each the sum over all others. */
class LoadAggregator
{
public:
    /** Replaces the load of the sender; ignores a message that is out of order. */
    void apply(const GossipMessage &gossip, core::TimePoint now);
    /** Removes the load of gateways that have been silent. */
    void prune(core::TimePoint now);
    /** Returns the load of all gateways except one, with the freshest report of each endpoint. The
     * ages of reports are those at the last prune(). */
    std::vector<GossipLoadShare> loadExcept(const std::string &name) const;
    /** Returns the token rates of all gateways except one. */
    TokenRates ratesExcept(const std::string &name) const;

private:
    struct GatewayLoad
    {
        GossipMessage gossip;
        core::TimePoint receivedAt{};
    };

    /** The freshest report of an endpoint's load. */
    struct Report
    {
        ReportedLoad load;
        core::TimePoint at{};
    };

    void addToSums(const GossipMessage &gossip, int sign);
    void updateReports(const GossipMessage &gossip, core::TimePoint now);
    std::optional<ReportedLoad> reportOf(uint64_t endpoint) const;

    std::map<std::string, GatewayLoad> m_loads;
    struct Sum
    {
        int64_t running = 0;
        int64_t backlogTokens = 0;
        int64_t remainingTokens = 0;
        int32_t changing = 0;
        int32_t failing = 0;
        int32_t leaving = 0;

        bool empty() const
        {
            return running == 0 && backlogTokens == 0 && remainingTokens == 0 && changing == 0
                && failing == 0 && leaving == 0;
        }
        void add(const GossipLoadShare &share, int sign);
        OutstandingLoad load() const;
    };
    std::unordered_map<uint64_t, Sum> m_sums;
    std::unordered_map<uint64_t, Report> m_reports; ///< By endpoint.
    core::TimePoint m_prunedAt{};
    TokenRates m_rates;
};

} // namespace jujube::serving
