#pragma once

/** \file
 * Defines the clairvoyant bound: the most requests that any policy could serve in time.
 */

#include "jujubereplay/workload.h"

namespace jujube::replay {

/** Largest share of requests that any schedule of the workload's engines can serve in time.
 *
 * Each request is given the least engine time that it can cost: no queue, its whole document
 * cached, prefill at a prefill engine's rate, decode in a full batch at a decode engine. For
 * an interval of time, the requests that arrive and are due inside it must share the capacity of
 * that interval; leaving out the most expensive ones first gives the fewest that must be missed.
 * The sum over the best set of disjoint intervals is missed by every schedule.
 */
double clairvoyantBound(const Workload &workload);

} // namespace jujube::replay
