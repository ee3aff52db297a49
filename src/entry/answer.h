#pragma once

/** \file
 * Defines the events that a RequestSession sends to the HTTP side while it answers a request.
 */

#include "core/work.h"

#include <functional>
#include <string>
#include <variant>

namespace jujube::entry {

/** The next piece of a language model's answer. */
struct AnswerPiece
{
    std::string text;
};

/** The final event of a request that succeeded. */
struct CompletedAnswer
{
    core::Usage usage;
    uint32_t status = 200; ///< HTTP status of a service's answer.
    std::string contentType;
    std::string body; ///< A service's answer; language answers were sent as AnswerPiece.
};

/** The final event of a request that ended without a complete answer. */
struct AnswerFailure
{
    core::Outcome outcome = core::Outcome::Unknown;
    int status = 503; ///< HTTP status for the caller.
    std::string code; ///< Short machine-readable reason.
    std::string message;
    core::Milliseconds retryAfter{}; ///< 0 when a retry would not help.
};

using AnswerEvent = std::variant<AnswerPiece, CompletedAnswer, AnswerFailure>;

/** Receives any number of AnswerPiece and then one CompletedAnswer or AnswerFailure. */
using AnswerSink = std::function<void(AnswerEvent)>;

} // namespace jujube::entry
