#pragma once

/** \file
 * Defines edits of configuration shards that keep what they do not concern as it is.
 */

#include "core/configuration.h"

#include <absl/status/statusor.h>

#include <string>

namespace jujube::tools {

/** Adds a key's record to the text of the keys shard. */
std::string addKey(const std::string &shard, const core::KeyRecord &record);

/** Removes a key's record. NotFound if there is none with this id. */
absl::StatusOr<std::string> removeKey(const std::string &shard, const std::string &keyId);

/** Sets the intent of an endpoint in the text of the engines shard; a pinned role stays. */
std::string setIntent(const std::string &shard, const std::string &vm, core::EngineIntent intent);

/** Fixes an endpoint's role, or leaves it to the planner again when \a role is empty. */
std::string pinRole(const std::string &shard, const std::string &vm, const std::string &role);

/** Line-by-line difference: lines of \a before marked "- ", of \a after "+ ", common ones "  ". */
std::string lineDiff(const std::string &before, const std::string &after);

} // namespace jujube::tools
