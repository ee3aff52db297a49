#pragma once

/** \file
 * Defines a session, which carries one client request through a gateway: placement, sends to
 * endpoints, relay of the answer and outcome.
 */

#include "http/client.h"
#include "http/server.h"
#include "policy/decodestepestimator.h"
#include "policy/outputlengthestimator.h"
#include "policy/placement.h"
#include "policy/prefillrateestimator.h"
#include "policy/prefilltimeestimator.h"
#include "policy/requestcost.h"
#include "policy/sendbudget.h"
#include "serving/endpointhealth.h"
#include "serving/eventframer.h"
#include "serving/prefixblockgossip.h"
#include "serving/promptscheduler.h"
#include "serving/quarantinekeeper.h"
#include "serving/requesttypes.h"
#include "serving/usagecounts.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <random>
#include <set>

namespace jujube::serving {

class Session;

/** References and callbacks that all sessions of a gateway share. */
struct SessionServices
{
    boost::asio::io_context &io;
    EndpointTable &endpoints;
    http::ConnectionPool &pool;
    http::Client &httpClient;
    PromptScheduler &promptScheduler;
    UsageCounts &usage;
    std::mt19937_64 &random;
    const policy::PlacementSettings &placement;
    policy::PrefillDurationEstimator &prefillDuration; ///< On a prefill engine.
    policy::PrefillTimeEstimator
        &disaggregatedPrefill;              ///< Time to first token through a prefill engine.
    policy::PrefillTimeEstimator &handOver; ///< From the end of a prefill to the first token.
    policy::PrefillTimeEstimator
        &colocatedPrefill; ///< Time to the first token if the decode engine prefills.
    policy::PrefillRateEstimator &prefillRate; ///< Of the service's prefill engines.
    policy::OutputLengthEstimator &outputLengths;
    std::string domain; ///< Failure domain of this gateway.
    std::function<policy::SendBudget &(const std::string &service)> retryBudget;
    std::function<uint32_t()> budgetGateways;        ///< Gateways that share a retry budget.
    std::function<core::Milliseconds()> wallTime;    ///< Time of day that usage windows follow.
    std::function<void(double)> recordPrefillTokens; ///< Takes the uncached tokens of a prompt.
    std::function<void(double)>
        recordExpectedOutputTokens;      ///< Takes the expected output of an admitted prompt.
    std::function<void()> onLoadChanged; ///< Called when the load of an endpoint has changed.
    PrefixBlockGossip &prefixBlockGossip;
    QuarantineKeeper &quarantine;
    std::function<policy::DecodeStepEstimator &(const std::string &service)> decodeSteps;
    /** Step times of an engine of usual speed; learned where placement predicts runs. */
    std::function<policy::DecodeStepEstimator &(const std::string &service)> runSteps;
    std::shared_ptr<http::BufferBudget> answerBudget; ///< Of answers that are buffered here.
    std::function<void(const QuotaCharge &)> refundQuota;
    std::set<std::shared_ptr<Session>> open{}; ///< Sessions that have not ended.
};

/** Chains the prefix blocks of a request's prompt. */
std::vector<policy::PrefixLink> prefixChain(const RequestMetadata &request);
/** Properties of a request's prompt. \param chain see prefixChain(). */
policy::PromptInfo promptInfo(const RequestMetadata &request,
                              const std::vector<policy::PrefixLink> &chain);

/** Output tokens that are expected of a request before it runs. */
double expectedOutputTokens(const policy::OutputRequest &request,
                            const policy::PlacementSettings &placement,
                            const policy::OutputLengthEstimator &outputLengths);

/** Why a request that no engine can hold is refused. */
inline constexpr char TooLargeForEngines[] = "the request exceeds the memory of the engines";

/** Expected output of a stream and what limits it. */
struct StreamWork
{
    double outputTokens = 0; ///< Expected; 0: placement does not depend on it.
    uint32_t tokensPerEvent = 1;
    policy::RequestCost cost;
    uint64_t memoryLimit = 0; ///< Tokens that an engine can hold; 0: not known.
    bool tooLarge = false;    ///< No engine can ever hold the request, so it is refused.
};

/** Determines the work of a request at the engines of its service. A request that is not a stream,
 * or whose service has no engines, has none. */
StreamWork streamWork(const FleetConfig &config, const Route &route, uint32_t promptTokens,
                      const policy::OutputRequest &request,
                      const policy::PlacementSettings &placement,
                      const policy::OutputLengthEstimator &outputLengths);

/** Bounds of the Retry-After of a refusal for lack of room; the value is random within them. */
struct RetryAfterRange
{
    core::Milliseconds least{};
    core::Milliseconds spread{};
};
RetryAfterRange retryAfterRange(const EndpointTable &endpoints, const std::string &service,
                                core::TimePoint now);

/** A client request whose route is known and whose API key, if it needs one, is valid. */
struct AdmittedRequest
{
    http::Request message;
    RequestMetadata metadata;
    std::shared_ptr<const FleetConfig> config; ///< In force at its admission.
    const Route *route = nullptr;              ///< Belongs to that configuration.
    std::string service;
    std::string team;
    uint32_t rank = 5; ///< Priority; 0 is the most urgent.
    core::TimePoint arrivedAt{};
    QuotaCharge charge; ///< Refunded if the request certainly does not run.
};

/** Carries one client request to its final answer.
 *
 * At most one send to an endpoint is in progress at a time. A request that may run only once is
 * sent again only if the endpoint has stated that it did not run; after any other failure the
 * client gets an answer that leaves open whether it ran.
 */
class Session : public std::enable_shared_from_this<Session>
{
public:
    static std::shared_ptr<Session> create(SessionServices &services, AdmittedRequest request,
                                           http::Responder responder);
    ~Session();

    void start();
    /** Ends the request with what is known of it: refused if it has not run, else unknown. */
    void giveUp(const std::string &why);

private:
    Session(SessionServices &services, AdmittedRequest request, http::Responder responder);

    /** Purpose of a send: prefill the prompt for another engine, or run the request. */
    enum class Purpose { Prefill, Run };

    bool needsPrefill() const;
    /** Queues the prompt for an engine, or sends the request to an endpoint that runs it. */
    void startNextStep();
    void queuePrompt();
    void dispatchPrompt(const PrefillPlan &plan);
    policy::OutputRequest outputRequest() const;
    void recordOutputLength();
    void sendRun();
    void sendRunTo(const EndpointPtr &endpoint);
    uint32_t enginePriority() const;
    EndpointPtr chooseRunner();
    /** Determines the expected output, where placement depends on it. \return false if the request
     * has ended, as no engine can hold it. */
    bool estimateWork();
    /** Records at the endpoint of the send what the request still has to produce. */
    void updateWork();
    /** Removes this from the endpoint. */
    void removeWork();
    /** Output tokens that this request's runs have sent. */
    double streamedTokens() const;
    void recordRunTime();
    /** Determines the expected time of a run at the engine that was assigned to its prompt. */
    void expectRunAt(const Endpoint &endpoint, core::Milliseconds firstToken);
    void send(Purpose purpose, const EndpointPtr &endpoint, SendMetadata metadata);
    /** Ends the send in progress; its connection returns to the pool or is closed. */
    void endSend(bool keepConnection);
    void leavePromptQueue();
    void startPrefillTimeouts();
    void startPrefillTimer(core::Milliseconds time, std::function<void()> onExpired);

    bool onHead(const http::Head &head);
    void onBody(std::string &body);
    void onEnd();
    void onFailure(http::Failure failure, const std::string &why);
    void handlePrefillAnswer();
    /** \param mayHaveArrived whether the endpoint may have received the prompt; if so, another send
     * is charged to the retry budget. */
    void handlePrefillFailure(bool mayHaveArrived, const std::string &why);
    void handleRunAnswer();
    void relayEvents(std::string &body);
    void bufferAnswer(std::string &body);
    /** Drops what is buffered of the answer. */
    void clearAnswer();
    void relayLargeAnswer(std::string &body);
    void applyBackPressure();
    void recordStepTime(std::string_view body);
    void beginStream();
    void recordFirstToken();
    void recordPrefill();
    /** Records the speed of the engine that was sent the prefill. */
    void recordEngineSpeed(double takenMs);
    /** Handles a run that ended without an answer for the client.
     * \param notRun whether the request certainly did not run.
     * \param sent whether the endpoint may have received it. */
    void handleRunFailure(bool notRun, bool sent, const std::string &why);
    void finishStream(bool complete);

    /** Takes one repeated send from the service's retry budget. \return false if none is left. */
    bool spendRetryBudget();
    bool mayRunAgain() const;
    /** Whether an endpoint may be running the request: it may have received the head. */
    bool runInProgress() const;
    /** Counts the request for its team's usage, once. */
    void countForUsage();
    void recordEndpointAnswer(bool failed);
    void recordLostAnswer();
    void recordConnectFailure();
    /** Whether no further prefill of the prompt is tried. */
    bool prefillAttemptsSpent() const;
    /** Logs and counts an endpoint that took too little of the request. */
    void recordSlowSend() const;
    /** Whether a run that was lost now may be the cause of the loss. */
    bool mayHaveCrashedEndpoint() const;
    void releaseCacheHandle();
    void fail(uint32_t status, const std::string &why, core::Milliseconds retryAfter = {});
    void finish(std::string_view outcome, uint32_t status);
    void onClientDisconnected();
    void onDeadline();
    /** Ends the request if its client has disconnected, its deadline has passed or its prompt is in
     * quarantine; checked before each send. \return whether the request has ended. */
    bool endIfPointless();
    /** Ends the request if its prompt crashes engines. \return whether the request has ended. */
    bool endIfQuarantined();
    core::Milliseconds timeLeft() const;
    /** Time by which the client needs the first event, or it disconnects. */
    core::TimePoint firstEventDeadline() const;
    /** Delay for the Retry-After header of a refusal. */
    core::Milliseconds retryAfterDelay();
    /** Ids of the prompt's shared blocks in hexadecimal, separated by commas. */
    std::string sharedBlockIds() const;
    /** Milliseconds from the arrival to a time; -1 if the time is not set. */
    int64_t msSinceArrival(core::TimePoint at) const;

    SessionServices &m_services;
    AdmittedRequest m_request;
    http::Responder m_responder;
    boost::asio::steady_timer m_deadlineTimer;
    boost::asio::steady_timer m_prefillTimer;
    core::TimePoint m_arrivedAt{};
    core::TimePoint m_deadline{};
    core::TimePoint m_assignedAt{};   ///< An engine was assigned to the prompt.
    core::TimePoint m_prefilledAt{};  ///< The prefill engine finished.
    core::TimePoint m_firstEventAt{}; ///< The first event was received.
    core::TimePoint m_lastEventAt{};  ///< The last event of this send was received.
    std::vector<policy::PrefixLink> m_chain;
    std::vector<uint64_t> m_sharedBlocks; ///< Keys of the blocks but the last one.
    policy::PromptInfo m_promptInfo;
    std::set<std::string> m_avoidedEndpoints; ///< Refused or failed this request.

    // State of the send in progress.
    std::shared_ptr<http::ClientConnection> m_connection;
    EndpointPtr m_endpoint;
    Purpose m_purpose = Purpose::Run;
    core::TimePoint m_sentAt{};
    PrefillPlan m_prefillPlan;        ///< Without an engine: no plan.
    uint32_t m_sentBacklogTokens = 0; ///< This send's part of the endpoint's backlog.
    EventCounter m_events;            ///< Events of this send's answer.
    uint64_t m_earlierEvents = 0;     ///< Events of earlier sends' answers.
    /** Expected output of the request; 0: placement does not depend on it. */
    double m_plannedOutputTokens = 0;
    uint32_t m_tokensPerEvent = 1;
    uint32_t m_sentRemainingTokens = 0; ///< This send's part of the endpoint's remaining tokens.
    policy::RunChoice m_runChoice;      ///< Of the last placement of a run.
    http::Head m_head;
    AnswerMetadata m_answer;
    double m_expectedOutputTokens = 0;
    double m_outputTokens = 0; ///< Of a stream that ended whole after one run.
    std::string m_body;
    http::BufferShare m_answerShare; ///< Of the part of this send's answer that is buffered.

    CacheHandle m_cacheHandle;
    EndpointPtr m_prefillEngine; ///< Prefill engine that keeps the prompt's cache, if any.
    EventFramer m_eventFramer;
    std::string m_streamType;           ///< Media type of the stream that the client receives.
    uint32_t m_failedPrefills = 0;      ///< Prefills that an endpoint may have received.
    uint32_t m_runSends = 0;            ///< Sends for a run, attempts to connect included.
    uint32_t m_runs = 0;                ///< Endpoints that have run it or may have.
    uint64_t m_promptQueueId = 0;       ///< Id in the prompt scheduler; 0: not queued.
    bool m_prefillSent = false;         ///< An engine may have prefilled the prompt.
    bool m_prefillTried = false;        ///< No further prefill; the endpoint that runs it prefills.
    bool m_streaming = false;           ///< The head of the answer was sent to the client.
    bool m_relayingLargeAnswer = false; ///< An answer too large to buffer is relayed.
    bool m_countedForUsage = false;
    bool m_mayHaveRun = false;
    /** The client has disconnected; the run is completed all the same. */
    bool m_clientDetached = false;
    bool m_finished = false;
};

} // namespace jujube::serving
