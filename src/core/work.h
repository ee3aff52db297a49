#pragma once

/** \file
 * Defines the values that describe requests: kinds, outcomes, usage and the load of an endpoint.
 */

#include "core/clock.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace jujube::core {

/** Kind of back end on an endpoint: a language model engine or an application service. */
enum class WorkKind { Language, Service };

/** Phases of a language request that an engine runs: both, prefill only or decode only. */
enum class Role { Mixed, Prefill, Decode };

/** How a request ended, as far as this is proved. */
enum class Outcome {
    Whole,   ///< The response is complete.
    NotRun,  ///< Proved: no endpoint has run or will run the request.
    Unknown, ///< The request may or may not have run.
    Failed,  ///< The request ran and failed.
};

std::string_view roleName(Role role);
/** The role with this name; Mixed for an unknown name. */
Role roleFromName(std::string_view name);
/** Name of an outcome in responses to callers: whole, not-run, unknown or failed. */
std::string_view outcomeName(Outcome outcome);

/** Token counts of one request, or sums over several. */
struct Usage
{
    uint64_t promptTokens = 0;
    uint64_t cachedTokens = 0; ///< Part of promptTokens found in the engine's prefix cache.
    uint64_t outputTokens = 0;

    bool operator==(const Usage &) const = default;
};

/** Freshness token: a configuration version and the last time at which it was confirmed to be the
 * newest one in the platform's KV.
 */
struct FreshnessToken
{
    uint64_t version = 0;
    TimePoint confirmedAt{};
};

/** Load and state of one endpoint as reported by its agent. */
struct LoadReport
{
    uint64_t incarnation = 0;
    uint32_t queuedRequests = 0;
    uint64_t queuedPrefillTokens = 0; ///< Queued prompt tokens not expected in the cache.
    uint32_t running = 0;
    uint32_t slots = 0;
    uint64_t outstandingOutputTokens = 0; ///< Output tokens admitted and not yet produced.
    double prefillTokensPerSecond = 0;    ///< Measured prefill rate of the engine.
    double decodeTokensPerSecond = 0;     ///< Measured decode rate of one stream.
    uint32_t freeKvPieces = 0;            ///< Free KV memory, in pieces of KvPieceTokens.
    Role role = Role::Mixed;
    bool ready = false;
    bool leaving = false;
    uint64_t appliedTerm = 0;
    uint64_t appliedSequence = 0;
    Milliseconds oldestQueuedAge{};
    uint64_t unmetDeadlines = 0;
    FreshnessToken freshnessToken;
};

/** Estimates the tokens of a text at four bytes per token, as the stand-in engine counts them. */
uint32_t estimatedTokenCount(std::string_view text);

/** Prompt tokens per block of the prefix cache. */
constexpr uint32_t PrefixBlockTokens = 64;
/** Size of the pieces in which engines allocate KV memory, in tokens. */
constexpr uint32_t KvPieceTokens = 1'024;

} // namespace jujube::core
