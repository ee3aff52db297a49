#pragma once

/** \file
 * Defines the policies that the replay compares, by name.
 */

#include "jujubereplay/simulation.h"

#include <map>
#include <string>

namespace jujube::replay {

/** Every policy by its short name: the baselines a, b, c and mixed, ours, and ours with one
 * mechanism switched off, named "no-...". */
std::map<std::string, Policy> namedPolicies();

} // namespace jujube::replay
