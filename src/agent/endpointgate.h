#pragma once

/** \file
 * Defines the gate in front of an endpoint: at-most-once execution, fair queueing and answers.
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
    uint32_t serviceSlots = 8; ///< Requests run at once by a service; engines state their own.
    core::Milliseconds finishedRetention{30'000};   ///< How long an unfetched answer is kept.
    core::Milliseconds tombstoneRetention{120'000}; ///< How long an id is barred or remembered.
    size_t maxKnownRequests = 20'000;               ///< Bound on remembered requests.
};

/** The only way to an endpoint.
 *
 * A request id runs at most once at this agent incarnation. An id that was asked about before its
 * submission arrived becomes a tombstone, so a submission still on its way can no longer start.
 * All members run on the agent's KJ thread.
 */
class EndpointGate
{
public:
    EndpointGate(wire::IoContext &io, EngineClient &engine, state::UsageLedger &ledger,
                 GateSettings settings, uint64_t incarnation);

    /** Starts the timers. */
    void start();

    wire::SubmitReply submit(const wire::WorkMessage &message);
    /** Waits until there is something beyond \a offset, the request ended or \a wait passed. */
    wire::Task<wire::ChunkMessage> fetch(std::string requestId, uint64_t offset,
                                         core::Milliseconds wait);
    /** Tells how far a request came; an absent one becomes a tombstone. */
    wire::Progress resolve(const std::string &requestId);
    bool cancel(const std::string &requestId, bool onlyQueued);

    core::LoadReport load() const;

    /** Why new work is refused at present, if it is. */
    enum class AdmissionState { Open, ChangingRole, Draining, Stopping };
    void setAdmissionState(AdmissionState admissionState);
    AdmissionState admissionState() const { return m_admissionState; }
    /** Whether nothing is queued or running. */
    bool idle() const;
    /** Finished answers that no entry has fetched to the end. */
    size_t unfetchedAnswerCount() const;

    void setEngineState(const EngineState &state);
    void setEngineDown();
    void setAppliedOrder(state::OrderNumber number) { m_appliedOrder = number; }
    void updateFreshnessToken(const core::Evidence &token);

private:
    struct Work;

    // An id that must not be accepted any more: asked about before it arrived, or long finished.
    struct Tombstone
    {
        core::TimePoint createdAt{};
        bool ran = false;
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
    state::UsageLedger &m_ledger;
    GateSettings m_settings;
    uint64_t m_incarnation;
    policy::Dispatcher m_dispatcher;
    std::map<std::string, std::shared_ptr<Work>> m_workById;
    std::map<std::string, Tombstone> m_tombstones;
    EngineState m_engineState;
    bool m_engineUp = false;
    AdmissionState m_admissionState = AdmissionState::Open;
    state::OrderNumber m_appliedOrder;
    core::Evidence m_freshnessToken;
};

} // namespace jujube::agent
