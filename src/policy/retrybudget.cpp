#include "policy/retrybudget.h"

#include <algorithm>

namespace jujube::policy {

namespace {

constexpr uint32_t MaxDoublings = 16;

} // namespace

RetryBudget::RetryBudget(RetrySettings settings) : m_settings(settings)
{
}

void RetryBudget::noteFirstTry(const std::string &team)
{
    auto [it, isNew] = m_savedRetries.try_emplace(team, m_settings.maxSaved);
    it->second = std::min(m_settings.maxSaved, it->second + m_settings.retriesPerFirstTry);
}

bool RetryBudget::trySpend(const std::string &team)
{
    auto [it, isNew] = m_savedRetries.try_emplace(team, m_settings.maxSaved);
    if (it->second < 1.0)
        return false;
    it->second -= 1.0;
    return true;
}

core::Milliseconds RetryBudget::backoff(uint32_t attempt, std::mt19937_64 &random) const
{
    const uint32_t doublings = std::min(attempt > 0 ? attempt - 1 : 0, MaxDoublings);
    const auto ceiling =
        std::min(m_settings.backoffCap, m_settings.backoffBase * (int64_t(1) << doublings));
    std::uniform_int_distribution<int64_t> distribution(1, ceiling.count());
    return core::Milliseconds(distribution(random));
}

} // namespace jujube::policy
