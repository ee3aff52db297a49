/** \file
 * Tests that leases, claims and usage reports stay correct when the response to a call that took
 * effect is lost.
 */

#include "control/usagereporter.h"
#include "fakes/platformstandin.h"
#include "state/claimstore.h"
#include "state/leaseholder.h"
#include "support/loop.h"

#include <criterion/criterion.h>

using namespace jujube;
using namespace std::chrono_literals;

namespace {

struct Fixture
{
    Fixture()
        : platform({}),
          address(platform.start()),
          http(loop.io()),
          kv(http, address, 1s),
          fleet(http, address, 1s)
    {
    }

    test::Loop loop;
    test::FakePlatform platform;
    std::string address;
    wire::HttpClient http;
    state::KvClient kv;
    state::FleetClient fleet;
};

// Never destroyed, because detached coroutines refer to it until the test process ends.
Fixture &newFixture()
{
    return *new Fixture;
}

bool granted(const absl::StatusOr<state::ClaimResult> &result)
{
    return result.ok() && std::holds_alternative<state::ClaimGranted>(*result);
}

} // namespace

Test(kv, a_write_whose_response_was_lost_is_confirmed_by_reading_back)
{
    Fixture &fixture = newFixture();
    fixture.platform.setFault("kv_lose_answers", 1);
    const auto written = fixture.loop.wait(
        fixture.kv.update("k", [](const state::KvEntry &) { return std::string("mine"); }));
    cr_assert(written.ok(), "%s", written.status().ToString().c_str());
    cr_assert_eq(fixture.platform.countOf("kv.put"), 1U);
}

Test(lease, only_one_holder_at_a_time_and_the_next_after_expiry)
{
    Fixture &fixture = newFixture();
    state::LeaseHolder first(fixture.loop.io(), fixture.kv, "lock", "first", 400ms);
    state::LeaseHolder second(fixture.loop.io(), fixture.kv, "lock", "second", 400ms);
    cr_assert(fixture.loop.wait(first.tryAcquire()));
    cr_assert_not(fixture.loop.wait(second.tryAcquire()));
    cr_assert(fixture.loop.wait(first.renew()));
    fixture.loop.runFor(600ms);
    cr_assert_not(first.held());
    cr_assert(fixture.loop.wait(second.tryAcquire()));
    cr_assert_not(fixture.loop.wait(first.renew()), "an expired lease must not be renewed");
}

Test(lease, a_released_lease_is_free_at_once)
{
    Fixture &fixture = newFixture();
    state::LeaseHolder first(fixture.loop.io(), fixture.kv, "lock", "first", 60s);
    state::LeaseHolder second(fixture.loop.io(), fixture.kv, "lock", "second", 60s);
    cr_assert(fixture.loop.wait(first.tryAcquire()));
    fixture.loop.wait(first.release());
    cr_assert_not(first.held());
    cr_assert(fixture.loop.wait(second.tryAcquire()));
}

Test(claims, a_key_is_granted_once_over_two_entries)
{
    Fixture &fixture = newFixture();
    state::ClaimStore one(fixture.loop.io(), fixture.kv, "main", 4, 60min);
    state::ClaimStore two(fixture.loop.io(), fixture.kv, "main", 4, 60min);
    cr_assert(granted(fixture.loop.wait(one.claim("key", "r1", 7))));
    const auto taken = fixture.loop.wait(two.claim("key", "r2", 7));
    cr_assert(std::holds_alternative<state::ClaimInProgress>(*taken));
    const auto reused = fixture.loop.wait(two.claim("key", "r3", 8));
    cr_assert(std::holds_alternative<state::ClaimMismatch>(*reused));
}

Test(claims, a_recorded_response_is_returned_again)
{
    Fixture &fixture = newFixture();
    state::ClaimStore one(fixture.loop.io(), fixture.kv, "main", 4, 60min);
    state::ClaimStore two(fixture.loop.io(), fixture.kv, "main", 4, 60min);
    fixture.loop.wait(one.claim("key", "r1", 7));
    one.recordResponse("key", "r1", {201, "text/plain", "receipt 5", true});
    fixture.loop.runFor(200ms);
    const auto again = fixture.loop.wait(two.claim("key", "r2", 7));
    cr_assert_eq(std::get<state::ClaimCompleted>(*again).body, "receipt 5");
}

Test(claims, a_released_claim_can_be_claimed_again)
{
    Fixture &fixture = newFixture();
    state::ClaimStore one(fixture.loop.io(), fixture.kv, "main", 4, 60min);
    fixture.loop.wait(one.claim("key", "r1", 7));
    one.release("key", "r1");
    fixture.loop.runFor(200ms);
    cr_assert(granted(fixture.loop.wait(one.claim("key", "r2", 7))));
}

Test(claims, without_the_kv_a_claim_is_refused_and_a_later_retry_is_granted)
{
    Fixture &fixture = newFixture();
    state::ClaimStore one(fixture.loop.io(), fixture.kv, "main", 4, 60min);
    fixture.platform.setFault("kv_outage", 1);
    cr_assert_not(fixture.loop.wait(one.claim("key", "r1", 7)).ok());
    fixture.platform.setFault("kv_outage", 0);
    fixture.loop.runFor(1'000ms);
    cr_assert(granted(fixture.loop.wait(one.claim("key", "r2", 7))));
}

Test(claims, claims_that_arrive_together_share_a_write)
{
    Fixture &fixture = newFixture();
    state::ClaimStore one(fixture.loop.io(), fixture.kv, "main", 1, 60min);
    std::vector<wire::Task<absl::StatusOr<state::ClaimResult>>> pending;
    pending.reserve(50);
    for (int i = 0; i < 50; ++i)
        pending.push_back(one.claim("key" + std::to_string(i), "r" + std::to_string(i), 1));
    for (auto &it : pending)
        cr_assert(granted(fixture.loop.wait(std::move(it))));
    cr_assert_leq(fixture.platform.countOf("kv.put"), 3U);
}

Test(claims, an_unreadable_page_is_not_replaced)
{
    Fixture &fixture = newFixture();
    fixture.loop.wait(fixture.kv.compareAndSwap("claims/main/0", 0, "{broken"));
    state::ClaimStore one(fixture.loop.io(), fixture.kv, "main", 1, 60min);
    cr_assert_not(fixture.loop.wait(one.claim("key", "r1", 7)).ok());
    cr_assert_eq(fixture.loop.wait(fixture.kv.get("claims/main/0"))->value, "{broken");
}

Test(usagereports, a_report_whose_response_was_lost_is_not_sent_again)
{
    Fixture &fixture = newFixture();
    state::LeaseHolder lease(fixture.loop.io(), fixture.kv, "lock", "me", 60s);
    cr_assert(fixture.loop.wait(lease.tryAcquire()));
    state::UsageLedger ledger(fixture.kv, "main", state::UsageSide::Entry, 11);
    control::ReporterSettings settings;
    settings.scope = "main";
    settings.window = 1s;
    settings.grace = 100ms;
    control::UsageReporter reporter(fixture.kv, fixture.fleet, settings,
                                    [](uint64_t) { return true; });
    state::UsageFigures figures;
    figures.requests = 3;
    ledger.count(state::windowStartSeconds(core::wallTime(), 1s), 22, "team", figures);
    cr_assert(fixture.loop.wait(ledger.flush()).ok());
    cr_assert(ledger.allWritten());
    fixture.platform.setFault("report_lose_answers", 1);
    for (int i = 0; i < 6; ++i) {
        fixture.loop.runFor(600ms);
        fixture.loop.wait(reporter.tick(1, lease));
    }
    cr_assert_eq(fixture.platform.countOf("usage.report"), 1U);
    // A later controller finds the window sealed and reported.
    control::UsageReporter successor(fixture.kv, fixture.fleet, settings,
                                     [](uint64_t) { return true; });
    fixture.loop.wait(successor.tick(2, lease));
    cr_assert_eq(fixture.platform.countOf("usage.report"), 1U);
}
