#include "http/outputbudget.h"

#include <algorithm>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace jujube::http {

namespace {

// With n connections at their limits, 1 of FreeDivisor + n parts of the bound stays free. One slow
// client gets a ninth of it, 100 get 92 percent together.
constexpr size_t FreeDivisor = 8;
// A source continues when this much was sent: a client of 10 KB/s then leaves its endpoint unread
// for 3 s, and for 25 s if all of the largest limit had to be sent, for which endpoints give up.
constexpr size_t RefillBytes = 32UL << 10U;

} // namespace

size_t OutputBudget::connectionLimit() const
{
    const size_t free = m_maxBytes - std::min(m_maxBytes, m_usedBytes);
    return std::clamp(free / FreeDivisor, MinConnectionBytes, MaxConnectionBytes);
}

// The reserve of a connection does not count, so that the many quick streams, which hold an event
// for a moment, do not lower the limits, and streams at the least limit do not exceed the bound.
size_t OutputShare::counted(size_t bytes)
{
    return bytes - std::min(bytes, OutputBudget::ReservedBytes);
}

void OutputShare::set(size_t bytes)
{
    if (m_budget)
        m_budget->m_usedBytes = m_budget->m_usedBytes - counted(m_bytes) + counted(bytes);
    m_bytes = bytes;
}

size_t OutputShare::limit() const
{
    return m_budget ? m_budget->connectionLimit() : OutputBudget::MaxConnectionBytes;
}

bool OutputShare::drained() const
{
    const size_t most = limit();
    return m_bytes + std::min(RefillBytes, most / 2) <= most;
}

void SlowSendBudget::enforce()
{
    while (m_usedBytes > m_maxBytes) {
        SlowSendShare *share = nextToGiveUp();
        if (!share)
            return;
        share->release();
        share->m_onGivenUp();
    }
}

// The peer that holds the most is given up first, so that one peer cannot displace requests to
// others. Exceeding the bound is rare, so a search is cheaper than sums that are kept up to date.
SlowSendShare *SlowSendBudget::nextToGiveUp() const
{
    std::unordered_map<std::string_view, size_t> byPeer;
    for (const SlowSendShare *it : m_shares)
        byPeer[it->m_peer] += it->m_bytes;
    const auto best = std::max_element(
        m_shares.begin(), m_shares.end(), [&](const SlowSendShare *a, const SlowSendShare *b) {
            const size_t ofA = byPeer[a->m_peer];
            const size_t ofB = byPeer[b->m_peer];
            return ofA != ofB ? ofA < ofB : a->m_slowSince > b->m_slowSince;
        });
    return best == m_shares.end() ? nullptr : *best;
}

void SlowSendShare::set(size_t bytes, core::TimePoint now)
{
    if (!m_budget)
        return;
    if (bytes == 0) {
        release();
        return;
    }
    if (m_bytes == 0)
        m_slowSince = now;
    m_budget->m_usedBytes = m_budget->m_usedBytes - m_bytes + bytes;
    m_bytes = bytes;
    m_budget->m_shares.insert(this);
    m_budget->enforce();
}

void SlowSendShare::release()
{
    if (m_bytes == 0)
        return;
    m_budget->m_usedBytes -= std::exchange(m_bytes, 0);
    m_budget->m_shares.erase(this);
}

} // namespace jujube::http
