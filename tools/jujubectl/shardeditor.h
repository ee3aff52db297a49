#pragma once

/** \file
 * Defines edits of configuration shards, which are TOML text. Other entries of a shard are kept.
 */

#include "core/configuration.h"

#include <absl/status/statusor.h>

#include <string>

namespace jujube::tools {

/** Adds a key's record to the text of the keys shard. */
std::string addKey(const std::string &shard, const core::KeyRecord &record);

/** Removes a key's record. NotFound if there is none with this id. */
absl::StatusOr<std::string> removeKey(const std::string &shard, const std::string &keyId);

/** Sets the intent of an endpoint in the text of the engines shard. Its pinned role is kept. */
std::string setIntent(const std::string &shard, const std::string &vm, core::EngineIntent intent);

/** Pins the role of an endpoint in the text of the engines shard. If \a role is empty, removes the
 * pin, and the planner chooses the role. */
std::string pinRole(const std::string &shard, const std::string &vm, const std::string &role);

/** Compares two texts line by line.
 *
 * Prefixes of the result's lines: "- " only in \a before, "+ " only in \a after, "  " in both.
 */
std::string lineDiff(const std::string &before, const std::string &after);

} // namespace jujube::tools
