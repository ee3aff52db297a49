#include "serving/wallclock.h"

#include <algorithm>
#include <vector>

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;

// Above the transit time of a datagram to a busy VM, and a tenth of the usual usage window.
constexpr Milliseconds Tolerance{500};
// Peers send their time several times a second; an older offset is of a gateway that may be gone.
constexpr Milliseconds PeerTimeMaxAge{2'000};
// A jump of the system's time that lasts this long is taken as a correction. Temporary jumps last
// up to a dozen seconds.
constexpr Milliseconds SystemCorrectionTime{60'000};

} // namespace

WallClock::WallClock(TimePoint now, Milliseconds system) : m_baseTick(now), m_baseTime(system)
{
}

Milliseconds WallClock::at(TimePoint now) const
{
    return m_baseTime + std::chrono::duration_cast<Milliseconds>(now - m_baseTick);
}

void WallClock::recordPeerTime(const std::string &peer, Milliseconds time, TimePoint now)
{
    m_peerOffsets[peer] = {time - at(now), now};
}

// Median of the offsets of all clocks, this gateway's own included.
Milliseconds WallClock::medianPeerOffset(TimePoint now) const
{
    std::vector<Milliseconds> offset{Milliseconds(0)};
    for (const auto &[name, it] : m_peerOffsets) {
        if (now - it.at <= PeerTimeMaxAge)
            offset.push_back(it.offset);
    }
    const auto middle = offset.begin() + static_cast<std::ptrdiff_t>(offset.size() / 2);
    std::nth_element(offset.begin(), middle, offset.end());
    return *middle;
}

void WallClock::shiftBy(Milliseconds by)
{
    m_baseTime += by;
    for (auto &[name, it] : m_peerOffsets)
        it.offset -= by;
}

Milliseconds WallClock::adjust(Milliseconds system, TimePoint now)
{
    std::erase_if(m_peerOffsets,
                  [now](const auto &it) { return now - it.second.at > PeerTimeMaxAge; });
    if (const Milliseconds offset = medianPeerOffset(now); std::chrono::abs(offset) > Tolerance) {
        shiftBy(offset);
        m_systemDiffersSince = {};
        return offset;
    }
    const Milliseconds offset = system - at(now);
    if (std::chrono::abs(offset) <= Tolerance) {
        m_systemDiffersSince = {};
        return Milliseconds(0);
    }
    if (m_systemDiffersSince == TimePoint{})
        m_systemDiffersSince = now;
    if (now - m_systemDiffersSince < SystemCorrectionTime)
        return Milliseconds(0);
    m_systemDiffersSince = {};
    shiftBy(offset);
    return offset;
}

} // namespace jujube::serving
