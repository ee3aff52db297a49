#pragma once

/** \file
 * Defines recorded traces of requests and the prompts made from them.
 */

#include "core/clock.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace jujube::demo {

/** What a trace row asks for. */
enum class RequestKind { Completion, Chat, Service };

/** One request of a trace. */
struct TraceRow
{
    core::Milliseconds at{}; ///< From the start of the trace.
    std::string team;
    RequestKind kind = RequestKind::Completion;
    std::string target; ///< Profile, or METHOD and path of a service call.
    uint32_t promptTokens = 0;
    uint32_t outputTokens = 0;
    uint32_t document = 0; ///< Requests on the same document share their prompt's start.

    /** Whether a service call must not run twice. */
    bool changesState() const;
};

/** Reads a CSV trace: at_ms,team,kind,target,prompt_tokens,output_tokens,document. */
absl::StatusOr<std::vector<TraceRow>> loadTrace(const std::string &path);

/** The prompt text of a row; \a number makes it unique after the shared document. */
std::string promptOf(const TraceRow &row, uint64_t number);

} // namespace jujube::demo
