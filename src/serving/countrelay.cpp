#include "serving/countrelay.h"

#include <algorithm>

namespace jujube::serving {

namespace {

// A message of about 10 KB; a window with more teams is sent alone.
constexpr size_t MaxTeamsPerMessage = 400;
constexpr size_t MaxPeersPerMessage = 10;

} // namespace

void CountRelay::restart(const std::string &peer)
{
    m_peers[peer] = {m_firstPosition, ++m_startCount};
}

void CountRelay::update(const std::vector<UsageWindowId> &departed, uint64_t oldestWindow)
{
    while (!m_windows.empty() && m_windows.front().window < oldestWindow) {
        m_windows.pop_front();
        ++m_firstPosition;
    }
    for (const UsageWindowId &it : departed) {
        if (it.window >= oldestWindow
            && std::find(m_windows.begin(), m_windows.end(), it) == m_windows.end())
            m_windows.push_back(it);
    }
}

CountRelay::Message CountRelay::next(const TeamCount &teamCount)
{
    const uint64_t end = m_firstPosition + m_windows.size();
    const Peer *latest = nullptr;
    for (auto &[name, peer] : m_peers) {
        peer.position = std::max(peer.position, m_firstPosition);
        if (peer.position < end && (!latest || peer.startOrder > latest->startOrder))
            latest = &peer;
    }
    Message message;
    if (!latest)
        return message;
    const uint64_t begin = latest->position;
    uint64_t position = begin;
    for (size_t teams = 0; position < end; ++position) {
        const UsageWindowId &id = m_windows.at(position - m_firstPosition);
        const size_t n = teamCount(id);
        if (!message.windows.empty() && teams + n > MaxTeamsPerMessage)
            break;
        teams += n;
        if (n > 0)
            message.windows.push_back(id);
    }
    // Peers that have started at about the same time lack the same windows.
    std::vector<std::pair<uint64_t, std::string>> receivers;
    for (const auto &[name, peer] : m_peers) {
        if (peer.position == begin)
            receivers.emplace_back(peer.startOrder, name);
    }
    std::sort(receivers.rbegin(), receivers.rend());
    receivers.resize(std::min(receivers.size(), MaxPeersPerMessage));
    for (const auto &[startOrder, name] : receivers) {
        m_peers.at(name).position = position;
        message.peers.push_back(name);
    }
    return message;
}

} // namespace jujube::serving
