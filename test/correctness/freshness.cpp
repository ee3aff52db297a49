/** \file
 * Tests that an entry distinguishes an outage of the KV from a partition that cuts off itself
 * alone.
 */

#include "policy/freshness.h"

#include <criterion/criterion.h>

using namespace jujube;
using namespace std::chrono_literals;
using policy::Freshness;

namespace {

const core::TimePoint Now{1'000s};
const core::FreshnessToken Old{7, Now - 60s};

policy::PeerView peer(core::TimePoint lastReceivedAt, bool refused = false)
{
    return {"peer", lastReceivedAt, refused};
}

} // namespace

Test(freshness, recent_evidence_is_enough)
{
    const core::FreshnessToken recent{7, Now - 2s};
    cr_assert(policy::judgeFreshness(recent, {peer(Now - 60s)}, Now, {}) == Freshness::Confirmed);
}

Test(freshness, an_outage_that_all_peers_share_lets_service_go_on)
{
    cr_assert(policy::judgeFreshness(Old, {peer(Now - 1s), peer(Now)}, Now, {})
              == Freshness::Outage);
}

Test(freshness, a_silent_peer_may_be_on_the_side_that_reaches_the_kv)
{
    cr_assert(policy::judgeFreshness(Old, {peer(Now), peer(Now - 10s)}, Now, {})
              == Freshness::CutOff);
}

Test(freshness, a_peer_whose_host_refuses_connections_can_accept_nothing)
{
    cr_assert(policy::judgeFreshness(Old, {peer(Now), peer(Now - 10s, true)}, Now, {})
              == Freshness::Outage);
}
