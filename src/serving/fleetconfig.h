#pragma once

/** \file
 * Defines the configuration of the serving path: routes, services, teams, limits and endpoints.
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

/** How often the requests of a route may run. */
enum class RouteKind {
    Idempotent, ///< Requests may run more than once.
    AtMostOnce, ///< Each request runs at most once.
    Stream,     ///< Answers are event streams; at most once unless the route is resumable.
};

/** A service that receives a share of the requests of a route. */
struct SplitTarget
{
    std::string service;
    double weight = 1;
};

/** A path prefix of a host, with the services and the limits of its requests. */
struct Route
{
    std::string name;
    std::string host;
    std::string prefix;
    RouteKind kind = RouteKind::AtMostOnce;
    std::vector<SplitTarget> targets; ///< One service, or several with weights.
    core::Milliseconds timeout{};     ///< Maximum time to the complete answer.
    core::Milliseconds
        latencyObjective{}; ///< Target time to the complete answer, or to the first event.
    core::Milliseconds eventGapObjective{}; ///< Target for the longest pause between two events.
    core::Milliseconds eventTimeout{}; ///< After this, clients of a stream stop waiting; 0: never.
    uint32_t maxAttempts = 1;          ///< Number of endpoints that may run a request.
    uint32_t rank = 5;                 ///< Priority; 0 is the most urgent.
    bool allowAnonymous = false;       ///< Requests need no API key.
    bool resumable = false;
    bool statesPromptBlocks = false; ///< Requests state the prefix blocks of their prompt.

    bool repeatable() const
    {
        return kind == RouteKind::Idempotent || (kind == RouteKind::Stream && resumable);
    }
};

/** Configured properties of the model engines of a service. */
struct EngineConfig
{
    uint32_t slots = 0;
    uint64_t cacheTokens = 0; ///< Size of the KV cache.
    double bytesPerToken = 0; ///< Size of a token in the KV cache.
    double linkMbps = 0;
    uint32_t tokensPerEvent = 1;
    core::Milliseconds kvHandleLifetime{};
    core::Milliseconds stageChangeTime{};
};

/** A configured service. */
struct ServiceConfig
{
    std::string name;
    std::string healthPath;
    uint32_t maxConnections = 0; ///< Per endpoint, from all gateways together; 0: not stated.
    std::optional<EngineConfig> engine;
};

/** Quota of a team, for all gateways together. */
struct TeamQuota
{
    double tokensPerSecond = 0;
    double burstTokens = 0;
    bool countsTokens = false; ///< Otherwise each request counts as one token.
    double plainTokens = 1;    ///< Tokens of a request that does not state its size.
};

/** A configured team. */
struct TeamConfig
{
    std::string name;
    std::optional<uint32_t> rank;   ///< Overrides the rank of the route.
    std::optional<TeamQuota> quota; ///< Nothing: the team has no quota.
};

/** Limits of client connections and requests. */
struct RequestLimits
{
    uint32_t maxHeadBytes = 16 * 1024;
    uint64_t maxBodyBytes = 4UL << 20U;
    core::Milliseconds headTimeout{3'000};
    core::Milliseconds idleTimeout{15'000};
};

/** Route, team and rank of a request. */
struct RequestClass
{
    const Route *route = nullptr;     ///< Null: no route matches.
    const TeamConfig *team = nullptr; ///< Null: none.
    uint32_t rank = 5;
    bool keyRefused = false; ///< The route needs a key, and the request has none or an unknown one.
};

/** One version of the configuration; immutable once published. */
struct FleetConfig
{
    uint64_t version = 0;
    std::map<std::string, std::vector<Route>, std::less<>> routesByHost; ///< Longest prefix first.
    std::map<std::string, ServiceConfig, std::less<>> services;
    std::vector<TeamConfig> teams;
    std::unordered_map<std::string, size_t> teamByKey; ///< Index in teams by API key.
    RequestLimits limits;
    bool requiresKeys = false; ///< Teams are configured: requests need a key unless allowAnonymous.

    /** \return null if no route matches. */
    const Route *findRoute(std::string_view host, std::string_view path) const;
    /** \return null if the key is unknown. */
    const TeamConfig *findTeamByKey(std::string_view key) const;
    RequestClass classify(std::string_view host, std::string_view path, std::string_view key) const;
};

enum class EndpointState { Ready, Draining };

/** The phases of inference that a model endpoint runs; None for other services. */
enum class Stage { None, Mixed, Prefill, Decode };

/** Returns the name of a stage on the wire. */
std::string_view stageName(Stage stage);

/** An endpoint as registered in the store. */
struct EndpointRecord
{
    std::string id; ///< Identifies one run of the endpoint; its incarnation in Expect checks.
    std::string service;
    std::string address;
    std::string domain;
    uint32_t slots = 1;
    EndpointState state = EndpointState::Ready;
    Stage stage = Stage::None;
    core::Milliseconds warmUpTimeLeft{};
    int64_t bornMs = 0;    ///< Start time since 1970; changes at a restart under the same id.
    uint64_t sequence = 0; ///< Sequence number of this report of the incarnation; 0: not stated.
    StoreVersion version;
};

} // namespace jujube::serving
