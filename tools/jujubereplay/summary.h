#pragma once

/** \file
 * Defines how the outcome of every request is summed up for a run.
 */

#include "jujubereplay/simulation.h"

namespace jujube::replay {

/** Fills in goodput, the shares by team and profile, the percentiles and the plotted intervals.
 *
 * \param interval length of a plotted interval; result.intervals holds one entry for each.
 */
void summarise(const Workload &workload, core::Milliseconds interval, RunResult &result);

} // namespace jujube::replay
