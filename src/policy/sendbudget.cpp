#include "policy/sendbudget.h"

#include <algorithm>

namespace jujube::policy {

SendBudget::SendBudget(SendBudgetSettings settings) : m_settings(settings), m_slices()
{
}

SendBudget::Slice &SendBudget::slice(core::TimePoint now)
{
    const auto length = std::chrono::nanoseconds(m_settings.window) / SliceCount;
    const int64_t index = now.time_since_epoch() / length;
    Slice &it = m_slices[static_cast<size_t>(index) % m_slices.size()];
    if (it.index != index)
        it = {index, 0, 0};
    return it;
}

void SendBudget::noteRequest(core::TimePoint now)
{
    ++slice(now).requests;
}

bool SendBudget::trySpend(core::TimePoint now, uint32_t gateways)
{
    Slice &current = slice(now);
    uint64_t requests = 0;
    uint64_t extraSends = 0;
    for (const Slice &it : m_slices) {
        if (it.index < 0 || it.index + static_cast<int64_t>(SliceCount) < current.index)
            continue;
        requests += it.requests;
        extraSends += it.extraSends;
    }
    const double allowedExtraSends = m_settings.usedShare
        * (m_settings.ratio * static_cast<double>(requests)
           + m_settings.slack / std::max(1U, gateways));
    if (static_cast<double>(extraSends) + 1 > allowedExtraSends)
        return false;
    ++current.extraSends;
    return true;
}

} // namespace jujube::policy
