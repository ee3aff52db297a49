#include "policy/outlierdetector.h"

#include <algorithm>

namespace jujube::policy {

namespace {

constexpr uint32_t MaxDoublings = 10;

} // namespace

OutlierDetector::OutlierDetector(OutlierSettings settings) : m_settings(settings)
{
}

OutlierDetector::State OutlierDetector::state(core::TimePoint now) const
{
    if (!m_ejected)
        return State::Healthy;
    if (m_probing && now - m_probeSent < m_settings.probeLimit)
        return State::Probing;
    return now < m_until ? State::Ejected : State::ProbeDue;
}

void OutlierDetector::startProbe(core::TimePoint now)
{
    m_probing = true;
    m_probeSent = now;
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
    if (!m_ejected && m_failures < m_settings.failuresToEject)
        return;
    m_ejected = true;
    const auto doublings = std::min(m_ejections, MaxDoublings);
    m_until = now
        + std::min(m_settings.longestEjection,
                   m_settings.firstEjection * (int64_t(1) << doublings));
    ++m_ejections;
}

} // namespace jujube::policy
