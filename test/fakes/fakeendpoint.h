#pragma once

/** \file
 * Defines a fake endpoint of the platform, either a plain service or a model engine.
 */

#include "http/server.h"
#include "serving/fleetconfig.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace jujube::test {

/** Fault that an endpoint applies to its next requests. */
enum class EndpointFault {
    None,
    LoseResponse,             ///< Runs the request, then closes the connection without a response.
    BreakStream,              ///< Closes the connection in the middle of an event.
    Refuse,                   ///< Responds with 503 and Not-Executed, as a full endpoint does.
    Silent,                   ///< Accepts the request and never responds.
    ForeignResponse,          ///< Sends a response to another request first.
    ExtraResponse,            ///< Sends a second response after the first.
    UnavailableAfterRun,      ///< Runs the request and responds with 503 without Not-Executed.
    ServerError,              ///< Runs the request and responds with 500.
    RepeatedRefusal,          ///< Runs the request, but first repeats a refusal of an earlier one.
    RepeatedRefusalWithoutId, ///< The same; the refusal does not name its request.
    PlainAnswer,              ///< Responds to a stream with a sealed document of another type.
    NoSeal,                   ///< Responds with 200 without the field Server-Seal.
    EndlessHead,              ///< Sends header fields until the client closes.
    EndlessEmptyLines,        ///< Sends empty lines in place of a response until the client closes.
    EndlessInterim,           ///< Sends heads with status 103 until the client closes.
    EndlessChunkHeader,       ///< Sends one event, then a chunk header until the client closes.
    EndlessTrailer,           ///< Sends one event, then trailer fields until the client closes.
    EndlessBody,              ///< Sends a body with Server-Seal until the client closes.
    EndlessUnsealed,          ///< Sends a body without Server-Seal until the client closes.
    EndlessEvent,             ///< Sends a stream whose first event never ends.
    EndlessForeign,           ///< Sends a response to another request until the client closes.
    EndlessPrefill,           ///< Answers each prefill with a body until the client closes.
    EndlessRelease            ///< Answers each release of a handle with a body until then.
};

/** A request that the endpoint received. */
struct ReceivedRequest
{
    std::string id;
    std::string team;
    std::string method;
    std::string target;
    std::string body;
    std::string lastEventId;
    std::string cacheSource;
    std::string fetchFrom;
    std::string blocks;   ///< Of the prompt.
    core::TimePoint at{}; ///< Time at which it was read.
    int64_t timeLeftMs = 0;
    bool prefill = false;
    bool prefillAccepted = false; ///< A prefill that was not rejected.
    bool hasApiKey =
        false; ///< The request carries the client's API key, which the gateway must remove.
};

/** Serves requests, prefills, role orders and load reports as an endpoint of the platform does. */
class FakeEndpoint
{
public:
    FakeEndpoint(boost::asio::io_context &io, std::string id, serving::Stage stage);

    absl::Status listen(const std::string &address);
    const std::string &id() const { return m_id; }
    const std::string &address() const { return m_address; }
    /** Store entry of this endpoint as JSON; each call increases its sequence number. */
    std::string makeEntry(const std::string &service, const std::string &zone,
                          const std::string &state = "ready");
    /** Sets the address in the entry, for an endpoint that is reached through a relay. */
    void setAdvertisedAddress(std::string address) { m_address = std::move(address); }
    /** Sets header fields that are added to every later response. */
    void setResponseFields(std::vector<http::Field> fields)
    {
        m_responseFields = std::move(fields);
    }
    /** Sets whether the bodies of received requests are kept. */
    void setKeepsBodies(bool keeps) { m_keepsBodies = keeps; }
    void setBodySize(size_t bytes) { m_bodySize = bytes; }
    /** Bytes of endless responses written so far. */
    size_t endlessBytes() const { return m_endlessBytes; }
    /** Applies a fault to the next \a count requests. A prefill is subject only to LoseResponse and
     * Silent, and those that name it, regardless of \a count. */
    void setFault(EndpointFault fault, int count = 1'000'000);
    /** Sets that a fault applies to each \a n-th request only. */
    void setFaultInterval(uint32_t n) { m_faultInterval = n; }
    /** Sets whether answers have neither a length nor chunks and end with their connection. */
    void setCloseDelimited(bool closeDelimited) { m_closeDelimited = closeDelimited; }
    /** Makes the endpoint crash when it begins to answer a prompt that has this block other than as
     * its last one. All its connections close, and it stops to listen. */
    void setCrashingBlock(std::string id) { m_crashingBlock = std::move(id); }
    /** Sets a callback that is invoked after each crash. */
    void onCrash(std::function<void()> callback) { m_onCrash = std::move(callback); }
    bool crashed() const { return m_crashed; }
    /** Starts again after a crash, as another incarnation. */
    absl::Status restart(std::string id);
    /** Sets the slots in later store entries. */
    void setSlots(uint32_t slots) { m_slots = slots; }
    void setEventCount(uint32_t events) { m_eventCount = events; }
    void setEventGap(core::Milliseconds gap) { m_eventGap = gap; }

    /** Sets the path of health checks, which are answered at once and are no requests. */
    void setHealthPath(std::string path) { m_healthPath = std::move(path); }
    /** Sets that health checks are never answered. */
    void setSilentHealth(bool silent) { m_silentHealth = silent; }
    /** Number of health checks that reached this incarnation. */
    size_t healthChecks() const { return m_healthChecks; }
    const std::vector<ReceivedRequest> &receivedRequests() const { return m_receivedRequests; }
    /** Number of times a request was started, whether or not it finished. */
    size_t runCount(const std::string &requestId) const;
    size_t runningCount() const { return m_runningRequests.size(); }
    bool isRunning(const std::string &requestId) const
    {
        return m_runningRequests.contains(requestId);
    }
    serving::Stage stage() const { return m_stage; }
    uint64_t orderCount() const { return m_orderCount; }
    /** Number of orders that arrived, whether or not they were accepted. */
    uint64_t receivedOrderCount() const { return m_receivedOrderCount; }
    /** Sets how long the answers to queries of the report are on their way. */
    void setReportDelay(core::Milliseconds delay) { m_reportDelay = delay; }
    /** Sets whether orders are accepted, but their answers are lost. */
    void setLosesOrderAnswers(bool loses) { m_losesOrderAnswers = loses; }

private:
    void handle(const http::Request &request, const http::Responder &responder);
    void crash();
    void handlePrefill(const ReceivedRequest &request, const http::Responder &responder);
    void runRequest(const ReceivedRequest &request, const http::Responder &responder);
    http::Framing framing() const;
    /** Ends a response that began with framing(). */
    void finish(const http::Responder &responder) const;
    bool startEndlessResponse(const ReceivedRequest &request, const http::Responder &responder,
                              EndpointFault fault);
    void writeEndlessPiece(const std::string &requestId, const http::Responder &responder,
                           std::string bytes);
    void writeEvents(const ReceivedRequest &request, const http::Responder &responder,
                     uint32_t from, bool breakAtSecond);
    void handleOrder(const http::Request &request, const http::Responder &responder);
    http::Head responseHead(const std::string &requestId, uint32_t status, bool withSeal) const;

    boost::asio::io_context &m_io;
    http::Server m_server;
    std::string m_id;
    std::string m_address;
    serving::Stage m_stage;
    int m_lastEntrySequence = 0; ///< "Sequence" of the last entry.
    EndpointFault m_fault = EndpointFault::None;
    int m_faultsLeft = 0;
    uint32_t m_faultInterval = 1;
    uint32_t m_faultTurn = 0; ///< Requests since the last fault.
    uint32_t m_eventCount = 3;
    uint32_t m_slots = 64;
    core::Milliseconds m_eventGap{5};
    std::string m_crashingBlock;
    std::function<void()> m_onCrash;
    std::vector<http::Responder> m_responders; ///< Of the requests since the last start.
    bool m_crashed = false;
    bool m_closeDelimited = false;
    int64_t m_bornMs = 1'800'000'000'000;
    std::string m_listenAddress;
    std::vector<ReceivedRequest> m_receivedRequests;
    std::multiset<std::string> m_startedRequests;
    std::multiset<std::string> m_runningRequests;
    std::vector<http::Field> m_responseFields;
    std::string m_healthPath;
    size_t m_healthChecks = 0;
    bool m_silentHealth = false;
    bool m_keepsBodies = true;
    size_t m_bodySize = 0; ///< In bytes; 0: a short text with the request id.
    size_t m_endlessBytes = 0;
    uint64_t m_orderCount = 0;
    uint64_t m_receivedOrderCount = 0;
    core::Milliseconds m_reportDelay{};
    bool m_losesOrderAnswers = false;
    uint64_t m_highestFence = 0;
    uint64_t m_lastHandle = 0;
};

/** Text of one event of a stream; the same on every endpoint. */
std::string eventText(const std::string &requestId, uint32_t index);

} // namespace jujube::test
