/** \file
 * Tests of the share of a VM's link that gossip may take.
 */

#include "core/metrics.h"
#include "support/deployment.h"
#include "support/loopback.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <criterion/criterion.h>

#include <map>

using namespace jujube;
using namespace std::chrono_literals;
using boost::asio::ip::udp;
using test::Deployment;

namespace {

constexpr uint16_t PeerPort = 7410;
constexpr uint16_t GossipPort = 7300;   ///< Of the first gateway of a deployment.
constexpr double SmallLink = 2'500'000; ///< 20 Mbit/s.
// Requests need the other half: whatever exceeds the link is queued in front of them.
constexpr double MaxLinkShare = 0.5;
constexpr size_t PeerCount = 100;
constexpr size_t TeamCount = 60;
constexpr size_t EndpointCount = 180;
constexpr core::Milliseconds KeepAliveInterval{300};

// Bytes of gossip that the gateways of this process have sent.
double gossipBytesSent()
{
    double sum = 0;
    const std::string metrics = core::renderMetrics();
    for (size_t at = 0; (at = metrics.find("jujube_gossip_bytes_total{", at)) != std::string::npos;
         ++at)
        sum += std::stod(metrics.substr(metrics.find("} ", at) + 2));
    return sum;
}

std::string peerName(size_t i)
{
    return "vm-" + std::to_string(100 + i);
}

// A hundred peers of one gateway that share one socket.
class FakePeers
{
public:
    FakePeers(Deployment &deployment, double hubShare)
        : m_deployment(deployment),
          m_socket(deployment.io(),
                   udp::endpoint(boost::asio::ip::make_address(ip(test::loopbackAddress(PeerPort))),
                                 PeerPort)),
          m_timer(deployment.io())
    {
        const std::string own = ip(test::loopbackAddress(PeerPort));
        m_gateway = udp::endpoint(
            boost::asio::ip::make_address(own.substr(0, own.rfind('.')) + ".10"), GossipPort);
        for (size_t i = 0; i < PeerCount; ++i) {
            m_peers[i].name = peerName(i);
            m_peers[i].run = 1'000 + i;
        }
        m_peers[0].processorShare = hubShare;
        receive();
    }

    serving::GossipMessage &peer(size_t i) { return m_peers.at(i); }

    void send(size_t i, serving::GossipKind kind)
    {
        serving::GossipMessage gossip = m_peers.at(i);
        gossip.kind = kind;
        gossip.sequence = ++m_sequence;
        m_socket.send_to(boost::asio::buffer(serving::encodeGossip(gossip)), m_gateway);
    }

    // Keeps all peers alive. The first one acts as the hub.
    void keepAlive()
    {
        for (size_t i = 0; i < PeerCount; ++i)
            send(i, serving::GossipKind::Load);
        send(0, serving::GossipKind::Summary);
        m_timer.expires_after(KeepAliveInterval);
        m_timer.async_wait([this](const boost::system::error_code &ec) {
            if (!ec)
                keepAlive();
        });
    }

    // How often each usage window of another incarnation was received.
    const std::map<std::pair<uint64_t, uint64_t>, size_t> &received() const { return m_received; }
    void clearReceived() { m_received.clear(); }

private:
    static std::string ip(const std::string &address)
    {
        return address.substr(0, address.rfind(':'));
    }

    void receive()
    {
        m_socket.async_receive(
            boost::asio::buffer(m_buf), [this](const boost::system::error_code &ec, size_t n) {
                if (ec)
                    return;
                if (const auto gossip = serving::decodeGossip({m_buf.data(), n}); gossip.ok()) {
                    for (const auto &it : gossip->windows)
                        ++m_received[{it.run, it.window}];
                }
                receive();
            });
    }

    Deployment &m_deployment;
    udp::socket m_socket;
    udp::endpoint m_gateway;
    boost::asio::steady_timer m_timer;
    std::map<size_t, serving::GossipMessage> m_peers;
    std::map<std::pair<uint64_t, uint64_t>, size_t> m_received;
    std::array<char, 65536> m_buf{};
    uint64_t m_sequence = 0;
};

serving::NodeSettings smallVm()
{
    serving::NodeSettings settings;
    settings.linkBytesPerSecond = SmallLink;
    settings.processorShare = 0.09;
    return settings;
}

// Starts a gateway in a deployment in which many peers have counted requests and started again.
void restartPeersWithCounts(Deployment &deployment, FakePeers &peers, size_t restarted)
{
    const uint64_t window =
        static_cast<uint64_t>(core::wallTime() / serving::NodeSettings().usageWindow);
    for (size_t i = 0; i < PeerCount; ++i) {
        auto &peer = peers.peer(i);
        if (i >= 1 && i <= restarted) {
            serving::TeamCounts counts;
            for (size_t team = 0; team < TeamCount; ++team)
                counts["team-" + std::to_string(team)] = 100 + team;
            peer.windows = {{peer.run, window - 1, counts}, {peer.run, window, counts}};
        }
        peers.send(i, serving::GossipKind::Full);
        deployment.runFor(1ms);
    }
    for (size_t i = 1; i <= restarted; ++i) {
        peers.peer(i).windows.clear();
        peers.peer(i).run += PeerCount;
        peers.send(i, serving::GossipKind::Full);
        deployment.runFor(1ms);
    }
}

} // namespace

// Guards against requests that wait for seconds on their gateway's link and reach an endpoint that
// has left (DRAIN): after the restart of many gateways, the counts of their previous incarnations,
// repeated to all peers, exceeded the link of a small VM.
Test(gossiptraffic, counts_of_departed_gateways_leave_half_of_a_small_link_to_requests)
{
    Deployment it;
    it.addEndpoint("app");
    it.publishConfig(1);
    it.startGateway(smallVm());
    FakePeers peers(it, 2);
    restartPeersWithCounts(it, peers, 20);
    peers.keepAlive();
    const double before = gossipBytesSent();
    const auto from = core::BootClock::now();
    it.runFor(3s);
    const double seconds = std::chrono::duration<double>(core::BootClock::now() - from).count();
    const double rate = (gossipBytesSent() - before) / seconds;
    cr_assert_gt(rate, 0);
    cr_assert_leq(rate, SmallLink * MaxLinkShare, "%.0f bytes per second", rate);
}

// Guards against wrong usage reports after a restart of many gateways: a gateway that has started
// lacks the counts of incarnations that have ended, and may lead next.
Test(gossiptraffic, counts_of_departed_gateways_reach_every_gateway_that_has_started)
{
    constexpr size_t restarted = 20;
    Deployment it;
    it.addEndpoint("app");
    it.publishConfig(1);
    it.startGateway(smallVm());
    FakePeers peers(it, 2);
    restartPeersWithCounts(it, peers, restarted);
    peers.keepAlive();
    const auto complete = [&]() {
        size_t n = 0;
        for (size_t i = 1; i <= restarted; ++i) {
            for (const auto &[window, times] : peers.received())
                n += window.first == 1'000 + i && times >= restarted ? 1 : 0;
        }
        return n >= 2 * restarted;
    };
    cr_assert(it.runUntil(complete, 6s));
}

// Guards against requests that wait on the link of a small VM that has become the hub (DRAIN): the
// sums for a hundred peers, forty times a second, are several times its capacity.
Test(gossiptraffic, the_sums_of_a_hub_leave_half_of_a_small_link_to_requests)
{
    Deployment it;
    it.addEndpoint("app");
    it.publishConfig(1);
    it.startGateway(smallVm());
    FakePeers peers(it, 0.05);
    for (size_t i = 0; i < PeerCount; ++i) {
        peers.peer(i).processorShare = 0.05;
        for (size_t endpoint = 0; endpoint < EndpointCount; ++endpoint)
            peers.peer(i).shares.push_back(
                {serving::endpointHash("endpoint-" + std::to_string(endpoint)), {2, 700}});
        peers.send(i, serving::GossipKind::Full);
        it.runFor(1ms);
    }
    peers.keepAlive();
    it.runFor(500ms);
    const double before = gossipBytesSent();
    const auto from = core::BootClock::now();
    it.runFor(2s);
    const double seconds = std::chrono::duration<double>(core::BootClock::now() - from).count();
    const double rate = (gossipBytesSent() - before) / seconds;
    cr_assert_gt(rate, 0);
    cr_assert_leq(rate, SmallLink * MaxLinkShare, "%.0f bytes per second", rate);
}
