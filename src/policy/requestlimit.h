#pragma once

/** \file
 * Defines how gateways share the limit of requests that an endpoint names.
 */

#include "core/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jujube::policy {

/** What an endpoint stated of its limit, and when. */
struct LimitObservation
{
    std::optional<double> perSecond; ///< Of all gateways together; nothing: no limit.
    core::TimePoint at{};            ///< Arrival of the answer; zero: nothing was stated yet.
};

/** Returns the share of a limit that one gateway may use, in requests per second.
 *
 * As many gateways share a limit as can each send about one request per second; the others send
 * nothing. Equal shares of hundreds of gateways would leave most of a small limit unused.
 * \param endpoint hash that selects these gateways, so that all agree without communication.
 * \param members names of all gateways that receive requests; others have no share.
 */
double shareOfLimit(double perSecond, uint64_t endpoint, const std::string &self,
                    const std::vector<std::string> &members);

/** The limit of one endpoint, as one gateway knows and keeps it. */
class RequestLimit
{
public:
    /** Applies what an answer to this gateway states. \return whether the limit has changed. */
    bool observe(std::optional<double> perSecond, core::TimePoint now);
    /** Applies what another gateway has observed, unless a later observation is known. */
    bool merge(const LimitObservation &observation);
    /** Sets this gateway's share of the limit. Ends a limit that no answer has confirmed for long.
     * \return whether the limit has ended. */
    bool update(double sharePerSecond, core::TimePoint now);

    const std::optional<double> &perSecond() const { return m_latest.perSecond; }
    /** Latest observation of any gateway. */
    const LimitObservation &latest() const { return m_latest; }
    /** Latest observation of this gateway. */
    const LimitObservation &own() const { return m_own; }
    /** Whether a request may be sent now. */
    bool admits(core::TimePoint now) const;
    /** Counts a request that is sent. */
    void take(core::TimePoint now);
    /** Time until a request may be sent; nothing if this gateway has no share, or none yet. */
    std::optional<core::Milliseconds> timeUntilAdmitted(core::TimePoint now) const;
    /** Nothing until update() was called after the limit was first stated. */
    const std::optional<double> &sharePerSecond() const { return m_share; }

private:
    double tokens(core::TimePoint now) const;

    LimitObservation m_latest;
    LimitObservation m_own;
    std::optional<double> m_share;
    double m_tokens = 0; ///< As of m_refilledAt.
    core::TimePoint m_refilledAt{};
};

} // namespace jujube::policy
