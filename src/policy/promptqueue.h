#pragma once

/** \file
 * Defines the queue of prompts that wait to be dispatched to an engine for prefill.
 */

#include "policy/placement.h"
#include "policy/teamshares.h"

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jujube::policy {

/** A prompt that waits for prefill. */
struct WaitingPrompt
{
    uint64_t id = 0;
    std::string routeName; ///< Route of the request; prompts of one route have similar sizes.
    uint32_t rank = 0;     ///< Urgency; 0 is the most urgent.
    std::string team;
    double expectedOutputTokens = 0;
    PromptInfo info;
    core::TimePoint arrivedAt{};
    core::TimePoint firstTokenDueAt{};   ///< Arrival plus the objective for the first token.
    core::TimePoint deadlineAt{};        ///< After this an answer is of no use.
    std::set<std::string> failedEngines; ///< Engines that failed this prompt before.
};

struct PromptQueueSettings
{
    /** Backlog of prompt tokens up to which an engine of usual speed is sent further prompts:
     * enough to keep it busy until its next answer arrives, and small enough that an urgent prompt
     * does not wait long behind earlier ones. */
    double maxBacklogTokens = 6'000;
    /** The same for a decode engine that prefills its own prompts. */
    double maxColocatedBacklogTokens = 1'800;
    double rankFactor = 2; ///< Factor by which one rank raises the ordering key.
    /** Factor for prompts that miss their objective, so that others of similar size go first. */
    double lateFactor = 4;
    /** Share of the slots of all decode engines in use up to which prompts are dispatched. Above
     * it a prefilled prompt would wait at a full engine, where a more urgent one cannot overtake
     * it. */
    double maxDecodeSlotUse = 0.95;
    /** Prompts examined per call when the first ones wait for a busy engine. */
    size_t maxScannedPrompts = 24;
    core::Milliseconds firstTokenDelay{150}; ///< Time from the end of prefill to the first token.
    /** Whether prompts of teams beyond an equal share of the engine time go later while prompts
     * wait. */
    bool sharesByTeam = false;
};

/** A prompt taken from the queue, with the engine chosen for it. */
struct PromptDispatch
{
    WaitingPrompt prompt;
    PrefillChoice choice;
    /** For the engine's queue: from 0, served first, to LowestEnginePriority. */
    uint32_t priority = 0;
    /** Overuse of the prompt's team by which it was ordered; 1: it was not delayed by that. */
    double overuse = 1;
};

/** Queue of the prompts that wait for prefill at one gateway.
 *
 * Prompts are ordered by the mean size of their route, weighted by rank: under overload, small and
 * urgent prompts yield more answers in time for the same engine time. Within a route the order is
 * first come, first served. A prompt that misses its objective is moved behind those that can still
 * meet theirs, but stays ahead of much larger ones, because it can still be answered before its
 * deadline.
 *
 * With PromptQueueSettings::sharesByTeam, the key is multiplied by the overuse of the prompt's team
 * while prompts wait: from a round of dispatches that leaves some until the queue is empty. The
 * limit of the overuse and the expiry of prompts keep every team served.
 */
class PromptQueue
{
public:
    explicit PromptQueue(PromptQueueSettings settings);

    void add(WaitingPrompt prompt);
    /** Removes the prompt of a request that ended. Returns false if it is not queued. */
    bool remove(uint64_t id);

    /** Returns the number of tokens of a prompt that each engine holds in its cache. */
    using CachedTokens = std::function<std::vector<uint32_t>(const WaitingPrompt &)>;
    /** Removes and returns the next prompt that an engine has room for.
     *
     * \param engines candidates; their cachedTokens are set from \a cached for each examined
     * prompt.
     */
    std::optional<PromptDispatch> takeNext(std::vector<PlacementCandidate> &engines,
                                           const CachedTokens &cached,
                                           const PlacementSettings &placement, core::TimePoint now,
                                           std::mt19937_64 &random);
    /** Ends a round of dispatches: the prompts that are left wait for an engine. */
    void endRound() { m_promptsWait = !m_waiting.empty(); }
    /** Removes the prompts that cannot meet their deadline and returns their ids. */
    std::vector<uint64_t> takeExpired(core::TimePoint now);
    /** Returns the expected time until a prompt that arrives now would be dispatched.
     *
     * \param tokensPerSecond prefill rate of all engines that is available to this gateway.
     */
    core::Milliseconds expectedWait(const WaitingPrompt &prompt, double tokensPerSecond,
                                    core::TimePoint now) const;

    /** Factor by which the overuse of a team raises the keys of its prompts now. */
    double overuse(const std::string &team, core::TimePoint now) const;
    /** Null without PromptQueueSettings::sharesByTeam. */
    TeamShares *teamShares() const { return m_teamShares ? &*m_teamShares : nullptr; }

    size_t size() const { return m_waiting.size(); }
    double waitingTokens() const;

    /** Whether the backlog of an engine permits further prompts. */
    bool hasRoom(const PlacementCandidate &engine) const;
    /** Priority at an engine that a prompt would be sent with. */
    uint32_t priorityOf(const WaitingPrompt &prompt, core::TimePoint now) const;

private:
    bool decodeHasRoom(const std::vector<PlacementCandidate> &engines) const;
    /** Returns the best prefill engine with room if a prompt is prefilled there sooner than after
     * waiting for room at the chosen engine. \param waitMs expected wait. */
    std::optional<PrefillChoice> chooseInstead(const PrefillChoice &choice, double waitMs,
                                               std::vector<PlacementCandidate> engines,
                                               const PromptInfo &info,
                                               const PlacementSettings &placement,
                                               std::mt19937_64 &random) const;
    /** The part of the ordering key that does not change while a prompt waits. */
    double sizeKey(const WaitingPrompt &prompt) const;
    double orderingKey(const WaitingPrompt &prompt, core::TimePoint now) const;

    PromptQueueSettings m_settings;
    std::list<WaitingPrompt> m_waiting; ///< In order of arrival.
    std::map<std::string, double> m_meanTokens;
    mutable std::optional<TeamShares> m_teamShares; ///< Updates sums that it has cached when read.
    bool m_promptsWait = false; ///< The last round of dispatches left prompts in the queue.
};

} // namespace jujube::policy
