#pragma once

/** \file
 * Defines the summary of a played trace.
 */

#include "demo/caller.h"

#include <string>
#include <vector>

namespace jujube::demo {

/** Usage of one team as reported to the platform or as returned to callers. */
struct TeamUsage
{
    uint64_t promptTokens = 0;
    uint64_t outputTokens = 0;

    bool operator==(const TeamUsage &) const = default;
};

using UsageByTeam = std::map<std::string, TeamUsage>;

/** Sums the usage in all answers to language-model requests by team. */
UsageByTeam servedUsage(const std::vector<CallRecord> &records);

/** Sums the usage reports that the platform received by team.
 *
 * \param platformHistory the platform's history, one JSON object per line
 */
UsageByTeam reportedUsage(const std::string &platformHistory);

/** \return a table of requests, outcomes and latencies by profile, by team and in total. */
std::string summaryTable(const std::vector<CallRecord> &records);

/** Whether every request got a complete and correct answer. */
bool allAnswersCorrect(const std::vector<CallRecord> &records);

} // namespace jujube::demo
