#pragma once

/** \file
 * Defines the parsing of completion requests and the serialization of their answers.
 */

#include "core/configuration.h"
#include "core/work.h"

#include <absl/status/statusor.h>
#include <QJsonObject>

#include <string>
#include <string_view>

namespace jujube::entry {

/** The completion interface that a caller used: /v1/completions or /v1/chat/completions. */
enum class CompletionStyle { Text, Chat };

/** A parsed completion request. Unknown fields are ignored. */
struct CompletionRequest
{
    CompletionStyle style = CompletionStyle::Text;
    std::string profile; ///< Value of the field "model", which names a profile.
    std::string prompt;
    uint32_t maxTokens = 0; ///< Limit of output tokens; 0 if the caller gave none.
    bool stream = false;

    /** Parses a JSON body. \return InvalidArgument with the name of the first invalid field. */
    static absl::StatusOr<CompletionRequest> parse(CompletionStyle style, std::string_view body);

    /** Sets a missing maxTokens and checks the request against the limits of its profile.
     * \return InvalidArgument with the limit that is exceeded. */
    absl::Status applyProfile(const core::Profile &profile);
};

/** Serializes the answer to one request in the format of its interface. */
class CompletionWriter
{
public:
    CompletionWriter(const CompletionRequest &request, std::string id);

    /** The complete answer as one JSON object. */
    std::string completeResponse(const std::string &text, const core::Usage &usage) const;
    /** A server-sent event with one piece of the answer. */
    std::string pieceEvent(const std::string &text) const;
    /** The last server-sent events: finish reason, usage and [DONE]. */
    std::string finalEvents(const core::Usage &usage) const;

private:
    QJsonObject chunkObject(const QJsonObject &choice) const;

    CompletionStyle m_style;
    std::string m_id;
    std::string m_profile;
    int64_t m_created = 0; ///< Unix time in seconds.
};

} // namespace jujube::entry
