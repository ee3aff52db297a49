/** \file
 * Tests that messages of peers which expand to more than their limit are refused.
 */

#include "serving/gossip.h"

#include <criterion/criterion.h>

#include <cmath>
#include <limits>

using namespace jujube;

namespace {

// A packed message of zero words: a table with one segment, and runs of 256 words in two bytes
// each.
std::string packedZeros(uint32_t runs)
{
    const uint32_t words = runs * 256;
    std::string bytes = "\xF0"; // Only the upper half of the first word, the size, is not zero.
    for (unsigned shift = 0; shift < 32; shift += 8)
        bytes += static_cast<char>(words >> shift);
    for (uint32_t i = 0; i < runs; ++i)
        bytes += std::string("\0\xFF", 2);
    return bytes;
}

} // namespace

// Guards against memory that is used up by one datagram: 64 KB of a packed message unpack to 64 MB.
Test(peermessages, a_message_that_expands_beyond_its_limit_is_refused)
{
    cr_assert(serving::decodeGossip(packedZeros(400)).ok(), "0.8 MB");
    cr_assert_not(serving::decodeGossip(packedZeros(600)).ok(), "1.2 MB");
    cr_assert_not(serving::decodeGossip(packedZeros(32'000)).ok(), "64 MB");
    cr_assert(serving::decodeState(packedZeros(8'000)).ok(), "16 MB");
    cr_assert_not(serving::decodeState(packedZeros(8'300)).ok(), "17 MB");
}

// Guards against a team that is put behind all others, or memory that is used up, by one peer's
// malformed figures. The valid figures of the list are kept.
Test(peermessages, malformed_uses_of_teams_are_left_out_one_by_one)
{
    serving::GossipMessage gossip;
    gossip.name = "peer";
    constexpr double infinite = std::numeric_limits<double>::infinity();
    for (const double engineMs : {120.5, -1.0, static_cast<double>(NAN), infinite, 1.1e7, 0.0})
        gossip.teamUse.push_back({7, {8, engineMs}});
    const auto decoded = serving::decodeGossip(serving::encodeGossip(gossip));
    cr_assert(decoded.ok());
    cr_assert_eq(decoded->teamUse.size(), 2U);
    cr_assert_eq(decoded->teamUse[0].service, 7U);
    cr_assert_eq(decoded->teamUse[0].use.team, 8U);
    cr_assert_float_eq(decoded->teamUse[0].use.engineMs, 120.5, 1e-3);
    cr_assert_eq(decoded->teamUse[1].use.engineMs, 0);
    gossip.teamUse.assign(5'000, {7, {8, 1}});
    const auto large = serving::decodeGossip(serving::encodeGossip(gossip));
    cr_assert(large.ok());
    cr_assert_eq(large->teamUse.size(), policy::TeamShares::MaxListedTeams);
}
