#pragma once

/** \file
 * Defines what the serving path is told: routes, services, teams, limits and endpoints.
 */

#include "core/clock.h"
#include "serving/storetypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jujube::serving {

enum class RouteKind {
    Idempotent, ///< May run more than once.
    AtMostOnce, ///< May run once for each request.
    Stream,     ///< Events; at most once unless the route may be resumed.
};

struct SplitTarget
{
    std::string service;
    double weight = 1;
};

struct Route
{
    std::string name;
    std::string host;
    std::string prefix;
    RouteKind kind = RouteKind::AtMostOnce;
    std::vector<SplitTarget> targets;  ///< One, or several with their share of the requests.
    core::Milliseconds timeout{};      ///< Longest time to the final answer.
    core::Milliseconds objective{};    ///< Time to a whole answer, or to the first event.
    core::Milliseconds gapObjective{}; ///< Longest pause between two events.
    core::Milliseconds eventTimeout{}; ///< How long clients of a stream wait for an event; 0: none.
    uint32_t maxAttempts = 1;          ///< Endpoints that may run one request.
    uint32_t rank = 5;                 ///< 0 is the most urgent.
    bool allowAnonymous = false;       ///< Needs no key.
    bool resumable = false;
    bool promptBlocks = false; ///< Requests name the parts of their prompt.

    bool repeatable() const
    {
        return kind == RouteKind::Idempotent || (kind == RouteKind::Stream && resumable);
    }
};

/** What a service's model engines are like, as configured. */
struct EngineConfig
{
    uint32_t slots = 0;
    uint64_t cacheTokens = 0;
    double bytesPerToken = 0;
    double linkMbps = 0;
    uint32_t tokensPerEvent = 1;
    core::Milliseconds kvHandleLifetime{};
    core::Milliseconds stageChangeTime{};
};

struct ServiceConfig
{
    std::string name;
    std::string healthPath;
    uint32_t maxConnections = 0; ///< Of one endpoint, from all entries together; 0: not stated.
    std::optional<EngineConfig> engine;
};

struct TeamConfig
{
    std::string name;
    std::optional<uint32_t> rank; ///< Goes before the rank of a route.
};

struct RequestLimits
{
    uint32_t maxHeadBytes = 16 * 1024;
    uint64_t maxBodyBytes = 4UL << 20U;
    core::Milliseconds headTimeout{3'000};
    core::Milliseconds idleTimeout{15'000};
};

/** One version of the configuration; never changed once it is in force. */
struct FleetConfig
{
    uint64_t version = 0;
    std::map<std::string, std::vector<Route>, std::less<>> routesByHost; ///< Longest prefix first.
    std::map<std::string, ServiceConfig, std::less<>> services;
    std::vector<TeamConfig> teams;
    std::unordered_map<std::string, size_t> teamByKey;
    RequestLimits limits;
    bool requiresKeys = false; ///< Teams are configured, so that routes need a key unless open.

    const Route *findRoute(std::string_view host, std::string_view path) const;
    const TeamConfig *findTeamByKey(std::string_view key) const;
};

enum class EndpointState { Ready, Draining };

/** What a model endpoint does; plain services have no stage. */
enum class Stage { None, Mixed, Prefill, Decode };

std::string_view stageName(Stage stage);

/** An endpoint as it is registered. */
struct EndpointRecord
{
    std::string id; ///< Of one run of the endpoint; also its incarnation for Expect checks.
    std::string service;
    std::string address;
    std::string domain;
    uint32_t slots = 1;
    EndpointState state = EndpointState::Ready;
    Stage stage = Stage::None;
    core::Milliseconds warmUpLeft{};
    int64_t bornMs = 0;    ///< Wall-clock start; a restart under the same id changes it.
    uint64_t sequence = 0; ///< Of the reports of this incarnation; 0: not stated.
    StoreVersion version;
};

} // namespace jujube::serving
