#include "http/outputbudget.h"

#include <algorithm>

namespace jujube::http {

namespace {

// With n connections at their limits, 1 of FreeDivisor + n parts of the bound stays free. One slow
// client gets a ninth of it, 100 get 92 percent together.
constexpr size_t FreeDivisor = 8;

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

// A source that continues only when all is sent would leave its endpoint unread for as long as a
// slow client takes for the whole limit, and the endpoint would give up.
bool OutputShare::drained() const
{
    return m_bytes <= std::max(OutputBudget::MinConnectionBytes, limit() / 2);
}

} // namespace jujube::http
