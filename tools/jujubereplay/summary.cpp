#include "jujubereplay/summary.h"

#include <algorithm>
#include <map>

namespace jujube::replay {

namespace {

core::Milliseconds percentile95(std::vector<core::Milliseconds> values)
{
    if (values.empty())
        return {};
    std::sort(values.begin(), values.end());
    return values[values.size() * 95 / 100];
}

void summariseIntervals(const Workload &workload, core::Milliseconds interval, RunResult &result)
{
    struct Tokens
    {
        double prompt = 0;
        double all = 0;
    };
    std::vector<Tokens> tokens(result.intervals.size());
    std::vector<std::map<std::string, std::pair<int, int>>> teams(result.intervals.size());
    for (size_t i = 0; i < workload.requests.size(); ++i) {
        const ReplayRequest &request = workload.requests[i];
        const auto slot = static_cast<size_t>(request.at / interval);
        if (slot >= result.intervals.size())
            continue;
        const bool good = result.requests[i].metObjectives;
        result.intervals[slot].arrivedRequests += 1;
        result.intervals[slot].goodRequests += good ? 1 : 0;
        tokens[slot].prompt += request.promptTokens;
        tokens[slot].all += request.promptTokens + request.outputTokens;
        auto &team = teams[slot][request.team];
        team.first += good ? 1 : 0;
        team.second += 1;
    }
    for (size_t i = 0; i < result.intervals.size(); ++i) {
        IntervalState &it = result.intervals[i];
        it.promptTokenShare = tokens[i].all == 0 ? 0 : tokens[i].prompt / tokens[i].all;
        for (const auto &[name, count] : teams[i])
            it.worstTeamGoodput = std::min(it.worstTeamGoodput, double(count.first) / count.second);
    }
}

} // namespace

void summarise(const Workload &workload, core::Milliseconds interval, RunResult &result)
{
    struct Count
    {
        double good = 0;
        double all = 0;
        double share() const { return all == 0 ? 1 : good / all; }
    };
    Count total;
    std::map<std::string, Count> teams;
    std::map<std::string, Count> profiles;
    std::vector<core::Milliseconds> timeToFirstToken;
    std::vector<core::Milliseconds> timeBetweenTokens;
    for (size_t i = 0; i < result.requests.size(); ++i) {
        const RequestResult &requestResult = result.requests[i];
        const ReplayRequest &request = workload.requests[i];
        for (Count *it : {&total, &teams[request.team], &profiles[request.profile]}) {
            it->all += 1;
            it->good += requestResult.metObjectives ? 1 : 0;
        }
        if (request.profile == "chat"
            && requestResult.outcome == RequestResult::Outcome::Completed) {
            timeToFirstToken.push_back(requestResult.timeToFirstToken);
            timeBetweenTokens.push_back(requestResult.timeBetweenTokens);
        }
    }
    result.goodput = total.share();
    result.worstTeamGoodput = 1;
    for (const auto &[team, count] : teams) {
        result.goodputByTeam[team] = count.share();
        result.worstTeamGoodput = std::min(result.worstTeamGoodput, count.share());
    }
    for (const auto &[profile, count] : profiles)
        result.goodputByProfile[profile] = count.share();
    summariseIntervals(workload, interval, result);
    result.chatTimeToFirstTokenP95 = percentile95(timeToFirstToken);
    result.chatTimeBetweenTokensP95 = percentile95(timeBetweenTokens);
}

} // namespace jujube::replay
