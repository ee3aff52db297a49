/** \file
 * Tests that a mirror never returns to an older revision and accepts a freshness token only if it
 * has the changes that the token covers.
 */

#include "entry/kvmirror.h"
#include "support/loop.h"

#include <criterion/criterion.h>

using namespace jujube;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
    test::Loop loop;
    wire::HttpClient http{loop.io()};
    state::KvClient kv{http, "127.0.0.1:9", 100ms};
    entry::KvMirror mirror{loop.io(), kv, "fleet/", "fleet/config/"};
};

} // namespace

Test(kvmirror, changes_apply_by_revision_in_any_order)
{
    Fixture fixture;
    fixture.mirror.apply({{"fleet/config/keys-00", "new", 9, false}});
    fixture.mirror.apply({{"fleet/config/keys-00", "old", 5, false}});
    cr_assert_eq(fixture.mirror.find("fleet/config/keys-00")->value, "new");
    fixture.mirror.apply({{"fleet/config/keys-00", "", 12, true}});
    fixture.mirror.apply({{"fleet/config/keys-00", "new", 9, false}});
    cr_assert_null(fixture.mirror.find("fleet/config/keys-00"));
}

Test(kvmirror, deletions_reach_the_peers)
{
    Fixture fixture;
    fixture.mirror.apply({{"fleet/a", "x", 3, false}, {"fleet/b", "y", 4, false}});
    fixture.mirror.apply({{"fleet/a", "", 7, true}});
    const auto changes = fixture.mirror.changesAfter(3, 10);
    cr_assert_eq(changes.size(), 2U);
    cr_assert_eq(changes[0].key, "fleet/b");
    cr_assert(changes[1].deleted);
}

Test(kvmirror, a_token_for_a_newer_configuration_is_ignored)
{
    Fixture fixture;
    const core::TimePoint now = core::BootClock::now();
    fixture.mirror.apply({{"fleet/config/keys-00", "k", 9, false}});
    fixture.mirror.applyFreshnessToken({10, now});
    cr_assert_not(fixture.mirror.everConfirmed());
    fixture.mirror.applyFreshnessToken({9, now});
    cr_assert(fixture.mirror.everConfirmed());
}

// Guards against tokens that cover the plan: an entry without the newest plan would reject them and
// consider its configuration unconfirmed.
Test(kvmirror, a_new_plan_does_not_invalidate_the_freshness_token)
{
    Fixture fixture;
    const core::TimePoint now = core::BootClock::now();
    fixture.mirror.apply({{"fleet/config/keys-00", "k", 9, false}});
    // The other mirror has the plan of revision 40; its token still covers revision 9 only.
    entry::KvMirror peerMirror(fixture.loop.io(), fixture.kv, "fleet/", "fleet/config/");
    peerMirror.apply(
        {{"fleet/config/keys-00", "k", 9, false}, {"fleet/plan/main", "p", 40, false}});
    peerMirror.applyFreshnessToken({9, now});
    cr_assert_eq(peerMirror.freshnessToken().version, 9U, "version %lu",
                 peerMirror.freshnessToken().version);
    fixture.mirror.applyFreshnessToken(peerMirror.freshnessToken());
    cr_assert(fixture.mirror.freshnessToken().confirmedAt == now);
}
