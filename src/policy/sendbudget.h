#pragma once

/** \file
 * Defines one entry's share of the budget of repeated sends to a service.
 */

#include "core/clock.h"

#include <array>
#include <cstdint>

namespace jujube::policy {

struct SendBudgetSettings
{
    double ratio = 0.2;                ///< Extra sends for each request.
    core::Milliseconds window{10'000}; ///< Sliding.
    double slack = 58;                 ///< Extra sends of all entries together, besides.
    /** Part of the budget that is used: entries count requests that the judge may count a moment
     * later, and an entry that is gone has spent from the same window. */
    double usedShare = 0.6;
};

/** Counts requests and extra sends over a sliding window, locally.
 *
 * Each entry spends what its own requests earn and an equal part of the slack, so the sum over all
 * entries stays within the budget without any message.
 */
class SendBudget
{
public:
    explicit SendBudget(SendBudgetSettings settings);

    void noteRequest(core::TimePoint now);
    /** Spends one extra send. \return false if there is none left. */
    bool trySpend(core::TimePoint now, uint32_t entries);

private:
    static constexpr size_t SliceCount = 20;
    struct Slice
    {
        int64_t index = -1;
        uint32_t requests = 0;
        uint32_t extraSends = 0;
    };

    Slice &slice(core::TimePoint now);

    SendBudgetSettings m_settings;
    std::array<Slice, SliceCount + 1> m_slices;
};

} // namespace jujube::policy
