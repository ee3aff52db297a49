#include "entry/entrysettings.h"

#include "core/tomltable.h"

namespace jujube::entry {

absl::StatusOr<EntrySettings> EntrySettings::load(const std::string &path)
{
    core::TomlErrors errors(path);
    auto table = core::TomlTable::load(path, errors);
    if (!table.ok())
        return table.status();
    EntrySettings settings;
    settings.name = table->requiredString("name");
    settings.failureDomain = table->requiredString("failure_domain");
    settings.scope = table->string("scope", "main");
    settings.httpListen = table->socketAddress("http_listen");
    settings.rpcListen = table->socketAddress("rpc_listen");
    settings.rpcAddress = table->socketAddress("rpc_address", false);
    if (settings.rpcAddress.empty())
        settings.rpcAddress = settings.rpcListen;
    settings.platformAddress = table->socketAddress("platform");
    settings.peerAddresses = table->socketAddresses("peers");
    settings.fleetSecret = table->requiredString("fleet_secret");
    settings.operatorToken = table->requiredString("operator_token");
    settings.httpThreads = table->integer<int>("http_threads", {4, 1, 64});
    settings.httpLimits.maxHeaderBytes =
        table->integer<size_t>("max_header_bytes", {16'384, 1'024, 1'048'576});
    settings.httpLimits.maxBodyBytes =
        table->integer<size_t>("max_body_bytes", {4'194'304, 1'024, 67'108'864});
    settings.httpLimits.maxConnectionsPerThread =
        table->integer<int>("max_connections_per_thread", {1'000, 1, 100'000});
    settings.httpLimits.idleTimeout =
        table->milliseconds("idle_timeout_ms", {60'000, 1'000, 3'600'000});
    settings.maxCandidates = table->integer<size_t>("max_candidates", {16, 1, 1'024});
    settings.claimShards = table->integer<uint32_t>("claim_shards", {16, 1, 4'096});
    settings.claimRetention =
        std::chrono::minutes(table->integer<int64_t>("claim_keep_minutes", {60, 1, 10'080}));
    settings.usageWindow =
        std::chrono::seconds(table->integer<int64_t>("usage_window_s", {60, 1, 86'400}));
    settings.usageGracePeriod = table->milliseconds("usage_grace_ms", {10'000, 500, 3'600'000});
    settings.usageFlushInterval = table->milliseconds("usage_flush_ms", {1'000, 100, 600'000});
    settings.controllerLeaseTtl = table->milliseconds("controller_lease_ms", {5'000, 500, 600'000});
    settings.platformTimeout = table->milliseconds("platform_timeout_ms", {2'000, 100, 60'000});
    settings.stopDelay = table->milliseconds("stop_delay_ms", {1'000, 0, 600'000});
    settings.stopTimeout = table->milliseconds("stop_limit_ms", {120'000, 0, 3'600'000});
    settings.planRoles = table->boolean("plan_roles", true);
    table->rejectUnknownKeys();
    const absl::Status status = errors.status();
    if (!status.ok())
        return status;
    return settings;
}

} // namespace jujube::entry
