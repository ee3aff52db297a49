#pragma once

/** \file
 * Defines a stand-in for a worker of the users' platform, plain or with a model engine.
 */

#include "http/server.h"
#include "serving/fleetconfig.h"

#include <boost/asio/io_context.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace jujube::test {

/** What goes wrong with the next requests of a worker. */
enum class EndpointFault {
    None,
    LoseResponse,        ///< Runs the request and closes the connection without an answer.
    BreakStream,         ///< Closes the connection in the middle of an event.
    Refuse,              ///< Full: says that the request has not run.
    Silent,              ///< Takes the request and never answers.
    ForeignResponse,     ///< An answer to another request comes first.
    ExtraResponse,       ///< A second answer follows the first.
    UnavailableAfterRun, ///< Runs the request and answers 503 without saying that it has not run.
    ServerError,         ///< Answers 500 after running it.
    NoSeal,              ///< A success without the worker's signature.
    EndlessHead,         ///< Head fields until the caller closes.
    EndlessBody,         ///< A sealed success whose body goes on until the caller closes.
    EndlessUnsealed,     ///< The same without the worker's signature.
    EndlessEvent,        ///< A stream whose first event never ends.
    EndlessForeign       ///< An answer to another request that goes on until the caller closes.
};

/** A request as the worker has got it. */
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
    core::TimePoint at{}; ///< When it was read.
    int64_t timeLeftMs = 0;
    bool prefill = false;
    bool hasApiKey = false; ///< The client's key was passed on.
};

class FakeEndpoint
{
public:
    FakeEndpoint(boost::asio::io_context &io, std::string id, serving::Stage stage);

    absl::Status listen(const std::string &address);
    const std::string &id() const { return m_id; }
    const std::string &address() const { return m_address; }
    /** The next entry of this worker in the store. */
    std::string makeEntry(const std::string &service, const std::string &zone,
                          const std::string &state = "ready");
    /** The address that its entry tells, if a relay stands before it. */
    void setAdvertisedAddress(std::string address) { m_address = std::move(address); }
    /** Fields in the head of each answer from now on. */
    void setResponseFields(std::vector<http::Field> fields)
    {
        m_responseFields = std::move(fields);
    }
    void setBodySize(size_t bytes) { m_bodySize = bytes; }
    /** Bytes of an endless answer that callers have taken. */
    size_t endlessBytes() const { return m_endlessBytes; }
    /** Requests from now on meet the fault, \a count of them. */
    void setFault(EndpointFault fault, int count = 1'000'000);
    void setEventCount(uint32_t events) { m_eventCount = events; }
    void setEventGap(core::Milliseconds gap) { m_eventGap = gap; }

    const std::vector<ReceivedRequest> &receivedRequests() const { return m_receivedRequests; }
    /** Runs of a request: begun, whether or not they came to an end. */
    size_t runCount(const std::string &requestId) const;
    size_t runningCount() const { return m_runningRequests.size(); }
    bool isRunning(const std::string &requestId) const
    {
        return m_runningRequests.contains(requestId);
    }
    serving::Stage stage() const { return m_stage; }
    uint64_t orderCount() const { return m_orderCount; }

private:
    void handle(const http::Request &request, const http::Responder &responder);
    void handlePrefill(const http::Head &head, const http::Responder &responder);
    void runRequest(const ReceivedRequest &request, const http::Responder &responder);
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
    int m_lastEntrySequence = 0; ///< Written so far.
    EndpointFault m_fault = EndpointFault::None;
    int m_faultsLeft = 0;
    uint32_t m_eventCount = 3;
    core::Milliseconds m_eventGap{5};
    std::vector<ReceivedRequest> m_receivedRequests;
    std::multiset<std::string> m_startedRequests;
    std::multiset<std::string> m_runningRequests;
    std::vector<http::Field> m_responseFields;
    size_t m_bodySize = 0; ///< 0: a short text that names the request.
    size_t m_endlessBytes = 0;
    uint64_t m_orderCount = 0;
    uint64_t m_highestFence = 0;
    uint64_t m_lastHandle = 0;
};

/** The text of one event as every worker makes it for a request. */
std::string eventText(const std::string &requestId, uint32_t index);

} // namespace jujube::test
