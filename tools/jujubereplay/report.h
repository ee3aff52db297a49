#pragma once

/** \file
 * Defines the table, the JSON file and the plot of replay results.
 */

#include "jujubereplay/simulation.h"

#include <map>
#include <string>
#include <vector>

namespace jujube::replay {

/** Collects the results of several seeds and policies. */
class Report
{
public:
    /** Adds the clairvoyant bound of a seed's workload; call it before addRun() for this seed. */
    void addBound(uint64_t seed, double bound);
    void addRun(uint64_t seed, const RunResult &result);

    /** \return a text table of the median and the worst seed for each policy. */
    std::string table() const;
    /** \return the figures of each run. */
    std::string json() const;

private:
    struct Row
    {
        uint64_t seed = 0;
        double goodput = 0;
        double shareOfBound = 0; ///< Goodput divided by the clairvoyant bound.
        double worstTeamGoodput = 0;
        int roleChanges = 0;
        int64_t chatTimeToFirstTokenP95Ms = 0;
        int64_t chatTimeBetweenTokensP95Ms = 0;
        std::map<std::string, double> goodputByProfile;
        std::map<std::string, double> goodputByTeam;
    };

    std::map<uint64_t, double> m_bounds;
    std::vector<std::string> m_policyOrder; ///< Names in the order of addRun().
    std::map<std::string, std::vector<Row>> m_rows;
};

/** \return an SVG of token mix, goodput, roles and the worst team's goodput over time. */
std::string plot(const Workload &workload, const RunResult &result);

} // namespace jujube::replay
