#include "policy/blockquarantine.h"

#include <algorithm>
#include <tuple>
#include <xxhash.h>

namespace jujube::policy {

namespace {

using core::Milliseconds;
using core::TimePoint;

// Crashes before a block is quarantined. A block that was answered within SuccessMemory has shown
// that it can be, so it needs more.
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
// A block that was answered before is tried again sooner, as the decision may be wrong while the
// whole fleet fails.
constexpr Milliseconds QuarantineTimeOfProvenBlock{30'000};
// Peers repeat a quarantine at least every two seconds.
constexpr Milliseconds HeardLifetime{6'000};
// Engines that are lost within this time have a cause in common that is no prompt, such as a
// network or a power supply.
constexpr Milliseconds SameFaultInterval{150};
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

void BlockQuarantine::addCrash(const BlockReport::Crash &crash, TimePoint now)
{
    if (crash.age >= EvidenceLifetime
        || (m_evidence.size() >= MaxSuspectedBlocks && !m_evidence.contains(crash.block)))
        return;
    Evidence &evidence = evidenceOf(crash.block, now);
    evidence.crashes.try_emplace(crash.engine, now - crash.age);
    evidence.position = std::max(evidence.position, crash.position);
}

void BlockQuarantine::recordCrash(const std::vector<uint64_t> &blocks, uint64_t engine,
                                  TimePoint now)
{
    for (uint32_t i = 0; i < blocks.size(); ++i)
        addCrash({blocks[i], engine, i, {}}, now);
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
        addCrash(it, now);
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

size_t BlockQuarantine::countCrashes(const Evidence &evidence, TimePoint since,
                                     const std::set<uint64_t> &explained)
{
    std::vector<TimePoint> times;
    for (const auto &[engine, at] : evidence.crashes) {
        if (at > since && !explained.contains(engine))
            times.push_back(at);
    }
    std::sort(times.begin(), times.end());
    size_t n = 0;
    TimePoint counted{};
    for (const TimePoint at : times) {
        if (n > 0 && at - counted < SameFaultInterval)
            continue;
        counted = at;
        ++n;
    }
    return n;
}

Milliseconds BlockQuarantine::quarantineTime(const Evidence &evidence) const
{
    return evidence.proven ? QuarantineTimeOfProvenBlock : QuarantineTime;
}

std::optional<TimePoint> BlockQuarantine::quarantinedUntil(const Evidence &evidence,
                                                           TimePoint now) const
{
    // An answer refutes each of the three, as a block that crashes engines has none.
    std::optional<TimePoint> until;
    const auto extend = [&](TimePoint since, TimePoint end) {
        if (since != TimePoint{} && evidence.clearedAt() <= since && end > now)
            until = std::max(until.value_or(end), end);
    };
    extend(evidence.decidedAt, evidence.decidedAt + quarantineTime(evidence));
    // The store removes an entry at its end.
    extend(evidence.storedAt, std::max(evidence.storedAt + QuarantineTime, now + HeardLifetime));
    extend(evidence.heardSince, evidence.heardAt + HeardLifetime);
    return until;
}

// Blocks that were never answered come first, then those that stand later in their prompts: prompts
// begin with what many of them share.
std::vector<BlockQuarantine::Candidate> BlockQuarantine::candidates(TimePoint now)
{
    std::vector<Candidate> result;
    for (auto &[block, evidence] : m_evidence) {
        const bool proven = lastSuccess(block, now) != TimePoint{};
        result.push_back(
            {block, &evidence, proven ? CrashesOfProvenBlock : CrashesOfUnprovenBlock});
    }
    std::sort(result.begin(), result.end(), [](const Candidate &a, const Candidate &b) {
        return std::tuple(a.needed, b.evidence->position, a.block)
            < std::tuple(b.needed, a.evidence->position, b.block);
    });
    return result;
}

std::vector<uint64_t> BlockQuarantine::update(TimePoint now)
{
    expire(now);
    std::vector<uint64_t> begun;
    std::set<uint64_t> explained;
    for (const Candidate &it : candidates(now)) {
        Evidence &evidence = *it.evidence;
        const TimePoint since = std::max(lastSuccess(it.block, now), evidence.forgivenAt);
        const bool decided = evidence.decidedAt != TimePoint{};
        if (countCrashes(evidence, since, explained) < it.needed) {
            // Without crashes left to judge by, a decision stands until its end.
            if (decided && countCrashes(evidence, since, {}) >= it.needed) {
                evidence.decidedAt = {};
                evidence.forgivenAt = now;
            }
            continue;
        }
        TimePoint first = now;
        for (const auto &[engine, at] : evidence.crashes) {
            if (at <= since)
                continue;
            explained.insert(engine);
            first = std::min(first, at);
        }
        if (!decided && now - first >= DecisionDelay) {
            evidence.decidedAt = now;
            evidence.proven = it.needed == CrashesOfProvenBlock;
            begun.push_back(it.block);
        }
    }
    return begun;
}

void BlockQuarantine::expire(TimePoint now)
{
    for (auto it = m_evidence.begin(); it != m_evidence.end();) {
        Evidence &evidence = it->second;
        std::erase_if(evidence.crashes,
                      [&](const auto &crash) { return now - crash.second >= EvidenceLifetime; });
        if (evidence.decidedAt != TimePoint{}
            && (now - evidence.decidedAt >= quarantineTime(evidence)
                || evidence.lastSuccessAt > evidence.decidedAt)) {
            evidence.decidedAt = {};
            evidence.forgivenAt = now;
        }
        const bool heard =
            evidence.heardAt != TimePoint{} && now - evidence.heardAt < HeardLifetime;
        const bool needless = evidence.crashes.empty() && evidence.decidedAt == TimePoint{}
            && evidence.storedAt == TimePoint{} && !heard;
        it = needless ? m_evidence.erase(it) : std::next(it);
    }
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
        && countCrashes(it->second, success, {}) >= CrashesBeforeNoRetry;
    });
}

std::vector<uint64_t> BlockQuarantine::lasting() const
{
    std::vector<uint64_t> blocks;
    for (const auto &[block, evidence] : m_evidence) {
        if (evidence.decidedAt != TimePoint{} && !evidence.proven)
            blocks.push_back(block);
    }
    return blocks;
}

bool BlockQuarantine::refuted(uint64_t block) const
{
    const auto it = m_evidence.find(block);
    return it != m_evidence.end() && it->second.storedAt != TimePoint{}
    && it->second.clearedAt() > it->second.storedAt;
}

BlockReport BlockQuarantine::report(TimePoint now) const
{
    BlockReport report;
    for (const auto &[block, evidence] : m_evidence) {
        for (const auto &[engine, at] : evidence.crashes)
            report.crashes.push_back({block, engine, evidence.position, age(at, now)});
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
