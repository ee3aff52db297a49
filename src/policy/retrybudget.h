#pragma once

/** \file
 * Defines how often failed work may be tried again, and when.
 */

#include "core/clock.h"

#include <map>
#include <random>
#include <string>

namespace jujube::policy {

struct RetrySettings
{
    double retriesPerFirstTry = 0.2; ///< Retries earned by each first try.
    double maxSaved = 10;            ///< Retries a team can save up.
    core::Milliseconds backoffBase{20};
    core::Milliseconds backoffCap{1'000};
};

/** A team's retries are a share of its first tries, so that overload is never multiplied. */
class RetryBudget
{
public:
    explicit RetryBudget(RetrySettings settings);

    /** Notes a first try, which earns a share of a retry. */
    void noteFirstTry(const std::string &team);
    /** Spends one retry. \return false when the team has none left. */
    bool trySpend(const std::string &team);
    /** Time to wait before a retry: exponential with full jitter. \a attempt counts from 1. */
    core::Milliseconds backoff(uint32_t attempt, std::mt19937_64 &random) const;

private:
    RetrySettings m_settings;
    std::map<std::string, double> m_savedRetries;
};

} // namespace jujube::policy
