/** \file
 * Tests that each check of jujube-check passes a valid history and reports a breach of its
 * guarantee.
 */

#include "jujubecheck/checks.h"

#include <criterion/criterion.h>

using namespace jujube::check;
using namespace std::chrono_literals;

namespace {

void expectBreach(const CheckResult &result)
{
    cr_assert_gt(result.examined, 0U, "%s examined nothing", result.guarantee.c_str());
    cr_assert_gt(result.breaches.size(), 0U, "%s found nothing", result.guarantee.c_str());
}

void expectHeld(const CheckResult &result)
{
    cr_assert_gt(result.examined, 0U, "%s examined nothing", result.guarantee.c_str());
    cr_assert_eq(result.breaches.size(), 0U, "%s: %s", result.guarantee.c_str(),
                 result.breaches.empty() ? "" : result.breaches[0].c_str());
}

EngineOrder order(Instant at, uint64_t term, uint64_t sequence)
{
    EngineOrder it;
    it.vm = "engine-1";
    it.at = at;
    it.term = term;
    it.sequence = sequence;
    return it;
}

KvChange plan(Instant at, int term, int sequence)
{
    KvChange it;
    it.at = at;
    it.key = "fleet/plan/main";
    it.value = "{\"term\":" + std::to_string(term) + ",\"endpoints\":{\"engine-1\":{\"term\":"
        + std::to_string(term) + ",\"sequence\":" + std::to_string(sequence) + "}}}";
    return it;
}

CallResult call(const std::string &outcome)
{
    CallResult it;
    it.team = "a";
    it.outcome = outcome;
    it.correct = outcome == "whole";
    it.start = 10s;
    it.end = 11s;
    it.entry = "127.0.0.1:17081";
    return it;
}

ProcessEvent applied(const std::string &process, Instant at, int version)
{
    return {at, process, "configuration.applied", {{"version", std::to_string(version)}}};
}

} // namespace

Test(checks, engine_orders_must_not_go_back_or_overlap)
{
    History history;
    history.engineOrders = {order(1s, 1, 1), order(9s, 2, 1)};
    expectHeld(checkEngineOrders(history));
    history.engineOrders.push_back(order(20s, 1, 9));
    expectBreach(checkEngineOrders(history));
    history.engineOrders = {order(1s, 1, 1), order(2s, 1, 2)};
    history.engineOrders[1].duringChange = true;
    expectBreach(checkEngineOrders(history));
}

Test(checks, an_order_needs_a_plan_that_asks_for_it)
{
    History history;
    history.kvChanges = {plan(1s, 1, 1), plan(30s, 2, 1)};
    history.engineOrders = {order(2s, 1, 1), order(31s, 2, 1)};
    expectHeld(checkOrdersInPlan(history));
    history.engineOrders.push_back(order(60s, 1, 1));
    expectBreach(checkOrdersInPlan(history));
}

Test(checks, a_planned_change_must_cut_nothing)
{
    History history;
    history.engineOrders = {order(1s, 1, 1)};
    expectHeld(checkPlannedChanges(history));
    history.engineOrders[0].abortedRequests = 1;
    expectBreach(checkPlannedChanges(history));

    History calls;
    calls.calls = {call("none")};
    calls.operations = {{9s, "kill", "entry1"}, {12s, "start", "entry1"}};
    expectHeld(checkPlannedChanges(calls));
    calls.operations = {{9s, "term", "entry1"}, {12s, "start", "entry1"}};
    expectBreach(checkPlannedChanges(calls));
}

Test(checks, endpoint_orders_come_once_and_in_term_order)
{
    History history;
    history.fleetOrders = {{1s, "o1", 1, "remove", "vm"}, {2s, "o2", 2, "remove", "vm"}};
    expectHeld(checkFleetOrders(history));
    history.fleetOrders.push_back({3s, "o3", 1, "remove", "vm"});
    expectBreach(checkFleetOrders(history));
    history.fleetOrders = {{1s, "o1", 1, "add", ""}, {2s, "o1", 1, "add", ""}};
    expectBreach(checkFleetOrders(history));
}

Test(checks, reports_repeat_their_figures)
{
    History history;
    history.usageReports = {{1s, "a", 60, 1, 5, 100, 10}, {2s, "a", 60, 2, 5, 100, 10}};
    expectHeld(checkUsageReports(history));
    history.usageReports[1].outputTokens = 11;
    expectBreach(checkUsageReports(history));
    history.usageReports = {{1s, "a", 60, 2, 5, 100, 10}, {2s, "a", 120, 1, 5, 100, 10}};
    expectBreach(checkUsageReports(history));
}

Test(checks, the_reported_sum_lies_between_answered_and_produced)
{
    History history;
    CallResult whole = call("whole");
    whole.promptTokens = 100;
    whole.outputTokens = 10;
    history.calls = {whole};
    history.engineRuns = {{"engine-1", "r", 10s, 10, 100, ""}};
    history.usageReports = {{20s, "a", 60, 1, 1, 100, 10}};
    expectHeld(checkUsageTotals(history));
    history.usageReports[0].outputTokens = 9;
    expectBreach(checkUsageTotals(history));
    history.usageReports[0].outputTokens = 11;
    expectBreach(checkUsageTotals(history));
}

Test(checks, a_wrong_answer_is_not_whole)
{
    History history;
    history.calls = {call("whole")};
    expectHeld(checkAnswers(history));
    history.calls[0].correct = false;
    expectBreach(checkAnswers(history));
}

Test(checks, a_request_refused_as_not_run_has_not_run)
{
    History history;
    CallResult refused = call("not-run");
    refused.changesState = true;
    refused.idempotencyKey = "k1";
    history.calls = {refused};
    expectHeld(checkRefusals(history));
    history.serviceRuns = {{"service-1", 10s, "POST", "k1", ""}};
    expectBreach(checkRefusals(history));
    History partly;
    partly.calls = {call("not-run")};
    expectHeld(checkRefusals(partly));
    partly.calls[0].receivedBytes = 8;
    expectBreach(checkRefusals(partly));
}

Test(checks, unrepeatable_requests_run_once)
{
    History history;
    history.serviceRuns = {{"service-1", 10s, "POST", "k1", ""}};
    expectHeld(checkAtMostOnce(history));
    history.serviceRuns.push_back({"service-2", 11s, "POST", "k1", ""});
    expectBreach(checkAtMostOnce(history));
    history.serviceRuns = {{"service-1", 10s, "POST", "other", ""}};
    CallResult whole = call("whole");
    whole.changesState = true;
    whole.idempotencyKey = "k1";
    history.calls = {whole};
    expectBreach(checkAtMostOnce(history));
}

Test(checks, endpoints_get_no_key_and_withdrawn_keys_stop_working)
{
    History history;
    history.engineRuns = {{"engine-1", "r1", 10s, 0, 0, ""}};
    history.events = {{10s, "entry1", "request.routed", {{"request", "r1"}, {"team", "a"}}}};
    history.operations = {{6s, "withdraw-key", "a"}};
    expectHeld(checkApiKeys(history));
    history.engineRuns[0].start = 12s;
    expectBreach(checkApiKeys(history));
    history.engineRuns = {{"engine-1", "r1", 1s, 0, 0, "Bearer jj_x"}};
    expectBreach(checkApiKeys(history));
    history.engineRuns.clear();
    history.operations = {{1s, "withdraw-key", "a"}};
    history.serviceRuns = {{"service-1", 1s, "GET", "", ""}};
    history.calls = {call("whole")};
    expectBreach(checkApiKeys(history));
}

Test(checks, a_leaving_endpoint_gets_nothing_new)
{
    History history;
    history.operations = {{10s, "drain", "engine-1"}, {30s, "activate", "engine-1"}};
    history.engineRuns = {{"engine-1", "r1", 14s, 0, 0, ""}, {"engine-1", "r2", 31s, 0, 0, ""}};
    expectHeld(checkDraining(history));
    history.engineRuns.push_back({"engine-1", "r3", 16s, 0, 0, ""});
    expectBreach(checkDraining(history));
}

Test(checks, configurations_apply_in_time_and_never_revert)
{
    History history;
    KvChange change;
    change.at = 20s;
    change.key = "fleet/config/keys";
    change.revision = 9;
    history.kvChanges = {change};
    history.events = {applied("entry1", 10s, 3), applied("entry1", 21s, 9),
                      applied("entry2", 10s, 3), applied("entry2", 22s, 9),
                      applied("entry2", 40s, 9)};
    expectHeld(checkConfiguration(history));
    history.events[3].at = 30s;
    expectBreach(checkConfiguration(history));
    history.events[3].at = 22s;
    history.events.push_back(applied("entry1", 41s, 8));
    expectBreach(checkConfiguration(history));
}

Test(checks, every_failed_call_needs_a_fault_near_it)
{
    History history;
    history.calls = {call("not-run")};
    history.operations = {{6s, "kill", "agent1"}, {7s, "start", "agent1"}};
    expectHeld(checkRecovery(history));
    history.operations = {{1s, "kill", "agent1"}, {2s, "start", "agent1"}};
    expectBreach(checkRecovery(history));
    history.operations = {{9s, "drain", "engine-1"}};
    expectBreach(checkRecovery(history));
}
