#pragma once

/** \file
 * Defines the settings of an agent process.
 */

#include "core/work.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <string>

namespace jujube::agent {

/** Validated contents of an agent's TOML file. */
struct AgentSettings
{
    std::string vm;
    std::string failureDomain;
    std::string scope; ///< Part of the KV keys of plan and usage.
    std::string rpcListen;
    std::string rpcAddress; ///< Address under which other processes reach rpcListen.
    std::string httpListen;
    std::string endpointAddress; ///< Address of the engine or service.
    std::string platformAddress;
    std::string fleetSecret;
    core::WorkKind kind = core::WorkKind::Language;
    std::string model;         ///< Name of the served model or service.
    uint32_t serviceSlots = 8; ///< Concurrent requests of a service.
    core::Milliseconds usageFlushInterval{1'000};
    core::Milliseconds platformTimeout{2'000};
    core::Milliseconds stopTimeout{120'000}; ///< Longest wait for running answers at shutdown.

    /** Loads a TOML file. The error status lists the invalid settings. */
    static absl::StatusOr<AgentSettings> load(const std::string &path);
};

} // namespace jujube::agent
