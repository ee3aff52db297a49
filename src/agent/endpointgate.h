#pragma once

/** \file
 * Defines the gate of an endpoint: at-most-once execution, fair queueing and buffered answers.
 */

#include "agent/answerbuffer.h"
#include "agent/engineclient.h"
#include "policy/dispatcher.h"
#include "state/usageledger.h"
#include "wire/messages.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jujube::agent {

/** Settings of a gate. */
struct GateSettings
{
    core::WorkKind kind = core::WorkKind::Language;
    uint32_t serviceSlots = 8; ///< Concurrent requests of a service; engines report theirs.
    core::Milliseconds finishedRetention{30'000};   ///< How long a finished request is kept.
    core::Milliseconds tombstoneRetention{120'000}; ///< How long an id is barred.
    size_t maxKnownRequests = 20'000;               ///< Bound on requests in m_workById.
};

/** Queues and runs all requests of an endpoint; nothing else sends requests to it.
 *
 * A request id runs at most once at this agent incarnation. resolve() of an unknown id leaves a
 * tombstone, so that a submission still in flight can no longer start. All members run on the
 * agent's KJ thread.
 */
class EndpointGate
{
public:
    EndpointGate(wire::IoContext &io, EngineClient &engine, state::UsageLedger &ledger,
                 GateSettings settings, uint64_t incarnation);

    /** Starts the loop that expires queued requests and removes old ones. */
    void start();

    /** Queues a request, or says why it is refused. A repeated id joins the request known by it. */
    wire::SubmitReply submit(const wire::WorkMessage &message);
    /** Acknowledges the answer below \a offset and returns the bytes after it.
     *
     * Waits until there are such bytes, the request has ended or \a wait has passed. */
    wire::Task<wire::ChunkMessage> fetch(std::string requestId, uint64_t offset,
                                         core::Milliseconds wait);
    /** Progress of a request. An unknown id becomes a tombstone. */
    wire::Progress resolve(const std::string &requestId);
    /** Cancels a request, or only if it is still queued. \return false if nothing was cancelled. */
    bool cancel(const std::string &requestId, bool onlyQueued);

    /** Load report that is sent with each reply to an entry. */
    core::LoadReport load() const;

    /** Whether new work is accepted, or the reason why not. */
    enum class AdmissionState { Open, ChangingRole, Draining, Stopping };
    void setAdmissionState(AdmissionState admissionState);
    AdmissionState admissionState() const { return m_admissionState; }
    /** Whether nothing is queued or running. */
    bool idle() const;
    /** Number of finished answers that no entry has fetched to the end, without cancelled ones. */
    size_t unfetchedAnswerCount() const;

    /** Stores the polled state. The dispatcher's estimates are reset if the role has changed or the
     * engine is ready again after it was down. */
    void setEngineState(const EngineState &state);
    /** Refuses new work and starts no queued work until setEngineState() gets a ready engine. */
    void setEngineDown();
    /** Number of the newest order carried out, for the load report. */
    void setAppliedOrder(state::OrderNumber number) { m_appliedOrder = number; }
    /** Keeps the newest freshness token received from an entry; load reports relay it to others. */
    void updateFreshnessToken(const core::FreshnessToken &token);

private:
    struct Work;

    // An id that is no longer accepted: resolved before it arrived, or removed after its end.
    struct Tombstone
    {
        core::TimePoint createdAt{};
        bool ran = false; ///< Whether the request may have run before it was removed.
    };

    Work *find(const std::string &requestId);
    uint32_t slots() const;
    void startQueuedWork();
    wire::Task<void> run(std::shared_ptr<Work> work);
    wire::Task<void> runLanguage(std::shared_ptr<Work> work);
    wire::Task<void> runService(std::shared_ptr<Work> work);
    void appendPiece(Work &work, const GeneratedPiece &piece);
    void finish(Work &work, core::Outcome outcome, std::string message);
    void countUsage(const Work &work);
    void wakeFetches(Work &work);
    wire::ChunkMessage makeChunk(Work &work, uint64_t offset) const;
    wire::Task<void> sweepLoop();
    void removeExpired(core::TimePoint now);

    wire::IoContext &m_io;
    EngineClient &m_engine;
    state::UsageLedger &m_usageLedger;
    GateSettings m_settings;
    uint64_t m_incarnation;
    policy::Dispatcher m_dispatcher;
    std::map<std::string, std::shared_ptr<Work>> m_workById;
    std::map<std::string, Tombstone> m_tombstones;
    EngineState m_engineState;
    bool m_engineUp = false;
    AdmissionState m_admissionState = AdmissionState::Open;
    state::OrderNumber m_appliedOrder;
    core::FreshnessToken m_freshnessToken;
};

} // namespace jujube::agent
