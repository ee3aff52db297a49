#pragma once

/** \file
 * Defines the clairvoyant bound: an upper bound on the goodput of any policy.
 */

#include "jujubereplay/workload.h"

namespace jujube::replay {

/** \return an upper bound on the share of requests that any schedule can serve by their deadlines.
 *
 * Each request costs the least engine time that it can take: no queueing, its document fully
 * cached, prefill at the rate of a prefill engine, decode in a full batch on a decode engine. The
 * requests that both arrive and have their deadline in a time interval share the capacity of that
 * interval; dropping the most expensive ones first gives the minimum number that miss their
 * deadline. Every schedule misses at least the sum of these minimums over any set of disjoint
 * intervals; the bound uses the set with the largest sum.
 */
double clairvoyantBound(const Workload &workload);

} // namespace jujube::replay
