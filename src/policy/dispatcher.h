#pragma once

/** \file
 * Defines the dispatcher: what one endpoint takes, in which order it starts, and what it reports.
 */

#include "core/work.h"
#include "policy/fairqueue.h"
#include "policy/prefixindex.h"
#include "policy/rateestimator.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jujube::policy {

/** What the dispatcher needs to know of a request. */
struct WorkDescription
{
    std::string id;
    std::string team;
    core::WorkKind kind = core::WorkKind::Language;
    double weight = 1.0;
    uint32_t priority = 5;
    uint32_t promptTokens = 0;
    uint32_t outputTokens = 0; ///< Upper bound.
    std::vector<uint64_t> prefixBlocks;
    core::Milliseconds timeLeft{};
    core::Milliseconds firstTokenObjective{};
};

/** Settings of a dispatcher. Each mechanism can be switched off, to measure what it is worth. */
struct DispatcherSettings
{
    bool fairTeams = true;     ///< Off: one queue for all teams.
    bool admission = true;     ///< Off: nothing is refused for its predicted wait.
    bool deadlineOrder = true; ///< Off: first come, first served.
    bool demoteLate = true;    ///< Off: overdue work keeps its place.
    /** Largest share of the batch slots kept for urgent work; long answers would otherwise hold
     * every slot for many seconds. The share in force grows while urgent work starts late and
     * shrinks again when none does, for a slot that is kept free is lost to the others. */
    double urgentReserve = 0.25;
    double reserveStep = 0.03;
    core::Milliseconds reserveDecay{10'000}; ///< Time without late urgent work for one step down.
    core::Milliseconds urgentBelow{1'000};   ///< First-token objectives that count as urgent.
    size_t cacheBlocks = 8'000;              ///< Prefix blocks the engine is expected to keep.
    FairQueueSettings queue;
};

/** Decides for one endpoint. Shared by the agent and the replay; no I/O, no clock of its own. */
class Dispatcher
{
public:
    explicit Dispatcher(DispatcherSettings settings);

    /** Queues the work or refuses it. */
    Admission offer(const WorkDescription &work, core::TimePoint now);
    /** Id of the request to start now, if the engine should get another one. */
    std::optional<std::string> startNext(core::TimePoint now, uint32_t slots);
    /** Notes output tokens; the first ones tell how long the prefill took. */
    void noteTokens(const std::string &id, uint32_t tokens, core::TimePoint now);
    /** Notes the end of a started request. */
    void noteEnd(const std::string &id, bool whole, core::TimePoint now);
    /** Removes a request that has not started. */
    bool cancelQueued(const std::string &id);
    /** Removes what can no longer start in time and returns the ids. */
    std::vector<std::string> takeExpired(core::TimePoint now);
    /** Forgets learned rates and cached prefixes, after a role change or a restart. */
    void engineChanged();

    /** Fills in the parts of a load report that the dispatcher knows. */
    void fillReport(core::LoadReport &report, core::TimePoint now) const;
    uint32_t running() const { return static_cast<uint32_t>(m_started.size()); }
    bool queueEmpty() const { return m_queue.empty(); }
    size_t queued() const { return m_queue.size(); }

private:
    struct Waiting
    {
        WorkDescription request;
        double cost = 0;
    };
    struct Started
    {
        WorkDescription request;
        double cost = 0;
        uint32_t uncached = 0;
        uint32_t produced = 0;
        core::TimePoint at{};
        core::TimePoint firstTokenAt{};
    };

    uint32_t uncachedTokens(const WorkDescription &work) const;
    double costOf(const WorkDescription &work, uint32_t uncached) const;
    core::Milliseconds decodeTime(const WorkDescription &work) const;
    size_t usableSlots(uint32_t slots) const;
    double tokenCost(uint32_t uncached, uint32_t output) const;
    void closeMeasuringWindow(core::TimePoint now);
    void adaptReserve(const std::vector<QueuedWork> &late, core::TimePoint now);
    void dropWaiting(const std::string &id);

    DispatcherSettings m_settings;
    FairQueue m_queue;
    RateEstimator m_rates;
    PrefixIndex m_cache;
    std::map<std::string, Waiting> m_waiting;
    std::map<std::string, Started> m_started;
    uint64_t m_prefillInFlight = 0; ///< Uncached tokens of started requests without a token yet.
    uint64_t m_queuedTokens = 0;
    uint64_t m_outstandingOutput = 0;
    uint64_t m_unmetDeadlines = 0;
    // Output and cost of the current measuring window.
    core::TimePoint m_windowSince{};
    uint64_t m_windowOutput = 0;
    double m_windowCost = 0;
    bool m_windowBusy = false;  ///< Work has been waiting during the whole window.
    double m_urgentReserve = 0; ///< Share of slots kept for urgent work at present.
    core::TimePoint m_reserveChangedAt{};
};

} // namespace jujube::policy
