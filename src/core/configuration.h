#pragma once

/** \file
 * Defines the operators' configuration: profiles, services, teams, keys and engine intents.
 */

#include "core/work.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujube::core {

/** Limits and latency objectives of one kind of language request. Callers select a profile. */
struct Profile
{
    std::string name;
    std::string model;
    uint32_t priority = 5; ///< 0 (lowest) to 9.
    uint32_t maxOutputTokens = 0;
    uint32_t maxPromptTokens = 0;
    std::chrono::milliseconds firstTokenObjective{}; ///< Objective for the time to first token.
    std::chrono::milliseconds interTokenObjective{}; ///< Objective for the time between tokens.
    std::chrono::milliseconds deadline{}; ///< Time within which the response must be complete.
    uint32_t minDomains = 1;              ///< Failure domains that must each keep an endpoint.
    std::vector<std::string> teams;       ///< Teams that may use it; empty means every team.

    bool allows(std::string_view team) const;
};

/** One route of an application service. The route with the longest matching prefix applies. */
struct ServiceRoute
{
    std::string prefix;
    bool idempotent = false;
    bool open = false; ///< Requests need no team key.
    std::chrono::milliseconds deadline{};
};

struct Service
{
    std::string name;
    std::vector<ServiceRoute> routes;
    std::vector<std::string> teams;

    bool allows(std::string_view team) const;
    /** The route with the longest prefix of \a path; null if no route matches. */
    const ServiceRoute *routeFor(std::string_view path) const;
};

struct Team
{
    std::string name;
    double weight = 1.0; ///< Share of the fleet relative to other teams.
};

/** Stored record of a team key. The key itself is never stored. */
struct KeyRecord
{
    std::string keyId;
    std::string team;
    std::string salt; ///< In hexadecimal.
    std::string hash; ///< SHA-256 of salt and secret, in hexadecimal.
};

/** State that an operator sets for one endpoint. */
enum class EngineIntent { Active, Drained, Withdrawn };

/** An operator's settings for one endpoint, which take precedence over the planner. */
struct EngineOverride
{
    EngineIntent intent = EngineIntent::Active;
    std::optional<Role> role; ///< Pinned role, which the planner must not change.
};

/** Names of the shards of the configuration. Each shard is stored as one KV value. */
namespace shards {
inline constexpr std::string_view Profiles = "profiles";
inline constexpr std::string_view KeyPrefix = "keys-"; // followed by two digits, see shardForKey()
inline constexpr std::string_view Engines = "engines";
} // namespace shards

/** Prefix of the KV values that hold the configuration. */
inline constexpr const char *ConfigPrefix = "fleet/config/";

/** Number of shards for key records, so that a change rewrites only a small value. */
inline constexpr uint32_t KeyShardCount = 16;

/** The name of the shard that holds a key's record: keys-00 to keys-15. */
std::string shardForKey(std::string_view keyId);

/** The KV key under which a shard is stored. */
std::string shardKvKey(std::string_view shard);

/** One shard as stored: its TOML text and the KV revision at which it was written. */
struct ShardValue
{
    uint64_t revision = 0;
    std::string value;
};

/** An immutable, validated view of the whole configuration.
 *
 * Request threads hold it by shared pointer. A change replaces the whole object.
 */
class Configuration
{
public:
    /** Parses all shards. Absent shards count as empty.
     *
     * \param previous configuration whose parsed shards are reused if their revision is unchanged.
     * \return InvalidArgument that names the first invalid shard with its invalid keys and values.
     */
    static absl::StatusOr<std::shared_ptr<const Configuration>>
    create(const std::map<std::string, ShardValue> &shards,
           const Configuration *previous = nullptr);

    /** Highest KV revision of any shard. It never decreases, as KV revisions grow over all keys. */
    uint64_t version() const { return m_version; }
    const std::map<std::string, ShardValue> &shardValues() const { return m_shards; }

    const Profile *profile(std::string_view name) const;
    const Service *service(std::string_view name) const;
    const Team *team(std::string_view name) const;
    const KeyRecord *key(std::string_view keyId) const;
    EngineOverride engineOverride(std::string_view vm) const;

    const std::map<std::string, Profile, std::less<>> &profiles() const { return m_profiles; }
    const std::map<std::string, Service, std::less<>> &services() const { return m_services; }
    const std::map<std::string, Team, std::less<>> &teams() const { return m_teams; }
    const std::map<std::string, KeyRecord, std::less<>> &keys() const { return m_keys; }
    const std::map<std::string, EngineOverride, std::less<>> &engines() const { return m_engines; }

private:
    // The records of one shard.
    struct ParsedShard
    {
        uint64_t revision = 0;
        std::map<std::string, Profile, std::less<>> profiles;
        std::map<std::string, Service, std::less<>> services;
        std::map<std::string, Team, std::less<>> teams;
        std::map<std::string, KeyRecord, std::less<>> keys;
        std::map<std::string, EngineOverride, std::less<>> engines;
    };

    static absl::StatusOr<std::shared_ptr<const ParsedShard>> parseShard(const std::string &name,
                                                                         const ShardValue &shard);
    absl::Status merge(const std::string &name, const ParsedShard &shard);

    uint64_t m_version = 0;
    std::map<std::string, ShardValue> m_shards;
    std::map<std::string, std::shared_ptr<const ParsedShard>> m_parsed;
    std::map<std::string, Profile, std::less<>> m_profiles;
    std::map<std::string, Service, std::less<>> m_services;
    std::map<std::string, Team, std::less<>> m_teams;
    std::map<std::string, KeyRecord, std::less<>> m_keys;
    std::map<std::string, EngineOverride, std::less<>> m_engines;
};

/** Name of an intent in the KV and on the command line: active, drained or withdrawn. */
std::string_view intentName(EngineIntent intent);

/** Validates a shard's text before it is published.
 *
 * \return InvalidArgument that names the invalid keys and values, or OK.
 */
absl::Status validateShard(std::string_view shard, const std::string &value);

} // namespace jujube::core
