#include "core/configuration.h"

#include "core/keyhash.h"
#include "core/text.h"
#include "core/tomltable.h"

#include <toml++/toml.h>

#include <algorithm>

namespace jujube::core {

namespace {

bool contains(const std::vector<std::string> &names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

template <typename Map>
auto findIn(const Map &map, std::string_view name) -> const typename Map::mapped_type *
{
    const auto it = map.find(name);
    return it == map.end() ? nullptr : &it->second;
}

Profile readProfile(TomlTable &table)
{
    Profile profile;
    profile.name = table.requiredString("name");
    profile.model = table.requiredString("model");
    profile.priority = table.integer<uint32_t>("priority", {5, 0, 9});
    profile.maxOutputTokens = table.integer<uint32_t>("max_output_tokens", {1024, 1, 131'072});
    profile.maxPromptTokens = table.integer<uint32_t>("max_prompt_tokens", {32'768, 1, 1'048'576});
    profile.firstTokenObjective = table.milliseconds("first_token_ms", {2'000, 10, 600'000});
    profile.interTokenObjective = table.milliseconds("between_tokens_ms", {100, 1, 60'000});
    profile.deadline = table.milliseconds("deadline_ms", {60'000, 100, 3'600'000});
    profile.minDomains = table.integer<uint32_t>("min_domains", {1, 1, 64});
    profile.teams = table.strings("teams");
    table.rejectUnknownKeys();
    return profile;
}

ServiceRoute readRoute(TomlTable &table)
{
    ServiceRoute route;
    route.prefix = table.requiredString("prefix");
    route.idempotent = table.boolean("idempotent", false);
    route.open = table.boolean("open", false);
    route.deadline = table.milliseconds("deadline_ms", {10'000, 100, 600'000});
    table.rejectUnknownKeys();
    return route;
}

Service readService(TomlTable &table)
{
    Service service;
    service.name = table.requiredString("name");
    service.teams = table.strings("teams");
    table.forEachTable("route", [&](TomlTable &it) { service.routes.push_back(readRoute(it)); });
    table.rejectUnknownKeys();
    return service;
}

Team readTeam(TomlTable &table)
{
    Team team;
    team.name = table.requiredString("name");
    team.weight = table.number("weight", {1.0, 0.001, 1'000.0});
    table.rejectUnknownKeys();
    return team;
}

KeyRecord readKey(TomlTable &table)
{
    KeyRecord key;
    key.keyId = table.requiredString("id");
    key.team = table.requiredString("team");
    key.salt = table.requiredString("salt");
    key.hash = table.requiredString("hash");
    table.rejectUnknownKeys();
    return key;
}

EngineOverride readEngineOverride(TomlTable &table)
{
    EngineOverride engine;
    const std::string intent = table.choice("intent", {"active", "drained", "withdrawn"});
    if (intent != "active")
        engine.intent = intent == "drained" ? EngineIntent::Drained : EngineIntent::Withdrawn;
    if (table.has("role"))
        engine.role = roleFromName(table.choice("role", {"mixed", "prefill", "decode"}));
    table.rejectUnknownKeys();
    return engine;
}

template <typename T>
void insertUnique(std::map<std::string, T, std::less<>> &map, std::string name, T value,
                  TomlErrors &errors, std::string_view what)
{
    if (!map.emplace(name, std::move(value)).second)
        errors.add(concat(what, " '", name, "' is defined twice"));
}

} // namespace

bool Profile::allows(std::string_view team) const
{
    return teams.empty() || contains(teams, team);
}

bool Service::allows(std::string_view team) const
{
    return teams.empty() || contains(teams, team);
}

const ServiceRoute *Service::routeFor(std::string_view path) const
{
    const ServiceRoute *best = nullptr;
    for (const ServiceRoute &route : routes) {
        const bool matches = path.substr(0, route.prefix.size()) == route.prefix;
        if (matches && (!best || route.prefix.size() > best->prefix.size()))
            best = &route;
    }
    return best;
}

std::string shardForKey(std::string_view keyId)
{
    const uint64_t index = stableHash(keyId) % KeyShardCount;
    return concat(shards::KeyPrefix, index / 10, index % 10);
}

std::string shardKvKey(std::string_view shard)
{
    return concat(ConfigPrefix, shard);
}

std::string_view intentName(EngineIntent intent)
{
    switch (intent) {
    case EngineIntent::Active:
        return "active";
    case EngineIntent::Drained:
        return "drained";
    case EngineIntent::Withdrawn:
        return "withdrawn";
    }
    return "active";
}

absl::StatusOr<std::shared_ptr<const Configuration::ParsedShard>>
Configuration::parseShard(const std::string &name, const ShardValue &shard)
{
    auto parsed = std::make_shared<ParsedShard>();
    parsed->revision = shard.revision;
    TomlErrors errors(concat("config/", name));
    auto root = TomlTable::parse(shard.value, errors);
    if (!root.ok())
        return root.status();
    root->forEachTable("profile", [&](TomlTable &it) {
        Profile profile = readProfile(it);
        insertUnique(parsed->profiles, profile.name, profile, errors, "profile");
    });
    root->forEachTable("service", [&](TomlTable &it) {
        Service service = readService(it);
        insertUnique(parsed->services, service.name, service, errors, "service");
    });
    root->forEachTable("team", [&](TomlTable &it) {
        Team team = readTeam(it);
        insertUnique(parsed->teams, team.name, team, errors, "team");
    });
    root->forEachTable("key", [&](TomlTable &it) {
        KeyRecord key = readKey(it);
        insertUnique(parsed->keys, key.keyId, key, errors, "key");
    });
    root->forEachTable("engine", [&](TomlTable &it) {
        const std::string vm = it.requiredString("vm");
        insertUnique(parsed->engines, vm, readEngineOverride(it), errors, "engine");
    });
    root->rejectUnknownKeys();
    if (!errors.empty())
        return errors.status();
    return std::shared_ptr<const ParsedShard>(std::move(parsed));
}

absl::Status Configuration::merge(const std::string &name, const ParsedShard &shard)
{
    TomlErrors errors(concat("config/", name));
    for (const auto &[key, profile] : shard.profiles)
        insertUnique(m_profiles, key, profile, errors, "profile");
    for (const auto &[key, service] : shard.services)
        insertUnique(m_services, key, service, errors, "service");
    for (const auto &[key, team] : shard.teams)
        insertUnique(m_teams, key, team, errors, "team");
    for (const auto &[key, record] : shard.keys)
        insertUnique(m_keys, key, record, errors, "key");
    for (const auto &[key, engine] : shard.engines)
        insertUnique(m_engines, key, engine, errors, "engine");
    return errors.status();
}

absl::StatusOr<std::shared_ptr<const Configuration>>
Configuration::create(const std::map<std::string, ShardValue> &shards,
                      const Configuration *previous)
{
    auto config = std::make_shared<Configuration>();
    config->m_shards = shards;
    for (const auto &[name, shard] : shards) {
        config->m_version = std::max(config->m_version, shard.revision);
        std::shared_ptr<const ParsedShard> parsed;
        if (previous) {
            const auto known = previous->m_parsed.find(name);
            if (known != previous->m_parsed.end() && known->second->revision == shard.revision)
                parsed = known->second;
        }
        if (!parsed) {
            auto fresh = parseShard(name, shard);
            if (!fresh.ok())
                return fresh.status();
            parsed = *fresh;
        }
        const absl::Status merged = config->merge(name, *parsed);
        if (!merged.ok())
            return merged;
        config->m_parsed[name] = parsed;
    }
    return std::shared_ptr<const Configuration>(std::move(config));
}

const Profile *Configuration::profile(std::string_view name) const
{
    return findIn(m_profiles, name);
}

const Service *Configuration::service(std::string_view name) const
{
    return findIn(m_services, name);
}

const Team *Configuration::team(std::string_view name) const
{
    return findIn(m_teams, name);
}

const KeyRecord *Configuration::key(std::string_view keyId) const
{
    return findIn(m_keys, keyId);
}

EngineOverride Configuration::engineOverride(std::string_view vm) const
{
    const EngineOverride *engine = findIn(m_engines, vm);
    return engine ? *engine : EngineOverride{};
}

absl::Status validateShard(std::string_view shard, const std::string &value)
{
    bool known = shard == shards::Profiles || shard == shards::Engines;
    for (uint32_t i = 0; i < KeyShardCount && !known; ++i)
        known = shard == concat(shards::KeyPrefix, i / 10, i % 10);
    if (!known) {
        return absl::InvalidArgumentError(concat("unknown shard '", shard,
                                                 "'; allowed are profiles, engines and keys-00 to ",
                                                 shards::KeyPrefix, KeyShardCount - 1));
    }
    const auto config = Configuration::create({{std::string(shard), ShardValue{1, value}}});
    return config.status();
}

} // namespace jujube::core
