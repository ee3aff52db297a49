#pragma once

/** \file
 * Defines one gateway's share of a service's budget of repeated sends.
 */

#include "core/clock.h"

#include <array>
#include <cstdint>

namespace jujube::policy {

struct SendBudgetSettings
{
    double ratio = 0.2;                ///< Extra sends allowed per request.
    core::Milliseconds window{10'000}; ///< Length of the sliding window.
    double slack = 58;                 ///< Additional extra sends per window, over all gateways.
    /** Share of the budget that is used. The rest is a margin: the budget may be checked against
     * requests that are counted a moment later than here, and a gateway that has ended may have
     * spent from the same window. */
    double usedShare = 0.6;
    /** From this time on the slack is granted. A process that has replaced another one lets a
     * window pass, as its predecessor may have used the same slack. */
    core::TimePoint slackFrom{};
};

/** Limits the extra sends of one gateway by its own requests in a sliding window.
 *
 * Each gateway may spend what its own requests allow and an equal part of the slack, so the sum
 * over all gateways stays within the budget without communication.
 */
class SendBudget
{
public:
    /** Use of the budget in the present window. */
    struct Usage
    {
        uint64_t extraSends = 0;
        double allowedExtraSends = 0;
    };

    explicit SendBudget(SendBudgetSettings settings);

    /** Changes the limits; what was spent in the window stays spent. */
    void setLimits(double ratio, double slack);
    void noteRequest(core::TimePoint now);
    /** \param gateways as in trySpend(). */
    Usage usage(core::TimePoint now, uint32_t gateways) const;
    /** Spends one extra send.
     * \param gateways number of gateways that share the slack.
     * \return false if none is left in the window. */
    bool trySpend(core::TimePoint now, uint32_t gateways);

private:
    static constexpr size_t SliceCount = 20;
    struct Slice
    {
        int64_t index = -1;
        uint32_t requests = 0;
        uint32_t extraSends = 0;
    };

    int64_t sliceIndex(core::TimePoint now) const;
    Slice &slice(core::TimePoint now);

    SendBudgetSettings m_settings;
    std::array<Slice, SliceCount + 1> m_slices;
};

} // namespace jujube::policy
