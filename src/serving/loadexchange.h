#pragma once

/** \file
 * Defines how gateways learn each other's load without a message from each to each.
 */

#include "serving/news.h"

#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace jujube::serving {

/** A peer as the choice of a hub sees it. */
struct HubCandidate
{
    std::string name;
    double processorShare = 0;
    bool alive = false;
};

/** Decides who is the hub of a large deployment.
 *
 * Every gateway ranks the live ones by what they are equipped with. A hub that does not answer is
 * passed over for a while; as every gateway notices that by itself, no agreement is needed, and two
 * hubs at once do no harm but cost messages.
 */
class HubSelector
{
public:
    /** \return the hub's name; empty if no candidate is alive. */
    std::string choose(const std::vector<HubCandidate> &candidates, core::TimePoint now);
    /** The hub gave a sign of life. */
    void noteResponse(const std::string &hub, core::TimePoint now);

private:
    std::string m_hub;
    core::TimePoint m_lastResponseAt{};
    std::map<std::string, core::TimePoint> m_avoidUntil;
};

/** Spreads the news for all peers of a large deployment over time.
 *
 * 28 datagrams of 5 KB at once fill a link of 10 Mbit/s for a tenth of a second; what did not fit
 * was lost, and gateways held each other for gone.
 */
class BroadcastRound
{
public:
    static constexpr int PeerGroups = 10; ///< In each round.

    struct PeerGroup
    {
        bool startsRound = false; ///< A round begins: the news are to be composed anew.
        std::vector<std::string> peers;
    };

    /** The peers to be told next, of \a names in ascending order. */
    PeerGroup next(const std::vector<std::string> &names);

private:
    std::string m_last;
};

/** Whether a gateway tells on what gone ones had counted, so that one that starts anew learns it.
 *
 * Few do: when all did, a few silent gateways made everybody's news several times as long.
 */
bool relaysForDeparted(const std::string &name, const std::vector<std::string> &alivePeers);

/** The hub's books: the load of each gateway, and the sum of all others for each of them. */
class LoadAggregator
{
public:
    void apply(const GossipMessage &gossip, core::TimePoint now);
    /** Forgets gateways that have been silent. */
    void prune(core::TimePoint now);
    /** Load of all gateways but one. */
    std::vector<NewsShare> loadExcept(const std::string &name) const;
    TokenRates ratesExcept(const std::string &name) const;

private:
    struct GatewayLoad
    {
        GossipMessage gossip;
        core::TimePoint receivedAt{};
    };

    void addToSums(const GossipMessage &gossip, int sign);

    std::map<std::string, GatewayLoad> m_loads;
    struct Sum
    {
        int64_t running = 0;
        int64_t backlogTokens = 0;
        int32_t changing = 0;
        int32_t failing = 0;
        int32_t leaving = 0;

        bool empty() const
        {
            return running == 0 && backlogTokens == 0 && changing == 0 && failing == 0
                && leaving == 0;
        }
    };
    std::unordered_map<uint64_t, Sum> m_sums;
    TokenRates m_rates;
};

} // namespace jujube::serving
