#include "jujubecheck/checks.h"

#include "core/text.h"
#include "wire/json.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace jujube::check {

namespace {

using namespace std::chrono_literals;

// Time within which a withdrawn key, a drain or a new configuration has to take effect.
constexpr Instant PropagationLimit = 5s;
// Time in which an order may take effect after a plan change: the agent's order lock expires then.
constexpr Instant InFlightOrderAllowance = 6s;
// Added to a downtime: operations begun before the process was stopped or killed may still end.
constexpr Instant RestartAllowance = 8s;
constexpr const char *PlanPrefix = "fleet/plan/";
constexpr const char *ConfigPrefix = "fleet/config/";

std::string atTime(Instant at)
{
    return core::concat("at ", at.count(), " us");
}

// A period in which a fault or a stop explains that a process does not answer.
struct Downtime
{
    std::string process;
    Instant from{};
    Instant to{};
};

std::vector<Downtime> downtimes(const History &history)
{
    const std::set<std::string> begins{
        "kill", "stop", "term", "kv-outage", "kv-delay", "kv-lose-answers", "silence", "partition"};
    const std::set<std::string> ends{"start", "continue", "kv-up", "partition-end"};
    std::vector<Downtime> result;
    std::map<std::string, Instant> open;
    for (const Operation &it : history.operations) {
        if (begins.contains(it.name))
            open.try_emplace(it.target, it.at);
        if (!ends.contains(it.name) || !open.contains(it.target))
            continue;
        result.push_back({it.target, open[it.target], it.at + RestartAllowance});
        open.erase(it.target);
    }
    for (const auto &[process, from] : open)
        result.push_back({process, from, Instant::max()});
    return result;
}

bool overlaps(const std::vector<Downtime> &downtimes, const std::string &process, Instant from,
              Instant to)
{
    return std::any_of(downtimes.begin(), downtimes.end(), [&](const Downtime &it) {
        return it.process == process && it.from <= to && from <= it.to;
    });
}

// A period in which a fault excuses requests without a complete answer.
struct FaultSpan
{
    Instant from{};
    Instant to{};
};

bool isNear(const FaultSpan &a, const FaultSpan &b)
{
    return b.to == Instant::max() || a.from <= b.to + Instant(10s);
}

// Planned changes are not faults. The span of a fault lasts until the fault is lifted, plus the
// recovery time: 5 s for a single fault, 10 s if another fault lies within 10 s of it.
std::vector<FaultSpan> faultSpans(const History &history)
{
    constexpr Instant singleFaultRecovery = 5s;
    constexpr Instant faultPairRecovery = 10s;
    const std::set<std::string> lasting{"kill", "stop", "kv-outage", "kv-delay", "kv-lose-answers"};
    const std::set<std::string> momentary{"silence", "crash"};
    const std::set<std::string> lifting{"start", "continue", "kv-up"};
    std::vector<FaultSpan> spans;
    std::map<std::string, size_t> open;
    for (const Operation &it : history.operations) {
        if (lasting.contains(it.name)) {
            open[it.target] = spans.size();
            spans.push_back({it.at, Instant::max()});
        } else if (momentary.contains(it.name)) {
            spans.push_back({it.at, it.at});
        } else if (lifting.contains(it.name) && open.contains(it.target)) {
            spans[open[it.target]].to = it.at;
            open.erase(it.target);
        }
    }
    std::vector<FaultSpan> result;
    for (const FaultSpan &it : spans) {
        const bool near = std::any_of(spans.begin(), spans.end(), [&](const FaultSpan &other) {
            return &other != &it && isNear(other, it) && isNear(it, other);
        });
        const Instant allowance = near ? faultPairRecovery : singleFaultRecovery;
        const bool permanent = it.to == Instant::max();
        result.push_back({it.from, permanent ? it.to : it.to + allowance});
    }
    return result;
}

// "127.0.0.1:17081" is the address of entry1.
std::string entryName(const std::string &address)
{
    return address.empty() ? std::string()
                           : core::concat("entry", address.substr(address.size() - 1));
}

} // namespace

CheckResult checkEngineOrders(const History &history)
{
    CheckResult result{"an engine never receives conflicting orders", 0, {}};
    std::map<std::string, std::pair<uint64_t, uint64_t>> last;
    for (const EngineOrder &it : history.engineOrders) {
        if (it.refused)
            continue;
        ++result.examined;
        const std::pair number{it.term, it.sequence};
        const auto [known, isNew] = last.try_emplace(it.vm, number);
        if (!isNew && number < known->second) {
            result.breaches.push_back(core::concat(it.vm, " received order ", it.term, ".",
                                                   it.sequence, " after ", known->second.first, ".",
                                                   known->second.second, " ", atTime(it.at)));
        }
        if (it.duringChange) {
            result.breaches.push_back(core::concat(it.vm, " received order ", it.term, ".",
                                                   it.sequence, " during a change ",
                                                   atTime(it.at)));
        }
        known->second = std::max(known->second, number);
    }
    return result;
}

CheckResult checkOrdersInPlan(const History &history)
{
    CheckResult result{"engines carry out orders of the plan in force only", 0, {}};
    struct Planned
    {
        Instant at{};
        uint64_t term = 0;
        uint64_t sequence = 0;
    };
    std::map<std::string, std::vector<Planned>> plans;
    uint64_t lastTerm = 0;
    for (const KvChange &it : history.kvChanges) {
        if (!it.key.starts_with(PlanPrefix) || it.deleted)
            continue;
        const auto plan = wire::parseObject(it.value);
        if (!plan.ok())
            continue;
        ++result.examined;
        const uint64_t term = wire::uintMember(*plan, "term");
        if (term < lastTerm)
            result.breaches.push_back(core::concat("the plan's term decreased to ", term));
        lastTerm = std::max(lastTerm, term);
        const QJsonObject endpoints = plan->value("endpoints").toObject();
        for (auto vm = endpoints.begin(); vm != endpoints.end(); ++vm) {
            const QJsonObject wanted = vm.value().toObject();
            plans[vm.key().toStdString()].push_back(
                {it.at, wire::uintMember(wanted, "term"), wire::uintMember(wanted, "sequence")});
        }
    }
    for (const EngineOrder &order : history.engineOrders) {
        if (order.refused)
            continue;
        ++result.examined;
        const std::vector<Planned> &plan = plans[order.vm];
        bool wanted = false;
        for (size_t i = 0; i < plan.size(); ++i) {
            const Instant until = i + 1 < plan.size() ? plan[i + 1].at : Instant::max();
            const bool inForce = plan[i].at <= order.at
                && (until == Instant::max() || order.at <= until + InFlightOrderAllowance);
            wanted = wanted
                || (inForce && plan[i].term == order.term && plan[i].sequence == order.sequence);
        }
        if (!wanted) {
            result.breaches.push_back(
                core::concat(order.vm, " carried out order ", order.term, ".", order.sequence,
                             ", which no plan in force contained ", atTime(order.at)));
        }
    }
    return result;
}

CheckResult checkPlannedChanges(const History &history)
{
    CheckResult result{"no planned change aborts a request", 0, {}};
    for (const EngineOrder &it : history.engineOrders) {
        if (it.refused)
            continue;
        ++result.examined;
        if (it.abortedRequests > 0)
            result.breaches.push_back(core::concat(it.vm, ": a role change aborted ",
                                                   it.abortedRequests, " requests ",
                                                   atTime(it.at)));
    }
    std::vector<Downtime> unplanned;
    const History onlyFaults = [&history] {
        History copy;
        copy.operations = history.operations;
        std::erase_if(copy.operations, [](const Operation &it) { return it.name == "term"; });
        return copy;
    }();
    unplanned = downtimes(onlyFaults);
    for (const CallResult &it : history.calls) {
        if (it.outcome != "none")
            continue;
        ++result.examined;
        if (!overlaps(unplanned, entryName(it.entry), it.start, it.end))
            result.breaches.push_back(core::concat("call ", it.number, " at ", it.entry,
                                                   " was aborted outside any fault (", it.code,
                                                   ") ", atTime(it.start)));
    }
    return result;
}

CheckResult checkFleetOrders(const History &history)
{
    CheckResult result{"endpoint orders come from one process at a time", 0, {}};
    std::set<std::string> seen;
    uint64_t lastTerm = 0;
    for (const FleetOrderRecord &it : history.fleetOrders) {
        ++result.examined;
        if (!seen.insert(it.orderId).second)
            result.breaches.push_back(core::concat("order ", it.orderId, " arrived twice"));
        if (it.term < lastTerm)
            result.breaches.push_back(core::concat("order ", it.orderId, " of term ", it.term,
                                                   " came after term ", lastTerm));
        lastTerm = std::max(lastTerm, it.term);
    }
    return result;
}

CheckResult checkUsageReports(const History &history)
{
    CheckResult result{"no usage window is reported twice with different figures", 0, {}};
    std::map<std::pair<std::string, uint64_t>, UsageReportRecord> first;
    uint64_t lastTerm = 0;
    for (const UsageReportRecord &it : history.usageReports) {
        ++result.examined;
        const auto [known, isNew] = first.try_emplace({it.team, it.window}, it);
        const UsageReportRecord &before = known->second;
        const bool same = std::tie(before.requests, before.promptTokens, before.outputTokens)
            == std::tie(it.requests, it.promptTokens, it.outputTokens);
        if (!same)
            result.breaches.push_back(core::concat("team ", it.team, " window ", it.window,
                                                   " was reported with different figures"));
        if (it.term < lastTerm)
            result.breaches.push_back(core::concat(
                "a report of term ", it.term, " came after term ", lastTerm, " ", atTime(it.at)));
        lastTerm = std::max(lastTerm, it.term);
    }
    return result;
}

CheckResult checkUsageTotals(const History &history)
{
    CheckResult result{"reported usage lies between answered and produced tokens", 0, {}};
    uint64_t reportedPrompt = 0;
    uint64_t reportedOutput = 0;
    std::set<std::pair<std::string, uint64_t>> counted;
    for (const UsageReportRecord &it : history.usageReports) {
        if (!counted.insert({it.team, it.window}).second)
            continue;
        reportedPrompt += it.promptTokens;
        reportedOutput += it.outputTokens;
    }
    uint64_t wholePrompt = 0;
    uint64_t wholeOutput = 0;
    for (const CallResult &it : history.calls) {
        if (it.outcome != "whole")
            continue;
        ++result.examined;
        wholePrompt += it.promptTokens;
        wholeOutput += it.outputTokens;
    }
    uint64_t enginePrompt = 0;
    uint64_t engineOutput = 0;
    for (const EngineRun &it : history.engineRuns) {
        enginePrompt += it.promptTokens;
        engineOutput += it.producedTokens;
    }
    const auto within = [&result](const std::string &what, uint64_t low, uint64_t value,
                                  uint64_t high) {
        if (value < low || value > high)
            result.breaches.push_back(core::concat(what, ": reported ", value, ", answered whole ",
                                                   low, ", produced ", high));
    };
    within("prompt tokens", wholePrompt, reportedPrompt, enginePrompt);
    within("output tokens", wholeOutput, reportedOutput, engineOutput);
    return result;
}

CheckResult checkAnswers(const History &history)
{
    CheckResult result{"a caller gets the whole answer to its own request", 0, {}};
    for (const CallResult &it : history.calls) {
        if (it.outcome != "whole")
            continue;
        ++result.examined;
        if (!it.correct)
            result.breaches.push_back(core::concat("call ", it.number, " to ", it.target,
                                                   " is whole but its answer is wrong"));
    }
    return result;
}

CheckResult checkRefusals(const History &history)
{
    CheckResult result{"a request refused as \"not run\" has not run", 0, {}};
    std::map<std::string, int> runs;
    for (const ServiceRun &it : history.serviceRuns)
        ++runs[it.body];
    for (const CallResult &it : history.calls) {
        if (it.outcome != "not-run")
            continue;
        ++result.examined;
        if (it.receivedBytes > 0)
            result.breaches.push_back(core::concat("call ", it.number,
                                                   " was refused as \"not run\" after ",
                                                   it.receivedBytes, " bytes of its answer"));
        if (!it.changesState)
            continue;
        if (runs[it.idempotencyKey] > 0)
            result.breaches.push_back(core::concat("call ", it.number, " (", it.idempotencyKey,
                                                   ") was refused as \"not run\" but had run"));
    }
    return result;
}

CheckResult checkAtMostOnce(const History &history)
{
    CheckResult result{"a non-idempotent request runs at most once", 0, {}};
    std::map<std::string, int> runs;
    for (const ServiceRun &it : history.serviceRuns) {
        if (it.method != "GET")
            ++runs[it.body];
    }
    for (const auto &[body, count] : runs) {
        ++result.examined;
        if (count > 1)
            result.breaches.push_back(core::concat("request ", body, " ran ", count, " times"));
    }
    for (const CallResult &it : history.calls) {
        if (it.changesState && it.outcome == "whole" && runs[it.idempotencyKey] != 1)
            result.breaches.push_back(core::concat("call ", it.number, " is whole but ran ",
                                                   runs[it.idempotencyKey], " times"));
    }
    return result;
}

CheckResult checkApiKeys(const History &history)
{
    CheckResult result{"no endpoint sees an API key; withdrawn keys stop working", 0, {}};
    std::map<std::string, Instant> withdrawn;
    for (const Operation &it : history.operations) {
        if (it.name == "withdraw-key")
            withdrawn[it.target] = it.at;
    }
    std::map<std::string, std::string> teamByRequest;
    for (const ProcessEvent &it : history.events) {
        if (it.name == "request.routed")
            teamByRequest[it.field("request")] = it.field("team");
    }
    for (const EngineRun &it : history.engineRuns) {
        ++result.examined;
        if (!it.authorization.empty())
            result.breaches.push_back(core::concat(it.vm, " received an API key"));
        const auto key = withdrawn.find(teamByRequest[it.requestId]);
        if (key != withdrawn.end() && it.start > key->second + PropagationLimit)
            result.breaches.push_back(core::concat(
                "request ", it.requestId, " of team ", key->first, " started ",
                (it.start - key->second).count() / 1'000, " ms after its key was withdrawn"));
    }
    for (const ServiceRun &it : history.serviceRuns) {
        ++result.examined;
        if (!it.authorization.empty())
            result.breaches.push_back(core::concat(it.vm, " received an API key"));
    }
    for (const CallResult &it : history.calls) {
        const auto key = withdrawn.find(it.team);
        if (key != withdrawn.end() && it.start > key->second + PropagationLimit
            && it.outcome == "whole")
            result.breaches.push_back(core::concat("call ", it.number, " of team ", it.team,
                                                   " was answered after its key was withdrawn"));
    }
    return result;
}

CheckResult checkDraining(const History &history)
{
    CheckResult result{"a leaving endpoint gets no new work after five seconds", 0, {}};
    std::map<std::string, std::vector<std::pair<Instant, Instant>>> leaving;
    for (const Operation &it : history.operations) {
        if (it.name == "drain" || it.name == "withdraw")
            leaving[it.target].emplace_back(it.at + PropagationLimit, Instant::max());
        if (it.name == "activate" && !leaving[it.target].empty())
            leaving[it.target].back().second = it.at;
    }
    const auto examine = [&](const std::string &vm, Instant at, const std::string &what) {
        for (const auto &[from, to] : leaving[vm]) {
            ++result.examined;
            if (at > from && at < to)
                result.breaches.push_back(
                    core::concat(vm, " received ", what, " while leaving ", atTime(at)));
        }
    };
    for (const EngineRun &it : history.engineRuns)
        examine(it.vm, it.start, it.requestId);
    for (const ServiceRun &it : history.serviceRuns)
        examine(it.vm, it.at, it.body);
    return result;
}

CheckResult checkConfiguration(const History &history)
{
    CheckResult result{"accepted configurations apply within 5 s and never revert", 0, {}};
    std::map<std::string, std::vector<std::pair<Instant, uint64_t>>> applied;
    for (const ProcessEvent &it : history.events) {
        if (it.name != "configuration.applied")
            continue;
        ++result.examined;
        auto &versions = applied[it.process];
        const uint64_t version = it.numberField("version");
        if (!versions.empty() && version < versions.back().second)
            result.breaches.push_back(core::concat(it.process, " reverted from version ",
                                                   versions.back().second, " to ", version));
        versions.emplace_back(it.at, version);
    }
    const std::vector<Downtime> down = downtimes(history);
    Instant lastEvent{};
    for (const ProcessEvent &it : history.events)
        lastEvent = std::max(lastEvent, it.at);
    for (const KvChange &change : history.kvChanges) {
        if (!change.key.starts_with(ConfigPrefix) || change.at + PropagationLimit > lastEvent)
            continue;
        for (const auto &[process, versions] : applied) {
            if (overlaps(down, process, change.at - PropagationLimit, change.at + PropagationLimit))
                continue;
            const bool inTime = std::any_of(versions.begin(), versions.end(), [&](const auto &it) {
                return it.second >= change.revision && it.first <= change.at + PropagationLimit;
            });
            ++result.examined;
            if (!inTime && versions.front().first < change.at)
                result.breaches.push_back(core::concat(process, " did not apply revision ",
                                                       change.revision, " within five seconds"));
        }
    }
    return result;
}

CheckResult checkRecovery(const History &history)
{
    CheckResult result{"requests succeed again within seconds of a fault", 0, {}};
    const std::vector<FaultSpan> spans = faultSpans(history);
    std::map<std::string, Instant> withdrawn;
    for (const Operation &it : history.operations) {
        if (it.name == "withdraw-key")
            withdrawn[it.target] = it.at;
    }
    for (const CallResult &call : history.calls) {
        const auto key = withdrawn.find(call.team);
        const bool keyWithdrawn = key != withdrawn.end() && call.end >= key->second;
        ++result.examined;
        if (call.outcome == "whole" || keyWithdrawn)
            continue;
        const bool excused = std::any_of(spans.begin(), spans.end(), [&](const FaultSpan &it) {
            return it.from <= call.end && call.start <= it.to;
        });
        if (!excused)
            result.breaches.push_back(core::concat("call ", call.number, " to ", call.target,
                                                   " ended ", call.outcome, " (", call.code,
                                                   ") without a fault near ", atTime(call.start)));
    }
    return result;
}

std::vector<CheckResult> checkAll(const History &history)
{
    return {checkEngineOrders(history), checkOrdersInPlan(history), checkPlannedChanges(history),
            checkFleetOrders(history),  checkUsageReports(history), checkUsageTotals(history),
            checkAnswers(history),      checkRefusals(history),     checkAtMostOnce(history),
            checkApiKeys(history),      checkDraining(history),     checkConfiguration(history),
            checkRecovery(history)};
}

} // namespace jujube::check
