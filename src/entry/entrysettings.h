#pragma once

/** \file
 * Defines the settings of an entry.
 */

#include "core/clock.h"
#include "wire/httpserver.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <string>
#include <vector>

namespace jujube::entry {

/** Checked contents of an entry's TOML file. */
struct EntrySettings
{
    std::string name;
    std::string domain;
    std::string scope;
    std::string httpListen;
    std::string rpcListen;
    std::string rpcAddress; ///< Where others reach it, if that is not where it listens.
    std::string platformAddress;
    std::vector<std::string> peers; ///< Entries to ask at start, in case the KV is down.
    std::string fleetSecret;
    std::string operatorToken;
    int httpThreads = 4;
    wire::HttpServerLimits limits;
    size_t maxCandidates = 16;
    uint32_t claimShards = 16;
    std::chrono::minutes claimRetention{60};
    std::chrono::seconds usageWindow{60};
    core::Milliseconds usageGracePeriod{10'000}; ///< From the end of a window to its sealing.
    core::Milliseconds usageFlushInterval{1'000};
    core::Milliseconds controllerLeaseTtl{5'000};
    core::Milliseconds platformTimeout{2'000};
    core::Milliseconds stopDelay{1'000}; ///< From not ready to closing the listeners.
    core::Milliseconds stopTimeout{120'000};
    bool planRoles = true;

    static absl::StatusOr<EntrySettings> load(const std::string &path);
};

} // namespace jujube::entry
