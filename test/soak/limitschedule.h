#pragma once

/** \file
 * Defines endpoints that name limits of requests, and the check that the gateways keep them.
 */

#include "soak/invariants.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <random>

namespace jujube::soak {

/** Makes one endpoint of each service name limits that rise, fall and end at random. */
class LimitSchedule
{
public:
    LimitSchedule(boost::asio::io_context &io, SoakDeployment &deployment, uint64_t seed);

    void start();
    /** Ends all limits. */
    void stop();
    /** Checks that the requests of undisturbed gateways to an endpoint stay within its limit. */
    InvariantResult check(const LoadGenerator &load) const;

private:
    struct Change
    {
        core::TimePoint at{};
        std::optional<double> limit; ///< Requests per second.
    };

    void changeAll();
    void set(size_t endpoint, std::optional<double> limit);
    std::optional<double> highestLimit(const std::vector<Change> &changes, core::TimePoint from,
                                       core::TimePoint to) const;

    SoakDeployment &m_deployment;
    boost::asio::steady_timer m_timer;
    std::mt19937_64 m_random;
    std::map<size_t, std::vector<Change>> m_changes; ///< By index of the endpoint.
};

} // namespace jujube::soak
