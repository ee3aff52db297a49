#pragma once

/** \file
 * Defines the invariants that a soak run checks against what clients, endpoints and the platform
 * observed.
 */

#include "soak/loadgenerator.h"
#include "soak/soakdeployment.h"

#include <string>
#include <vector>

namespace jujube::soak {

/** Result of the check of one invariant. */
struct InvariantResult
{
    std::string invariant;    ///< Description.
    size_t examinedCount = 0; ///< Records it applies to; 0: not exercised.
    std::vector<std::string> breaches;
};

/** Checks every invariant over all records so far. */
std::vector<InvariantResult> checkInvariants(const LoadGenerator &load, SoakDeployment &deployment,
                                             core::TimePoint now);

/** Share of complete, successful responses among the requests that were sent since a time, have
 * ended and were not aborted by their client. */
double successShareSince(const LoadGenerator &load, core::TimePoint since);

} // namespace jujube::soak
