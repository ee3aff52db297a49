/** \file
 * Tests of the watchers of a large deployment and of the state that they send to the others.
 */

#include "serving/statefeed.h"
#include "fakes/fakestore.h"
#include "serving/gossip.h"
#include "serving/stateserver.h"
#include "serving/storemirror.h"
#include "support/loopback.h"

#include <criterion/criterion.h>

#include <map>
#include <set>

using namespace jujube;
using namespace std::chrono_literals;

namespace {

std::vector<serving::HubCandidate> gateways(size_t n, size_t strong)
{
    std::vector<serving::HubCandidate> result;
    for (size_t i = 0; i < n; ++i)
        result.push_back(
            {"front-" + std::string(1, static_cast<char>('a' + i % 5)) + "-" + std::to_string(i),
             i < strong ? 0.5 : 0.09, true});
    return result;
}

std::set<std::string> watchers(const std::vector<serving::HubCandidate> &all,
                               const std::string &hub)
{
    std::set<std::string> result;
    for (const auto &it : all) {
        if (it.alive && serving::watchesForOthers(it.name, hub, all))
            result.insert(it.name);
    }
    return result;
}

/** A store and the mirrors of two gateways, of which the first feeds the second. */
struct Bench
{
    boost::asio::io_context io;
    http::Client httpClient{io};
    test::FakeStore store{io};
    std::string address = test::loopbackAddress(7003);
    serving::StoreClient client{httpClient, address};
    std::shared_ptr<serving::StoreMirror> feeder = mirror();
    std::shared_ptr<serving::StoreMirror> follower = mirror();

    Bench()
    {
        cr_assert(store.listen(address).ok());
        store.put("k/1", "a");
        store.put("k/2", "b");
        feeder->start();
        follower->start();
        cr_assert(until([&]() { return feeder->complete() && follower->complete(); }));
        follower->setFollowing(true);
        // The watch call in progress ends with the next change.
        store.put("k/3", "c");
        cr_assert(
            until([&]() { return !follower->watching() && feeder->version().revision == 4; }));
    }

    std::shared_ptr<serving::StoreMirror> mirror()
    {
        return serving::StoreMirror::create(io, client, "",
                                            {[](const serving::StoreItem &) {}, []() {}});
    }

    bool until(const std::function<bool()> &done)
    {
        const core::TimePoint end = core::BootClock::now() + 3s;
        while (!done() && core::BootClock::now() < end) {
            io.restart();
            io.run_for(5ms);
        }
        return done();
    }

    /** Sends the changes from the feeder to the follower, encoded and decoded. */
    serving::StorePage feed()
    {
        auto page =
            serving::decodeState(serving::encodeState(feeder->changesAfter(follower->version())));
        cr_assert(page.ok());
        follower->applyPeerState(*page);
        return *page;
    }
};

} // namespace

Test(statefeed, few_gateways_watch_whatever_the_size)
{
    for (const size_t n : {10, 103, 2'400}) {
        auto all = gateways(n, 15);
        const std::string hub = all[0].name;
        const auto before = watchers(all, hub);
        cr_assert_eq(before.size(), std::min<size_t>(n, 6));
        cr_assert(before.contains(hub));
        // A lost watcher is replaced, and the others remain.
        const std::string lost = *before.rbegin() == hub ? *before.begin() : *before.rbegin();
        for (auto &it : all) {
            if (it.name == lost)
                it.alive = false;
        }
        const auto after = watchers(all, hub);
        cr_assert_eq(after.size(), std::min<size_t>(n - 1, 6));
        for (const std::string &it : before)
            cr_assert(it == lost || after.contains(it));
    }
}

// Guards against a store call of every gateway for each change of a configuration or an endpoint.
Test(statefeed, a_follower_receives_changes_and_removals_without_the_store)
{
    Bench it;
    const uint64_t calls = it.store.callCount();
    it.store.put("k/1", "new");
    it.store.erase("k/2");
    cr_assert(it.until([&]() { return it.feeder->version().revision == 6; }));
    const auto page = it.feed();
    cr_assert_eq(page.items.size(), 2U, "only the changes are sent");
    cr_assert_str_eq(it.follower->items().at("k/1").value.c_str(), "new");
    cr_assert_not(it.follower->items().contains("k/2"));
    cr_assert_eq(it.follower->version().revision, 6U);
    // Only the watch calls of the feeder, at most one for each change.
    cr_assert_leq(it.store.callCount() - calls, 3U);
}

Test(statefeed, a_follower_never_goes_back)
{
    Bench it;
    const auto old = it.feeder->changesAfter({});
    cr_assert_eq(old.baseRevision, 0U);
    it.store.put("k/1", "new");
    cr_assert(it.until([&]() { return it.feeder->version().revision == 5; }));
    it.feed();
    it.follower->applyPeerState(old);
    cr_assert_str_eq(it.follower->items().at("k/1").value.c_str(), "new");
    serving::StorePage gap;
    gap.baseRevision = 9;
    gap.version.revision = 10;
    it.follower->applyPeerState(gap);
    cr_assert_eq(it.follower->version().revision, 5U, "a delta that leaves a gap is ignored");
}

// Guards against a listing by each of hundreds of gateways after a restore: only watchers list the
// store.
Test(statefeed, a_follower_receives_a_new_era_from_its_feeder)
{
    Bench it;
    const uint64_t calls = it.store.callCount();
    it.store.restore(core::Milliseconds(0));
    it.store.put("k/1", "again");
    cr_assert(it.until([&]() {
        return it.feeder->complete() && it.feeder->version().era == 1
            && it.feeder->items().at("k/1").value == "again";
    }));
    cr_assert_not(it.follower->complete());
    const auto page = it.feed();
    cr_assert_eq(page.baseRevision, 0U);
    cr_assert(it.follower->complete());
    cr_assert_eq(it.follower->version(), it.feeder->version());
    cr_assert(it.follower->items().at("k/1").value == "again");
    // The aborted watch, the listing, and the watches for the changes in the meantime.
    cr_assert_leq(it.store.callCount() - calls, 5U);
}

// A follower without feeders resumes its watch at its own version, so that it misses no change.
Test(statefeed, a_follower_that_is_not_fed_watches_itself)
{
    Bench it;
    it.store.put("k/9", "later");
    it.follower->setFollowing(false);
    cr_assert(it.until([&]() { return it.follower->items().contains("k/9"); }));
    cr_assert(it.follower->watching());
}

// A gateway that has just started does not know the removals before its first listing.
Test(statefeed, a_version_before_the_known_removals_gets_a_full_copy)
{
    Bench it;
    cr_assert_eq(it.feeder->changesAfter({0, 1}).baseRevision, 0U);
    cr_assert_eq(it.feeder->changesAfter({0, 3}).baseRevision, 3U);
}

Test(statefeed, is_fed_only_while_several_feeders_answer)
{
    boost::asio::io_context io;
    http::Client httpClient(io);
    serving::StateFeed feed(httpClient, "self", [](const serving::StorePage &) {});
    const std::vector<serving::FeedPeer> peers{{"a", "127.0.0.1:1", {0, 5}, true},
                                               {"b", "127.0.0.1:1", {0, 5}, true}};
    cr_assert_not(feed.isFed(peers, core::BootClock::now()), "no feeder has answered yet");
    cr_assert(feed.refreshDue(core::BootClock::now()));
    feed.fetch(peers, {0, 5}, core::BootClock::now());
    cr_assert_not(feed.refreshDue(core::BootClock::now()));
}

// Guards against late updates of removed or draining endpoints (GONE, DRAIN), which occur if all
// gateways request the state from one small gateway: watchers with a newer version are preferred.
Test(statefeed, gateways_that_watch_are_asked_before_small_ones)
{
    const std::vector<serving::FeedPeer> peers{{"small-1", "", {0, 9}, false},
                                               {"strong", "", {0, 8}, true},
                                               {"small-2", "", {0, 9}, false}};
    for (size_t turn = 0; turn < 5; ++turn) {
        cr_assert_eq(serving::chooseFeeder(peers, {0, 7}, turn).value(), 1U);
        cr_assert_neq(serving::chooseFeeder(peers, {0, 8}, turn).value(), 1U,
                      "it has no newer version");
        cr_assert_eq(serving::chooseFeeder(peers, {0, 9}, turn).value(), 1U);
    }
    cr_assert_not(serving::chooseFeeder({}, {0, 7}, 0).has_value());
}

// Guards against the same fault if a hundred gateways learn of a change at the same time.
Test(statefeed, gateways_do_not_all_ask_the_same_feeder)
{
    const std::vector<serving::FeedPeer> feeders(6, {"feeder", "", {0, 8}, true});
    std::map<size_t, size_t> requests;
    constexpr size_t followers = 97;
    for (size_t i = 0; i < followers; ++i) {
        const std::string name = "front-accra-" + std::to_string(i);
        ++requests[serving::chooseFeeder(feeders, {0, 7}, serving::initialTurn(name)).value()];
    }
    for (const auto &[feeder, n] : requests)
        cr_assert_leq(n, 2 * followers / feeders.size());
}

Test(statefeed, malformed_requests_are_refused)
{
    using serving::requestedStateVersion;
    using serving::StoreVersion;
    cr_assert(requestedStateVersion("/state") == StoreVersion());
    cr_assert(requestedStateVersion("/state?after=3.17") == StoreVersion({3, 17}));
    for (const char *target :
         {"/stat", "/state?after=", "/state?after=-1", "/state?after=1x", "/state?after=17",
          "/state?after=1.", "/state?after=.1", "/state?after=1.2.3", "/state?after=1.-2",
          "/state?before=1", "/state?after=1.99999999999999999999999"})
        cr_assert_not(requestedStateVersion(target).has_value(), "%s", target);
}

// Guards against processor shares rounded on the wire: each of several equal gateways would
// consider all others better equipped than itself.
Test(statefeed, processor_shares_are_encoded_exactly)
{
    serving::GossipMessage gossip;
    for (const double share : {0.09, 0.12, 0.5}) {
        gossip.processorShare = share;
        const auto decoded = serving::decodeGossip(serving::encodeGossip(gossip));
        cr_assert(decoded.ok());
        cr_assert_eq(decoded->processorShare, share);
    }
}
