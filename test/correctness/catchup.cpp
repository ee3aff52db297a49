/** \file
 * Tests of how fast a gateway of a large deployment catches up with its peers.
 */

#include "serving/catchup.h"
#include "serving/peermesh.h"
#include "support/loopback.h"

#include <boost/asio/ip/udp.hpp>
#include <criterion/criterion.h>

#include <functional>
#include <optional>

using namespace jujube;
using namespace std::chrono_literals;
using serving::CatchUp;

namespace {

constexpr uint16_t MeshPort = 7301;
constexpr uint16_t PeerPort = 7302;
constexpr core::Milliseconds LargeMinWatchInterval{1'000}; ///< With a hundred gateways.
constexpr core::Milliseconds Tick{200};                    ///< Interval of decisions.

// Returns the time from the first decision to the wanted action; nothing if it does not occur.
std::optional<core::Milliseconds> timeUntil(const CatchUp::Position &position,
                                            const std::function<bool(CatchUp::Action)> &wanted)
{
    CatchUp catchUp;
    const core::TimePoint begin = core::BootClock::now();
    for (core::Milliseconds at{0}; at < 10s; at += Tick) {
        if (wanted(catchUp.decide(position, begin + at)))
            return at;
    }
    return std::nullopt;
}

const auto Fetches = [](CatchUp::Action it) { return it.fetch; };
const auto Lists = [](CatchUp::Action it) { return it.list; };

} // namespace

// Guards against requests to a draining endpoint (DRAIN): a gateway that cannot reach the store
// gets no changes from its own watch, so it requests them from a peer at once.
Test(catchup, a_gateway_that_cannot_reach_the_store_asks_a_peer_at_once)
{
    cr_assert(timeUntil({true, false, false, LargeMinWatchInterval}, Fetches) == 0ms);
}

// Guards against requests to a draining endpoint (DRAIN): a watch may miss changes while the store
// still answers. A request to a peer is cheap, so it does not wait for the watch interval.
Test(catchup, a_gateway_whose_watch_misses_changes_asks_a_peer_before_it_lists_the_store)
{
    const auto fetch = timeUntil({true, false, true, LargeMinWatchInterval}, Fetches);
    const auto list = timeUntil({true, false, true, LargeMinWatchInterval}, Lists);
    cr_assert(fetch.has_value() && list.has_value());
    cr_assert_leq(fetch->count(), 600);
    cr_assert_geq(list->count(), LargeMinWatchInterval.count());
}

Test(catchup, a_follower_asks_at_once_and_a_gateway_that_is_not_behind_does_nothing)
{
    cr_assert(timeUntil({true, true, true, LargeMinWatchInterval}, Fetches) == 0ms);
    cr_assert_not(timeUntil({false, true, true, LargeMinWatchInterval}, Fetches).has_value());
}

// Guards against requests to a draining endpoint (DRAIN): a hub that cannot reach the store learns
// from load messages which peer has a newer state. Full messages of a large deployment state that
// as well, but up to two seconds later.
Test(catchup, load_messages_show_which_peers_have_a_newer_state)
{
    boost::asio::io_context io;
    http::Client httpClient(io);
    serving::EndpointTable endpoints;
    serving::PeerMesh mesh(io, httpClient, endpoints,
                           {[]() { return serving::GossipMessage(); },
                            {[]() { return serving::StoreVersion(); },
                             [](const serving::StoreVersion &) { return serving::StorePage(); }},
                            [](const serving::GossipMessage &) {}});
    const std::string address = test::loopbackAddress(MeshPort);
    serving::NodeSettings settings;
    settings.name = "hub";
    settings.ip = address.substr(0, address.rfind(':'));
    settings.firstInternalPort = MeshPort;
    cr_assert(mesh.start(settings, 1).ok());
    const auto ip = boost::asio::ip::make_address(settings.ip);
    boost::asio::ip::udp::socket peer(io, {ip, PeerPort});
    serving::GossipMessage gossip;
    gossip.kind = serving::GossipKind::Load;
    gossip.name = "peer";
    gossip.run = 7;
    gossip.sequence = 1;
    gossip.watchesStore = true;
    const auto revisionAfterMessage = [&](uint64_t revision) {
        gossip.storeVersion = {0, revision};
        peer.send_to(boost::asio::buffer(serving::encodeGossip(gossip)), {ip, MeshPort});
        io.restart();
        io.run_for(50ms);
        const auto peers = mesh.statePeers();
        cr_assert_eq(peers.size(), 1U);
        cr_assert(peers.front().watchesStore);
        return peers.front().storeVersion.revision;
    };
    cr_assert_eq(revisionAfterMessage(42), 42U);
    // A full message is composed before it is sent and does not revert the version.
    gossip.kind = serving::GossipKind::Full;
    cr_assert_eq(revisionAfterMessage(41), 42U);
    // A new incarnation starts from the version that it sends.
    gossip.run = 8;
    cr_assert_eq(revisionAfterMessage(40), 40U);
}
