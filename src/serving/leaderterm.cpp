#include "serving/leaderterm.h"

namespace jujube::serving {

namespace {

// 2^32 revisions last 470 years at 25,000 changes a day; 2^21 eras last 5,700 years at one restore
// a day.
constexpr uint32_t RevisionBits = 32;
constexpr uint32_t EraBits = 21;

} // namespace

std::optional<uint64_t> fencingTokenOf(const StoreVersion &key)
{
    if (key.revision >> RevisionBits != 0 || key.era >> EraBits != 0)
        return std::nullopt;
    return key.era << RevisionBits | key.revision;
}

bool LeaderTerm::acquire(const StoreVersion &key, core::TimePoint requestedAt)
{
    const auto token = fencingTokenOf(key);
    if (!token)
        return false;
    m_key = key;
    m_token = *token;
    m_validUntil = requestedAt + m_leaseTime;
    return true;
}

void LeaderTerm::endTerm(core::TimePoint now)
{
    m_key = {};
    m_token = 0;
    m_validUntil = {};
    m_mayActFrom = now + m_leaseTime;
}

} // namespace jujube::serving
