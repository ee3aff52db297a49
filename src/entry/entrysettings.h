#pragma once

/** \file
 * Defines the settings of an entry process.
 */

#include "core/clock.h"
#include "wire/httpserver.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <string>
#include <vector>

namespace jujube::entry {

/** Validated contents of an entry's TOML file. */
struct EntrySettings
{
    std::string name;
    std::string failureDomain;
    std::string scope; ///< Part of the KV keys of plan, controller lease, claims and usage.
    std::string httpListen;
    std::string rpcListen;
    std::string rpcAddress; ///< Address under which other processes reach rpcListen.
    std::string platformAddress;
    std::vector<std::string> peerAddresses; ///< Entries to contact if the KV is down at start.
    std::string fleetSecret;
    std::string operatorToken;
    int httpThreads = 4;
    wire::HttpServerLimits httpLimits;
    size_t maxCandidates = 16;
    uint32_t claimShards = 16;
    std::chrono::minutes claimRetention{60};
    std::chrono::seconds usageWindow{60};
    core::Milliseconds usageGracePeriod{10'000}; ///< From the end of a usage window to its sealing.
    core::Milliseconds usageFlushInterval{1'000};
    core::Milliseconds controllerLeaseTtl{5'000};
    core::Milliseconds platformTimeout{2'000};
    core::Milliseconds stopDelay{1'000};     ///< From reporting not ready to closing the listeners.
    core::Milliseconds stopTimeout{120'000}; ///< Longest wait for running requests at shutdown.
    bool planRoles = true;                   ///< Whether the controller plans the roles of engines.

    /** Loads a TOML file. The error status lists the invalid settings. */
    static absl::StatusOr<EntrySettings> load(const std::string &path);
};

} // namespace jujube::entry
