#include "policy/memoryturns.h"

#include <algorithm>
#include <xxhash.h>

namespace jujube::policy {

namespace {

// Load reaches the other gateways through the hub within about 200 ms.
constexpr uint64_t TurnMs = 300;
constexpr uint64_t UsablePartMs = 100;
// Covers the delay in both of two buckets.
constexpr core::Milliseconds UnseenTime{200};

uint64_t hashOf(std::string_view text, uint64_t seed = 0)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

} // namespace

void MemoryTurns::setMembers(const std::string &self, const std::vector<std::string> &members)
{
    m_self = hashOf(self);
    m_others.clear();
    for (const std::string &it : members) {
        if (it != self)
            m_others.push_back(hashOf(it));
    }
}

// The turns of the engines start at different times, so that a waiting request does not have to
// wait for one common start.
bool MemoryTurns::hasTurn(std::string_view engine, core::Milliseconds wallTime) const
{
    if (m_others.empty())
        return true;
    const uint64_t shift = hashOf(engine) % TurnMs;
    const uint64_t ms = static_cast<uint64_t>(wallTime.count()) + shift;
    if (ms % TurnMs >= UsablePartMs)
        return false;
    const uint64_t turn = hashOf(engine, ms / TurnMs);
    const auto scoreOf = [turn](uint64_t member) {
        return XXH3_64bits_withSeed(&member, sizeof(member), turn);
    };
    const uint64_t own = scoreOf(m_self);
    return std::none_of(m_others.begin(), m_others.end(),
                        [&](uint64_t it) { return scoreOf(it) > own; });
}

void UnseenTokens::note(uint64_t tokens, core::TimePoint now)
{
    if (now - m_since >= UnseenTime) {
        m_before = now - m_since < 2 * UnseenTime ? m_current : 0;
        m_current = 0;
        m_since = now;
    }
    m_current += tokens;
}

uint64_t UnseenTokens::sum(core::TimePoint now) const
{
    const auto age = now - m_since;
    if (age < UnseenTime)
        return m_current + m_before;
    return age < 2 * UnseenTime ? m_current : 0;
}

} // namespace jujube::policy
