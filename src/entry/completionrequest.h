#pragma once

/** \file
 * Defines the reading of a caller's completion request and the writing of its answer.
 */

#include "core/configuration.h"
#include "core/work.h"

#include <absl/status/statusor.h>
#include <QJsonObject>

#include <string>
#include <string_view>

namespace jujube::entry {

/** Which of the two completion interfaces a caller used. */
enum class CompletionStyle { Text, Chat };

/** A completion request after type checks. Fields that the system does not know are ignored. */
struct CompletionRequest
{
    CompletionStyle style = CompletionStyle::Text;
    std::string profile; ///< The caller's "model".
    std::string prompt;
    uint32_t maxTokens = 0; ///< 0 when the caller did not say.
    bool stream = false;

    /** \return InvalidArgument naming the field of a wrong type. */
    static absl::StatusOr<CompletionRequest> parse(CompletionStyle style, std::string_view body);

    /** Fills in the default and checks the request against its profile. */
    absl::Status applyProfile(const core::Profile &profile);
};

/** Writes answers in the style of one request. */
class CompletionWriter
{
public:
    CompletionWriter(const CompletionRequest &request, std::string id);

    /** A whole answer as one JSON object. */
    std::string completeResponse(const std::string &text, const core::Usage &usage) const;
    /** One server-sent event with a piece of the answer. */
    std::string pieceEvent(const std::string &text) const;
    /** The closing events: finish reason, usage and [DONE]. */
    std::string finalEvents(const core::Usage &usage) const;

private:
    QJsonObject chunkObject(const QJsonObject &choice) const;

    CompletionStyle m_style;
    std::string m_id;
    std::string m_profile;
    int64_t m_created = 0;
};

} // namespace jujube::entry
