#pragma once

/** \file
 * Defines how often failed work may be retried, and after which delay.
 */

#include "core/clock.h"

#include <map>
#include <random>
#include <string>

namespace jujube::policy {

struct RetrySettings
{
    double retriesPerFirstTry = 0.2; ///< Retries that each first try adds to the budget.
    double maxSaved = 10;            ///< Largest budget of a team; also its initial one.
    core::Milliseconds backoffBase{20};
    core::Milliseconds backoffCap{1'000};
};

/** Limits the retries of each team to a share of its first tries, so that retries cannot amplify an
 * overload. */
class RetryBudget
{
public:
    explicit RetryBudget(RetrySettings settings);

    /** Records a first try, which adds to the budget. */
    void noteFirstTry(const std::string &team);
    /** Spends one retry. \return false if the budget of the team is used up. */
    bool trySpend(const std::string &team);
    /** Returns the delay before a retry: exponential backoff with full jitter.
     * \param attempt number of the retry, from 1. */
    core::Milliseconds backoff(uint32_t attempt, std::mt19937_64 &random) const;

private:
    RetrySettings m_settings;
    std::map<std::string, double> m_savedRetries;
};

} // namespace jujube::policy
