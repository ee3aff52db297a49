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
    core::Milliseconds keepFinished{30'000};   ///< How long an unfetched answer is kept.
    core::Milliseconds keepTombstone{120'000}; ///< How long an id is barred or remembered.
    size_t maxKnown = 20'000;                  ///< Bound on remembered requests.
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
    enum class Closure { Open, ChangingRole, Draining, Stopping };
    void setClosure(Closure closure);
    Closure closure() const { return m_closure; }
    /** Whether nothing is queued or running. */
    bool idle() const;
    /** Finished answers that no entry has fetched to the end. */
    size_t unfetched() const;

    void setEngineState(const EngineState &state);
    void setEngineLost();
    void setApplied(state::OrderNumber number) { m_applied = number; }
    void setEvidence(const core::FreshnessToken &evidence);

private:
    struct Work;

    // An id that must not be accepted any more: asked about before it arrived, or long finished.
    struct BarredId
    {
        core::TimePoint at{};
        bool ran = false;
    };

    Work *find(const std::string &requestId);
    uint32_t slots() const;
    void pump();
    wire::Task<void> run(std::shared_ptr<Work> work);
    wire::Task<void> runLanguage(std::shared_ptr<Work> work);
    wire::Task<void> runService(std::shared_ptr<Work> work);
    void notePiece(Work &work, const GeneratedPiece &piece);
    void finish(Work &work, core::Outcome outcome, std::string message);
    void countUsage(const Work &work);
    void wake(Work &work);
    wire::ChunkMessage chunkOf(Work &work, uint64_t offset) const;
    wire::Task<void> sweepLoop();
    void dropOld(core::TimePoint now);

    wire::IoContext &m_io;
    EngineClient &m_engine;
    state::UsageLedger &m_ledger;
    GateSettings m_settings;
    uint64_t m_incarnation;
    policy::Dispatcher m_dispatcher;
    std::map<std::string, std::shared_ptr<Work>> m_works;
    std::map<std::string, BarredId> m_barred;
    EngineState m_engineState;
    bool m_engineUp = false;
    Closure m_closure = Closure::Open;
    state::OrderNumber m_applied;
    core::FreshnessToken m_evidence;
};

} // namespace jujube::agent
