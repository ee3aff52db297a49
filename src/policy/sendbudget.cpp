#include "policy/sendbudget.h"

#include <algorithm>

namespace jujube::policy {

SendBudget::SendBudget(SendBudgetSettings settings) : m_settings(settings), m_slices()
{
}

void SendBudget::setLimits(double ratio, double slack)
{
    m_settings.ratio = ratio;
    m_settings.slack = slack;
}

int64_t SendBudget::sliceIndex(core::TimePoint now) const
{
    return now.time_since_epoch() / (std::chrono::nanoseconds(m_settings.window) / SliceCount);
}

SendBudget::Slice &SendBudget::slice(core::TimePoint now)
{
    const int64_t index = sliceIndex(now);
    Slice &it = m_slices[static_cast<size_t>(index) % m_slices.size()];
    if (it.index != index)
        it = {index, 0, 0};
    return it;
}

void SendBudget::noteRequest(core::TimePoint now)
{
    ++slice(now).requests;
}

SendBudget::Usage SendBudget::usage(core::TimePoint now, uint32_t gateways) const
{
    const int64_t current = sliceIndex(now);
    uint64_t requests = 0;
    Usage usage;
    for (const Slice &it : m_slices) {
        if (it.index < 0 || it.index + static_cast<int64_t>(SliceCount) < current)
            continue;
        requests += it.requests;
        usage.extraSends += it.extraSends;
    }
    const double slack = now < m_settings.slackFrom ? 0 : m_settings.slack / std::max(1U, gateways);
    usage.allowedExtraSends =
        m_settings.usedShare * (m_settings.ratio * static_cast<double>(requests) + slack);
    return usage;
}

bool SendBudget::trySpend(core::TimePoint now, uint32_t gateways)
{
    const Usage used = usage(now, gateways);
    if (static_cast<double>(used.extraSends) + 1 > used.allowedExtraSends)
        return false;
    ++slice(now).extraSends;
    return true;
}

} // namespace jujube::policy
