/** \file
 * Tests of a store that is restored from an older backup, in a new era.
 */

#include "fakes/fakestore.h"
#include "serving/endpoints.h"
#include "serving/gossip.h"
#include "serving/leadership.h"
#include "serving/storemirror.h"
#include "serving/usageseals.h"
#include "support/deployment.h"
#include "support/loopback.h"

#include <criterion/criterion.h>

using namespace jujube;
using namespace std::chrono_literals;
using serving::StoreVersion;
using test::StoreFault;

namespace {

struct Bench
{
    boost::asio::io_context io;
    http::Client httpClient{io};
    test::FakeStore store{io};
    std::string address = test::loopbackAddress(7005);
    serving::StoreClient client{httpClient, address};
    std::shared_ptr<serving::StoreMirror> mirror =
        serving::StoreMirror::create(io, client, "", {[](const serving::StoreItem &) {}, []() {}});

    Bench() { cr_assert(store.listen(address).ok()); }

    void runFor(core::Milliseconds time)
    {
        io.restart();
        io.run_for(time);
    }

    bool until(const std::function<bool()> &done)
    {
        const core::TimePoint end = core::BootClock::now() + 4s;
        while (!done() && core::BootClock::now() < end)
            runFor(5ms);
        return done();
    }

    std::string valueOf(const std::string &key) const
    {
        const auto it = mirror->items().find(key);
        return it == mirror->items().end() ? "" : it->second.value;
    }
};

serving::EndpointRecord entry(int64_t bornMs, uint64_t sequence, const StoreVersion &version,
                              serving::EndpointState state = serving::EndpointState::Ready)
{
    serving::EndpointRecord record;
    record.id = "e";
    record.service = "app";
    record.address = "10.0.0.1:80";
    record.bornMs = bornMs;
    record.sequence = sequence;
    record.version = version;
    record.state = state;
    return record;
}

} // namespace

// Guards against an undetected restore: after an outage, the restored store reaches a higher
// revision than the mirror's, so no status 410 indicates the restore.
Test(storeera, a_restore_is_detected_although_revisions_exceed_the_old_ones)
{
    Bench it;
    it.store.put("a", "old");
    it.runFor(200ms);
    it.mirror->start();
    cr_assert(it.until([&]() { return it.mirror->complete(); }));
    it.store.put("a", "lost");
    it.store.put("b", "lost");
    cr_assert(it.until([&]() { return it.valueOf("b") == "lost"; }));
    const StoreVersion before = it.mirror->version();
    it.store.setFault(StoreFault::Reset);
    it.store.restore(10s);
    for (int i = 0; i < 10; ++i)
        it.store.put("c", "new");
    it.store.put("a", "again");
    it.store.setFault(StoreFault::None);
    cr_assert(it.until([&]() { return it.valueOf("a") == "again"; }));
    cr_assert(it.valueOf("c") == "new");
    cr_assert_eq(it.mirror->version().era, 1U);
    cr_assert_gt(it.mirror->version(), before);
}

// Items that the backup lacks are kept for a grace time in which their owners can write them again.
Test(storeera, items_missing_in_a_backup_are_kept_for_a_grace_time)
{
    Bench it;
    it.runFor(100ms);
    it.mirror->start();
    it.store.put("live", "1");
    it.store.put("dead", "1");
    cr_assert(it.until([&]() { return it.valueOf("dead") == "1"; }));
    it.store.restore(10s);
    cr_assert(it.until([&]() { return it.mirror->version().era == 1 && it.mirror->complete(); }));
    cr_assert(it.valueOf("live") == "1");
    cr_assert(it.valueOf("dead") == "1");
    it.store.put("live", "2");
    cr_assert(it.until([&]() { return it.valueOf("dead").empty(); }));
    cr_assert(it.valueOf("live") == "2");
}

Test(storeera, an_answer_of_an_earlier_era_is_dropped)
{
    Bench it;
    it.store.put("a", "1");
    it.client.observeEra(3);
    absl::Status status;
    it.client.get("a",
                  [&](const absl::StatusOr<serving::StoreItem> &item) { status = item.status(); });
    cr_assert(it.until([&]() { return !status.ok(); }));
    cr_assert(absl::IsCancelled(status));
}

// The condition of the change may have matched an item of the new era.
Test(storeera, a_change_sent_before_a_restore_counts_as_failed)
{
    Bench it;
    std::optional<absl::Status> status;
    serving::StoreCommit commit;
    commit.expected.emplace_back("a", 0);
    commit.writes.push_back({"a", "1", 0});
    it.client.commit(
        commit, [&](const absl::StatusOr<StoreVersion> &version) { status = version.status(); });
    it.runFor(0ms);
    it.store.restore(0ms);
    cr_assert(it.until([&]() { return status.has_value(); }));
    cr_assert(absl::IsCancelled(*status), "%s", std::string(status->message()).c_str());
}

// Guards against state of an earlier era from a peer that does not know of the restore: it is older
// at any revision.
Test(storeera, peer_state_is_compared_by_the_era_first)
{
    Bench it;
    it.store.put("a", "old");
    it.mirror->start();
    cr_assert(it.until([&]() { return it.mirror->complete(); }));
    it.store.setFault(StoreFault::Silent);
    serving::StorePage state;
    state.version = {1, 1};
    state.items.push_back({"a", "new", {1, 1}, false});
    const auto decoded = serving::decodeState(serving::encodeState(state));
    cr_assert(decoded.ok());
    it.mirror->applyPeerState(*decoded);
    cr_assert(it.valueOf("a") == "new");
    cr_assert_eq(it.client.era(), 1U, "the client informs the leadership as well");
    it.mirror->applyPeerState({{{"a", "old", {0, 900}, false}}, {0, 900}, false});
    cr_assert(it.valueOf("a") == "new");
    serving::GossipMessage gossip;
    gossip.storeVersion = {4, 2};
    cr_assert(serving::decodeGossip(serving::encodeGossip(gossip))->storeVersion
              == StoreVersion({4, 2}));
}

Test(storeera, a_follower_gets_a_full_copy_in_a_new_era)
{
    Bench it;
    it.store.put("a", "1");
    it.mirror->start();
    cr_assert(it.until([&]() { return it.mirror->complete(); }));
    const StoreVersion before = it.mirror->version();
    it.store.restore(10s);
    cr_assert(it.until([&]() { return it.mirror->version().era == 1 && it.mirror->complete(); }));
    const auto page = it.mirror->changesAfter(before);
    cr_assert_eq(page.baseRevision, 0U, "a delta would start from another era");
    cr_assert_eq(page.version.era, 1U);
}

// Guards against two leaders if the backup lacks the key of a holder that does not know of the
// restore yet.
Test(storeera, no_gateway_acts_until_the_lease_of_an_unaware_holder_has_ended)
{
    Bench it;
    it.runFor(100ms);
    std::mt19937_64 random(1);
    serving::Leadership one(it.io, it.client, random, "one", 1'000ms);
    one.onKeyFree();
    cr_assert(it.until([&]() { return one.held(); }));
    const uint64_t token = one.fencingToken();
    it.store.restore(10s);
    const core::TimePoint restoredAt = core::BootClock::now();
    cr_assert(one.held(), "it does not know of the restore yet");
    serving::StoreClient other(it.httpClient, it.address);
    serving::Leadership two(it.io, other, random, "two", 1'000ms);
    const auto follow = [&]() {
        const auto key = it.store.items().find(serving::Leadership::Key);
        two.follow(key == it.store.items().end() ? nullptr : &key->second, {1, 1'000});
    };
    while (core::BootClock::now() - restoredAt < 900ms) {
        follow();
        it.runFor(10ms);
        cr_assert_not(two.held());
    }
    cr_assert_not(one.held(), "the answer to its renewal stated the new era");
    cr_assert_eq(it.client.era(), 1U);
    cr_assert(it.until([&]() {
        follow();
        return two.held();
    }));
    cr_assert_gt(two.fencingToken(), token);
}

// Guards against a deployment without a leader if the backup contains a key without a renewed
// lease.
Test(storeera, the_key_of_a_holder_of_an_earlier_era_is_replaced)
{
    Bench it;
    std::mt19937_64 random(1);
    serving::Leadership one(it.io, it.client, random, "one", 600ms);
    one.onKeyFree();
    cr_assert(it.until([&]() { return one.held(); }));
    it.runFor(100ms);
    it.store.restore(0ms);
    cr_assert(it.until([&]() { return !one.held(); }));
    const std::string value = it.store.items().at(serving::Leadership::Key).value;
    it.store.erase(serving::Leadership::Key);
    it.store.put(serving::Leadership::Key, value);
    const serving::StoreItem leftover = it.store.items().at(serving::Leadership::Key);
    serving::Leadership two(it.io, it.client, random, "two", 600ms);
    two.follow(&leftover, {1, leftover.version.revision});
    cr_assert(it.until([&]() { return two.held(); }));
}

Test(storeera, an_endpoint_that_left_does_not_return_with_a_backup)
{
    serving::EndpointTable table;
    const core::TimePoint now = core::BootClock::now();
    table.update(entry(7, 3, {0, 10}), 1'000);
    table.update(entry(7, 5, {0, 20}, serving::EndpointState::Draining), 1'000);
    table.update(entry(7, 3, {1, 10}), 1'000);
    cr_assert_not(table.find("e")->acceptsWork(),
                  "the backup is older than its announced shutdown");
    table.remove("e", 1);
    cr_assert_null(table.find("e").get());
    table.applyHeldBack(now);
    table.applyHeldBack(now + 10s);
    cr_assert_null(table.find("e").get(), "its entry was removed in the new era as well");
}

Test(storeera, an_endpoint_removed_before_a_restore_returns_only_if_it_lives)
{
    serving::EndpointTable table;
    table.update(entry(7, 3, {0, 10}), 1'000);
    table.remove("e", 0);
    table.update(entry(7, 3, {1, 10}), 1'000);
    cr_assert_null(table.find("e").get());
    table.update(entry(7, 4, {1, 30}), 1'000);
    cr_assert_not_null(table.find("e").get(), "its owner has written it again");
    cr_assert(table.find("e")->acceptsWork());
}

// An entry that its owner does not write again, as it has not changed.
Test(storeera, an_entry_that_persists_after_the_grace_time_is_accepted)
{
    serving::EndpointTable table;
    const core::TimePoint now = core::BootClock::now();
    table.update(entry(7, 3, {0, 10}), 1'000);
    table.remove("e", 0);
    table.update(entry(7, 3, {1, 10}), 1'000);
    table.applyHeldBack(now);
    table.applyHeldBack(now + 5s);
    cr_assert_null(table.find("e").get());
    table.applyHeldBack(now + 6s);
    cr_assert_not_null(table.find("e").get());
}

Test(storeera, an_older_incarnation_does_not_replace_a_newer_one)
{
    serving::EndpointTable table;
    table.update(entry(9, 1, {0, 30}), 1'000);
    table.update(entry(7, 50, {1, 10}), 1'000);
    cr_assert_eq(table.find("e")->record.bornMs, 9);
}

// Guards against a second report with other counts: after a restore a leader does not seal a window
// that another leader may have reported.
Test(usageseals, windows_of_an_earlier_era_are_not_sealed_again)
{
    serving::UsageSeals seals;
    cr_assert(seals.maySeal(100s), "the store was never restored");
    cr_assert(seals.addSeal(7, {{"team", 3}}));
    cr_assert_not(seals.addSeal(7, {{"team", 4}}), "the first counts remain");
    seals.startEra(200s, std::nullopt);
    cr_assert_eq(seals.find(7)->at("team"), 3U);
    cr_assert_not(seals.maySeal(199s));
    cr_assert(seals.maySeal(202s));
    seals.limitEraStart(150s);
    cr_assert(seals.maySeal(152s), "the era had begun long before");
}

Test(usageseals, old_windows_are_forgotten)
{
    serving::UsageSeals seals;
    seals.addSeal(7, {{"team", 3}});
    seals.addSeal(9, {{"team", 3}});
    seals.eraseBefore(8);
    cr_assert_null(seals.find(7));
    cr_assert_not_null(seals.find(9));
}

Test(usageseals, the_leader_before_the_restore_may_seal_its_windows)
{
    serving::UsageSeals seals;
    seals.startEra(200s, 120s);
    cr_assert(seals.maySeal(190s));
    cr_assert_not(seals.maySeal(110s), "its predecessor may have sealed that one");
}

// Guards against requests with a withdrawn API key after the store was restored from a backup in
// which the key is valid.
Test(storeera, a_withdrawn_key_stays_withdrawn_and_service_goes_on)
{
    test::Deployment it;
    it.addEndpoint("app");
    it.publishConfig(1, R"(["key-a","key-b"])");
    it.startGateway();
    cr_assert_eq(it.sendRequest("GET", "/read/1", "r1", {{"X-Api-Key", "key-b"}}).status(), 200U);
    it.runFor(800ms);
    it.publishConfig(2);
    cr_assert(it.runUntil([&]() {
        return it.sendRequest("GET", "/read/1", "r2", {{"X-Api-Key", "key-b"}}).status() == 401;
    }));
    it.store().setFault(StoreFault::Reset);
    it.runFor(400ms);
    it.store().restore(900ms);
    it.store().setFault(StoreFault::None);
    const core::TimePoint end = core::BootClock::now() + 3s;
    int n = 0;
    while (core::BootClock::now() < end) {
        const std::string id = "a" + std::to_string(++n);
        cr_assert_eq(it.sendRequest("GET", "/read/1", id + "b", {{"X-Api-Key", "key-b"}}).status(),
                     401U);
        cr_assert_eq(it.sendRequest("GET", "/read/1", id).status(), 200U);
        it.runFor(50ms);
    }
}
