#include "serving/fleetconfig.h"

namespace jujube::serving {

const Route *FleetConfig::findRoute(std::string_view host, std::string_view path) const
{
    const auto it = routesByHost.find(host);
    if (it == routesByHost.end())
        return nullptr;
    for (const Route &route : it->second) {
        if (path.starts_with(route.prefix))
            return &route;
    }
    return nullptr;
}

const TeamConfig *FleetConfig::findTeamByKey(std::string_view key) const
{
    const auto it = teamByKey.find(std::string(key));
    return it == teamByKey.end() ? nullptr : &teams[it->second];
}

RequestClass FleetConfig::classify(std::string_view host, std::string_view path,
                                   std::string_view key) const
{
    RequestClass result;
    result.route = findRoute(host, path);
    if (!result.route)
        return result;
    result.rank = result.route->rank;
    if (!requiresKeys)
        return result;
    result.team = key.empty() ? nullptr : findTeamByKey(key);
    result.keyRefused = !result.team && !result.route->allowAnonymous;
    if (result.team)
        result.rank = result.team->rank.value_or(result.rank);
    return result;
}

std::string_view stageName(Stage stage)
{
    switch (stage) {
    case Stage::None:
        return "none";
    case Stage::Mixed:
        return "mixed";
    case Stage::Prefill:
        return "prefill";
    case Stage::Decode:
        return "decode";
    }
    return "none";
}

} // namespace jujube::serving
