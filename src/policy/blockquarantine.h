#pragma once

/** \file
 * Defines the quarantine of prompt blocks that crash the engines which answer them.
 */

#include "core/clock.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jujube::policy {

/** What one gateway knows about blocks, for its peers. Ages are relative to the time of the report.
 */
struct BlockReport
{
    /** An engine was lost while it began to answer a prompt with this block. */
    struct Crash
    {
        uint64_t block = 0;
        uint64_t engine = 0;   ///< Identifies one incarnation of an engine.
        uint32_t position = 0; ///< Of the block in the prompt.
        core::Milliseconds age{};
    };
    /** An engine has sent an event of its answer to a prompt with this block. */
    struct Success
    {
        uint64_t block = 0;
        core::Milliseconds age{};
    };

    std::vector<Crash> crashes;
    std::vector<Success> successes; ///< Of blocks that are suspected only.
    std::vector<uint64_t> quarantined;
};

/** Identifies a block within a service; engines of another service may run other software. */
uint64_t blockKey(std::string_view service, uint64_t blockId);

/** Finds blocks that crash every engine which begins to answer a prompt with them.
 *
 * A lost run does not show which of its blocks was the cause, nor whether it was the cause at all:
 * a crash ends all runs of an engine. Only runs that had begun to answer and had not sent an event
 * are evidence. A block is quarantined after several crashes, one after the other, without an event
 * in between on any gateway. Blocks that are shared with sound prompts have events all the time, so
 * they are cleared again and again. Crashes that one block explains do not count against others.
 */
class BlockQuarantine
{
public:
    /** Records the loss of an engine by a run that had begun to answer without an event.
     * \param blocks in the order of the prompt. */
    void recordCrash(const std::vector<uint64_t> &blocks, uint64_t engine, core::TimePoint now);
    /** Records an event of an answer. */
    void recordSuccess(const std::vector<uint64_t> &blocks, core::TimePoint now);
    /** Applies the report of a peer. */
    void merge(const BlockReport &report, core::TimePoint now);
    /** Sets whether the platform's store holds the quarantine of a block. */
    void setStored(uint64_t block, bool stored, core::TimePoint now);

    /** Puts blocks into quarantine and ends expired ones; to be called several times per second.
     * \return the blocks whose quarantine begins by this gateway's own decision. */
    std::vector<uint64_t> update(core::TimePoint now);

    /** Returns for how long no prompt with one of the blocks is sent; nothing if it may be sent. */
    std::optional<core::Milliseconds> timeLeft(const std::vector<uint64_t> &blocks,
                                               core::TimePoint now) const;
    /** Whether a prompt that has lost its engine should not be given to another one. */
    bool suspects(const std::vector<uint64_t> &blocks, core::TimePoint now) const;
    /** Blocks that this gateway has put into quarantine and that gateways which start later have to
     * know. */
    std::vector<uint64_t> lasting() const;
    /** Whether the store holds a quarantine that has been refuted since. */
    bool refuted(uint64_t block) const;
    /** Returns what peers need to know, the newest first and bounded. */
    BlockReport report(core::TimePoint now) const;

private:
    struct Evidence
    {
        std::map<uint64_t, core::TimePoint> crashes; ///< By engine.
        uint32_t position = 0;
        core::TimePoint lastSuccessAt{};
        core::TimePoint forgivenAt{}; ///< Crashes up to this time no longer count.
        core::TimePoint decidedAt{};  ///< By this gateway.
        bool proven = false;          ///< When decided: it was answered shortly before.
        core::TimePoint storedAt{};   ///< When the store's entry was first seen.
        core::TimePoint heardAt{};    ///< When a peer last stated the quarantine.
        core::TimePoint heardSince{}; ///< When a peer first stated it without a gap.

        core::TimePoint clearedAt() const { return std::max(lastSuccessAt, forgivenAt); }
    };
    /** A suspected block and the number of crashes that puts it into quarantine. */
    struct Candidate
    {
        uint64_t block = 0;
        Evidence *evidence = nullptr;
        size_t needed = 0;
    };

    Evidence &evidenceOf(uint64_t block, core::TimePoint now);
    void addCrash(const BlockReport::Crash &crash, core::TimePoint now);
    /** Returns the time of the last event; TimePoint{} if it is too long ago. */
    core::TimePoint lastSuccess(uint64_t block, core::TimePoint now) const;
    /** Counts the crashes after a time that are not \a explained; several at almost the same time
     * count once. */
    static size_t countCrashes(const Evidence &evidence, core::TimePoint since,
                               const std::set<uint64_t> &explained);
    std::vector<Candidate> candidates(core::TimePoint now);
    void expire(core::TimePoint now);
    core::Milliseconds quarantineTime(const Evidence &evidence) const;
    std::optional<core::TimePoint> quarantinedUntil(const Evidence &evidence,
                                                    core::TimePoint now) const;

    std::unordered_map<uint64_t, Evidence> m_evidence;         ///< Of suspected blocks, by block.
    std::unordered_map<uint64_t, core::TimePoint> m_successes; ///< Of all blocks, by block.
    std::deque<std::pair<core::TimePoint, uint64_t>> m_successOrder; ///< Oldest first.
};

} // namespace jujube::policy
