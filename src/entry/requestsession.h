#pragma once

/** \file
 * Defines the session of one caller request in an entry: routing, attempts, recovery and outcome.
 */

#include "entry/answer.h"
#include "entry/fleetview.h"
#include "policy/retrybudget.h"
#include "policy/router.h"
#include "state/claimstore.h"
#include "state/usageledger.h"
#include "wire/messages.h"

#include <memory>
#include <random>
#include <set>
#include <string>

namespace jujube::entry {

/** A caller's request after authentication and validation. */
struct CallerRequest
{
    wire::WorkMessage work;   ///< Incarnation and resumeTokens are set for each attempt.
    std::string model;        ///< Model or service name by which endpoints are selected.
    std::string keyId;        ///< API key of the caller; empty on routes that need none.
    std::string claimKey;     ///< Scoped Idempotency-Key to claim before the run; may be empty.
    uint64_t fingerprint = 0; ///< Hash of the request, to detect a reused Idempotency-Key.
    core::TimePoint deadline{};
};

/** Objects of the entry's KJ thread that all sessions share. */
struct SessionServices
{
    wire::IoContext &io;
    FleetView &fleet;
    policy::Router &router;
    policy::PrefixIndex &prefixIndex;
    policy::RetryBudget &retryBudget;
    state::UsageLedger &usageLedger;
    state::ClaimStore &claimStore;
    std::mt19937_64 &random;
    uint64_t incarnation = 0; ///< Incarnation of this entry.
};

/** Runs one request to its final answer.
 *
 * At most one attempt is active at a time. A new attempt on another endpoint starts only if the
 * previous one provably did not run or the work is idempotent. All members run on the KJ thread.
 */
class RequestSession : public std::enable_shared_from_this<RequestSession>
{
public:
    RequestSession(SessionServices services, CallerRequest request, AnswerSink sink);

    /** Runs the request until the sink has received the final event. */
    wire::Task<void> run();
    /** Cancels the request after the caller has disconnected.
     *
     * Running work that is not idempotent is left to end. */
    void onCallerDisconnected();
    /** Prevents the start of work whose API key was withdrawn; running work goes on. */
    void onKeyWithdrawn();
    const std::string &keyId() const { return m_request.keyId; }

private:
    enum class AttemptResult {
        Complete,        ///< The complete answer has been sent.
        NotRun,          ///< The attempt provably did not and will not run.
        Unknown,         ///< The attempt may have run, and its outcome cannot be obtained.
        EndpointFailed,  ///< The attempt ran and failed.
        AlreadyFinished, ///< A final event has already been sent.
    };
    struct Attempt
    {
        std::shared_ptr<AgentLink> link;
        std::shared_ptr<AgentConnection> connection;
        uint64_t incarnation = 0;        ///< Incarnation of the agent.
        uint64_t offset = 0;             ///< Bytes received of this attempt's answer.
        uint32_t outputTokensBefore = 0; ///< Output tokens sent to the caller before this attempt.
        bool usageCounted = false;
        core::TimePoint sentAt{};
    };
    /** Whether the agent accepted a submission, as far as the entry could find out. */
    enum class Submission { Accepted, NotRun, Unknown };

    /** Claims the Idempotency-Key. \return false if the final event has been sent instead. */
    wire::Task<bool> claimIdempotencyKey();
    /** Routes the request and counts it on the chosen link; nullptr if no endpoint is usable. */
    std::shared_ptr<AgentLink> chooseEndpoint();
    /** Retries chooseEndpoint() until it succeeds or waiting is pointless; nullptr then. */
    wire::Task<std::shared_ptr<AgentLink>> waitForEndpoint();
    wire::Task<AttemptResult> runAttempt(std::shared_ptr<AgentLink> link);
    /** Sends the request to the agent. */
    wire::Task<Submission> submit(std::shared_ptr<Attempt> attempt);
    /** Determines whether a submission without a reply was accepted. */
    wire::Task<Submission> resolveSubmission(std::shared_ptr<Attempt> attempt);
    /** Fetches the answer piece by piece and passes it to the sink. */
    wire::Task<AttemptResult> relayAnswer(std::shared_ptr<Attempt> attempt);
    /** Evaluates the last chunk of an attempt. */
    AttemptResult finishAttempt(Attempt &attempt, const wire::ChunkMessage &chunk);
    /** Sends a cancel to the agent. Spares running work if \a onlyQueued or if it is not
     * idempotent.
     */
    void cancelAttempt(const std::shared_ptr<Attempt> &attempt, bool onlyQueued);
    void countUsage(Attempt &attempt, bool complete, const core::Usage &usage);
    bool allCandidatesExcluded() const;
    /** Whether another attempt may start. Takes it from the team's retry budget if so. */
    bool mayRetry(AttemptResult result);
    /** Sends the failure that follows from the last attempt. */
    void failAfterAttempt(AttemptResult result);
    void fail(core::Outcome outcome, int status, std::string code, std::string message,
              core::Milliseconds retryAfter = {});
    void succeed(CompletedAnswer answer);
    core::Milliseconds timeLeft() const;

    SessionServices m_services;
    CallerRequest m_request;
    AnswerSink m_sink;
    std::set<std::string> m_excludedVms; ///< VMs that refused or failed this request.
    std::shared_ptr<Attempt> m_currentAttempt;
    std::vector<uint64_t> m_prefixBlocks;
    uint32_t m_attemptCount = 0;
    uint32_t m_outputTokens = 0;       ///< Output tokens sent to the caller.
    std::string m_serviceBody;         ///< Body received of a service's answer.
    core::Usage m_usage;               ///< Usage reported to the caller.
    core::Milliseconds m_retryAfter{}; ///< Longest retry delay that an agent requested.
    std::string m_lastReason;          ///< Reason of the last refusal or failure.
    bool m_callerDisconnected = false;
    bool m_keyWithdrawn = false;
    bool m_finished = false;
    bool m_keyClaimed = false;
    bool m_mayHaveRun = false; ///< Some attempt has run or may have run.
};

} // namespace jujube::entry
