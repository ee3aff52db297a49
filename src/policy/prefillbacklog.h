#pragma once

/** \file
 * Defines the prompts that one gateway has sent to an engine, by what is left to prefill of them.
 */

#include "core/clock.h"

#include <cstdint>
#include <map>

namespace jujube::policy {

/** Prompt tokens that an engine still has to prefill, by the expected course of each prefill.
 *
 * The answer to a prefill comes some 50 ms after its tokens were read, as the engine works on
 * several prompts at a time. Tokens that count until the answer made engines look several times
 * busier than they were.
 */
class PrefillBacklog
{
public:
    /** Adds a prompt that is sent now. \return its id for remove().
     * \param waitMs expected time until the engine begins to prefill it.
     * \param workMs expected time that the engine needs for its tokens. */
    uint64_t add(double tokens, double waitMs, double workMs, core::TimePoint now);
    /** Removes a prompt that was answered or has failed. */
    void remove(uint64_t id);
    /** Tokens that are expected to be left. */
    double tokens(core::TimePoint now) const;

private:
    struct Prompt
    {
        double tokens = 0;
        core::TimePoint startsAt{};
        core::TimePoint endsAt{};
    };

    std::map<uint64_t, Prompt> m_prompts;
    uint64_t m_lastId = 0;
};

} // namespace jujube::policy
