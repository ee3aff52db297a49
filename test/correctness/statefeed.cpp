/** \file
 * Tests of the few watchers of a large deployment and of what they tell the others.
 */

#include "serving/statefeed.h"
#include "fakes/storestandin.h"
#include "serving/news.h"
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

/** A store and mirrors of two gateways, of which the second is fed by the first. */
struct Bench
{
    boost::asio::io_context io;
    http::Caller caller{io};
    test::FakeStore store{io};
    std::string address = test::loopbackAddress(7003);
    serving::StoreClient client{caller, address};
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
        // The watch that is under way ends with the next change.
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

    /** What goes from one to the other, in its form on the wire. */
    serving::StorePage feed()
    {
        auto page =
            serving::decodeState(serving::encodeState(feeder->changesAfter(follower->version())));
        cr_assert(page.ok());
        follower->absorb(*page);
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
        // One that is lost is replaced, and the others stay.
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

// Settings files and workers change all the time: a follower makes no call to the store for it.
Test(statefeed, a_follower_learns_changes_and_removals_without_the_store)
{
    Bench it;
    const uint64_t calls = it.store.callCount();
    it.store.put("k/1", "new");
    it.store.erase("k/2");
    cr_assert(it.until([&]() { return it.feeder->version().revision == 6; }));
    const auto page = it.feed();
    cr_assert_eq(page.items.size(), 2U, "only what changed goes over the wire");
    cr_assert_str_eq(it.follower->items().at("k/1").value.c_str(), "new");
    cr_assert_not(it.follower->items().contains("k/2"));
    cr_assert_eq(it.follower->version().revision, 6U);
    // The feeder's own watches: one for each change at most.
    cr_assert_leq(it.store.callCount() - calls, 3U);
}

Test(statefeed, a_follower_never_goes_back)
{
    Bench it;
    const auto old = it.feeder->changesAfter({});
    cr_assert_eq(old.base, 0U);
    it.store.put("k/1", "new");
    cr_assert(it.until([&]() { return it.feeder->version().revision == 5; }));
    it.feed();
    it.follower->absorb(old);
    cr_assert_str_eq(it.follower->items().at("k/1").value.c_str(), "new");
    serving::StorePage gap;
    gap.base = 9;
    gap.version.revision = 10;
    it.follower->absorb(gap);
    cr_assert_eq(it.follower->version().revision, 5U, "changes after a gap are not taken");
}

// Hundreds of gateways learn of a restore in the same moment: only those that watch list the store.
Test(statefeed, a_follower_takes_a_new_era_from_its_feeder)
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
    cr_assert_eq(page.base, 0U);
    cr_assert(it.follower->complete());
    cr_assert_eq(it.follower->version(), it.feeder->version());
    cr_assert(it.follower->items().at("k/1").value == "again");
    // The watch that is cut, the listing, and watches for what is written meanwhile.
    cr_assert_leq(it.store.callCount() - calls, 5U);
}

// Its feeders are gone: it watches again from where it was, and misses nothing.
Test(statefeed, a_follower_that_is_not_fed_watches_itself)
{
    Bench it;
    it.store.put("k/9", "later");
    it.follower->setFollowing(false);
    cr_assert(it.until([&]() { return it.follower->items().contains("k/9"); }));
    cr_assert(it.follower->watching());
}

// A gateway that has just started knows of no removal before its own first listing.
Test(statefeed, what_is_older_than_the_removals_known_is_told_whole)
{
    Bench it;
    cr_assert_eq(it.feeder->changesAfter({0, 1}).base, 0U);
    cr_assert_eq(it.feeder->changesAfter({0, 3}).base, 3U);
}

Test(statefeed, is_fed_only_while_several_feeders_answer)
{
    boost::asio::io_context io;
    http::Caller caller(io);
    serving::StateFeed feed(caller, "self", [](const serving::StorePage &) {});
    const std::vector<serving::FeedPeer> peers{{"a", "127.0.0.1:1", {0, 5}, true},
                                               {"b", "127.0.0.1:1", {0, 5}, true}};
    cr_assert_not(feed.fed(peers, core::BootClock::now()), "nobody has answered yet");
    cr_assert(feed.refreshDue(core::BootClock::now()));
    feed.fetch(peers, {0, 5}, core::BootClock::now());
    cr_assert_not(feed.refreshDue(core::BootClock::now()));
}

// Guards against requests and leavers that are late because one small gateway is asked by all
// others at once (GONE, DRAIN): those that watch are asked as long as they are as new.
Test(statefeed, gateways_that_watch_are_asked_before_small_ones)
{
    const std::vector<serving::FeedPeer> peers{{"small-1", "", {0, 9}, false},
                                               {"strong", "", {0, 8}, true},
                                               {"small-2", "", {0, 9}, false}};
    for (size_t turn = 0; turn < 5; ++turn) {
        cr_assert_eq(serving::chooseFeeder(peers, {0, 7}, turn).value(), 1U);
        cr_assert_neq(serving::chooseFeeder(peers, {0, 8}, turn).value(), 1U, "it has no more");
        cr_assert_eq(serving::chooseFeeder(peers, {0, 9}, turn).value(), 1U);
    }
    cr_assert_not(serving::chooseFeeder({}, {0, 7}, 0).has_value());
}

// The same: a hundred gateways hear of a change in the same moment.
Test(statefeed, gateways_do_not_all_ask_the_same_feeder)
{
    const std::vector<serving::FeedPeer> feeders(6, {"feeder", "", {0, 8}, true});
    std::map<size_t, size_t> asked;
    constexpr size_t followers = 97;
    for (size_t i = 0; i < followers; ++i) {
        const std::string name = "front-accra-" + std::to_string(i);
        ++asked[serving::chooseFeeder(feeders, {0, 7}, serving::firstTurn(name)).value()];
    }
    for (const auto &[feeder, n] : asked)
        cr_assert_leq(n, 2 * followers / feeders.size());
}

Test(statefeed, malformed_questions_are_refused)
{
    using serving::StateFeed;
    using serving::StoreVersion;
    cr_assert(StateFeed::askedVersion("/state") == StoreVersion());
    cr_assert(StateFeed::askedVersion("/state?after=3.17") == StoreVersion({3, 17}));
    for (const char *target :
         {"/stat", "/state?after=", "/state?after=-1", "/state?after=1x", "/state?after=17",
          "/state?after=1.", "/state?after=.1", "/state?after=1.2.3", "/state?after=1.-2",
          "/state?before=1", "/state?after=1.99999999999999999999999"})
        cr_assert_not(StateFeed::askedVersion(target).has_value(), "%s", target);
}

// Gateways compare their own share with those that came over the wire: rounded ones made each of a
// deployment of equal gateways take all others for better equipped.
Test(statefeed, shares_of_processors_are_told_exactly)
{
    serving::News news;
    for (const double share : {0.09, 0.12, 0.5}) {
        news.processorShare = share;
        const auto heard = serving::decodeNews(serving::encodeNews(news));
        cr_assert(heard.ok());
        cr_assert_eq(heard->processorShare, share);
    }
}
