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
    http::Caller &caller;
    PromptScheduler &prompts;
    UsageCounts &usage;
    std::mt19937_64 &random;
    const policy::PlacementSettings &placement;
    policy::PrefillTimeEstimator &apart;   ///< Prompts read by engines of the prefill stage.
    policy::PrefillTimeEstimator &itself;  ///< Prompts read by the decoding engine.
    policy::PrefillRateEstimator &reading; ///< Of engines of the prefill stage.
    std::string domain;                    ///< Failure domain of this gateway.
    std::function<policy::SendBudget &(const std::string &service)> budget;
    std::function<uint32_t()> gateways;           ///< Alive, this one included.
    std::function<core::Milliseconds()> wallTime; ///< The time of day that usage follows.
    std::function<void(double)> notePromptTokens; ///< Prompt tokens that have to be read.
    std::function<void(double)> noteOutputTokens; ///< Expected output of admitted prompts.
    std::function<void()> loadChanged;
    PartNews &partNews;
    std::function<policy::DecodeStepEstimator &(const std::string &service)> pace;
};

/** A request that was admitted: known route, valid key. */
struct AdmittedRequest
{
    http::Request message;
    RequestFacts facts;
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

    bool wantsPrefill() const;
    void next();
    void waitForEngine();
    void assigned(const ReadPlan &plan);
    double expectedOutput() const;
    void sendRun();
    void sendRunTo(const EndpointPtr &endpoint);
    uint32_t enginePriority() const;
    EndpointPtr chooseRunner();
    void send(Purpose purpose, const EndpointPtr &endpoint, SendFacts facts);
    void release(bool keepConnection);
    void stopWaiting();
    void armPrefillTimer();
    void waitForPrefill(core::Milliseconds time, std::function<void()> late);

    bool onHead(const http::Head &head);
    void onBody(std::string &body);
    void onEnd();
    void onFailure(http::Failure failure, const std::string &why);
    void prefillEnded();
    /** \param reached whether the request may have arrived, which uses up budget. */
    void prefillFailed(bool reached, const std::string &why);
    void answerEnded();
    void relayEvents(std::string &body);
    void collect(std::string &body);
    void relayLarge(std::string &body);
    void holdBackEndpoint();
    void notePace(std::string_view body);
    void beginStream();
    void noteFirstToken();
    void runFailed(bool notRun, bool sent, const std::string &why);
    void finishStream(bool whole);

    bool spendExtra();
    bool mayRunAgain() const;
    void noteBegun();
    void noteAnswered(bool failed);
    void noteBroken();
    void dropHandle();
    void fail(uint32_t status, const std::string &why, core::Milliseconds retryAfter = {});
    void finish(std::string_view outcome, uint32_t status);
    void clientGone();
    void timedOut();
    /** Ends the request instead of a send if nobody waits for its answer any more. */
    bool abandoned();
    core::Milliseconds timeLeft() const;
    /** Until the client leaves if no event has reached it. */
    core::TimePoint firstEventBy() const;
    /** Retry-After for a refused client. */
    core::Milliseconds comeBack();
    /** Milliseconds from the arrival to a moment; -1 if that has not come. */
    int64_t sinceArrival(core::TimePoint at) const;

    SessionServices &m_services;
    AdmittedRequest m_request;
    http::Responder m_responder;
    boost::asio::steady_timer m_deadlineTimer;
    boost::asio::steady_timer m_prefillTimer;
    core::TimePoint m_arrived{};
    core::TimePoint m_deadline{};
    core::TimePoint m_assignedAt{}; ///< An engine had room for the prompt.
    core::TimePoint m_readAt{};     ///< The prompt was read.
    core::TimePoint m_firstAt{};    ///< The first event came.
    core::TimePoint m_eventAt{};    ///< The last event of this send came.
    std::vector<policy::PrefixBlock> m_chain;
    policy::PromptInfo m_prompt;
    std::set<std::string> m_avoid; ///< Endpoints that refused or failed this request.

    // The send that is under way.
    std::shared_ptr<http::ClientConnection> m_connection;
    EndpointPtr m_endpoint;
    Purpose m_purpose = Purpose::Run;
    core::TimePoint m_sentAt{};
    ReadPlan m_plan;           ///< Of the prompt; without an engine: none.
    uint32_t m_sentTokens = 0; ///< Added to the endpoint's backlog by this send.
    http::Head m_head;
    AnswerFacts m_answer;
    std::string m_body;

    CacheHandle m_handle;
    EndpointPtr m_handleAt; ///< Engine that keeps the prompt; null: nothing to hand over.
    EventFrames m_frames;
    uint32_t m_sends = 0;  ///< That count as arrivals at the service.
    uint32_t m_runs = 0;   ///< Endpoints that ran it or may have.
    uint64_t m_waitId = 0; ///< In the prompt scheduler; 0: not waiting there.
    bool m_prefillTried = false;
    bool m_streaming = false; ///< The client has the head of a stream.
    bool m_relaying = false;  ///< A large answer goes to the client in pieces.
    bool m_begun = false;     ///< Counted for usage.
    bool m_mayHaveRun = false;
    bool m_detached = false; ///< The client left; the send goes on only for its effect.
    bool m_finished = false;
};

} // namespace jujube::serving
