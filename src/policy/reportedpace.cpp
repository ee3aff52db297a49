#include "policy/reportedpace.h"

#include <algorithm>
#include <cmath>

namespace jujube::policy {

namespace {

constexpr double MinPace = 0.25;
constexpr double MaxPace = 4;
// The usual pace is a property of the incarnation, so it is kept for minutes without reports.
constexpr core::Milliseconds HalfLife{300'000};
// Reports that are closer together count as one sample, so that one spell does not fill the
// samples. Shorter than the time between the probes of a new engine.
constexpr core::Milliseconds SampleInterval{150};
// Rank of the usual pace among the samples: the lowest of four, a low quantile of many. Spells take
// about a tenth of the time; the lowest of many samples would be an outlier.
constexpr size_t RankNumerator = 3;
constexpr size_t RankDenominator = 10;

} // namespace

void ReportedPace::note(uint32_t percent, core::TimePoint at)
{
    if (percent == 0 || at <= m_at)
        return;
    constexpr double percentOfUsual = 100;
    m_last = std::clamp(percent / percentOfUsual, MinPace, MaxPace);
    m_at = at;
    if (m_count > 0 && at - m_sampledAt < SampleInterval)
        return;
    m_sampledAt = at;
    m_samples[m_next] = static_cast<float>(m_last);
    m_next = (m_next + 1) % MaxSamples;
    m_count = std::min(m_count + 1, MaxSamples);
    updateUsual();
}

void ReportedPace::updateUsual()
{
    auto samples = m_samples;
    const size_t rank = (m_count - 1) * RankNumerator / RankDenominator;
    const auto at = samples.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(samples.begin(), at, samples.begin() + static_cast<std::ptrdiff_t>(m_count));
    m_usual = *at;
}

double ReportedPace::usual(core::TimePoint now) const
{
    if (m_at == core::TimePoint{} || now - m_at <= LoadReportLifetime)
        return m_usual;
    const double halfLives = std::chrono::duration<double>(now - m_at - LoadReportLifetime)
        / std::chrono::duration<double>(HalfLife);
    return 1 + (m_usual - 1) * std::exp2(-halfLives);
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
