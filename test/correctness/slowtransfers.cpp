/** \file
 * Tests of transfers of a large state over a slow link.
 */

#include "core/text.h"
#include "fakes/fakestore.h"
#include "serving/gossip.h"
#include "serving/statefeed.h"
#include "serving/storemirror.h"
#include "support/loopback.h"
#include "support/slowlink.h"

#include <criterion/criterion.h>

#include <random>

using namespace jujube;
using namespace std::chrono_literals;

namespace {

constexpr double SlowLinkRate = 1.25e6; ///< Bytes per second of a link of 10 Mbit/s.
// Slightly below the largest value that the platform's store accepts.
constexpr size_t LargeValueBytes = 1'000'000;
// Time in which a change has to be in force in deployments with such links.
constexpr core::Milliseconds ChangeInForce{3'000};

/** Bytes that cannot be compressed. */
std::string randomBytes(size_t n)
{
    std::mt19937_64 random(1);
    std::string bytes;
    bytes.reserve(n);
    while (bytes.size() < n)
        bytes += static_cast<char>(random());
    return bytes;
}

/** Gateways' server of the store state and its store, both behind slow links. */
struct Bench
{
    boost::asio::io_context io;
    http::Client httpClient{io};
    test::FakeStore store{io};
    std::string storeAddress = test::loopbackAddress(7021);
    std::string feederAddress = test::loopbackAddress(7022);
    std::string slowStoreAddress = test::loopbackAddress(7023);
    std::string slowFeederAddress = test::loopbackAddress(7024);
    std::shared_ptr<serving::StoreMirror> feederMirror;
    serving::StoreClient feederClient{httpClient, storeAddress};
    size_t fetches = 0; ///< Requests that the feeder received.
    http::Server feeder{
        io, [this](const http::Request &request, const http::Responder &responder) {
            ++fetches;
            const auto after = serving::StateFeed::requestedVersion(request.head.target);
            http::Head head;
            head.status = http::status::Ok;
            responder.send(head, serving::encodeState(feederMirror->changesAfter(*after)));
        }};
    test::SlowLink storeLink{io, storeAddress, SlowLinkRate};
    test::SlowLink feederLink{io, feederAddress, SlowLinkRate};

    Bench()
    {
        cr_assert(store.listen(storeAddress).ok());
        cr_assert(feeder.listen(feederAddress).ok());
        cr_assert(storeLink.listen(slowStoreAddress));
        cr_assert(feederLink.listen(slowFeederAddress));
        feederMirror = serving::StoreMirror::create(io, feederClient, "",
                                                    {[](const serving::StoreItem &) {}, []() {}});
        feederMirror->start();
        cr_assert(until([this]() { return feederMirror->complete(); }, 3s));
    }

    bool until(const std::function<bool()> &done, core::Milliseconds limit)
    {
        const core::TimePoint end = core::BootClock::now() + limit;
        while (!done() && core::BootClock::now() < end) {
            io.restart();
            io.run_for(5ms);
        }
        return done();
    }
};

} // namespace

// Guards against an old configuration in force (CONFIG) at gateways with slow links: a fetch of the
// state from a peer was given up after 0.8 s, and another one began beside it after 0.4 s, so a
// configuration of several hundred KB never arrived.
Test(slowtransfers, a_follower_receives_a_large_configuration_over_a_slow_link)
{
    Bench it;
    std::optional<serving::StorePage> received;
    serving::StateFeed feed(it.httpClient, "follower",
                            [&](const serving::StorePage &state) { received = state; });
    it.store.put("op/config", randomBytes(LargeValueBytes));
    cr_assert(it.until([&]() { return it.feederMirror->version().revision == 2; }, 3s));
    const std::vector<serving::FeedPeer> peers{
        {"feeder", it.slowFeederAddress, it.feederMirror->version(), true}};
    // Gateways check several times per second whether they have to fetch.
    const core::TimePoint begin = core::BootClock::now();
    while (!received && core::BootClock::now() < begin + ChangeInForce) {
        feed.fetch(peers, {0, 1}, core::BootClock::now());
        it.until([&]() { return received.has_value(); }, 200ms);
    }
    cr_assert(received.has_value());
    cr_assert_eq(received->items.size(), 1U);
    cr_assert_eq(received->items.front().value.size(), LargeValueBytes);
}

// Guards against gateways without a configuration (CONFIG) after a restart: a listing of the store
// was given up after one second, however much of it had arrived.
Test(slowtransfers, a_gateway_that_starts_lists_a_large_configuration_over_a_slow_link)
{
    Bench it;
    it.store.put("op/config", randomBytes(LargeValueBytes));
    serving::StoreClient client(it.httpClient, it.slowStoreAddress);
    const auto mirror = serving::StoreMirror::create(it.io, client, "",
                                                     {[](const serving::StoreItem &) {}, []() {}});
    mirror->start();
    cr_assert(it.until([&]() { return mirror->complete(); }, ChangeInForce));
    cr_assert_eq(mirror->items().at("op/config").value.size(), LargeValueBytes);
}

// Guards against an old configuration in force (CONFIG) at a gateway that watches over a slow link:
// a watch call had 0.6 s beyond its wait for the whole answer.
Test(slowtransfers, a_change_late_in_a_watch_call_arrives_over_a_slow_link)
{
    Bench it;
    it.store.put("op/config", "{}");
    serving::StoreClient client(it.httpClient, it.slowStoreAddress);
    const auto mirror = serving::StoreMirror::create(it.io, client, "",
                                                     {[](const serving::StoreItem &) {}, []() {}});
    mirror->setWatchWait(300ms);
    mirror->start();
    cr_assert(it.until([&]() { return mirror->watching(); }, 3s));
    it.until([]() { return false; }, 200ms);
    it.store.put("op/config", randomBytes(LargeValueBytes));
    cr_assert(
        it.until([&]() { return mirror->items().at("op/config").value.size() == LargeValueBytes; },
                 ChangeInForce));
    cr_assert(mirror->reachable());
}

// Guards against an old configuration in force (CONFIG) at gateways with slow links: a gateway that
// was behind began another transfer every 0.4 s, and all of them shared its link.
Test(slowtransfers, a_transfer_that_makes_progress_has_the_link_to_itself)
{
    Bench it;
    std::optional<serving::StorePage> received;
    serving::StateFeed feed(it.httpClient, "follower",
                            [&](const serving::StorePage &state) { received = state; });
    it.store.put("op/config", randomBytes(LargeValueBytes));
    cr_assert(it.until([&]() { return it.feederMirror->version().revision == 2; }, 3s));
    it.feederLink.setRate(SlowLinkRate / 2); // Requests take the other half.
    const std::vector<serving::FeedPeer> peers{
        {"feeder", it.slowFeederAddress, it.feederMirror->version(), true}};
    const core::TimePoint begin = core::BootClock::now();
    while (!received && core::BootClock::now() < begin + ChangeInForce) {
        feed.fetch(peers, {0, 1}, core::BootClock::now());
        it.until([&]() { return received.has_value(); }, 200ms);
    }
    cr_assert(received.has_value());
    cr_assert_eq(it.fetches, 1U);
}

// Guards against a wait for a feeder that has stopped: another peer is asked before the request to
// the first one has failed.
Test(slowtransfers, a_feeder_that_does_not_answer_is_not_waited_for)
{
    Bench it;
    std::optional<serving::StorePage> received;
    serving::StateFeed feed(it.httpClient, "follower",
                            [&](const serving::StorePage &state) { received = state; });
    http::Server silent(it.io, [](const http::Request &, const http::Responder &) {});
    const std::string silentAddress = test::loopbackAddress(7025);
    cr_assert(silent.listen(silentAddress).ok());
    std::vector<serving::FeedPeer> peers(2, {"silent", silentAddress, {0, 9}, true});
    peers.push_back({"feeder", it.slowFeederAddress, {0, 9}, true});
    const core::TimePoint begin = core::BootClock::now();
    while (!received && core::BootClock::now() < begin + 2s) {
        feed.fetch(peers, {0, 0}, core::BootClock::now());
        it.until([&]() { return received.has_value(); }, 50ms);
    }
    cr_assert(received.has_value());
    cr_assert_lt(core::BootClock::now() - begin, 1'200ms);
}
