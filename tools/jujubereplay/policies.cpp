#include "jujubereplay/policies.h"

namespace jujube::replay {

namespace {

policy::DispatcherSettings plainQueue()
{
    policy::DispatcherSettings settings;
    settings.fairTeams = false;
    settings.admission = false;
    settings.deadlineOrder = false;
    return settings;
}

Policy ours(const std::string &name)
{
    return {name, Predicted{}, PlannedRoles{}, {}};
}

} // namespace

std::map<std::string, Policy> namedPolicies()
{
    std::map<std::string, Policy> all;
    all["a"] = {"a: static roles, round robin", RoundRobin{}, StaticRoles{}, plainQueue()};
    all["b"] = {"b: static roles, least outstanding", LeastOutstanding{}, StaticRoles{},
                plainQueue()};
    all["c"] = {"c: threshold roles, least outstanding", LeastOutstanding{}, ThresholdRoles{},
                plainQueue()};
    all["mixed"] = {"all mixed, least outstanding", LeastOutstanding{}, AllMixed{}, plainQueue()};
    all["ours"] = ours("ours");
    all["no-prediction"] = ours("no predicted routing");
    all["no-prediction"].routing = LeastOutstanding{};
    all["no-prefix"] = ours("no prefix affinity");
    all["no-prefix"].routing = Predicted{false};
    all["no-roles"] = ours("no role changes");
    all["no-roles"].roles = AllMixed{};
    all["no-fairness"] = ours("no team fairness");
    all["no-fairness"].dispatcher.fairTeams = false;
    all["no-demotion"] = ours("no demotion of late work");
    all["no-demotion"].dispatcher.demoteLate = false;
    all["no-reserve"] = ours("no reserve for urgent work");
    all["no-reserve"].dispatcher.urgentReserve = 0;
    all["no-admission"] = ours("no admission");
    all["no-admission"].dispatcher.admission = false;
    all["no-deadline-order"] = ours("no deadline order");
    all["no-deadline-order"].dispatcher.deadlineOrder = false;
    return all;
}

} // namespace jujube::replay
