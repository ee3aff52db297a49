#include "jujubereplay/policies.h"

namespace jujube::replay {

namespace {

policy::DispatcherSettings baselineDispatcher()
{
    policy::DispatcherSettings settings;
    settings.fairTeams = false;
    settings.admission = false;
    settings.deadlineOrder = false;
    return settings;
}

Policy productPolicy(const std::string &name)
{
    return {name, PredictedLatency{}, PlannedRoles{}, {}};
}

} // namespace

std::map<std::string, Policy> namedPolicies()
{
    std::map<std::string, Policy> all;
    all["a"] = {"a: static roles, round robin", RoundRobin{}, StaticRoles{}, baselineDispatcher()};
    all["b"] = {"b: static roles, least outstanding", LeastOutstanding{}, StaticRoles{},
                baselineDispatcher()};
    all["c"] = {"c: threshold roles, least outstanding", LeastOutstanding{}, ThresholdRoles{},
                baselineDispatcher()};
    all["mixed"] = {"all mixed, least outstanding", LeastOutstanding{}, AllMixed{},
                    baselineDispatcher()};
    all["ours"] = productPolicy("ours");
    all["no-prediction"] = productPolicy("no predicted routing");
    all["no-prediction"].routing = LeastOutstanding{};
    all["no-prefix"] = productPolicy("no prefix affinity");
    all["no-prefix"].routing = PredictedLatency{false};
    all["no-roles"] = productPolicy("no role changes");
    all["no-roles"].roles = AllMixed{};
    all["no-fairness"] = productPolicy("no team fairness");
    all["no-fairness"].dispatcher.fairTeams = false;
    all["no-demotion"] = productPolicy("no demotion of late work");
    all["no-demotion"].dispatcher.demoteLate = false;
    all["no-reserve"] = productPolicy("no reserve for urgent work");
    all["no-reserve"].dispatcher.urgentReserve = 0;
    all["no-admission"] = productPolicy("no admission");
    all["no-admission"].dispatcher.admission = false;
    all["no-deadline-order"] = productPolicy("no deadline order");
    all["no-deadline-order"].dispatcher.deadlineOrder = false;
    return all;
}

} // namespace jujube::replay
