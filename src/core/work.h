#pragma once

/** \file
 * Defines the values that describe work: requests, outcomes, usage and an endpoint's load.
 */

#include "core/clock.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace jujube::core {

/** Kind of back end a worker serves. */
enum class WorkKind { Language, Service };

/** Which phases of a language request an engine is meant for. */
enum class Role { Mixed, Prefill, Decode };

/** How a request ended, as far as it can be proved. */
enum class Outcome {
    Whole,   ///< The answer is complete.
    NotRun,  ///< Proved: no endpoint has run or will run it.
    Unknown, ///< It may or may not have run.
    Failed,  ///< It ran and failed.
};

std::string_view roleName(Role role);
/** Mixed for an unknown name. */
Role roleFromName(std::string_view name);
/** Name as callers see it: whole, not-run, unknown or failed. */
std::string_view outcomeName(Outcome outcome);

/** Tokens of one request or a sum over requests. */
struct Usage
{
    uint64_t promptTokens = 0;
    uint64_t cachedTokens = 0; ///< Part of promptTokens found in the engine's prefix cache.
    uint64_t outputTokens = 0;

    bool operator==(const Usage &) const = default;
};

/** When a configuration version was last known to be the newest one in the platform's KV. */
struct FreshnessToken
{
    uint64_t version = 0;
    TimePoint confirmedAt{};
};

/** State of one endpoint as its agent reported it. */
struct LoadReport
{
    uint64_t incarnation = 0;
    uint32_t queuedRequests = 0;
    uint64_t queuedPrefillTokens =
        0; ///< Prefill tokens waiting that are not expected in the cache.
    uint32_t running = 0;
    uint32_t slots = 0;
    uint64_t outstandingOutputTokens = 0; ///< Output tokens admitted and not yet produced.
    double prefillTokensPerSecond = 0;    ///< Tokens a second, learned from what the engine did.
    double decodeTokensPerSecond = 0;     ///< Tokens a second for one stream, learned.
    uint32_t freeKvPieces = 0;            ///< KV memory left, in pieces of 1,024 tokens.
    Role role = Role::Mixed;
    bool ready = false;
    bool leaving = false;
    uint64_t appliedTerm = 0;
    uint64_t appliedSequence = 0;
    Milliseconds oldestQueuedAge{};
    uint64_t unmetDeadlines = 0;
    FreshnessToken freshnessToken;
};

/** Tokens in a text, at four bytes a token; the stand-in engine counts the same way. */
uint32_t estimatedTokenCount(std::string_view text);

/** Prompt tokens of one prefix-cache block. */
constexpr uint32_t PrefixBlockTokens = 64;
/** Size of the pieces in which engines hand out KV memory, in tokens. */
constexpr uint32_t KvPieceTokens = 1'024;

} // namespace jujube::core
