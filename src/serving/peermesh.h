#pragma once

/** \file
 * Defines the exchange of gossip messages between the gateways of a deployment.
 */

#include "http/client.h"
#include "policy/linkpace.h"
#include "serving/countrelay.h"
#include "serving/gossiptraffic.h"
#include "serving/loadexchange.h"
#include "serving/nodesettings.h"
#include "serving/statefeed.h"
#include "serving/stateserver.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>

namespace jujube::serving {

/** Sends this gateway's gossip messages to its peers and keeps the latest one of each peer.
 *
 * Each datagram carries the full state, so the next one makes up for a lost one. In a small
 * deployment each gateway broadcasts to all others as soon as its load changes. In a large one a
 * hub aggregates the load, so the number of messages grows with the number of gateways instead of
 * its square; all other state is broadcast once per second.
 */
class PeerMesh
{
public:
    struct Handler
    {
        std::function<GossipMessage()> compose; ///< Returns the message to send now.
        StateSource state;                      ///< The mirrored store.
        std::function<void(const GossipMessage &)> onGossip;
        const UsageCounts *usage = nullptr;      ///< Counts that are relayed; null: none are.
        std::function<uint64_t()> usageWindow{}; ///< Number of the current usage window.
        std::function<std::vector<GossipLimit>()> limits{}; ///< Limits that a hub relays.
        /** Levels of quotas that a hub states to a peer. */
        std::function<std::vector<policy::QuotaLevel>(const std::string &peer)> quotaLevels{};
        /** Evidence on engine speeds that full messages carry. */
        std::function<std::vector<GossipEngineSpeed>()> engineSpeeds{};
        /** Use of engine time by teams that full messages carry. */
        std::function<std::vector<GossipTeamUse>()> teamUse{};
    };

    PeerMesh(boost::asio::io_context &io, http::Client &httpClient, EndpointTable &endpoints,
             Handler handler);

    /** Opens the gossip socket and the state server and starts sending.
     * \return Unavailable if an address cannot be bound. */
    absl::Status start(const NodeSettings &settings, uint64_t run);
    /** Schedules an early message, as this gateway's load has changed. */
    void loadChanged();
    /** Adds a peer, or updates its "ip:port" address. */
    void addPeer(const std::string &name, const std::string &address);
    void removePeer(const std::string &name);
    /** Number of live gateways, including this one. */
    uint32_t aliveCount() const;
    /** Number of gateways, including this one, that were live within the longest budget window. */
    uint32_t gatewayCount(core::TimePoint now) const;
    /** Number of gateways, including this one, that may use the same retry budgets. */
    uint32_t budgetGateways(core::TimePoint now) const;
    /** Names of the gateways that receive requests, this one included, as far as they are known.
     * \param ownRate requests per second that this gateway receives. */
    std::vector<std::string> activeGateways(double ownRate, core::TimePoint now) const;
    /** Whether an incarnation of a gateway is one of the live peers. */
    bool runAlive(uint64_t run) const;
    /** Whether the deployment is large: load goes through a hub, other state once per second. */
    bool isLarge() const;
    /** Name of the hub of a large deployment; empty: none was selected yet. */
    const std::string &hub() const { return m_hub; }
    /** Whether this gateway does what one gateway does for all without an agreement. For a moment
     * there may be two such gateways, or none. */
    bool isCoordinator() const;
    /** The live peers as sources of the store state. */
    std::vector<FeedPeer> statePeers() const;
    /** Whether this gateway watches the store for others. */
    bool watchesForOthers() const;
    /** Newest store version that a live peer has announced. */
    StoreVersion newestVersion() const;
    /** Sum of the token rates of the peers. */
    TokenRates peersRates() const;
    /** Mean prefill rate of one engine in tokens per second, over the gateways that have measured
     * it; 0 if none has. \param local measurement of this gateway; 0: none. */
    double meanPrefillTokensPerSecond(double local) const;
    const std::string &address() const { return m_address; }

private:
    struct Peer
    {
        std::string address;
        boost::asio::ip::udp::endpoint target;
        GossipMessage gossip;
        core::TimePoint receivedAt{};
        uint64_t run = 0;   ///< Of the last datagram.
        bool alive = false; ///< The last datagram is newer than the peer timeout.
    };

    void receive();
    void onDatagram(std::string_view bytes);
    void applyFull(Peer &peer, GossipMessage gossip, core::TimePoint now);
    void applySummary(const GossipMessage &gossip, core::TimePoint now);
    void noteHeard(const std::string &name, Peer &peer, uint64_t run);
    std::vector<UsageWindowId> departedWindows(uint64_t oldest) const;
    void relayDepartedCounts(core::TimePoint now);
    std::vector<HubCandidate> candidates() const;
    std::string selectHub(core::TimePoint now);
    void scheduleBroadcast(core::Milliseconds delay);
    void broadcast();
    void broadcastToNextPeers();
    std::string composeFull(bool sentAtOnce);
    void scheduleLoad(core::Milliseconds delay);
    void exchangeLoad();
    void sendSummaries(core::TimePoint now);
    std::vector<GossipPrefixBlock> relayedBlocks(core::TimePoint now);
    void send(const Peer &peer, GossipKind kind, const std::string &bytes);
    void sumShares(core::TimePoint now);

    boost::asio::io_context &m_io;
    http::Client &m_httpClient;
    EndpointTable &m_endpoints;
    Handler m_handler;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_loadTimer;
    StateServer m_stateServer;
    std::map<std::string, Peer> m_peers;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, 65536> m_buf{};
    std::string m_name;
    std::string m_hub;
    std::string m_address;
    uint64_t m_run = 0;
    core::TimePoint m_startedAt{};
    core::TimePoint m_sharesSummedAt{};
    core::TimePoint m_lastBroadcastAt{};
    core::TimePoint m_speedsSentAt{};
    BroadcastRound m_round;
    GossipTraffic m_traffic;
    policy::LinkPace m_pace;
    CountRelay m_countRelay;
    std::string m_roundMessage;           ///< Encoded message of the current broadcast round.
    bool m_earlyBroadcastPending = false; ///< A broadcast before the regular interval is scheduled.
    HubSelector m_hubSelector;
    LoadAggregator m_loadAggregator; ///< Used while this gateway is the hub.
    struct RelayedBlock
    {
        GossipPrefixBlock block;
        core::TimePoint until{};
    };
    std::deque<RelayedBlock> m_relayed; ///< Prefix blocks that the hub relays, oldest first.
    TokenRates m_summaryRates;
    uint64_t m_summaryRun = 0;
    uint64_t m_summarySequence = 0;
    core::TimePoint m_loadExchangedAt{};
    core::TimePoint m_loadChangedAt{};
    bool m_loadChanged = false;
    double m_processorShare = 0;
    double m_linkBytesPerSecond = 0;
};

} // namespace jujube::serving
