#pragma once

/** \file
 * Defines a team that asks for far more than its share while engines are scarce, and the check that
 * it delays mainly itself.
 */

#include "soak/invariants.h"

#include <random>
#include <string>

namespace jujube::soak {

/** While it is active, engines have few slots and most requests are of one team. */
class GreedyTeam
{
public:
    /** Publishes the teams. */
    explicit GreedyTeam(SoakDeployment &deployment);

    void start(core::TimePoint now);
    /** Ends the scarcity, so that all requests can be served. */
    void stop(core::TimePoint now);
    /** Draws the team of the next request. */
    std::string drawTeam(std::mt19937_64 &random) const;
    /** Checks that no smaller share of the others' prompts than of the greedy team's is served. */
    InvariantResult check(const LoadGenerator &load) const;

private:
    SoakDeployment &m_deployment;
    core::TimePoint m_startedAt = core::TimePoint::max();
    core::TimePoint m_stoppedAt = core::TimePoint::max();
};

} // namespace jujube::soak
