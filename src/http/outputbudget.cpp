#include "http/outputbudget.h"

#include <algorithm>

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

} // namespace jujube::http
