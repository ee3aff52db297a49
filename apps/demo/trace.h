#pragma once

/** \file
 * Defines request traces and the prompts generated from them.
 */

#include "core/clock.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace jujube::demo {

/** The API that a trace row calls. */
enum class RequestKind { Completion, Chat, Service };

/** One request of a trace. */
struct TraceRow
{
    core::Milliseconds at{}; ///< From the start of the trace.
    std::string team;
    RequestKind kind = RequestKind::Completion;
    std::string target; ///< Profile, or the HTTP method and path of a service call.
    uint32_t promptTokens = 0;
    uint32_t outputTokens = 0;
    uint32_t document = 0; ///< Requests with the same document share a prompt prefix.

    /** Whether this is a service call that must run at most once. */
    bool changesState() const;
};

/** Reads a CSV trace: at_ms,team,kind,target,prompt_tokens,output_tokens,document.
 *
 * Returns NotFound if the file cannot be read and InvalidArgument for a malformed line.
 */
absl::StatusOr<std::vector<TraceRow>> loadTrace(const std::string &path);

/** \return the prompt of a row: the text of its document, then a question that \a number makes
 * unique. */
std::string promptOf(const TraceRow &row, uint64_t number);

} // namespace jujube::demo
