#pragma once

/** \file
 * Defines the order in which waiting prompts are given to the engines that read them.
 */

#include "policy/placement.h"

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jujube::policy {

/** A prompt that waits to be read. */
struct WaitingPrompt
{
    uint64_t id = 0;
    std::string kind;  ///< Requests of one kind are of like size and urgency.
    uint32_t rank = 0; ///< 0 is the most urgent.
    PromptInfo info;
    core::TimePoint arrivedAt{};
    core::TimePoint firstTokenDueAt{};   ///< When the first token is due.
    core::TimePoint deadlineAt{};        ///< When the answer is of no use any more.
    std::set<std::string> failedEngines; ///< Engines that failed it before.
};

struct PromptQueueSettings
{
    /** Prompt tokens an engine may have ahead: enough to stay busy until the next answer is back,
     * little enough that an urgent prompt is not stuck behind what was sent before. */
    double maxBacklogTokens = 6'000;
    double maxColocatedBacklogTokens = 1'800; ///< The same of an engine that reads its own prompts.
    double rankFactor = 2; ///< Weight of one rank against the mean size of a kind.
    double lateFactor = 4; ///< A late answer is worth less: others of like size go first.
    /** Share of the slots of the decoding engines up to which prompts are begun: a prompt that was
     * read waits at a full engine, where a more urgent one cannot overtake it. */
    double maxDecodeSlotUse = 0.95;
    size_t maxScannedPrompts =
        24; ///< Prompts looked at when the first ones wait for a busy engine.
    core::Milliseconds firstTokenDelay{150}; ///< From a prompt that was read to the first token.
};

constexpr uint32_t LowestEnginePriority = 9; ///< As engines order what waits there.

struct PromptDispatch
{
    WaitingPrompt prompt;
    PrefillChoice choice;
    uint32_t priority = 0; ///< For the engine's own queue: 0 is first, LastEnginePriority last.
};

/** Waiting prompts of one gateway.
 *
 * Kinds go by their mean size, weighted by rank: when there is not room for all, small and urgent
 * kinds bring more answers in time for the same engine time. Within a kind the first come is first.
 * A prompt whose objective has passed goes behind those that can still make theirs, but keeps its
 * place before much larger ones: it is still wanted until its deadline.
 */
class PromptQueue
{
public:
    explicit PromptQueue(PromptQueueSettings settings) : m_settings(settings) { }

    void add(WaitingPrompt prompt);
    /** Takes a prompt out, for a request that ended. */
    bool remove(uint64_t id);

    /** The tokens of a prompt that each engine holds. */
    using CachedTokens = std::function<std::vector<uint32_t>(const WaitingPrompt &)>;
    /** Takes the next prompt that an engine has room for.
     *
     * \param engines their cachedTokens are filled in by \a cached for each prompt looked at.
     */
    std::optional<PromptDispatch> takeNext(std::vector<PlacementCandidate> &engines,
                                           const CachedTokens &cached,
                                           const PlacementSettings &placement, core::TimePoint now,
                                           std::mt19937_64 &random);
    /** Takes out what cannot be answered before its deadline any more. */
    std::vector<uint64_t> takeExpired(core::TimePoint now);
    /** Time until a prompt that comes now would be given to an engine.
     *
     * \param tokensPerSecond of all engines, as far as this gateway may count on them.
     */
    core::Milliseconds expectedWait(const WaitingPrompt &prompt, double tokensPerSecond,
                                    core::TimePoint now) const;

    size_t size() const { return m_waiting.size(); }
    double waitingTokens() const;

private:
    bool hasRoom(const PlacementCandidate &engine) const;
    bool decodeHasRoom(const std::vector<PlacementCandidate> &engines) const;
    double orderingKey(const WaitingPrompt &prompt, core::TimePoint now) const;

    PromptQueueSettings m_settings;
    std::list<WaitingPrompt> m_waiting; ///< By arrival.
    std::map<std::string, double> m_meanTokens;
};

} // namespace jujube::policy
