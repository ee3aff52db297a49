/** \file
 * Tests of how a quarantine is kept in the store and told to peers.
 */

#include "serving/quarantinekeeper.h"
#include "fakes/fakestore.h"
#include "serving/gossip.h"
#include "serving/storemirror.h"
#include "support/loopback.h"

#include <criterion/criterion.h>

using namespace jujube;
using namespace std::chrono_literals;
using serving::QuarantineKeeper;

namespace {

/** A gateway's quarantine and its mirror of the store. */
struct Member
{
    Member(boost::asio::io_context &io, http::Client &httpClient, const std::string &address,
           const std::string &name)
        : client(httpClient, address), keeper(client, name)
    {
        mirror =
            serving::StoreMirror::create(io, client, "",
                                         {[this](const serving::StoreItem &item) {
                                              if (item.key.starts_with(QuarantineKeeper::Prefix))
                                                  keeper.onItem(item);
                                          },
                                          []() {}});
        mirror->start();
    }

    serving::StoreClient client;
    QuarantineKeeper keeper;
    std::shared_ptr<serving::StoreMirror> mirror;
};

struct Bench
{
    boost::asio::io_context io;
    http::Client httpClient{io};
    test::FakeStore store{io};
    std::string address = test::loopbackAddress(7041);
    std::vector<uint64_t> blocks =
        QuarantineKeeper::sharedBlocks("model", {{1, 10}, {2, 10}, {3, 10}});
    std::vector<std::unique_ptr<Member>> members;

    Bench() { cr_assert(store.listen(address).ok()); }

    Member &add()
    {
        members.push_back(std::make_unique<Member>(io, httpClient, address,
                                                   "gateway-" + std::to_string(members.size())));
        return *members.back();
    }

    void run(core::Milliseconds time)
    {
        const core::TimePoint end = core::BootClock::now() + time;
        while (core::BootClock::now() < end) {
            io.restart();
            io.run_for(20ms);
            for (const auto &it : members)
                it->keeper.tick(it->mirror->complete() && it->mirror->reachable());
        }
    }

    void crash(Member &member, size_t engines)
    {
        for (size_t i = 0; i < engines; ++i) {
            serving::EndpointRecord record;
            record.id = "i-" + std::to_string(++lastEngine);
            member.keeper.recordCrash(blocks, record, "r");
            run(200ms);
        }
    }

    size_t entries() const
    {
        return static_cast<size_t>(
            std::count_if(store.items().begin(), store.items().end(), [](const auto &it) {
                return it.first.starts_with(QuarantineKeeper::Prefix);
            }));
    }

    size_t lastEngine = 0;
};

} // namespace

// Guards against engines that end anew (BUDGET) after all gateways have restarted at once: nobody
// is left who could tell the new ones.
Test(quarantinekeeper, a_gateway_that_starts_alone_finds_the_quarantine_in_the_store)
{
    Bench it;
    Member &first = it.add();
    Member &second = it.add();
    it.run(100ms);
    it.crash(first, 3);
    second.keeper.merge(first.keeper.report());
    it.run(1'500ms);
    cr_assert_eq(it.entries(), 1U, "one entry, whoever writes it");
    Member &late = it.add();
    it.run(200ms);
    cr_assert(late.keeper.timeLeft(it.blocks).has_value());
    cr_assert(late.keeper.timeLeft(it.blocks).value() > 1s, "clients are told when to come back");
    cr_assert_not(late.keeper.timeLeft({it.blocks[0]}).has_value());
}

// Guards against sound requests that are refused for good (LOST): an answer ends the quarantine
// everywhere, and so does the end of its lease.
Test(quarantinekeeper, an_answer_and_the_end_of_the_lease_end_it_for_all)
{
    Bench it;
    Member &first = it.add();
    it.run(100ms);
    it.crash(first, 3);
    it.run(1'500ms);
    cr_assert_eq(it.entries(), 1U);
    Member &other = it.add();
    it.run(200ms);
    cr_assert(other.keeper.timeLeft(it.blocks).has_value());
    first.keeper.recordSuccess(it.blocks);
    it.run(500ms);
    cr_assert_eq(it.entries(), 0U);
    cr_assert_not(first.keeper.timeLeft(it.blocks).has_value());
    cr_assert_not(other.keeper.timeLeft(it.blocks).has_value());
}

// Guards against gateways that cannot reach the store (a cut): they learn it from their peers, and
// entries that are no quarantine change nothing.
Test(quarantinekeeper, peers_and_odd_entries)
{
    Bench it;
    Member &first = it.add();
    it.run(100ms);
    it.crash(first, 3);
    it.run(400ms);
    serving::GossipMessage gossip;
    gossip.blocks = first.keeper.report();
    const auto decoded = serving::decodeGossip(serving::encodeGossip(gossip));
    cr_assert(decoded.ok());
    cr_assert_eq(decoded->blocks.crashes.size(), gossip.blocks.crashes.size());
    cr_assert_eq(decoded->blocks.quarantined.size(), 1U);
    serving::StoreClient unreachable(it.httpClient, test::loopbackAddress(7042));
    QuarantineKeeper cut(unreachable, "cut");
    cut.merge(decoded->blocks);
    cr_assert(cut.timeLeft(it.blocks).has_value());
    for (const char *key : {"", "x", "-1", "11112222333344445", "12 "})
        cut.onItem({std::string(QuarantineKeeper::Prefix) + key, "", {0, 5}, false});
    cr_assert_not(cut.timeLeft({it.blocks[0]}).has_value());
}

// The last block of a prompt is its own.
Test(quarantinekeeper, only_shared_blocks_are_suspected)
{
    cr_assert(QuarantineKeeper::sharedBlocks("model", {}).empty());
    cr_assert(QuarantineKeeper::sharedBlocks("model", {{1, 10}}).empty());
    cr_assert_eq(QuarantineKeeper::sharedBlocks("model", {{1, 10}, {2, 5}}).size(), 1U);
}
