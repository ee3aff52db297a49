#pragma once

/** \file
 * Defines the aggregation of request results into the figures of a run.
 */

#include "jujubereplay/simulation.h"

namespace jujube::replay {

/** Computes goodput in total, by team and by profile, the percentiles and the plotted intervals.
 *
 * \param result in: the results of all requests; out: the figures of the run
 * \param interval duration of a plotted interval; result.intervals holds one entry for each.
 */
void summarise(const Workload &workload, core::Milliseconds interval, RunResult &result);

} // namespace jujube::replay
