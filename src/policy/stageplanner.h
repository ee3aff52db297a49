#pragma once

/** \file
 * Defines how many engines of a service read prompts and how many decode.
 */

#include "core/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jujube::policy {

/** One engine as the planner sees it. */
struct StageView
{
    std::string id;
    std::string domain;
    bool prefill = false;  ///< Present stage.
    bool available = true; ///< Neither draining nor suspected nor in the middle of a change.
    double running = 0;    ///< Requests there now, over all entries.
};

/** Load of a service over all gateways. */
struct StageDemand
{
    double promptTokensPerSecond = 0; ///< That come, without what caches hold.
    /** Slots that are in use or, once the pace of decoders is learnt, would be in use in full
     * batches for the tokens that are made (DecodePace::slotsFor): streams that are slowed by
     * prompts read between their tokens hold more slots than they are worth. */
    double busyDecodeSlots = 0;
    bool decodeRateKnown = false;           ///< The pace of decoders is learnt.
    uint32_t slots = 1;                     ///< Of one engine.
    double prefillTokensPerSecond = 65'000; ///< Of one engine, as observed.
};

struct StagePlannerSettings
{
    /** Share of decode engines before any load was seen, for engines of 64 slots. The best
     * share ranged from 0.22 to 0.45; queues for prefill cost more than fuller batches. Engines
     * with more slots decode more streams each, by the fourth root of the ratio (docs/POLICY.md,
     * rounds 6, 12 and 29). */
    double initialDecodeShare = 0.41;
    uint32_t referenceSlots = 64;
    double targetPrefillUse = 0.75; ///< Of the prefill engines; queues grow steeply above.
    double targetDecodeUse =
        0.8;              ///< Of the slots of decode engines; prompts are held back at 0.95.
    double minGain = 0.2; ///< Part by which a change must lower the use of the shorter stage.
    /** Part of its usual engines at which a stage gets help from the other one. */
    double lossThreshold = 0.75;
    /** Time for which engines must have been missing: longer than a pause after one refusal. */
    core::Milliseconds lossDelay{1'000};
    /** Time for which the mix must have been shifted, less the time for which it was not. Moves
     * after 2.5 s cost more than they gained: the engine came when the swing was over
     * (docs/POLICY.md, round 17). */
    core::Milliseconds shiftDelay{12'000};
    /** Traffic after which the split is fitted to the mix and the engines' pace, all at once:
     * several swings of some seconds, and before most queues have grown. */
    core::Milliseconds firstFitAfter{4'000};
    core::Milliseconds roundInterval{
        5'000}; ///< Least time between two rounds: longer than a change.
    core::Milliseconds retryInterval{
        5'500}; ///< After which an order without effect is given again.
};

struct StageChange
{
    std::string id;
    bool prefill = false;
};

/** Time for which a change has been wanted in one direction. */
class SustainedCondition
{
public:
    /** Notes whether a change is wanted now. \return true once it has been for long enough. */
    bool update(bool wanted, bool towardsPrefill, core::TimePoint now, core::Milliseconds delay);

private:
    bool m_towardsPrefill = false;
    core::Milliseconds m_wantedTime{};
    core::TimePoint m_updatedAt{};
};

/** Plans changes so that neither stage is much shorter than the other.
 *
 * The first round, before traffic, sets a usual split at once: nothing is running that could be
 * lost. After some seconds of traffic the split is fitted once to what the engines turned out to be
 * like and what they are asked for. Later an engine moves for two reasons only, as it is away for
 * seconds, longer than most swings of the mix: a stage has lost engines, or the mix has been
 * another one for long. Shorter swings are met by decoding engines that read prompts themselves. A
 * stage that has lost all its engines gets one at once.
 *
 * Every gateway follows the split; the one that leads plans. A successor goes on from the split
 * that it finds.
 */
class StagePlanner
{
public:
    explicit StagePlanner(StagePlannerSettings settings) : m_settings(settings) { }

    /** Observes the split while another gateway leads. */
    void observeAsFollower(const std::vector<StageView> &engines, const StageDemand &demand,
                           core::TimePoint now);
    std::vector<StageChange> plan(const std::vector<StageView> &engines, const StageDemand &demand,
                                  core::TimePoint now);

private:
    double bottleneckUse(size_t prefill, size_t decode, const StageDemand &demand) const;
    size_t initialPrefillCount(size_t engines, uint32_t slots) const;
    size_t targetPrefillCount(size_t engines, uint32_t slots) const;
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
    SustainedCondition m_loss;
    SustainedCondition m_shift;
    core::TimePoint m_lastRound{};
    core::TimePoint m_trafficSince{};
    core::TimePoint m_observedAt{};
    StageDemand m_meanDemand;              ///< Over the traffic so far, until the first fit.
    std::optional<double> m_targetShare;   ///< Of prefill engines, once it was fitted or found.
    std::optional<double> m_observedShare; ///< The mean while another gateway led.
    core::TimePoint m_shareObservedAt{};
    bool m_trafficSeen = false;
    bool m_fitted = false;
    bool m_isLeader = false;
};

} // namespace jujube::policy
