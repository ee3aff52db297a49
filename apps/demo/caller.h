#pragma once

/** \file
 * Defines the caller, which sends the request of a trace row to an entry and verifies the answer.
 */

#include "core/work.h"
#include "demo/trace.h"
#include "wire/httpclient.h"
#include "wire/json.h"

#include <map>
#include <string>
#include <vector>

namespace jujube::demo {

/** Result of one request as its caller recorded it. */
struct CallRecord
{
    uint64_t number = 0;
    TraceRow row;
    std::string outcome; ///< whole, not-run, unknown, failed, or none without a complete answer.
    std::string code;
    int status = 0;
    bool correct = false;  ///< The answer is exactly what the endpoint must return.
    uint32_t attempts = 0; ///< Requests sent by the caller, retries included.
    std::string idempotencyKey;
    uint64_t receivedBytes = 0; ///< Of the answer's text, also if it is incomplete.
    core::Usage usage;
    int64_t startUs = 0;
    int64_t endUs = 0;
    core::Milliseconds timeToFirstToken{};  ///< Time to the whole response for a service call.
    core::Milliseconds timeBetweenTokens{}; ///< Mean over the answer.
    std::string entry;

    QJsonObject toJson() const;
};

/** Settings shared by all callers. */
struct CallerSettings
{
    std::vector<std::string> entries;
    std::map<std::string, std::string> keys; ///< By team.
    uint32_t maxTries = 1;              ///< Attempts of a request that is refused as "not run".
    core::Milliseconds timeout{90'000}; ///< Of an attempt; limits retries too.
    std::string runName = "run"; ///< Makes request bodies and idempotency keys unique across runs.
};

/** Sends the requests of a trace. */
class Caller
{
public:
    Caller(wire::IoContext &io, CallerSettings settings);

    /** Sends one request, with retries, and waits for its end. */
    wire::Task<CallRecord> play(TraceRow row, uint64_t number);

private:
    wire::Task<void> sendOnce(std::shared_ptr<CallRecord> record);
    wire::Task<void> requestCompletion(std::shared_ptr<CallRecord> record, std::string entry);
    wire::Task<void> callService(std::shared_ptr<CallRecord> record, std::string entry);
    wire::HttpRequest newRequest(const CallRecord &record, const std::string &entry) const;

    wire::IoContext &m_io;
    wire::HttpClient m_http;
    CallerSettings m_settings;
    size_t m_nextEntry = 0;
};

} // namespace jujube::demo
