#include "agent/agentsettings.h"

#include "core/tomltable.h"

namespace jujube::agent {

absl::StatusOr<AgentSettings> AgentSettings::load(const std::string &path)
{
    core::TomlErrors errors(path);
    auto table = core::TomlTable::load(path, errors);
    if (!table.ok())
        return table.status();
    AgentSettings settings;
    settings.vm = table->requiredString("vm");
    settings.failureDomain = table->requiredString("failure_domain");
    settings.scope = table->string("scope", "main");
    settings.rpcListen = table->socketAddress("rpc_listen");
    settings.rpcAddress = table->socketAddress("rpc_address", false);
    if (settings.rpcAddress.empty())
        settings.rpcAddress = settings.rpcListen;
    settings.httpListen = table->socketAddress("http_listen");
    settings.endpointAddress = table->socketAddress("endpoint");
    settings.platformAddress = table->socketAddress("platform");
    settings.fleetSecret = table->requiredString("fleet_secret");
    settings.kind = table->choice("kind", {"language", "service"}) == "service"
        ? core::WorkKind::Service
        : core::WorkKind::Language;
    settings.model = table->requiredString("serves");
    settings.serviceSlots = table->integer<uint32_t>("service_slots", {8, 1, 4'096});
    settings.usageFlushInterval = table->milliseconds("usage_flush_ms", {1'000, 100, 600'000});
    settings.platformTimeout = table->milliseconds("platform_timeout_ms", {2'000, 100, 60'000});
    settings.stopTimeout = table->milliseconds("stop_limit_ms", {120'000, 0, 3'600'000});
    table->rejectUnknownKeys();
    const absl::Status status = errors.status();
    if (!status.ok())
        return status;
    return settings;
}

} // namespace jujube::agent
