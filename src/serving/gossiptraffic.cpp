#include "serving/gossiptraffic.h"

#include "core/eventlog.h"
#include "core/metrics.h"

#include <algorithm>

namespace jujube::serving {

namespace {

constexpr std::string_view labelOf(GossipKind kind)
{
    switch (kind) {
    case GossipKind::Full:
        return "kind=\"full\"";
    case GossipKind::Load:
        return "kind=\"load\"";
    case GossipKind::Summary:
        return "kind=\"summary\"";
    case GossipKind::Counts:
        break;
    }
    return "kind=\"counts\"";
}

} // namespace

void GossipTraffic::noteSent(GossipKind kind, size_t bytes)
{
    Sum &sum = m_sums.at(static_cast<size_t>(kind));
    sum.bytes += bytes;
    sum.largest = std::max(sum.largest, bytes);
    core::incrementCounter("jujube_gossip_bytes_total", labelOf(kind), bytes);
}

void GossipTraffic::logIfDue(core::TimePoint now, size_t departedWindows, double linkBytesPerSecond)
{
    if (now - m_loggedAt < LogInterval)
        return;
    const auto &[full, load, summary, counts] = m_sums;
    const double seconds = m_loggedAt == core::TimePoint{}
        ? 0
        : std::chrono::duration<double>(now - m_loggedAt).count();
    const double capacity = linkBytesPerSecond * seconds;
    const auto sent = static_cast<double>(full.bytes + load.bytes + summary.bytes + counts.bytes);
    core::Event("gossip.sent")
        .with("full_bytes", full.bytes)
        .with("largest_full", full.largest)
        .with("load_bytes", load.bytes)
        .with("summary_bytes", summary.bytes)
        .with("largest_summary", summary.largest)
        .with("counts_bytes", counts.bytes)
        .with("departed_windows", departedWindows)
        .with("refused", m_refused)
        .with("seconds", seconds)
        .with("link_share", capacity > 0 ? sent / capacity : 0.0);
    m_loggedAt = now;
    m_sums = {};
    m_refused = 0;
}

} // namespace jujube::serving
