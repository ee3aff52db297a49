/** \file
 * Tests of the selection of the gateway that probes for all.
 */

#include "serving/peermesh.h"
#include "support/loopback.h"

#include <boost/asio/ip/udp.hpp>
#include <criterion/criterion.h>

using namespace jujube;
using namespace std::chrono_literals;

namespace {

constexpr uint16_t MeshPort = 7303;
constexpr uint16_t PeerPort = 7304;

// The mesh of a gateway "m" with one core, and peers that share a socket.
class MeshWithPeers
{
public:
    explicit MeshWithPeers(int peers)
    {
        const std::string address = test::loopbackAddress(MeshPort);
        m_settings.name = "m";
        m_settings.ip = address.substr(0, address.rfind(':'));
        m_settings.firstInternalPort = MeshPort;
        m_settings.processorShare = 1;
        cr_assert(m_mesh.start(m_settings, 1).ok());
        m_ip = boost::asio::ip::make_address(m_settings.ip);
        m_socket.emplace(m_io, boost::asio::ip::udp::endpoint(m_ip, PeerPort));
        for (int i = 0; i < peers; ++i)
            m_mesh.addPeer(name(i), test::loopbackAddress(PeerPort));
    }

    /** Runs for a time in which the peers from \a first to before \a last send; peer 0 has
     * \a firstShare cores, the others half of one. */
    void runFor(core::Milliseconds time, int first, int last, double firstShare)
    {
        for (core::Milliseconds at{0}; at < time; at += 100ms) {
            for (int i = first; i < last; ++i) {
                serving::GossipMessage gossip;
                gossip.name = name(i);
                gossip.run = 7;
                gossip.sequence = ++m_sequence;
                gossip.processorShare = i == 0 ? firstShare : 0.5;
                m_socket->send_to(boost::asio::buffer(serving::encodeGossip(gossip)),
                                  {m_ip, MeshPort});
            }
            m_io.restart();
            m_io.run_for(100ms);
        }
    }
    bool isCoordinator() const { return m_mesh.isCoordinator(); }

private:
    static std::string name(int i) { return "p" + std::to_string(i); }

    boost::asio::io_context m_io;
    http::Client m_httpClient{m_io};
    serving::EndpointTable m_endpoints;
    serving::NodeSettings m_settings;
    boost::asio::ip::address m_ip;
    std::optional<boost::asio::ip::udp::socket> m_socket;
    uint64_t m_sequence = 0;
    serving::PeerMesh m_mesh{m_io,
                             m_httpClient,
                             m_endpoints,
                             {[]() { return serving::GossipMessage(); },
                              {[]() { return serving::StoreVersion(); },
                               [](const serving::StoreVersion &) { return serving::StorePage(); }},
                              [](const serving::GossipMessage &) {}}};
};

} // namespace

// Guards against all gateways that start at once, each of which has heard no other yet, and against
// a small deployment without any coordinator after the best equipped gateway has failed.
Test(coordinator, the_next_best_gateway_of_a_small_deployment_takes_over)
{
    MeshWithPeers it(3);
    it.runFor(600ms, 0, 3, 2);
    cr_assert_not(it.isCoordinator());
    it.runFor(1'500ms, 0, 3, 2);
    cr_assert_not(it.isCoordinator());
    it.runFor(2s, 1, 3, 2);
    cr_assert(it.isCoordinator());
    it.runFor(200ms, 0, 3, 2);
    cr_assert_not(it.isCoordinator());
}

// Guards against a gateway that is cut off and probes for itself for as long as that lasts.
Test(coordinator, a_gateway_that_hears_few_of_its_peers_is_no_coordinator)
{
    MeshWithPeers it(3);
    it.runFor(2s, 0, 3, 0.5);
    cr_assert(it.isCoordinator());
    it.runFor(2'500ms, 0, 0, 0.5);
    cr_assert_not(it.isCoordinator());
}

Test(coordinator, in_a_large_deployment_it_is_the_hub)
{
    MeshWithPeers it(12);
    it.runFor(2s, 0, 12, 0.5);
    cr_assert(it.isCoordinator());
    it.runFor(400ms, 0, 12, 2);
    cr_assert_not(it.isCoordinator());
}
