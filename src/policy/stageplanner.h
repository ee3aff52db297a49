#pragma once

/** \file
 * Defines the planner that splits the engines of a service between prefill and decode.
 */

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace jujube::policy {

/** State of one engine that planning is based on. */
struct StageView
{
    std::string id;
    std::string domain;
    bool prefill = false;  ///< Whether its present stage is prefill, else decode.
    bool available = true; ///< Not draining, not suspected and not changing its stage.
    double running = 0;    ///< Active requests of all gateways.
    int64_t bornMs = 0;    ///< Start time; tells incarnations under one id apart.
    bool lost = false;     ///< Draining, leaving or ejected: counts for neither stage.
    /** Has just registered, has its initial stage and, as far as is known, got no request. */
    bool unused = false;
    double slowdown = 1; ///< Its prefill time relative to the usual one; 1 if unknown.
};

/** Load of a service over all gateways. */
struct StageDemand
{
    double promptTokensPerSecond = 0; ///< Rate of arriving uncached prompt tokens.
    /** Decode slots in use or, once decode step times are known, the number that the present rate
     * of output tokens needs in full batches (DecodeStepEstimator::slotsNeeded). The second figure
     * is used because streams that are slowed by the prefill of prompts between their tokens occupy
     * more slots than their output needs. */
    double busyDecodeSlots = 0;
    bool decodeStepsKnown = false;          ///< Whether decode step times are known.
    uint32_t slots = 1;                     ///< Per engine.
    double prefillTokensPerSecond = 65'000; ///< Observed prefill rate of one engine.
    /** Whether new engines get their stage before their first request. */
    bool assignsNewEngines = true;
};

struct StagePlannerSettings
{
    /** Share of decode engines before any load is observed, for engines with referenceSlots slots.
     * The best share ranged from 0.22 to 0.45; queues for prefill cost more than fuller batches.
     * For another number of slots the share is scaled by the fourth root of the ratio, because
     * engines with more slots decode more streams each (docs/POLICY.md, rounds 6, 12 and 29). */
    double initialDecodeShare = 0.41;
    uint32_t referenceSlots = 64;
    /** Largest use of the prefill engines; queues grow steeply above. */
    double targetPrefillUse = 0.75;
    /** Largest use of the slots of decode engines; prompts are held back at 0.95. */
    double targetDecodeUse = 0.8;
    double minGain = 0.2; ///< Share by which a change must lower the use of the bottleneck stage.
    /** Share of its target number of engines down to which a stage must fall to get an engine of
     * the other one. */
    double lossThreshold = 0.75;
    /** Time for which engines must have been missing; longer than the pause after one refusal. */
    core::Milliseconds lossDelay{1'000};
    /** Time for which the load mix must have been shifted, less the time for which it was not.
     * With 2.5 s, changes cost more than they gained, because the engine became available when the
     * shift was over (docs/POLICY.md, round 17). */
    core::Milliseconds shiftDelay{12'000};
    /** Duration of traffic after which the whole split is fitted at once to the load mix and the
     * engines' rates: long enough to average over load swings of some seconds, and short enough to
     * act before most queues have grown. */
    core::Milliseconds firstFitAfter{4'000};
    /** Least time between two rounds of orders; longer than a change takes. */
    core::Milliseconds roundInterval{5'000};
    /** Time after which an order without effect is repeated. */
    core::Milliseconds retryInterval{5'500};
};

/** An order to change the stage of an engine. */
struct StageChange
{
    std::string id;
    bool prefill = false;
    bool newEngine = false; ///< Only to be ordered if the engine is still unused.
};

/** Tracks for how long a change in one direction has been wanted. */
class SustainedCondition
{
public:
    /** Records whether a change is wanted now.
     * \return true if it is, and the time for which it was exceeds the time for which it was not by
     * at least \a delay. */
    bool update(bool wanted, bool towardsPrefill, core::TimePoint now, core::Milliseconds delay);

private:
    bool m_towardsPrefill = false;
    core::Milliseconds m_wantedTime{};
    core::TimePoint m_updatedAt{};
};

/** Plans stage changes that balance the use of prefill and decode engines.
 *
 * The first round, before traffic, sets an initial split at once, because no request is running
 * that could be lost. After some seconds of traffic the split is fitted once to the observed rates
 * of the engines and the load. A later change makes an engine unavailable for seconds, longer than
 * most swings of the load mix, so it is made for two reasons only: a stage has lost engines, or the
 * load mix has been shifted for long. Shorter swings are absorbed by colocated prefill on decode
 * engines. A stage that has lost all its engines gets one at once.
 *
 * An engine that has just registered and got no request can change its stage at no cost. While the
 * prefill stage is below its target, such an engine is assigned to it at once.
 *
 * Only the leader plans; the other gateways observe the split, so that a new leader continues with
 * the present one.
 */
class StagePlanner
{
public:
    explicit StagePlanner(StagePlannerSettings settings) : m_settings(settings) { }

    /** Records the split and the demand while another gateway is the leader. */
    void observeAsFollower(const std::vector<StageView> &engines, const StageDemand &demand,
                           core::TimePoint now);
    /** Returns the changes that the leader has to order now. */
    std::vector<StageChange> plan(const std::vector<StageView> &engines, const StageDemand &demand,
                                  core::TimePoint now);
    /** Returns only the changes of plan() to new engines. */
    std::vector<StageChange> planNewEngines(const std::vector<StageView> &engines,
                                            const StageDemand &demand, core::TimePoint now);
    /** Records that an engine has certainly not accepted its order as a new engine. */
    void recordRefusedAssignment(const std::string &id);

private:
    /** Order to a new engine, which its entry in the store may not show yet. */
    struct Assignment
    {
        int64_t bornMs = 0;
        core::TimePoint at{};
        bool refused = false; ///< Certainly not accepted.
    };

    void forgetOldAssignments(const std::vector<StageView> &engines, core::TimePoint now);
    std::vector<StageChange> assignNewEngines(const std::vector<StageView> &engines,
                                              const StageDemand &demand, core::TimePoint now);
    bool decodeIsShort(const std::vector<StageView> &engines, const StageDemand &demand) const;
    static size_t newEnginesNeeded(const std::vector<StageView> &engines,
                                   const std::vector<StageChange> &possible, size_t target);
    std::vector<StageView> withAssignments(std::vector<StageView> engines) const;
    std::vector<StageChange> planRound(const std::vector<StageView> &engines,
                                       const StageDemand &demand, core::TimePoint now);
    double bottleneckUse(size_t prefill, size_t decode, const StageDemand &demand) const;
    size_t initialPrefillCount(size_t engines, uint32_t slots) const;
    size_t targetPrefillCount(size_t engines, uint32_t slots) const;
    bool observeReplacements(const std::vector<StageView> &engines, core::TimePoint now);
    void becomeLeader(const std::vector<StageView> &engines, core::TimePoint now);
    void observe(const StageDemand &demand, core::TimePoint now);
    std::optional<size_t> fitToTraffic(size_t prefill, size_t available, core::TimePoint now);
    bool lostTooMany(size_t present, size_t target) const;
    size_t wantedPrefillCount(size_t prefill, size_t available, const StageDemand &demand,
                              core::TimePoint now);
    size_t bestPrefillCount(size_t engines, const StageDemand &demand) const;
    std::vector<StageChange> planChanges(const std::vector<StageView> &engines, size_t target,
                                         size_t maxChanges) const;

    StagePlannerSettings m_settings;
    std::map<std::string, Assignment> m_assignments; ///< Of the last retryInterval, by engine.
    SustainedCondition m_loss;
    SustainedCondition m_shift;
    core::TimePoint m_lastRound{};
    core::TimePoint m_trafficSince{};
    core::TimePoint m_observedAt{};
    StageDemand m_meanDemand; ///< Mean since traffic began.
    /** Target share of prefill engines, once fitted or adopted. */
    std::optional<double> m_targetShare;
    /** Mean share of prefill engines while another gateway is leader. */
    std::optional<double> m_observedShare;
    core::TimePoint m_shareObservedAt{};
    std::set<std::pair<std::string, int64_t>> m_observedEngines; ///< Ids and start times.
    core::TimePoint m_replacedAt{}; ///< Last time that an engine came or went during traffic.
    bool m_trafficSeen = false;
    bool m_fitted = false;
    bool m_isLeader = false;
};

} // namespace jujube::policy
