/** \file
 * Tests of the store mirror and of the leadership under faults of the store.
 */

#include "serving/storemirror.h"
#include "fakes/fakestore.h"
#include "serving/leadership.h"
#include "support/loopback.h"

#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>
#include <functional>

using namespace jujube;
using namespace std::chrono_literals;
using test::StoreFault;

namespace {

const std::string StoreAddress = test::loopbackAddress(7001);

struct Bench
{
    boost::asio::io_context io;
    http::Client httpClient{io};
    test::FakeStore store{io};
    serving::StoreClient client{httpClient, StoreAddress};
    std::shared_ptr<serving::StoreMirror> mirror;

    Bench()
    {
        cr_assert(store.listen(StoreAddress).ok());
        mirror = serving::StoreMirror::create(io, client, "",
                                              {[](const serving::StoreItem &) {}, []() {}});
    }

    void runFor(core::Milliseconds time)
    {
        io.restart();
        io.run_for(time);
    }

    // Waits for a condition, as a fixed time would be too short on a busy machine.
    bool until(const std::function<bool()> &done)
    {
        const core::TimePoint end = core::BootClock::now() + 3s;
        while (!done() && core::BootClock::now() < end)
            runFor(5ms);
        return done();
    }

    bool has(const std::string &key) const { return mirror->items().contains(key); }
};

} // namespace

Test(storemirror, follows_writes_and_removals)
{
    Bench it;
    it.store.put("a", "1");
    it.mirror->start();
    cr_assert(it.until([&]() { return it.has("a"); }));
    it.store.put("b", "2");
    it.store.erase("a");
    cr_assert(it.until([&]() { return it.has("b") && !it.has("a"); }));
}

Test(storemirror, reads_listings_of_several_pages)
{
    Bench it;
    it.store.setPageSize(3);
    for (int i = 0; i < 10; ++i)
        it.store.put("k" + std::to_string(i), "v");
    it.mirror->start();
    cr_assert(it.until([&]() { return it.mirror->items().size() == 10; }));
}

// Guards against a missed removal if the store drops its history while it is unreachable: the
// mirror lists all items again.
Test(storemirror, finds_a_removal_in_a_dropped_history)
{
    Bench it;
    it.store.put("a", "1");
    it.store.put("b", "1");
    it.mirror->start();
    cr_assert(it.until([&]() { return it.mirror->complete(); }));
    it.store.setFault(StoreFault::Reset);
    it.runFor(100ms);
    it.store.erase("a");
    it.store.compact();
    it.store.setFault(StoreFault::None);
    cr_assert(it.until([&]() { return !it.has("a"); }));
    cr_assert(it.has("b"));
}

// Guards against the removal of live owners whose leases expire while the store is unreachable:
// they get a grace time to write their items again.
Test(storemirror, items_that_lapsed_in_an_outage_get_a_grace_time)
{
    Bench it;
    it.store.put("live", "1");
    it.store.put("dead", "1");
    it.mirror->start();
    cr_assert(it.until([&]() { return it.mirror->complete(); }));
    it.store.setFault(StoreFault::Reset);
    it.runFor(4s);
    it.store.erase("live");
    it.store.erase("dead");
    it.store.setFault(StoreFault::None);
    cr_assert(it.until([&]() { return it.mirror->reachable(); }));
    cr_assert(it.has("live"));
    cr_assert(it.has("dead"));
    it.store.put("live", "2");
    cr_assert(it.until([&]() { return !it.has("dead"); }));
    cr_assert(it.has("live"));
}

Test(storemirror, applies_only_a_newer_copy_of_a_peer)
{
    Bench it;
    it.store.put("a", "1");
    it.mirror->start();
    cr_assert(it.until([&]() { return it.mirror->complete(); }));
    it.store.setFault(StoreFault::Silent);
    const uint64_t revision = it.mirror->version().revision;
    it.mirror->applyPeerState({{{"b", "2", {0, revision + 1}, false}}, {0, revision + 2}, false});
    cr_assert(it.has("b"));
    cr_assert_not(it.has("a"));
    it.mirror->applyPeerState({{{"a", "1", {0, 1}, false}}, {0, revision}, false});
    cr_assert_not(it.has("a"));
}

Test(leadership, one_holder_at_a_time_with_growing_tokens)
{
    Bench it;
    std::mt19937_64 random(1);
    serving::Leadership one(it.io, it.client, random, "one", 1'000ms);
    serving::Leadership two(it.io, it.client, random, "two", 1'000ms);
    one.onKeyFree();
    two.onKeyFree();
    cr_assert(it.until([&]() { return one.held() || two.held(); }));
    it.runFor(300ms);
    cr_assert_neq(one.held(), two.held());
    serving::Leadership &first = one.held() ? one : two;
    serving::Leadership &second = one.held() ? two : one;
    const uint64_t token = first.fencingToken();
    it.runFor(2s);
    cr_assert(first.held());
    first.stop();
    cr_assert(it.until([&]() { return !it.store.items().contains(serving::Leadership::Key); }));
    cr_assert_not(first.held());
    second.onKeyFree();
    cr_assert(it.until([&]() { return second.held(); }));
    cr_assert_gt(second.fencingToken(), token);
}

// The store is unreachable for longer than the lease: the holder stops before the lease lapses.
Test(leadership, ends_by_its_own_clock)
{
    Bench it;
    std::mt19937_64 random(1);
    serving::Leadership leader(it.io, it.client, random, "one", 1'000ms);
    leader.onKeyFree();
    cr_assert(it.until([&]() { return leader.held(); }));
    it.store.setFault(StoreFault::Silent);
    it.runFor(1'050ms);
    cr_assert_not(leader.held());
}

// Guards against two alternating leaders if a fault of the store ends a lease early and another
// gateway acquires the key: the previous holder gives up and does not act within one lease time.
Test(leadership, holders_do_not_alternate_after_a_lapse)
{
    Bench it;
    std::mt19937_64 random(1);
    serving::Leadership one(it.io, it.client, random, "one", 1'000ms);
    one.onKeyFree();
    cr_assert(it.until([&]() { return one.held(); }));
    const uint64_t token = one.fencingToken();
    one.observe({}, {0, token - 1});
    cr_assert(one.held(), "the mirror is older than the key");
    it.store.erase(serving::Leadership::Key);
    serving::Leadership two(it.io, it.client, random, "two", 1'000ms);
    two.onKeyFree();
    cr_assert(it.until([&]() { return two.held(); }));
    one.observe({0, two.fencingToken()}, {0, two.fencingToken()});
    cr_assert_not(one.held());
    const core::TimePoint lostAt = core::BootClock::now();
    two.stop();
    it.store.erase(serving::Leadership::Key);
    one.onKeyFree();
    cr_assert(it.until([&]() { return one.held(); }));
    cr_assert_geq(core::BootClock::now() - lostAt, 1'000ms);
}
