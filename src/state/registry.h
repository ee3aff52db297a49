#pragma once

/** \file
 * Defines the registry of running processes in the KV.
 */

#include "core/work.h"
#include "state/kvclient.h"

#include <absl/status/statusor.h>

#include <string>

namespace jujube::state {

/** Registration of the agent on an endpoint VM. Written at the agent's start and when it leaves. */
struct AgentRecord
{
    std::string vm;
    std::string address; ///< RPC address of the agent.
    std::string domain;
    core::WorkKind kind = core::WorkKind::Language;
    std::string model; ///< Name of the model (Language) or of the service (Service).
    uint64_t incarnation = 0;

    std::string serialize() const;
    static absl::StatusOr<AgentRecord> parse(const std::string &text);
};

/** Registration of an entry process. */
struct EntryRecord
{
    std::string name;
    std::string address; ///< RPC address for other entries.
    std::string domain;
    uint64_t incarnation = 0;

    std::string serialize() const;
    static absl::StatusOr<EntryRecord> parse(const std::string &text);
};

/** Prefix of everything that all entries mirror, so that one watch covers it. */
inline constexpr const char *FleetPrefix = "fleet/";
inline constexpr const char *AgentPrefix = "fleet/agents/";
inline constexpr const char *EntryPrefix = "fleet/entries/";

std::string agentKey(const std::string &vm);
std::string entryKey(const std::string &name);

} // namespace jujube::state
