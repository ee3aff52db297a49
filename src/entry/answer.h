#pragma once

/** \file
 * Defines what a request's session tells the caller's side about the answer.
 */

#include "core/work.h"

#include <functional>
#include <string>
#include <variant>

namespace jujube::entry {

/** The next piece of a language answer. */
struct AnswerPiece
{
    std::string text;
};

/** The answer is complete. */
struct CompletedAnswer
{
    core::Usage usage;
    uint32_t status = 200; ///< HTTP status of a service's answer.
    std::string contentType;
    std::string body; ///< Of a service's answer.
};

/** The request ended without a whole answer. */
struct AnswerFailure
{
    core::Outcome outcome = core::Outcome::Unknown;
    int status = 503; ///< HTTP status for the caller.
    std::string code; ///< Short machine-readable reason.
    std::string message;
    core::Milliseconds retryAfter{}; ///< 0 when coming back does not help.
};

using AnswerEvent = std::variant<AnswerPiece, CompletedAnswer, AnswerFailure>;

/** Receives any number of pieces and then one AnswerWhole or AnswerFailure. */
using AnswerSink = std::function<void(AnswerEvent)>;

} // namespace jujube::entry
