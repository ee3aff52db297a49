#pragma once

/** \file
 * Defines the life of one client request in a gateway: placement, sends, relay and outcome.
 */

#include "http/caller.h"
#include "http/server.h"
#include "policy/decodepace.h"
#include "policy/placement.h"
#include "policy/readpace.h"
#include "policy/readpathestimator.h"
#include "policy/sendbudget.h"
#include "serving/endpoints.h"
#include "serving/eventframes.h"
#include "serving/partnews.h"
#include "serving/promptscheduler.h"
#include "serving/requesttypes.h"
#include "serving/usagecounts.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <random>
#include <set>

namespace jujube::serving {

/** What the sessions of a gateway share. */
struct SessionServices
{
    boost::asio::io_context &io;
    EndpointTable &endpoints;
    http::ConnectionPool &pool;
    http::Caller &httpClient;
    PromptScheduler &promptScheduler;
    UsageCounts &usage;
    std::mt19937_64 &random;
    const policy::PlacementSettings &placement;
    policy::ReadPathEstimator
        &disaggregatedPrefill;                   ///< Prompts read by engines of the prefill stage.
    policy::ReadPathEstimator &colocatedPrefill; ///< Prompts read by the decoding engine.
    policy::ReadPace &prefillRate;               ///< Of engines of the prefill stage.
    std::string domain;                          ///< Failure domain of this gateway.
    std::function<policy::SendBudget &(const std::string &service)> retryBudget;
    std::function<uint32_t()> gatewayCount;          ///< Alive, this one included.
    std::function<core::Milliseconds()> wallTime;    ///< The time of day that usage follows.
    std::function<void(double)> recordPrefillTokens; ///< Prompt tokens that have to be read.
    std::function<void(double)>
        recordExpectedOutputTokens; ///< Expected output of admitted prompts.
    std::function<void()> onLoadChanged;
    PrefixBlockGossip &prefixBlockGossip;
    std::function<policy::DecodePace &(const std::string &service)> decodeStepTime;
};

/** A request that was admitted: known route, valid key. */
struct AdmittedRequest
{
    http::Request message;
    RequestMetadata metadata;
    std::shared_ptr<const FleetConfig> config; ///< In force when it was admitted.
    const Route *route = nullptr;              ///< Part of that configuration.
    std::string service;
    std::string team;
    uint32_t rank = 5;
};

/** Runs one request to its final answer.
 *
 * At most one send is alive at a time. Work that may run only once is sent again only after a
 * statement that it did not run; anything else ends with an answer that promises nothing.
 */
class Session : public std::enable_shared_from_this<Session>
{
public:
    static std::shared_ptr<Session> create(SessionServices &services, AdmittedRequest request,
                                           http::Responder responder);
    ~Session();

    void start();

private:
    Session(SessionServices &services, AdmittedRequest request, http::Responder responder);

    /** What one send is for. */
    enum class Purpose { Prefill, Run };

    bool needsPrefill() const;
    void startNextStep();
    void queuePrompt();
    void dispatchPrompt(const PrefillPlan &plan);
    double expectedOutputTokens() const;
    void sendRun();
    void sendRunTo(const EndpointPtr &endpoint);
    uint32_t enginePriority() const;
    EndpointPtr chooseRunner();
    void send(Purpose purpose, const EndpointPtr &endpoint, SendMetadata facts);
    void endSend(bool keepConnection);
    void leavePromptQueue();
    void startPrefillTimeouts();
    void startPrefillTimer(core::Milliseconds time, std::function<void()> onExpired);

    bool onHead(const http::Head &head);
    void onBody(std::string &body);
    void onEnd();
    void onFailure(http::Failure failure, const std::string &why);
    void handlePrefillAnswer();
    /** \param reached whether the request may have arrived, which uses up budget. */
    void handlePrefillFailure(bool mayHaveArrived, const std::string &why);
    void handleRunAnswer();
    void relayEvents(std::string &body);
    void bufferAnswer(std::string &body);
    void relayLargeAnswer(std::string &body);
    void applyBackPressure();
    void recordStepTime(std::string_view body);
    void beginStream();
    void recordFirstToken();
    void handleRunFailure(bool notRun, bool sent, const std::string &why);
    void finishStream(bool complete);

    bool spendRetryBudget();
    bool mayRunAgain() const;
    void countForUsage();
    void recordEndpointAnswer(bool failed);
    void recordLostAnswer();
    void releaseCacheHandle();
    void fail(uint32_t status, const std::string &why, core::Milliseconds retryAfter = {});
    void finish(std::string_view outcome, uint32_t status);
    void onClientDisconnected();
    void onDeadline();
    /** Ends the request instead of a send if nobody waits for its answer any more. */
    bool endIfAbandoned();
    core::Milliseconds timeLeft() const;
    /** Until the client leaves if no event has reached it. */
    core::TimePoint firstEventDeadline() const;
    /** Retry-After for a refused client. */
    core::Milliseconds retryAfterDelay();
    /** Milliseconds from the arrival to a moment; -1 if that has not come. */
    int64_t msSinceArrival(core::TimePoint at) const;

    SessionServices &m_services;
    AdmittedRequest m_request;
    http::Responder m_responder;
    boost::asio::steady_timer m_deadlineTimer;
    boost::asio::steady_timer m_prefillTimer;
    core::TimePoint m_arrivedAt{};
    core::TimePoint m_deadline{};
    core::TimePoint m_assignedAt{};   ///< An engine had room for the prompt.
    core::TimePoint m_prefilledAt{};  ///< The prompt was read.
    core::TimePoint m_firstEventAt{}; ///< The first event came.
    core::TimePoint m_lastEventAt{};  ///< The last event of this send came.
    std::vector<policy::ChainLink> m_chain;
    policy::PromptSize m_promptSize;
    std::set<std::string> m_avoidedEndpoints; ///< Endpoints that refused or failed this request.

    // The send that is under way.
    std::shared_ptr<http::ClientConnection> m_connection;
    EndpointPtr m_endpoint;
    Purpose m_purpose = Purpose::Run;
    core::TimePoint m_sentAt{};
    PrefillPlan m_prefillPlan;        ///< Of the prompt; without an engine: none.
    uint32_t m_sentBacklogTokens = 0; ///< Added to the endpoint's backlog by this send.
    http::Head m_head;
    AnswerMetadata m_answer;
    std::string m_body;

    CacheHandle m_handle;
    EndpointPtr m_handleEngine; ///< Engine that keeps the prompt; null: nothing to hand over.
    EventFramer m_eventFramer;
    uint32_t m_sends = 0;         ///< That count as arrivals at the service.
    uint32_t m_runs = 0;          ///< Endpoints that ran it or may have.
    uint64_t m_promptQueueId = 0; ///< In the prompt scheduler; 0: not waiting there.
    bool m_prefillTried = false;
    bool m_streaming = false;           ///< The client has the head of a stream.
    bool m_relayingLargeAnswer = false; ///< A large answer goes to the client in pieces.
    bool m_countedForUsage = false;     ///< Counted for usage.
    bool m_mayHaveRun = false;
    bool m_detached = false; ///< The client left; the send goes on only for its effect.
    bool m_finished = false;
};

} // namespace jujube::serving
