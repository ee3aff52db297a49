#pragma once

/** \file
 * Defines the estimator of the time that a prefill engine takes to answer a prefill.
 */

#include <array>
#include <cstddef>
#include <cstdint>

namespace jujube::policy {

constexpr uint32_t LowestEnginePriority = 9; ///< Least urgent priority of an engine's queue.

/** What is known of a prefill when it is sent. */
struct PrefillWork
{
    double tokens = 0;      ///< Uncached tokens of the prompt.
    double aheadTokens = 0; ///< Tokens of other prompts that await prefill at the engine.
    uint32_t priority = 0;  ///< At the engine; 0 is served first.
    bool fetches = false;   ///< The engine fetches cached prefix blocks first.
};

/** Time from sending a prefill to its answer: fixed + factor x work.
 *
 * The factor of an engine's slowdown and pace applies to the prefill of the tokens only. On engines
 * that differ by 2.4 in it, a prompt without uncached tokens takes equally long.
 */
struct PrefillDurationModel
{
    double tokensPerMs = 60;
    double fixedMs = 25;
    double fetchMs = 10; ///< Time to fetch cached prefix blocks.
    /** Part of the tokens ahead that delay a prompt, by its priority. An urgent prompt overtakes
     * others, and the prompt that is being prefilled is partly done. */
    std::array<double, LowestEnginePriority + 1> aheadShare{1, 1, 1, 1, 1, 1, 1, 1, 1, 1};

    double shareAhead(uint32_t priority) const
    {
        return aheadShare[priority < aheadShare.size() ? priority : LowestEnginePriority];
    }
    /** Part that does not depend on the speed of the engine. */
    double fixedPartMs(const PrefillWork &work) const
    {
        return fixedMs + (work.fetches ? fetchMs : 0);
    }
    /** Time in which an engine of usual speed prefills the tokens ahead and those of the prompt. */
    double workMs(const PrefillWork &work) const
    {
        return (work.tokens + shareAhead(work.priority) * work.aheadTokens) / tokensPerMs;
    }
    /** \param factor by which the engine takes longer than usual. */
    double predictMs(const PrefillWork &work, double factor = 1) const
    {
        return fixedPartMs(work) + factor * workMs(work);
    }
};

/** Fits the model to observed prefills.
 *
 * Each prefill moves the parameters by a small factor along the gradient of its log error, whose
 * size is limited. The fit is therefore close to the median of taken / predicted, and a few very
 * slow prefills do not matter.
 */
class PrefillDurationEstimator
{
public:
    /** \param ms time taken.
     * \param factor by which the engine takes longer than usual. */
    void note(const PrefillWork &work, double ms, double factor = 1);
    const PrefillDurationModel &model() const { return m_model; }

private:
    PrefillDurationModel m_model;
    size_t m_count = 0;
};

} // namespace jujube::policy
