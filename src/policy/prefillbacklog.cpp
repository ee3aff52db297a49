#include "policy/prefillbacklog.h"

#include <algorithm>
#include <cmath>

namespace jujube::policy {

namespace {

constexpr double MaxMs = 60'000; ///< Keeps absurd predictions in range.

core::TimePoint::duration duration(double ms)
{
    const double limited = std::isfinite(ms) ? std::clamp(ms, 0.0, MaxMs) : MaxMs;
    return std::chrono::duration_cast<core::TimePoint::duration>(
        std::chrono::duration<double, std::milli>(limited));
}

double seconds(core::TimePoint::duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

uint64_t PrefillBacklog::add(double tokens, double waitMs, double workMs, core::TimePoint now)
{
    const core::TimePoint startsAt = now + duration(waitMs);
    m_prompts.emplace(++m_lastId, Prompt{tokens, startsAt, startsAt + duration(workMs)});
    return m_lastId;
}

void PrefillBacklog::remove(uint64_t id)
{
    m_prompts.erase(id);
}

double PrefillBacklog::tokens(core::TimePoint now) const
{
    double sum = 0;
    for (const auto &[id, prompt] : m_prompts) {
        if (now <= prompt.startsAt)
            sum += prompt.tokens;
        else if (now < prompt.endsAt)
            sum += prompt.tokens * seconds(prompt.endsAt - now)
                / seconds(prompt.endsAt - prompt.startsAt);
    }
    return sum;
}

} // namespace jujube::policy
