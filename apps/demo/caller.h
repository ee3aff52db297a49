#pragma once

/** \file
 * Defines a caller that plays one trace row against the entries and verifies the answer.
 */

#include "core/work.h"
#include "demo/trace.h"
#include "wire/httpclient.h"
#include "wire/json.h"

#include <map>
#include <string>
#include <vector>

namespace jujube::demo {

/** What one request came to, as its caller saw it. */
struct CallRecord
{
    uint64_t number = 0;
    TraceRow row;
    std::string outcome; ///< whole, not-run, unknown, failed, or none when nothing came.
    std::string code;
    int status = 0;
    bool right = false;    ///< The answer is exactly what the endpoint must give.
    uint32_t attempts = 0; ///< Tries made by the caller.
    std::string idempotencyKey;
    uint64_t receivedBytes = 0; ///< Of the answer's text, whole or not.
    core::Usage usage;
    int64_t startUs = 0;
    int64_t endUs = 0;
    core::Milliseconds firstToken{};
    core::Milliseconds betweenTokens{}; ///< Mean over the answer.
    std::string entry;

    QJsonObject toJson() const;
};

/** Settings shared by all callers. */
struct CallerSettings
{
    std::vector<std::string> entries;
    std::map<std::string, std::string> keys; ///< By team.
    uint32_t maxTries = 1;                   ///< Tries of a request that was told "not run".
    core::Milliseconds patience{90'000};
    std::string runName = "run"; ///< Makes bodies and keys unique over runs.
};

/** Plays requests. */
class Caller
{
public:
    Caller(wire::IoContext &io, CallerSettings settings);

    /** Plays one request to its end. */
    wire::Task<CallRecord> play(TraceRow row, uint64_t number);

private:
    wire::Task<void> tryOnce(std::shared_ptr<CallRecord> record);
    wire::Task<void> complete(std::shared_ptr<CallRecord> record, std::string entry);
    wire::Task<void> callService(std::shared_ptr<CallRecord> record, std::string entry);
    wire::HttpRequest request(const CallRecord &record, const std::string &entry) const;

    wire::IoContext &m_io;
    wire::HttpClient m_http;
    CallerSettings m_settings;
    size_t m_nextEntry = 0;
};

} // namespace jujube::demo
