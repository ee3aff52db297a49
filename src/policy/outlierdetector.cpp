#include "policy/outlierdetector.h"

#include <algorithm>
#include <cmath>

namespace jujube::policy {

namespace {

constexpr uint32_t MaxDoublings = 10;
constexpr double BrokenErrorShare = 0.4; // Share of errors of a broken endpoint.
// Bounds the weight of one error, so that a single one is never sufficient: below 0.003 it would
// be. At 0.01 two errors in a row suffice.
constexpr double MinUsualErrorShare = 0.01;
constexpr double SuspicionThreshold = 5; // Likelihood ratio of about 150 to 1.
constexpr double DecayFactor = 0.995;    // Shares follow about the last 200 answers.

} // namespace

OutlierDetector::OutlierDetector(OutlierSettings settings) : m_settings(settings)
{
}

OutlierDetector::State OutlierDetector::state(core::TimePoint now) const
{
    if (!m_ejected)
        return State::Healthy;
    if (m_probing && now - m_probeSentAt < m_settings.probeTimeout)
        return State::Probing;
    return now < m_ejectedUntil ? State::Ejected : State::ProbeDue;
}

void OutlierDetector::startProbe(core::TimePoint now)
{
    m_probing = true;
    m_probeSentAt = now;
}

void OutlierDetector::noteSuccess()
{
    m_failures = 0;
    m_ejected = false;
    m_probing = false;
    m_ejections = 0;
}

void OutlierDetector::noteFailure(core::TimePoint now)
{
    ++m_failures;
    m_probing = false;
    if (m_ejected || m_failures >= m_settings.failuresToEject)
        eject(now);
}

void OutlierDetector::eject(core::TimePoint now)
{
    m_probing = false;
    m_ejected = true;
    const auto doublings = std::min(m_ejections, MaxDoublings);
    m_ejectedUntil = now
        + std::min(m_settings.maxEjection, m_settings.firstEjection * (int64_t(1) << doublings));
    ++m_ejections;
}

void ErrorRateTest::noteRemoteSuspicion()
{
    m_logLikelihoodRatio = std::max(m_logLikelihoodRatio, SuspicionThreshold / 2);
}

bool ErrorRateTest::note(bool failed, double usualErrorShare)
{
    const double usual = std::clamp(usualErrorShare, MinUsualErrorShare, BrokenErrorShare);
    m_logLikelihoodRatio +=
        std::log(failed ? BrokenErrorShare / usual : (1 - BrokenErrorShare) / (1 - usual));
    m_logLikelihoodRatio = std::max(0.0, m_logLikelihoodRatio);
    const bool broken = m_logLikelihoodRatio > SuspicionThreshold;
    // The answers of a broken endpoint must not raise the share of errors that is usual for its
    // service.
    if (broken) {
        m_logLikelihoodRatio = 0;
        return true;
    }
    m_errors = m_errors * DecayFactor + (failed ? 1 : 0);
    m_answers = m_answers * DecayFactor + 1;
    return false;
}

} // namespace jujube::policy
