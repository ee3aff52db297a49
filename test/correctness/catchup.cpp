/** \file
 * Tests of how long a gateway of a large deployment may stay behind its peers.
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
constexpr core::Milliseconds LargePace{1'000}; ///< Of the watches of a hundred gateways.
constexpr core::Milliseconds Tick{200};        ///< Between two decisions.

// How long after the first decision a gateway that is behind acts.
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

// Guards against requests to a worker that is leaving (DRAIN): a gateway that watches, but is
// refused by the store, cannot expect its own watch to tell, so it asks its peers at once.
Test(catchup, one_that_the_store_refuses_asks_its_peers_at_once)
{
    cr_assert(timeUntil({true, false, false, LargePace}, Fetches) == 0ms);
}

// Guards against requests to a worker that is leaving (DRAIN): a watch may be dark while the store
// seems to answer. Asking a peer costs little, so that does not wait for the pace of the watches.
Test(catchup, one_whose_watch_is_dark_asks_a_peer_before_it_reads_the_store_afresh)
{
    const auto fetch = timeUntil({true, false, true, LargePace}, Fetches);
    const auto list = timeUntil({true, false, true, LargePace}, Lists);
    cr_assert(fetch.has_value() && list.has_value());
    cr_assert_leq(fetch->count(), 600);
    cr_assert_geq(list->count(), LargePace.count());
}

Test(catchup, one_that_is_fed_asks_at_once_and_one_that_is_not_behind_does_nothing)
{
    cr_assert(timeUntil({true, true, true, LargePace}, Fetches) == 0ms);
    cr_assert_not(timeUntil({false, true, true, LargePace}, Fetches).has_value());
}

// Guards against requests to a worker that is leaving (DRAIN): a hub that the store refuses, and
// with it all that go by its sums, learns from the reports of load which peer has a newer state.
// The whole news of a large deployment, which tell it as well, are up to two seconds old.
Test(catchup, reports_of_load_tell_which_peers_have_a_newer_state)
{
    boost::asio::io_context io;
    http::Client caller(io);
    serving::EndpointTable endpoints;
    serving::PeerMesh mesh(io, caller, endpoints,
                           {[]() { return serving::News(); },
                            [](const serving::StoreVersion &) { return serving::StorePage(); },
                            [](const serving::News &) {}});
    const std::string address = test::loopbackAddress(MeshPort);
    serving::NodeSettings settings;
    settings.name = "hub";
    settings.ip = address.substr(0, address.rfind(':'));
    settings.firstInternalPort = MeshPort;
    cr_assert(mesh.start(settings, 1).ok());
    const auto ip = boost::asio::ip::make_address(settings.ip);
    boost::asio::ip::udp::socket peer(io, {ip, PeerPort});
    serving::News news;
    news.kind = serving::NewsKind::Load;
    news.name = "peer";
    news.run = 7;
    news.sequence = 1;
    news.watches = true;
    const auto toldOf = [&](uint64_t revision) {
        news.storeVersion = {0, revision};
        peer.send_to(boost::asio::buffer(serving::encodeNews(news)), {ip, MeshPort});
        io.restart();
        io.run_for(50ms);
        const auto peers = mesh.statePeers();
        cr_assert_eq(peers.size(), 1U);
        cr_assert(peers.front().watches);
        return peers.front().storeVersion.revision;
    };
    cr_assert_eq(toldOf(42), 42U);
    // Whole news are composed earlier than they are sent: they do not take it back.
    news.kind = serving::NewsKind::Whole;
    cr_assert_eq(toldOf(41), 42U);
    // A new run starts from what it says itself.
    news.run = 8;
    cr_assert_eq(toldOf(40), 40U);
}
