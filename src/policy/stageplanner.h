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
    bool prefill = false;   ///< Present stage.
    bool available = true;  ///< Neither draining nor suspected nor in the middle of a change.
    double running = 0;     ///< Requests there now, over all entries.
};

/** Load of a service over all entries. */
struct StageDemand
{
    double promptTokensPerSecond = 0; ///< To be read, without what caches hold.
    double streams = 0;               ///< Requests being decoded.
    uint32_t slots = 1;               ///< Of one engine.
};

struct StagePlannerSettings
{
    double initialPrefillShare = 0.55; ///< Before any load was seen.
    double prefillTokensPerSecond = 65'000; ///< Of one engine; corrected by what is observed.
    double targetUse = 0.62; ///< Of the prefill engines; queues grow steeply above.
    double decodeUse = 0.8;  ///< Of the slots of decode engines.
    double minTraffic = 1e12; ///< Prompt tokens a second below which nothing is learnt.
    core::Milliseconds settle{2'500};  ///< A wish must hold this long before it is acted on.
    core::Milliseconds interval{5'000}; ///< Least time between two rounds of changes.
    core::Milliseconds retry{4'500};    ///< After which an order without effect is given again.
};

struct StageChange
{
    std::string id;
    bool prefill = false;
};

/** Plans changes so that the share of prefill engines follows the prompts.
 *
 * The first round, before traffic, sets the initial share at once: nothing is running that could be
 * lost. Later ones move one engine at a time after the wish has held for a while.
 */
class StagePlanner
{
public:
    explicit StagePlanner(StagePlannerSettings settings) : m_settings(settings) { }

    std::vector<StageChange> plan(const std::vector<StageView> &engines, const StageDemand &demand,
                                  core::TimePoint now);
    /** Number of prefill engines wanted for a load. */
    uint32_t wanted(size_t engines, const StageDemand &demand) const;

private:
    std::vector<StageChange> changes(const std::vector<StageView> &engines, uint32_t target,
                                     size_t most) const;

    StagePlannerSettings m_settings;
    std::optional<uint32_t> m_wish;
    core::TimePoint m_wishSince{};
    core::TimePoint m_lastRound{};
    bool m_started = false;
};

} // namespace jujube::policy
