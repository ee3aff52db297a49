/** \file
 * Tests of event framing, usage counts and the encoding of gossip messages.
 */

#include "serving/eventframer.h"
#include "serving/gossip.h"
#include "serving/usagecounts.h"

#include <criterion/criterion.h>

using namespace jujube;
using namespace std::chrono_literals;

// An endpoint stops in the middle of an event: the incomplete event is not returned.
Test(eventframes, returns_complete_events_only)
{
    serving::EventFramer frames;
    cr_assert(frames.add("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    cr_assert(frames.lastId() == "1");
    cr_assert(frames.partial());
    frames.dropPartial();
    cr_assert(frames.add("id: 2\r\ndata: b\r\n\r\n") == "id: 2\r\ndata: b\r\n\r\n");
    cr_assert(frames.lastId() == "2");
    cr_assert_not(frames.partial());
}

Test(usagecounts, counts_of_an_incarnation_only_grow)
{
    serving::UsageCounts usage(5'000ms);
    usage.merge(7, 3, {{"a", 5}});
    usage.merge(7, 3, {{"a", 4}, {"b", 1}}); // An older datagram that arrives late.
    usage.countRequest("a", 15'100ms);
    const auto total = usage.total(3);
    cr_assert_eq(total.at("a"), 6U);
    cr_assert_eq(total.at("b"), 1U);
}

// The counts of a killed gateway are known to its peers; those of its successor with the same name
// add to them.
Test(usagecounts, incarnations_of_one_gateway_add_up)
{
    serving::UsageCounts usage(5'000ms);
    usage.merge(1, 3, {{"a", 5}});
    usage.merge(2, 3, {{"a", 2}});
    cr_assert_eq(usage.total(3).at("a"), 7U);
}

Test(usagecounts, windows_follow_the_wall_clock)
{
    const serving::UsageCounts usage(5'000ms);
    cr_assert_eq(usage.windowAt(14'999ms), 2U);
    cr_assert_eq(usage.windowEnd(2).count(), 15'000);
}

Test(news, survive_encoding_and_decoding)
{
    serving::GossipMessage gossip;
    gossip.name = "g1";
    gossip.run = 0xfeedfacecafebeefULL;
    gossip.sequence = 9;
    gossip.storeVersion = {2, 412};
    gossip.shares.push_back({17, {3, 12'000}, true, true});
    gossip.windows.push_back({5, 353'445'120, {{"team", 412}}});
    gossip.prefixBlocks.push_back({17, {99, 4'870}});
    const auto back = serving::decodeGossip(serving::encodeGossip(gossip));
    cr_assert(back.ok());
    cr_assert_eq(back->run, gossip.run);
    cr_assert_eq(back->shares.front().load.backlogTokens, 12'000U);
    cr_assert(back->shares.front().changing);
    cr_assert_eq(back->windows.front().counts.at("team"), 412U);
    cr_assert_eq(back->prefixBlocks.front().link.tokens, 4'870U);
}

Test(news, foreign_bytes_are_an_error)
{
    cr_assert_not(serving::decodeGossip("GET / HTTP/1.1\r\n\r\n").ok());
    cr_assert_not(serving::decodeGossip("").ok());
    cr_assert_not(serving::decodeState(std::string(40, '\xff')).ok());
}
