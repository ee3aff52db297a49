#pragma once

/** \file
 * Defines the table, the JSON and the plot of replay results.
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
    void addBound(uint64_t seed, double bound);
    void addRun(uint64_t seed, const RunResult &result);

    /** Medians and worst seeds by policy. */
    std::string table() const;
    std::string json() const;

private:
    struct Row
    {
        uint64_t seed = 0;
        double goodput = 0;
        double shareOfBound = 0;
        double worstTeamGoodput = 0;
        int roleChanges = 0;
        int64_t chatTimeToFirstTokenP95Ms = 0;
        int64_t chatTimeBetweenTokensP95Ms = 0;
        std::map<std::string, double> goodputByProfile;
        std::map<std::string, double> goodputByTeam;
    };

    std::map<uint64_t, double> m_bounds;
    std::vector<std::string> m_policyOrder;
    std::map<std::string, std::vector<Row>> m_rows;
};

/** An SVG of mix, goodput, roles and the worst team over time. */
std::string plot(const Workload &workload, const RunResult &result);

} // namespace jujube::replay
