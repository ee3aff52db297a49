#pragma once

/** \file
 * Defines the life of one caller request in an entry: routing, attempts, recovery and outcome.
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

/** A caller's request after authentication and checks. */
struct CallerRequest
{
    wire::WorkMessage work; ///< Without incarnation and resume offset; these belong to attempts.
    std::string model;      ///< Model or service name that endpoints are looked up by.
    std::string keyId;      ///< Empty on routes open to all.
    std::string claimKey;   ///< Not empty when an Idempotency-Key must be claimed first.
    uint64_t fingerprint = 0;
    core::TimePoint deadline{};
};

/** What sessions share on the entry's KJ thread. */
struct SessionServices
{
    wire::IoContext &io;
    FleetView &fleet;
    policy::Router &router;
    policy::PrefixIndex &prefixes;
    policy::RetryBudget &retries;
    state::UsageLedger &ledger;
    state::ClaimStore &claims;
    std::mt19937_64 &random;
    uint64_t incarnation = 0; ///< Of this entry.
};

/** Runs one request to its final answer.
 *
 * Only one attempt is alive at a time. A new attempt on another endpoint starts only when the
 * earlier one provably did not run, or when the work is idempotent.
 */
class RequestSession : public std::enable_shared_from_this<RequestSession>
{
public:
    RequestSession(SessionServices services, CallerRequest request, AnswerSink sink);

    /** Runs to the end; the sink gets the final event. */
    wire::Task<void> run();
    /** The caller left: stop as soon as that is safe. */
    void onCallerDisconnected();
    /** The key was withdrawn: work that has not started must not start. */
    void onKeyWithdrawn();
    const std::string &keyId() const { return m_request.keyId; }

private:
    enum class AttemptResult {
        Whole,
        NotRun,  ///< Proved: this attempt did not and will not run.
        Unknown, ///< The agent incarnation is gone or cannot be asked.
        Broken,  ///< It ran and failed, or its answer cannot be fetched any more.
        Final,   ///< A final event has been sent already.
    };
    struct Attempt
    {
        std::shared_ptr<AgentLink> link;
        std::shared_ptr<AgentConnection> connection;
        uint64_t incarnation = 0;
        uint64_t offset = 0;             ///< Bytes of this attempt's answer received.
        uint32_t outputTokensBefore = 0; ///< Output tokens the caller had before this attempt.
        bool usageCounted = false;
        core::TimePoint sentAt{};
    };
    enum class Submission { Accepted, NotRun, Unknown };

    wire::Task<bool> claimIdempotencyKey();
    std::shared_ptr<AgentLink> chooseEndpoint();
    wire::Task<std::shared_ptr<AgentLink>> waitForEndpoint();
    wire::Task<AttemptResult> runAttempt(std::shared_ptr<AgentLink> link);
    wire::Task<Submission> submit(std::shared_ptr<Attempt> attempt);
    wire::Task<Submission> resolveSubmission(std::shared_ptr<Attempt> attempt);
    wire::Task<AttemptResult> relayAnswer(std::shared_ptr<Attempt> attempt);
    AttemptResult finishAttempt(Attempt &attempt, const wire::ChunkMessage &chunk);
    void cancelAttempt(const std::shared_ptr<Attempt> &attempt, bool onlyQueued);
    void countUsage(Attempt &attempt, bool whole, const core::Usage &usage);
    bool allCandidatesExcluded() const;
    bool mayRetry(AttemptResult result);
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
    uint32_t m_outputTokens = 0; ///< Output tokens handed to the caller.
    std::string m_serviceBody;   ///< Service answer so far.
    core::Usage m_usage;         ///< As told to the caller.
    core::Milliseconds m_retryAfter{};
    std::string m_lastReason;
    bool m_callerDisconnected = false;
    bool m_keyWithdrawn = false;
    bool m_finished = false;
    bool m_keyClaimed = false;
    bool m_mayHaveRun = false; ///< Some attempt has run, or nobody knows.
};

} // namespace jujube::entry
