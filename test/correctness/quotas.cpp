/** \file
 * Tests of the quotas of teams in simulated deployments.
 */

#include "support/quotafleet.h"

#include <criterion/criterion.h>

using namespace jujube;
using namespace std::chrono_literals;
using core::TimePoint;
using test::QuotaFleet;

namespace {

// 27 requests of 12,000 tokens a second: nine times the quota.
constexpr double NineTimes = 27;
constexpr double HalfOfQuota = 1.5;

void assertKept(const QuotaFleet &fleet, TimePoint from, const char *when)
{
    cr_expect_leq(fleet.mostInWindow(from), fleet.allowed(), "%s: %g of %g tokens", when,
                  fleet.mostInWindow(from), fleet.allowed());
}

void assertUsed(const QuotaFleet &fleet, TimePoint from, double share, const char *when)
{
    const double time = std::chrono::duration<double>(fleet.now() - from).count();
    cr_expect_geq(fleet.tokensSince(from), share * 36'000 * time, "%s: %g of %g tokens", when,
                  fleet.tokensSince(from), 36'000 * time);
}

} // namespace

// Guards against gateways that together exceed a quota which is small compared with a request, and
// against one that is left unused, in deployments of every size and with requests of all sizes.
Test(quotas, a_team_that_sends_nine_times_its_quota_gets_all_of_it_and_no_more)
{
    for (const bool hub : {true, false}) {
        for (const double tokens : {200.0, 12'000.0, 60'000.0}) {
            for (const size_t gateways :
                 hub ? std::vector<size_t>{11, 29} : std::vector<size_t>{1, 9}) {
                QuotaFleet fleet({.gateways = gateways, .hub = hub, .requestTokens = tokens});
                fleet.run(5s, 0.3 * 36'000 / tokens);
                const TimePoint start = fleet.now();
                fleet.run(30s, 9 * 36'000 / tokens);
                const std::string when = std::to_string(gateways) + " gateways, "
                    + std::to_string(static_cast<int>(tokens));
                assertKept(fleet, start, when.c_str());
                assertUsed(fleet, start, 0.9, when.c_str());
            }
        }
    }
}

// Guards against refusals of a team that stays below its quota: when all of its requests arrive at
// one gateway, and when that gateway changes.
Test(quotas, no_request_below_the_quota_is_refused)
{
    for (const bool hub : {true, false}) {
        QuotaFleet fleet({.gateways = hub ? 29U : 9U, .hub = hub});
        fleet.run(20s, HalfOfQuota);
        for (const size_t at : {3U, 0U, 5U, 8U}) {
            std::vector<double> weights(hub ? 29 : 9, 0.0);
            weights[at] = 1;
            fleet.run(10s, HalfOfQuota, weights);
        }
        cr_expect_eq(fleet.refusals(), 0U, "%zu of %zu", fleet.refusals(), fleet.admissions());
    }
}

// Guards against a quota that is exceeded, or not usable, after a gateway was added, restarted,
// stopped or paused; old counts must neither be added again nor subtracted.
Test(quotas, changes_of_the_gateways_neither_exceed_nor_waste_a_quota)
{
    for (const bool hub : {true, false}) {
        QuotaFleet fleet({.gateways = hub ? 29U : 9U, .hub = hub});
        const TimePoint start = fleet.now();
        fleet.run(10s, NineTimes);
        for (size_t i = 1; i < 5; ++i) {
            fleet.restart(i);
            fleet.run(2s, NineTimes);
        }
        const TimePoint restarted = fleet.now();
        fleet.run(10s, NineTimes);
        assertUsed(fleet, restarted, 0.9, "after restarts");
        fleet.stop(6);
        fleet.setPaused(7, true);
        fleet.run(7s, NineTimes);
        fleet.setPaused(7, false);
        fleet.run(18s, NineTimes);
        const TimePoint without = fleet.now();
        fleet.run(10s, NineTimes);
        assertUsed(fleet, without, 0.9, "with a gateway less");
        fleet.add();
        fleet.run(10s, NineTimes);
        assertKept(fleet, start, hub ? "with a hub" : "mesh");
    }
}

// Guards against an idle team's old counts being charged by a hub that has started since, and
// against a quota that its level of zero blocks.
Test(quotas, a_restarted_hub_takes_over_levels_and_counts)
{
    QuotaFleet fleet({});
    fleet.run(20s, HalfOfQuota);
    fleet.run(25s, 0);
    const size_t refusals = fleet.refusals();
    fleet.restart(0);
    fleet.run(20s, HalfOfQuota);
    cr_expect_leq(fleet.refusals() - refusals, 1U);
    const TimePoint start = fleet.now();
    fleet.run(10s, NineTimes);
    fleet.restart(0);
    fleet.run(20s, NineTimes);
    assertKept(fleet, start, "restart of the hub");
    assertUsed(fleet, start, 0.85, "restart of the hub");
}

// Guards against tokens that are spent twice while the hub changes and while there are two.
Test(quotas, a_change_of_the_hub_and_two_hubs_do_not_exceed_a_quota)
{
    QuotaFleet fleet({});
    const TimePoint start = fleet.now();
    fleet.run(10s, NineTimes);
    fleet.stop(0);
    fleet.run(600ms, NineTimes);
    fleet.setHubOfAll(1);
    fleet.run(5s, NineTimes);
    for (size_t i = 0; i < 29; i += 2)
        fleet.setHub(i, 2);
    fleet.setHub(2, 2);
    fleet.run(1s, NineTimes);
    fleet.setHubOfAll(2);
    fleet.run(10s, NineTimes);
    assertKept(fleet, start, "hub change");
    assertUsed(fleet, start, 0.8, "hub change");
}

// Guards against partitioned gateways that together spend more than their parts, also when they
// return, and against a one-way partition.
Test(quotas, partitioned_gateways_do_not_exceed_a_quota)
{
    for (const bool hub : {true, false}) {
        const size_t n = hub ? 29 : 9;
        for (const auto time : {3'000ms, 18'000ms}) {
            QuotaFleet fleet({.gateways = n, .hub = hub});
            const TimePoint start = fleet.now();
            fleet.run(10s, NineTimes);
            for (size_t i = 1; i <= n / 3; ++i)
                fleet.isolate(i, true);
            fleet.run(time, NineTimes);
            for (size_t i = 1; i <= n / 3; ++i)
                fleet.isolate(i, false);
            fleet.run(10s, NineTimes);
            fleet.cut(0, n - 1, true); // Hears nothing of the hub.
            fleet.run(5s, NineTimes);
            fleet.cut(0, n - 1, false);
            fleet.cut(n - 1, 0, true); // The hub hears nothing of it.
            fleet.run(5s, NineTimes);
            assertKept(fleet, start, hub ? "with a hub" : "mesh");
        }
    }
}

// Guards against a quota that is exceeded when a team's load rises at the moment of a failure: all
// buckets are full, and each gateway without contact takes its part for unused.
Test(quotas, a_rise_of_load_during_a_failure_does_not_exceed_a_quota)
{
    struct Case
    {
        double perSecond;
        double tokens;
    };
    for (const Case &it : {Case{36'000, 2'000}, Case{36'000, 60'000}, Case{660'000, 12'000}}) {
        const double nineTimes = 9 * it.perSecond / it.tokens;
        for (const bool hub : {true, false}) {
            const size_t n = hub ? 29 : 9;
            const QuotaFleet::Settings settings{.gateways = n,
                                                .hub = hub,
                                                .quota = {it.perSecond, it.perSecond},
                                                .requestTokens = it.tokens,
                                                .patience = 3s};
            QuotaFleet parted(settings);
            parted.run(5s, 0.03 * nineTimes);
            for (size_t i = 1; i <= n / 3; ++i)
                parted.isolate(i, true);
            parted.run(17s, nineTimes);
            for (size_t i = 1; i <= n / 3; ++i)
                parted.isolate(i, false);
            parted.run(8s, nineTimes);
            assertKept(parted, TimePoint{}, "a third cut off");
            QuotaFleet restarted(settings);
            restarted.run(5s, 0.03 * nineTimes);
            restarted.restart(0);
            restarted.run(9s, nineTimes);
            assertKept(restarted, TimePoint{}, "restart of the hub");
        }
    }
}

// Guards against a paused gateway that spends the time of its suspension at once.
Test(quotas, a_paused_gateway_does_not_use_the_time_of_its_pause)
{
    QuotaFleet fleet({});
    fleet.run(2s, HalfOfQuota);
    fleet.setPaused(4, true);
    fleet.run(30s, NineTimes);
    fleet.setPaused(4, false);
    cr_expect(fleet.modeOf(4) == policy::QuotaMode::Alone);
    const size_t before = fleet.admissions();
    for (int i = 0; i < 10; ++i)
        fleet.request(4, 12'000);
    cr_expect_eq(fleet.admissions(), before);
}

// Guards against a lowered quota that is kept late, a raised one that stays unused, and a removed
// one that still refuses.
Test(quotas, changes_of_a_quota_are_kept)
{
    QuotaFleet fleet({});
    fleet.run(10s, NineTimes);
    fleet.setQuota(policy::QuotaRate{18'000, 18'000});
    const TimePoint lowered = fleet.now();
    fleet.run(12s, NineTimes);
    assertKept(fleet, lowered + 3s, "lowered");
    fleet.setQuota(policy::QuotaRate{72'000, 72'000});
    const TimePoint raised = fleet.now();
    fleet.run(10s, NineTimes);
    assertUsed(fleet, raised, 1.9, "raised");
    fleet.setQuota(std::nullopt);
    const size_t refusals = fleet.refusals();
    fleet.run(5s, 3 * NineTimes);
    cr_expect_eq(fleet.refusals(), refusals);
}

// Guards against a request that is larger than the burst and never admitted, and against a refund
// that leaves the level low.
Test(quotas, requests_above_the_burst_are_admitted_and_refunds_raise_the_level)
{
    QuotaFleet fleet({.gateways = 1, .hub = false, .quota = {1'000, 1'000}, .terms = {8s, 0.1, 0}});
    for (int i = 0; i < 3; ++i) {
        fleet.request(0, 5'000);
        fleet.run(6s, 0);
    }
    cr_expect_eq(fleet.admissions(), 3U);
    policy::QuotaLedger &ledger = fleet.ledgerOf(0);
    policy::QuotaGate gate(ledger, fleet.now());
    const double before = ledger.level(7, fleet.now());
    gate.charge(7, 500, {}, fleet.now());
    cr_expect_float_eq(ledger.level(7, fleet.now()), before - 500, 1);
    gate.refund(7, 500, fleet.now());
    cr_expect_float_eq(ledger.level(7, fleet.now()), before, 1);
}

// Guards against counts that are applied twice or taken back: by datagrams that overtake each
// other, and by those of a previous incarnation.
Test(quotas, late_reports_and_those_of_a_previous_incarnation_change_nothing)
{
    const TimePoint now{1h};
    policy::QuotaLedger ledger({8s, 0, 0}, true, now);
    ledger.setQuota(7, policy::QuotaRate{1, 10'000}, now);
    const auto levelAfter = [&](uint64_t run, uint64_t sequence, int64_t tokens) {
        const policy::QuotaCount count{7, tokens};
        ledger.apply({1, run, sequence, {&count, 1}, {}}, now);
        return ledger.level(7, now);
    };
    cr_expect_float_eq(levelAfter(5, 2, 3'000), 7'000, 1);
    cr_expect_float_eq(levelAfter(5, 1, 1'000), 7'000, 1);
    cr_expect_float_eq(levelAfter(6, 1, 500), 6'500, 1);
    cr_expect_float_eq(levelAfter(5, 3, 3'200), 6'500, 1);
    cr_expect_float_eq(levelAfter(6, 2, 500), 6'500, 1);
    cr_expect_float_eq(levelAfter(6, 3, 400), 6'600, 1, "a refund");
}

// Guards against unused parts of silent gateways that are added at once when they return, and
// against their use in that time being charged again.
Test(quotas, a_gateway_that_returns_adds_no_more_than_it_has_used)
{
    TimePoint now{1h};
    policy::QuotaLedger ledger({8s, 0, 0}, true, now);
    ledger.setQuota(7, policy::QuotaRate{1'000, 10'000}, now);
    ledger.noteHeard(1, 5, now);
    ledger.charge(7, 10'000, now);
    for (int i = 0; i < 100; ++i)
        ledger.advance(now += 100ms);
    cr_expect_float_eq(ledger.level(7, now), 5'250, 10, "half of the rate, and 0.5 s of the other");
    const policy::QuotaCount count{7, 2'000};
    ledger.apply({1, 5, 2, {&count, 1}, {}}, now);
    cr_expect_float_eq(ledger.level(7, now), 5'250, 10);
}

// Guards against old datagrams, which a process reads first after a suspension, being taken for
// new.
Test(quotas, a_statement_read_right_after_a_suspension_is_not_believed)
{
    TimePoint now{1h};
    policy::QuotaLedger ledger({8s, 0.1, 1'000}, true, now);
    ledger.setQuota(7, policy::QuotaRate{1'000, 10'000}, now);
    policy::QuotaGate gate(ledger, now);
    gate.setRole(policy::QuotaRole::Member, now);
    uint64_t sequence = 0;
    const auto hear = [&]() {
        ledger.noteHeard(1, 5, now);
        gate.applyStatement({1, 5, ++sequence, {}}, now);
        return gate.mode(now);
    };
    cr_expect(hear() == policy::QuotaMode::Member);
    now += 10s;
    cr_expect(hear() == policy::QuotaMode::Alone);
    cr_expect(gate.decide(7, 8'000, now).verdict != policy::QuotaVerdict::Admit);
    now += 400ms;
    cr_expect(hear() == policy::QuotaMode::Member);
    cr_expect(gate.decide(7, 3'000, now).verdict == policy::QuotaVerdict::Admit);
}

// Guards against one request that stops a team for hours: a client that states four billion tokens
// was admitted by a full bucket and left a debt that the rate repays in a day.
Test(quotas, a_request_beyond_the_quota_of_a_window_is_refused)
{
    const core::TimePoint start{1h};
    const policy::QuotaTerms terms{8'000ms, 0.1, 140'000};
    policy::QuotaLedger ledger(terms, true, start);
    ledger.setQuota(7, policy::QuotaRate{36'000, 36'000}, start);
    ledger.endOfConfiguration();
    policy::QuotaGate gate(ledger, start);
    gate.setRole(policy::QuotaRole::Hub, start);
    const auto refused = gate.decide(7, 4.3e9, start);
    cr_assert(refused.verdict == policy::QuotaVerdict::Refuse);
    cr_assert_gt(refused.retryIn.count(), 0);
    cr_assert(gate.decide(7, 60'000, start).verdict == policy::QuotaVerdict::Admit);
}

// Guards against a hub that refuses everything when a better equipped gateway returns: what it knew
// of statements dates from before it was the hub.
Test(quotas, a_former_hub_lets_requests_wait_for_the_first_statement)
{
    const core::TimePoint start{1h};
    const policy::QuotaTerms terms{8'000ms, 0.1, 140'000};
    policy::QuotaLedger ledger(terms, true, start);
    ledger.addGateway(2, start);
    ledger.setQuota(7, policy::QuotaRate{36'000, 36'000}, start);
    ledger.endOfConfiguration();
    policy::QuotaGate gate(ledger, start);
    gate.setRole(policy::QuotaRole::Hub, start);
    core::TimePoint now = start;
    for (; now < start + 60s; now += 100ms) {
        ledger.noteHeard(2, 5, now);
        gate.touch(now);
    }
    gate.setRole(policy::QuotaRole::Member, now);
    gate.touch(now);
    cr_assert(gate.decide(7, 12'000, now).verdict == policy::QuotaVerdict::Wait);
}
