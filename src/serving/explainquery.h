#pragma once

/** \file
 * Defines the query for an explanation, which the command line sends to a running gateway.
 */

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace jujube::serving {

/** Parameters of a request that is to be explained, as text. */
struct ExplainQuery
{
    std::string host;
    std::string path;
    std::string key;
    std::string tokens; ///< "prompt,maximum output"; empty: not stated.
    std::string hint;   ///< Output tokens as estimated by the client; empty: not stated.
    std::string prefix; ///< "ID:TOKENS,...", with ids in hexadecimal; empty: none.
    bool json = false;  ///< Format of the answer; otherwise text.
};

inline constexpr std::string_view ExplainPath = "/explain";
// Types of the answer; the server's other answers have another one.
inline constexpr std::string_view ExplainTextType = "text/plain; charset=utf-8";
inline constexpr std::string_view ExplainJsonType = "application/json";

/** Encodes a query as the target of a request to the server of the metrics port. */
std::string encodeExplainTarget(const ExplainQuery &query);
/** Decodes a target. \return InvalidArgument if a parameter is unknown or given twice. */
absl::StatusOr<ExplainQuery> decodeExplainTarget(std::string_view target);

} // namespace jujube::serving
