#pragma once

/** \file
 * Defines the summary of a played trace.
 */

#include "demo/caller.h"

#include <string>
#include <vector>

namespace jujube::demo {

/** Usage of one team as billed to the platform or as told to callers. */
struct TeamUsage
{
    uint64_t promptTokens = 0;
    uint64_t outputTokens = 0;

    bool operator==(const TeamUsage &) const = default;
};

using UsageByTeam = std::map<std::string, TeamUsage>;

/** Sums the usage of all answers by team. */
UsageByTeam servedUsage(const std::vector<CallRecord> &records);

/** Sums the platform's received reports by team, from its history. */
UsageByTeam reportedUsage(const std::string &platformHistory);

/** A table of requests, outcomes and times by profile and team. */
std::string summaryTable(const std::vector<CallRecord> &records);

/** Whether every answer was whole and right. */
bool allRight(const std::vector<CallRecord> &records);

} // namespace jujube::demo
