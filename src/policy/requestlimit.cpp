#include "policy/requestlimit.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace jujube::policy {

namespace {

using core::Milliseconds;
using core::TimePoint;

constexpr double MinRatePerGateway = 1; ///< Requests per second of a gateway that has a share.
// Keeps a few requests going to an endpoint with a limit near zero: only its answers tell that the
// limit has ended.
constexpr double MinRate = 0.25;
// A gateway that saves up more than one request could send them all at once, as could the others.
constexpr double MaxTokens = 1;
// Without any answer for this long, the limit of an endpoint is not known any more.
constexpr Milliseconds ObservationLifetime{30'000};

} // namespace

double shareOfLimit(double perSecond, uint64_t endpoint, const std::string &self,
                    const std::vector<std::string> &members)
{
    if (std::find(members.begin(), members.end(), self) == members.end())
        return 0;
    const double rate = std::max(perSecond, MinRate);
    const auto most = static_cast<double>(members.size());
    const double count = std::clamp(std::floor(rate / MinRatePerGateway), 1.0, most);
    const auto rank = [endpoint](const std::string &name) {
        return XXH3_64bits_withSeed(name.data(), name.size(), endpoint);
    };
    const uint64_t own = rank(self);
    const auto before = std::count_if(members.begin(), members.end(), [&](const std::string &it) {
        return it != self && rank(it) < own;
    });
    return static_cast<double>(before) < count ? rate / count : 0;
}

bool RequestLimit::observe(std::optional<double> perSecond, TimePoint now)
{
    m_own = {perSecond, now};
    return merge(m_own);
}

bool RequestLimit::merge(const LimitObservation &observation)
{
    if (observation.at <= m_latest.at)
        return false;
    const bool changed = observation.perSecond != m_latest.perSecond;
    if (!m_latest.perSecond) {
        m_share.reset();
        m_tokens = 0;
        m_refilledAt = observation.at;
    }
    m_latest = observation;
    return changed;
}

bool RequestLimit::update(double sharePerSecond, TimePoint now)
{
    if (!m_latest.perSecond)
        return false;
    if (now - m_latest.at > ObservationLifetime) {
        m_latest = {std::nullopt, now};
        return true;
    }
    m_tokens = tokens(now);
    m_refilledAt = now;
    m_share = sharePerSecond;
    return false;
}

double RequestLimit::tokens(TimePoint now) const
{
    const double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
    return std::min(MaxTokens, m_tokens + std::max(0.0, seconds) * m_share.value_or(0));
}

bool RequestLimit::admits(TimePoint now) const
{
    return !m_latest.perSecond || (m_share.value_or(0) > 0 && tokens(now) >= 1);
}

void RequestLimit::take(TimePoint now)
{
    if (!m_latest.perSecond)
        return;
    m_tokens = tokens(now) - 1;
    m_refilledAt = std::max(m_refilledAt, now);
}

std::optional<Milliseconds> RequestLimit::timeUntilAdmitted(TimePoint now) const
{
    if (admits(now))
        return Milliseconds(0);
    if (m_share.value_or(0) <= 0)
        return std::nullopt;
    return std::chrono::ceil<Milliseconds>(
        std::chrono::duration<double>((1 - tokens(now)) / *m_share));
}

} // namespace jujube::policy
