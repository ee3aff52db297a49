#pragma once

/** \file
 * Defines the exchange of news between the gateways of a deployment.
 */

#include "http/caller.h"
#include "http/server.h"
#include "serving/loadexchange.h"
#include "serving/nodesettings.h"
#include "serving/statefeed.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>

namespace jujube::serving {

/** Sends this gateway's news to all others and keeps theirs.
 *
 * Datagrams carry the whole state each time, so a lost one is made good by the next. In a small
 * deployment each gateway tells every other as soon as its load changes. In a large one load goes
 * through a hub, whose messages grow with the gateways rather than with their square; the rest is
 * told once a second.
 */
class PeerMesh
{
public:
    struct Handler
    {
        std::function<News()> compose; ///< This gateway's news, to be sent now.
        /** What the store's mirror holds beyond a version. */
        std::function<StorePage(const StoreVersion &newerThan)> state;
        std::function<void(const News &)> onNews;
    };

    PeerMesh(boost::asio::io_context &io, http::Client &caller, EndpointTable &endpoints,
             Handler handler);

    absl::Status start(const NodeSettings &settings, uint64_t run);
    /** Tells the peers soon: this gateway's load has changed. */
    void loadChanged();
    /** Adds a peer by its "address:port"; one that is known already stays. */
    void addPeer(const std::string &name, const std::string &address);
    void removePeer(const std::string &name);
    /** Gateways that were heard of lately, this one included. */
    uint32_t aliveCount() const;
    /** Gateways that may have spent from the budgets of the last seconds. */
    uint32_t gatewayCount(core::TimePoint now) const;
    /** Whether a run of a gateway is one of the live peers. */
    bool runAlive(uint64_t run) const;
    /** Whether load goes through a hub and the rest is told once a second. */
    bool large() const;
    /** Whether this gateway tells on what gone ones had told: few do, so that news stay short. */
    bool tellsOfGone() const;
    /** The live peers as sources of the store's state. */
    std::vector<FeedPeer> statePeers() const;
    /** Whether this gateway watches the store for others. */
    bool watchesForOthers() const;
    /** Newest version of the store a live peer has told of. */
    StoreVersion newestVersion() const;
    TokenRates peersRates() const;
    /** Mean of the gateways that have learnt how fast engines read; 0: none has. */
    double readPace(double own) const;
    const std::string &address() const { return m_address; }

private:
    struct Peer
    {
        std::string address;
        boost::asio::ip::udp::endpoint target;
        News news;
        core::TimePoint heardAt{};
        bool alive = false; ///< Heard of within the last moments.
    };

    void receive();
    void received(std::string_view bytes);
    void takeWhole(Peer &peer, News news, core::TimePoint now);
    void takeSummary(const News &news, core::TimePoint now);
    std::vector<HubCandidate> candidates() const;
    std::string hub(core::TimePoint now);
    void schedule(core::Milliseconds delay);
    void logServed();
    void tell();
    void tellSlice();
    std::string composeWhole(bool sentAtOnce);
    void scheduleLoad(core::Milliseconds delay);
    void exchangeLoad();
    void tellSummaries(core::TimePoint now);
    std::vector<NewsPart> relayedParts(core::TimePoint now);
    void send(const Peer &peer, const std::string &bytes);
    void sumShares(core::TimePoint now);

    boost::asio::io_context &m_io;
    http::Client &m_caller;
    EndpointTable &m_endpoints;
    Handler m_handler;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_loadTimer;
    std::unique_ptr<http::Server> m_server;
    struct Served
    {
        uint64_t requests = 0;
        uint64_t bytes = 0;
    };
    Served m_served; ///< Of the store's state, since it was logged last.
    std::map<std::string, Peer> m_peers;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, 65536> m_buf{};
    std::string m_name;
    std::string m_hub;
    std::string m_address;
    uint64_t m_run = 0;
    core::TimePoint m_summedAt{};
    core::TimePoint m_toldAt{};
    NewsRound m_round;
    std::string m_roundBytes; ///< News of the present round.
    bool m_hurried = false;   ///< News are due before their usual time.
    HubChoice m_hubChoice;
    LoadBooks m_books; ///< Kept while this gateway is the hub.
    struct RelayedPart
    {
        NewsPart part;
        core::TimePoint until{};
    };
    std::deque<RelayedPart> m_relayed; ///< Parts that the hub tells all others.
    TokenRates m_summaryRates;
    uint64_t m_summaryRun = 0;
    uint64_t m_summarySequence = 0;
    core::TimePoint m_exchangedAt{};
    core::TimePoint m_changedAt{};
    bool m_changed = false;
    double m_processorShare = 0;
};

} // namespace jujube::serving
