#pragma once

/** \file
 * Defines a check for each promise of the system over a recorded history.
 *
 * The checks share no code with what they check: they know the promises, the histories of the
 * stand-ins and the callers' records.
 */

#include "jujubecheck/history.h"

#include <string>
#include <vector>

namespace jujube::check {

/** What a check found. */
struct CheckResult
{
    std::string promise;
    size_t examined = 0; ///< Records that could have broken the promise; 0: not exercised.
    std::vector<std::string> breaches;
};

/** No two orders to one engine overlap or go back. */
CheckResult checkEngineOrders(const History &history);
/** An order takes effect only while the plan in the KV asks for it. */
CheckResult checkOrderAuthority(const History &history);
/** A role change cuts no request, and neither does a planned stop. */
CheckResult checkPlannedChanges(const History &history);
/** Endpoint orders reach the platform once each and from one term at a time. */
CheckResult checkFleetOrders(const History &history);
/** Every report of a team and window has the same figures, from terms that never go back. */
CheckResult checkReports(const History &history);
/** The reported sum lies between what callers got whole and what the engines produced. */
CheckResult checkUsageSum(const History &history);
/** A whole answer is exactly what the endpoint gave. */
CheckResult checkWholeAnswers(const History &history);
/** A refusal that says "not run" is true. */
CheckResult checkNotRun(const History &history);
/** Requests that are not idempotent run at most once. */
CheckResult checkAtMostOnce(const History &history);
/** No endpoint sees a key, and a withdrawn key stops working within five seconds. */
CheckResult checkKeys(const History &history);
/** A leaving endpoint gets no new work after five seconds. */
CheckResult checkLeaving(const History &history);
/** An accepted configuration is in force within five seconds and never reverts. */
CheckResult checkConfiguration(const History &history);

/** Service is whole again within 5 s of a single fault, and within 10 s of a pair. */
CheckResult checkRecovery(const History &history);

/** All of them. */
std::vector<CheckResult> checkAll(const History &history);

} // namespace jujube::check
