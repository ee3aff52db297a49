#pragma once

/** \file
 * Defines the policies that the replay can compare.
 */

#include "jujubereplay/simulation.h"

#include <map>
#include <string>

namespace jujube::replay {

/** \return all policies by their names for --policies: the baselines "a", "b", "c" and "mixed", the
 * product's policy "ours", and "no-..." for the product's policy without one mechanism. */
std::map<std::string, Policy> namedPolicies();

} // namespace jujube::replay
