#include "policy/quotaledger.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jujube::policy {

namespace {

using core::Milliseconds;
using core::TimePoint;

// Lets a team that uses its whole quota do so although levels are stated slightly late.
constexpr double BonusShare = 0.2;
// A peer that is silent for longer is not counted: it admits nothing after 15 s.
constexpr Milliseconds MembershipTime{20'000};
// A gap up to this long, such as lost messages or a short stall of this process, is made up for. A
// longer one only offsets what the peer has charged by itself: added as a whole, the unused parts
// of several peers could all be spent in one window.
constexpr Milliseconds MaxFilledGap{2'000};
// Time in which a peer states all its counts to a ledger that is new to it.
constexpr Milliseconds BaselineTime{4'000};
// Peers known at this age of the ledger may be older than it.
constexpr Milliseconds StartTime{20'000};
// A process that starts may read an outdated configuration first.
constexpr Milliseconds ConfigurationTime{3'000};
// Within this time a process that has just started usually hears the levels from a peer.
constexpr Milliseconds AdoptionTime{1'000};
// Repeats a count in 16 summaries, as the receiver may have missed some.
constexpr Milliseconds CountRepeatTime{400};

double seconds(TimePoint::duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

double QuotaRate::margin(const QuotaTerms &terms) const
{
    return terms.overrun * (perSecond * seconds(terms.window) + burst) + terms.slack;
}

double QuotaRate::mostInWindow(const QuotaTerms &terms) const
{
    return perSecond * seconds(terms.window) + burst + margin(terms);
}

double QuotaRate::capacity(const QuotaTerms &terms) const
{
    return burst + BonusShare * margin(terms);
}

QuotaLedger::QuotaLedger(QuotaTerms terms, bool full, TimePoint now)
    : m_terms(terms), m_full(full), m_startedAt(now), m_advancedAt(now)
{
}

void QuotaLedger::setQuota(uint64_t team, const std::optional<QuotaRate> &quota, TimePoint now)
{
    const auto it = m_buckets.find(team);
    if (it == m_buckets.end() && !quota)
        return;
    advance(now);
    Bucket &bucket = m_buckets[team];
    fill(bucket);
    const bool isNew = !bucket.quota;
    const double addedBurst =
        quota && !isNew ? std::max(0.0, quota->burst - bucket.quota->burst) : 0.0;
    bucket.quota = quota;
    if (!quota)
        return;
    bucket.margin = quota->margin(m_terms);
    bucket.capacity = quota->capacity(m_terms);
    if (isNew) {
        const bool starts = !m_configured || now - m_startedAt < ConfigurationTime;
        bucket.mayAdopt = starts && !m_full;
        bucket.level = bucket.mayAdopt ? 0 : bucket.capacity;
        bucket.createdAt = now;
    }
    bucket.level = std::min(bucket.level + addedBurst, bucket.capacity);
}

const QuotaRate *QuotaLedger::quota(uint64_t team) const
{
    const auto it = m_buckets.find(team);
    return it == m_buckets.end() || !it->second.quota ? nullptr : &*it->second.quota;
}

void QuotaLedger::addGateway(uint64_t gateway, TimePoint now)
{
    const auto [it, isNew] = m_gateways.try_emplace(gateway);
    it->second.removed = false;
    if (!isNew)
        return;
    it->second.knownAt = now;
    it->second.mayBeOlder = !m_full && now - m_startedAt < StartTime;
}

// Keeps the counts: the gateway may only have been registered again.
void QuotaLedger::removeGateway(uint64_t gateway)
{
    if (const auto it = m_gateways.find(gateway); it != m_gateways.end())
        it->second.removed = true;
}

void QuotaLedger::setConnectionTimeout(Milliseconds timeout, TimePoint now)
{
    if (timeout == m_connectionTimeout)
        return;
    advance(now);
    m_connectionTimeout = timeout;
}

void QuotaLedger::noteHeard(uint64_t gateway, uint64_t run, TimePoint now)
{
    addGateway(gateway, now);
    Gateway &peer = m_gateways.at(gateway);
    if (run == peer.previousRun)
        return;
    advance(now);
    if (peer.run != run) {
        const bool restarted = peer.run != 0;
        peer.mayBeOlder = peer.mayBeOlder && !restarted;
        peer.previousRun = peer.run;
        peer.run = run;
        peer.sequence = 0;
        peer.runKnownAt = m_newPeerAt = now;
        peer.complete = false;
        peer.counts.clear();
    }
    if (peer.filledUntil == TimePoint{}) {
        peer.filledUntil = now;
    } else if (now - peer.filledUntil > MaxFilledGap) {
        const TimePoint::duration gap =
            std::min<TimePoint::duration>(now - peer.filledUntil, MembershipTime);
        peer.allowance = seconds(gap) / memberCount(now);
        peer.filledUntil = now;
    }
    peer.heardAt = now;
}

void QuotaLedger::apply(const QuotaReport &report, TimePoint now)
{
    noteHeard(report.gateway, report.run, now);
    Gateway &from = m_gateways.at(report.gateway);
    if (report.run != from.run || report.sequence <= from.sequence)
        return;
    from.sequence = report.sequence;
    advance(now);
    const double allowance = std::exchange(from.allowance, 0);
    for (const QuotaCount &it : report.counts)
        applyCount(from, it, allowance, now);
    from.complete = from.complete || !report.levels.empty();
    adopt(report.levels, now);
}

void QuotaLedger::applyCount(Gateway &from, const QuotaCount &count, double allowance,
                             TimePoint now)
{
    const auto bucket = m_buckets.find(count.team);
    const auto [known, isFirst] = from.counts.try_emplace(count.team, Count{0, now});
    // What a peer has charged before this ledger was created is in the levels it starts with.
    if (isFirst && from.mayBeOlder && !from.complete && now - from.runKnownAt < BaselineTime) {
        known->second.tokens = count.tokens;
        return;
    }
    double added = static_cast<double>(count.tokens) - static_cast<double>(known->second.tokens);
    if (added == 0)
        return;
    known->second = {count.tokens, now};
    if (bucket == m_buckets.end() || !bucket->second.quota)
        return;
    Bucket &it = bucket->second;
    // A first count that includes old charges must not stop the team for long.
    if (isFirst)
        added = std::min(added, it.capacity + it.margin);
    fill(it);
    const double alone = std::clamp(added, 0.0, allowance * it.quota->perSecond);
    it.level = std::min(it.level + alone - added, it.capacity);
}

void QuotaLedger::adopt(std::span<const QuotaLevel> levels, TimePoint now)
{
    if (m_full || now - m_startedAt > StartTime)
        return;
    advance(now);
    for (const QuotaLevel &it : levels) {
        const auto bucket = m_buckets.find(it.team);
        if (bucket == m_buckets.end() || !bucket->second.mayAdopt)
            continue;
        Bucket &own = bucket->second;
        fill(own);
        own.level = std::min(static_cast<double>(it.level), own.capacity) - own.charged;
        own.mayAdopt = false;
    }
}

void QuotaLedger::charge(uint64_t team, double tokens, TimePoint now)
{
    const auto it = m_buckets.find(team);
    if (it == m_buckets.end() || !it->second.quota)
        return;
    advance(now);
    fill(it->second);
    it->second.level = std::min(it->second.level - tokens, it->second.capacity);
    it->second.charged += it->second.mayAdopt ? tokens : 0;
}

double QuotaLedger::level(uint64_t team, TimePoint now)
{
    const auto it = m_buckets.find(team);
    if (it == m_buckets.end())
        return 0;
    advance(now);
    fill(it->second);
    return it->second.level;
}

bool QuotaLedger::awaitsLevel(uint64_t team, TimePoint now) const
{
    const auto it = m_buckets.find(team);
    return it != m_buckets.end() && it->second.mayAdopt && hasPeers()
        && now - it->second.createdAt < AdoptionTime;
}

bool QuotaLedger::awaitsAnyLevel(TimePoint now) const
{
    return std::any_of(m_buckets.begin(), m_buckets.end(),
                       [&](const auto &it) { return awaitsLevel(it.first, now); });
}

bool QuotaLedger::empty() const
{
    return std::none_of(m_buckets.begin(), m_buckets.end(),
                        [](const auto &it) { return it.second.quota.has_value(); });
}

std::vector<QuotaLevel> QuotaLedger::levelsFor(uint64_t gateway, TimePoint now)
{
    advance(now);
    const auto peer = m_gateways.find(gateway);
    std::vector<QuotaLevel> levels;
    for (auto &[team, bucket] : m_buckets) {
        if (!bucket.quota)
            continue;
        fill(bucket);
        QuotaLevel level{team, static_cast<int64_t>(std::floor(bucket.level)), 0};
        bool isNews = bucket.level < UnstatedShare * bucket.capacity;
        if (peer != m_gateways.end()) {
            const auto count = peer->second.counts.find(team);
            if (count != peer->second.counts.end()) {
                level.includedTokens = count->second.tokens;
                isNews = isNews || now - count->second.changedAt < CountRepeatTime;
            }
        }
        if (isNews)
            levels.push_back(level);
    }
    return levels;
}

std::vector<QuotaLevel> QuotaLedger::allLevels(TimePoint now)
{
    advance(now);
    std::vector<QuotaLevel> levels;
    for (auto &[team, bucket] : m_buckets) {
        fill(bucket);
        if (bucket.quota)
            levels.push_back({team, static_cast<int64_t>(std::floor(bucket.level)), 0});
    }
    return levels;
}

uint32_t QuotaLedger::memberCount(TimePoint now) const
{
    return 1
        + static_cast<uint32_t>(
               std::count_if(m_gateways.begin(), m_gateways.end(),
                             [&](const auto &it) { return isMember(it.second, now); }));
}

bool QuotaLedger::isMember(const Gateway &gateway, TimePoint now) const
{
    if (gateway.removed && !isConnected(gateway, now))
        return false;
    return now - std::max(gateway.heardAt, gateway.knownAt) <= MembershipTime;
}

bool QuotaLedger::isConnected(const Gateway &gateway, TimePoint now) const
{
    return gateway.run != 0 && now - gateway.heardAt <= m_connectionTimeout;
}

bool QuotaLedger::hasPeers() const
{
    return std::any_of(m_gateways.begin(), m_gateways.end(),
                       [](const auto &it) { return !it.second.removed; });
}

uint64_t QuotaLedger::runOf(uint64_t gateway) const
{
    const auto it = m_gateways.find(gateway);
    return it == m_gateways.end() ? 0 : it->second.run;
}

bool QuotaLedger::anyConnected(TimePoint now) const
{
    return std::any_of(m_gateways.begin(), m_gateways.end(),
                       [&](const auto &it) { return isConnected(it.second, now); });
}

std::vector<uint64_t> QuotaLedger::connectedPeers(TimePoint now) const
{
    std::vector<uint64_t> peers;
    for (const auto &[name, gateway] : m_gateways) {
        if (isConnected(gateway, now))
            peers.push_back(name);
    }
    return peers;
}

// Each member adds its part of the rates up to the end of its connection.
void QuotaLedger::advance(TimePoint now)
{
    if (now <= m_advancedAt)
        return;
    const double part = 1.0 / memberCount(now);
    // After a suspension of this process, its own part is not made up for.
    if (now - m_advancedAt <= MaxFilledGap)
        m_fill += part * seconds(now - m_advancedAt);
    m_advancedAt = now;
    for (auto &[name, gateway] : m_gateways) {
        if (gateway.run == 0)
            continue;
        const TimePoint until = std::min(now, gateway.heardAt + m_connectionTimeout);
        if (until <= gateway.filledUntil)
            continue;
        m_fill += part * seconds(until - gateway.filledUntil);
        gateway.filledUntil = until;
    }
}

void QuotaLedger::fill(Bucket &bucket) const
{
    const double time = m_fill - std::exchange(bucket.filledTo, m_fill);
    if (bucket.quota)
        bucket.level =
            std::min(bucket.level + std::max(0.0, time) * bucket.quota->perSecond, bucket.capacity);
}

} // namespace jujube::policy
