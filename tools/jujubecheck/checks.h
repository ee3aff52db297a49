#pragma once

/** \file
 * Defines one check for each guarantee of the system, over the recorded history of a run.
 *
 * The checks share no code with the system under test. They use only what the stand-ins and the
 * callers recorded and the logs of entries and agents.
 */

#include "jujubecheck/history.h"

#include <string>
#include <vector>

namespace jujube::check {

/** Result of one check. */
struct CheckResult
{
    std::string guarantee; ///< The guarantee in words.
    size_t examined = 0;   ///< Records that could show a breach; 0: not exercised.
    std::vector<std::string> breaches;
};

/** The orders to an engine do not overlap, and their numbers never decrease. */
CheckResult checkEngineOrders(const History &history);
/** An engine carries out an order only while the plan in the KV service contains it. */
CheckResult checkOrdersInPlan(const History &history);
/** Neither a role change nor a planned stop aborts a request. */
CheckResult checkPlannedChanges(const History &history);
/** The platform receives each endpoint order once, and their terms never decrease. */
CheckResult checkFleetOrders(const History &history);
/** All reports of a team and window have the same figures, and their terms never decrease. */
CheckResult checkUsageReports(const History &history);
/** The reported tokens are at least those of complete answers and at most those that the engines
 * processed. */
CheckResult checkUsageTotals(const History &history);
/** The answer of a call with outcome "whole" is exactly what its endpoint must return. */
CheckResult checkAnswers(const History &history);
/** A call with outcome "not-run" had no effect and received no part of an answer. */
CheckResult checkRefusals(const History &history);
/** A request that is not idempotent runs at most once. */
CheckResult checkAtMostOnce(const History &history);
/** No endpoint receives an API key, and a withdrawn key stops working within 5 s. */
CheckResult checkApiKeys(const History &history);
/** A drained or withdrawn endpoint receives no new request after 5 s. */
CheckResult checkDraining(const History &history);
/** Every process applies an accepted configuration within 5 s and never reverts to an older one. */
CheckResult checkConfiguration(const History &history);

/** Requests succeed again within 5 s after a single fault, and within 10 s after a pair. */
CheckResult checkRecovery(const History &history);

/** Runs all checks. */
std::vector<CheckResult> checkAll(const History &history);

} // namespace jujube::check
