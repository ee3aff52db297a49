#pragma once

/** \file
 * Defines the dispatcher, which admits, orders and accounts for the requests of one endpoint.
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

/** Properties of a request that the dispatcher decides by. */
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

/** Settings of a dispatcher. Each mechanism can be switched off to measure its effect. */
struct DispatcherSettings
{
    bool fairTeams = true;     ///< Off: one queue for all teams.
    bool admission = true;     ///< Off: no request is refused because of its predicted wait.
    bool deadlineOrder = true; ///< Off: first come, first served.
    bool demoteLate = true;    ///< Off: late requests keep their place in the queue.
    /** Largest share of the batch slots reserved for urgent requests; long answers would otherwise
     * occupy every slot for many seconds. The share in force grows while urgent requests start late
     * and shrinks when none does, because other requests cannot use a reserved slot. */
    double urgentReserve = 0.25;
    double reserveStep = 0.03;
    /** Time without a late urgent request after which the reserve shrinks by one step. */
    core::Milliseconds reserveDecay{10'000};
    /** Requests with a first-token objective up to this are urgent. */
    core::Milliseconds urgentBelow{1'000};
    size_t cacheBlocks = 8'000; ///< Number of prefix blocks the engine is expected to cache.
    FairQueueSettings queue;
};

/** Schedules the requests of one endpoint. Used by the agent and by the replay tool, so it does no
 * I/O and reads no clock. */
class Dispatcher
{
public:
    explicit Dispatcher(DispatcherSettings settings);

    /** Queues the request or refuses it. */
    Admission offer(const WorkDescription &work, core::TimePoint now);
    /** Dequeues the next request and returns its id; empty if none is to be started now. */
    std::optional<std::string> startNext(core::TimePoint now, uint32_t slots);
    /** Records output tokens of a request. The first ones give the duration of its prefill. */
    void noteTokens(const std::string &id, uint32_t tokens, core::TimePoint now);
    /** Records the end of a started request. */
    void noteEnd(const std::string &id, bool complete, core::TimePoint now);
    /** Removes a request that has not started. Returns false if there is none with this id. */
    bool cancelQueued(const std::string &id);
    /** Removes the requests that can no longer start in time and returns their ids. */
    std::vector<std::string> takeExpired(core::TimePoint now);
    /** Resets learned rates and cached prefixes, after a role change or a restart of the engine. */
    void engineChanged();

    /** Fills in the fields of a load report that the dispatcher knows. */
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
    /** Uncached prompt tokens of started requests without output yet. */
    uint64_t m_prefillInFlight = 0;
    uint64_t m_queuedTokens = 0;
    uint64_t m_outstandingOutput = 0;
    uint64_t m_unmetDeadlines = 0;
    // Output and cost of the current measuring window.
    core::TimePoint m_windowSince{};
    uint64_t m_windowOutput = 0;
    double m_windowCost = 0;
    bool m_windowBusy = false;  ///< Whether requests were waiting during the whole window.
    double m_urgentReserve = 0; ///< Share of slots reserved for urgent requests at present.
    core::TimePoint m_reserveChangedAt{};
};

} // namespace jujube::policy
