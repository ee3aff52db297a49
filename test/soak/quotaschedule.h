#pragma once

/** \file
 * Defines teams with quotas that change and that the load exceeds at times, and the checks that the
 * gateways together keep them.
 */

#include "soak/invariants.h"

#include <boost/asio/steady_timer.hpp>

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace jujube::soak {

/** Gives some teams quotas that fall, rise and end at random, and lets one team after the other
 * send several times its quota for some seconds. */
class QuotaSchedule
{
public:
    /** Rule of the quotas that the gateways are started with. */
    static constexpr QuotaRule Rule{std::chrono::seconds(4), 0.3, 20};

    /** Publishes the teams and their first quotas. */
    QuotaSchedule(boost::asio::io_context &io, SoakDeployment &deployment, uint64_t seed);

    void start();
    /** Ends surges and sets the first quotas again, which the load then stays below. */
    void stop();
    /** Draws the team of the next request. */
    std::string drawTeam(std::mt19937_64 &random) const;
    /** Checks the sums that ran of each team, the refusals, and that none was needless. */
    std::vector<InvariantResult> check(const LoadGenerator &load) const;

private:
    struct Quota
    {
        uint32_t rate = 0; ///< Per second; the burst is one second of the rate.
        bool operator==(const Quota &) const = default;
    };
    struct Change
    {
        core::TimePoint at{};
        std::optional<Quota> quota;
    };
    struct Team
    {
        std::string name;
        Quota firstQuota;
        bool countsTokens = false;
        double loadShare = 0; ///< Of all requests, outside of surges.
        std::vector<Change> changes;
    };
    /** What one team has sent, in the order of time. */
    struct Usage
    {
        std::vector<core::TimePoint> times;
        std::vector<double> sums; ///< Of the figures of all requests before; one more than times.
        /** Sum between two times, both included. */
        double between(core::TimePoint from, core::TimePoint to) const;
    };

    void scheduleChange();
    void scheduleSurge();
    void set(Team &team, std::optional<Quota> quota);
    void publish();
    static std::string json(const Team &team);
    static double figureOf(const Team &team, const RequestRecord &request);
    Usage usageOf(const Team &team, const LoadGenerator &load, bool onlyRun) const;
    std::optional<Quota> highestQuota(const Team &team, core::TimePoint from,
                                      core::TimePoint to) const;
    InvariantResult checkSums(const LoadGenerator &load) const;
    InvariantResult checkRefusals(const LoadGenerator &load) const;
    InvariantResult checkNeedlessRefusals(const LoadGenerator &load) const;
    std::optional<bool> refusalMayBeDue(const Team &team, const Usage &sent,
                                        const RequestRecord &request) const;

    SoakDeployment &m_deployment;
    boost::asio::steady_timer m_changeTimer;
    boost::asio::steady_timer m_surgeTimer;
    std::mt19937_64 m_random;
    std::vector<Team> m_teams;
    std::optional<size_t> m_surgingTeam;
};

} // namespace jujube::soak
