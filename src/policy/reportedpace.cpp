#include "policy/reportedpace.h"

#include <algorithm>
#include <cmath>

namespace jujube::policy {

namespace {

constexpr double MinPace = 0.25;
constexpr double MaxPace = 4;
// The pace changes many times a second, so its mean has to span several seconds.
constexpr core::Milliseconds HalfLife{10'000};

// Part of a value that is left after a time.
double remainder(core::BootClock::duration time)
{
    return std::exp2(-std::chrono::duration<double>(time)
                     / std::chrono::duration<double>(HalfLife));
}

} // namespace

// The time since the last report is weighted by the pace that was reported at its end; the reports
// of one moment do not count more than a single one.
void ReportedPace::note(uint32_t percent, core::TimePoint at)
{
    if (percent == 0 || at <= m_at)
        return;
    constexpr double percentOfUsual = 100;
    m_last = std::clamp(percent / percentOfUsual, MinPace, MaxPace);
    // A gap says nothing about the pace in it.
    const auto covered = std::min<core::BootClock::duration>(at - m_at, LoadReportLifetime);
    m_usual = m_last + (usual(at) - m_last) * remainder(covered);
    m_at = at;
}

double ReportedPace::usual(core::TimePoint now) const
{
    if (m_at == core::TimePoint{} || now - m_at <= LoadReportLifetime)
        return m_usual;
    return 1 + (m_usual - 1) * remainder(now - m_at - LoadReportLifetime);
}

double ReportedPace::factor(core::TimePoint now) const
{
    const double usualPace = usual(now);
    if (m_at == core::TimePoint{} || now - m_at >= LoadReportLifetime)
        return usualPace;
    const double age =
        std::chrono::duration<double>(std::max(now - m_at, core::BootClock::duration(0)))
        / std::chrono::duration<double>(LoadReportLifetime);
    return usualPace * age + m_last * (1 - age);
}

} // namespace jujube::policy
