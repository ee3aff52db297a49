/** \file
 * Determines why an endpoint gets no new work.
 */

#include "serving/endpoints.h"

namespace jujube::serving {

Obstacles obstaclesOf(const Endpoint &endpoint, core::TimePoint now)
{
    const auto state = endpoint.health.state(now);
    Obstacles obstacles;
    obstacles.draining = !endpoint.acceptsWork();
    obstacles.paused = now < endpoint.pausedUntil;
    obstacles.backoff = endpoint.inBackoff(now);
    obstacles.limit = !endpoint.limit.admits(now);
    obstacles.ejected = state != policy::OutlierDetector::State::Healthy
        && state != policy::OutlierDetector::State::ProbeDue;
    return obstacles;
}

} // namespace jujube::serving
