#pragma once

/** \file
 * Defines the promises that a soak checks while it runs, from what clients and workers see.
 */

#include "soak/callers.h"
#include "soak/site.h"

#include <string>
#include <vector>

namespace jujube::soak {

/** What was found of one promise. */
struct InvariantResult
{
    std::string invariant;
    size_t examinedCount = 0; ///< Records that could have broken it; 0: not exercised.
    std::vector<std::string> breaches;
};

/** Checks every promise over what has been recorded so far. */
std::vector<InvariantResult> checkInvariants(const LoadGenerator &load, SoakDeployment &deployment,
                                             core::TimePoint now);

/** Share of calls answered with success among those sent after a time. */
double successShareSince(const LoadGenerator &load, core::TimePoint since);

} // namespace jujube::soak
