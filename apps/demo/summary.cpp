#include "demo/summary.h"

#include "core/text.h"

#include <absl/strings/str_split.h>

#include <algorithm>
#include <cstdio>

namespace jujube::demo {

namespace {

struct CallStatistics
{
    std::vector<core::Milliseconds> timeToFirstToken;
    std::vector<core::Milliseconds> timeBetweenTokens;
    int requests = 0;
    int whole = 0;
    int refused = 0;
    int other = 0;
    int wrong = 0;
};

int64_t percentile(std::vector<core::Milliseconds> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<size_t>(share * static_cast<double>(values.size() - 1))].count();
}

// All calls to one route of a service form one group, whatever the rest of their path.
std::string targetGroup(const TraceRow &row)
{
    if (row.kind != RequestKind::Service)
        return row.target;
    const std::vector<std::string> parts = absl::StrSplit(row.target, '/');
    return parts.size() < 3 ? row.target : core::concat(parts[0], "/", parts[1], "/", parts[2]);
}

void add(CallStatistics &group, const CallRecord &record)
{
    ++group.requests;
    if (record.outcome == "whole") {
        ++group.whole;
        if (!record.correct)
            ++group.wrong;
        group.timeToFirstToken.push_back(record.timeToFirstToken);
        group.timeBetweenTokens.push_back(record.timeBetweenTokens);
    } else if (record.outcome == "not-run") {
        ++group.refused;
    } else {
        ++group.other;
    }
}

std::string summaryLine(const std::string &name, const CallStatistics &group)
{
    char buf[200];
    std::snprintf(buf, sizeof(buf), "%-24s %8d %6d %8d %6d %6d %8ld %8ld %8ld\n", name.c_str(),
                  group.requests, group.whole, group.refused, group.other, group.wrong,
                  static_cast<long>(percentile(group.timeToFirstToken, 0.5)),
                  static_cast<long>(percentile(group.timeToFirstToken, 0.95)),
                  static_cast<long>(percentile(group.timeBetweenTokens, 0.95)));
    return buf;
}

} // namespace

UsageByTeam servedUsage(const std::vector<CallRecord> &records)
{
    UsageByTeam served;
    for (const CallRecord &it : records) {
        if (it.row.kind == RequestKind::Service)
            continue;
        served[it.row.team].promptTokens += it.usage.promptTokens;
        served[it.row.team].outputTokens += it.usage.outputTokens;
    }
    return served;
}

UsageByTeam reportedUsage(const std::string &platformHistory)
{
    UsageByTeam reported;
    for (const absl::string_view text : absl::StrSplit(platformHistory, '\n', absl::SkipEmpty())) {
        const auto object = wire::parseObject(core::toStd(text));
        if (!object.ok() || wire::stringMember(*object, "kind") != "usage.report")
            continue;
        TeamUsage &team = reported[wire::stringMember(*object, "team")];
        team.promptTokens += wire::uintMember(*object, "prompt_tokens");
        team.outputTokens += wire::uintMember(*object, "output_tokens");
    }
    return reported;
}

std::string summaryTable(const std::vector<CallRecord> &records)
{
    std::map<std::string, CallStatistics> byTarget;
    std::map<std::string, CallStatistics> byTeam;
    CallStatistics all;
    for (const CallRecord &it : records) {
        add(byTarget[targetGroup(it.row)], it);
        add(byTeam[it.row.team], it);
        add(all, it);
    }
    char head[200];
    std::snprintf(head, sizeof(head), "%-24s %8s %6s %8s %6s %6s %8s %8s %8s\n", "", "requests",
                  "whole", "refused", "other", "wrong", "ttft p50", "ttft p95", "tbt p95");
    std::string table = head;
    for (const auto &[name, group] : byTarget)
        table += summaryLine(name, group);
    for (const auto &[name, group] : byTeam)
        table += summaryLine("team " + name, group);
    return table + summaryLine("all", all)
        + "times in milliseconds; tbt is the time between tokens\n";
}

bool allAnswersCorrect(const std::vector<CallRecord> &records)
{
    return std::all_of(records.begin(), records.end(),
                       [](const CallRecord &it) { return it.outcome == "whole" && it.correct; });
}

} // namespace jujube::demo
