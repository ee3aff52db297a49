#include "policy/blockquarantine.h"

#include <algorithm>
#include <xxhash.h>

namespace jujube::policy {

namespace {

using core::Milliseconds;
using core::TimePoint;

// Engines that a block has to end before it is quarantined. A block that was answered within
// SuccessMemory has shown that it can be, so it needs more.
constexpr size_t CrashesOfUnprovenBlock = 3;
constexpr size_t CrashesOfProvenBlock = 6;
// Engines that a prompt's blocks may have ended for the prompt to be sent again after a loss.
constexpr size_t CrashesBeforeNoRetry = 2;
// From the first crash to the decision: answers of other gateways become known in this time.
constexpr Milliseconds DecisionDelay{300};
constexpr Milliseconds EvidenceLifetime{60'000};
constexpr Milliseconds SuccessMemory{60'000};
// After it a block is sent again, in case that the engines' software has been replaced.
constexpr Milliseconds QuarantineTime{600'000};
// Peers repeat a quarantine at least every two seconds.
constexpr Milliseconds HeardLifetime{6'000};
// Several engines lost at almost the same time point at the network of this gateway.
constexpr Milliseconds SameFaultInterval{30};
constexpr size_t MaxSuspectedBlocks = 1'024;
constexpr size_t MaxRememberedSuccesses = 8'192;
// A success is recorded once in this interval, as busy blocks have hundreds per second.
constexpr Milliseconds SuccessInterval{1'000};
constexpr size_t MaxReportedItems = 64;

Milliseconds age(TimePoint at, TimePoint now)
{
    return std::max(std::chrono::duration_cast<Milliseconds>(now - at), Milliseconds(0));
}

} // namespace

uint64_t blockKey(std::string_view service, uint64_t blockId)
{
    return XXH3_64bits_withSeed(service.data(), service.size(), blockId);
}

BlockQuarantine::Evidence &BlockQuarantine::evidenceOf(uint64_t block, TimePoint now)
{
    const auto [it, added] = m_evidence.try_emplace(block);
    if (added)
        it->second.lastSuccessAt = lastSuccess(block, now);
    return it->second;
}

TimePoint BlockQuarantine::lastSuccess(uint64_t block, TimePoint now) const
{
    TimePoint last{};
    if (const auto it = m_successes.find(block); it != m_successes.end())
        last = it->second;
    if (const auto it = m_evidence.find(block); it != m_evidence.end())
        last = std::max(last, it->second.lastSuccessAt);
    return last != TimePoint{} && now - last < SuccessMemory ? last : TimePoint{};
}

void BlockQuarantine::addCrash(uint64_t block, uint64_t engine, TimePoint at, TimePoint now)
{
    if (now - at >= EvidenceLifetime
        || (m_evidence.size() >= MaxSuspectedBlocks && !m_evidence.contains(block)))
        return;
    evidenceOf(block, now).crashes.try_emplace(engine, at);
}

void BlockQuarantine::recordCrash(const std::vector<uint64_t> &blocks, uint64_t engine,
                                  TimePoint now)
{
    for (const uint64_t block : blocks) {
        const auto known = m_evidence.find(block);
        if (known != m_evidence.end() && known->second.lastOwnCrashAt != TimePoint{}
            && now - known->second.lastOwnCrashAt < SameFaultInterval)
            continue;
        addCrash(block, engine, now, now);
        if (const auto it = m_evidence.find(block); it != m_evidence.end())
            it->second.lastOwnCrashAt = now;
    }
}

void BlockQuarantine::recordSuccess(const std::vector<uint64_t> &blocks, TimePoint now)
{
    for (const uint64_t block : blocks) {
        TimePoint &last = m_successes[block];
        if (last == TimePoint{} || now - last >= SuccessInterval)
            m_successOrder.emplace_back(now, block);
        last = now;
        if (const auto it = m_evidence.find(block); it != m_evidence.end())
            it->second.lastSuccessAt = now;
    }
    while (!m_successOrder.empty()
           && (m_successOrder.size() > MaxRememberedSuccesses
               || now - m_successOrder.front().first >= SuccessMemory)) {
        const auto [at, block] = m_successOrder.front();
        m_successOrder.pop_front();
        if (const auto it = m_successes.find(block);
            it != m_successes.end() && it->second - at < SuccessInterval)
            m_successes.erase(it);
    }
}

void BlockQuarantine::merge(const BlockReport &report, TimePoint now)
{
    for (const BlockReport::Crash &it : report.crashes)
        addCrash(it.block, it.engine, now - it.age, now);
    for (const BlockReport::Success &it : report.successes) {
        if (m_evidence.contains(it.block)) {
            Evidence &evidence = m_evidence[it.block];
            evidence.lastSuccessAt = std::max(evidence.lastSuccessAt, now - it.age);
        }
    }
    for (const uint64_t block : report.quarantined) {
        if (m_evidence.size() >= MaxSuspectedBlocks && !m_evidence.contains(block))
            continue;
        Evidence &evidence = evidenceOf(block, now);
        if (evidence.heardAt == TimePoint{} || now - evidence.heardAt >= HeardLifetime)
            evidence.heardSince = now;
        evidence.heardAt = now;
    }
}

void BlockQuarantine::setStored(uint64_t block, bool stored, TimePoint now)
{
    if (!stored) {
        if (const auto it = m_evidence.find(block); it != m_evidence.end())
            it->second.storedAt = {};
        return;
    }
    Evidence &evidence = evidenceOf(block, now);
    if (evidence.storedAt == TimePoint{})
        evidence.storedAt = now;
}

std::vector<TimePoint> BlockQuarantine::crashesSince(const Evidence &evidence, TimePoint since)
{
    std::vector<TimePoint> result;
    for (const auto &[engine, at] : evidence.crashes) {
        if (at > since)
            result.push_back(at);
    }
    return result;
}

std::optional<TimePoint> BlockQuarantine::quarantinedUntil(const Evidence &evidence,
                                                           TimePoint now) const
{
    // A complete answer refutes each of the three, as a block that crashes engines has none.
    std::optional<TimePoint> until;
    const auto extend = [&](TimePoint since, TimePoint end) {
        if (since != TimePoint{} && evidence.lastSuccessAt <= since && end > now)
            until = std::max(until.value_or(end), end);
    };
    extend(evidence.decidedAt, evidence.decidedAt + QuarantineTime);
    // The store removes an entry at its end.
    extend(evidence.storedAt, std::max(evidence.storedAt + QuarantineTime, now + HeardLifetime));
    extend(evidence.heardSince, evidence.heardAt + HeardLifetime);
    return until;
}

std::vector<uint64_t> BlockQuarantine::update(TimePoint now)
{
    std::vector<uint64_t> begun;
    for (auto it = m_evidence.begin(); it != m_evidence.end();) {
        Evidence &evidence = it->second;
        std::erase_if(evidence.crashes,
                      [&](const auto &crash) { return now - crash.second >= EvidenceLifetime; });
        const bool decided = evidence.decidedAt != TimePoint{};
        if (decided
            && (now - evidence.decidedAt >= QuarantineTime
                || evidence.lastSuccessAt > evidence.decidedAt))
            evidence.decidedAt = {};
        const TimePoint success = lastSuccess(it->first, now);
        const auto crashes = crashesSince(evidence, success);
        const size_t needed =
            success == TimePoint{} ? CrashesOfUnprovenBlock : CrashesOfProvenBlock;
        if (!decided && crashes.size() >= needed
            && now - *std::min_element(crashes.begin(), crashes.end()) >= DecisionDelay) {
            evidence.decidedAt = now;
            begun.push_back(it->first);
        }
        const bool heard =
            evidence.heardAt != TimePoint{} && now - evidence.heardAt < HeardLifetime;
        const bool needless = evidence.crashes.empty() && evidence.decidedAt == TimePoint{}
            && evidence.storedAt == TimePoint{} && !heard;
        it = needless ? m_evidence.erase(it) : std::next(it);
    }
    return begun;
}

std::optional<Milliseconds> BlockQuarantine::timeLeft(const std::vector<uint64_t> &blocks,
                                                      TimePoint now) const
{
    std::optional<Milliseconds> longest;
    for (const uint64_t block : blocks) {
        const auto it = m_evidence.find(block);
        if (it == m_evidence.end())
            continue;
        if (const auto until = quarantinedUntil(it->second, now))
            longest = std::max(longest.value_or(Milliseconds(0)),
                               std::chrono::ceil<Milliseconds>(*until - now));
    }
    return longest;
}

bool BlockQuarantine::suspects(const std::vector<uint64_t> &blocks, TimePoint now) const
{
    return std::any_of(blocks.begin(), blocks.end(), [&](uint64_t block) {
        const auto it = m_evidence.find(block);
        if (it == m_evidence.end())
            return false;
        const TimePoint success = lastSuccess(block, now);
        return success == TimePoint{}
        && crashesSince(it->second, success).size() >= CrashesBeforeNoRetry;
    });
}

std::vector<uint64_t> BlockQuarantine::decided() const
{
    std::vector<uint64_t> blocks;
    for (const auto &[block, evidence] : m_evidence) {
        if (evidence.decidedAt != TimePoint{})
            blocks.push_back(block);
    }
    return blocks;
}

bool BlockQuarantine::refuted(uint64_t block) const
{
    const auto it = m_evidence.find(block);
    return it != m_evidence.end() && it->second.storedAt != TimePoint{}
    && it->second.lastSuccessAt > it->second.storedAt;
}

BlockReport BlockQuarantine::report(TimePoint now) const
{
    BlockReport report;
    for (const auto &[block, evidence] : m_evidence) {
        for (const auto &[engine, at] : evidence.crashes)
            report.crashes.push_back({block, engine, age(at, now)});
        if (const TimePoint success = lastSuccess(block, now); success != TimePoint{})
            report.successes.push_back({block, age(success, now)});
        // What was only heard is not repeated, as it would never end.
        if ((evidence.decidedAt != TimePoint{} || evidence.storedAt != TimePoint{})
            && quarantinedUntil(evidence, now) && report.quarantined.size() < MaxReportedItems)
            report.quarantined.push_back(block);
    }
    const auto keepNewest = [](auto &items) {
        std::sort(items.begin(), items.end(),
                  [](const auto &a, const auto &b) { return a.age < b.age; });
        if (items.size() > MaxReportedItems)
            items.resize(MaxReportedItems);
    };
    keepNewest(report.crashes);
    keepNewest(report.successes);
    return report;
}

} // namespace jujube::policy
