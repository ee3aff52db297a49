#pragma once

/** \file
 * Defines the settings of an agent.
 */

#include "core/work.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <string>

namespace jujube::agent {

/** Checked contents of an agent's TOML file. */
struct AgentSettings
{
    std::string vm;
    std::string domain;
    std::string scope;
    std::string rpcListen;
    std::string rpcAddress; ///< Where others reach it, if that is not where it listens.
    std::string httpListen;
    std::string endpointAddress; ///< Address of the engine or service beside this agent.
    std::string platformAddress;
    std::string fleetSecret;
    core::WorkKind kind = core::WorkKind::Language;
    std::string model; ///< Model or service name.
    uint32_t serviceSlots = 8;
    core::Milliseconds usageFlushInterval{1'000};
    core::Milliseconds platformTimeout{2'000};
    core::Milliseconds stopTimeout{120'000}; ///< Longest graceful shutdown.

    static absl::StatusOr<AgentSettings> load(const std::string &path);
};

} // namespace jujube::agent
