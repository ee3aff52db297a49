#pragma once

/** \file
 * Defines the turns in which gateways use scarce memory of engines.
 */

#include "core/clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jujube::policy {

/** Gives each gateway its turns to use the last memory of an engine.
 *
 * An engine crashes if its requests exceed its memory, and gateways learn of each other's requests
 * with a delay. All gateways derive the turns from the time of day and their names, without
 * communication. Between two turns is a pause in which the figures reach the others. Gateways whose
 * clocks or members differ agree on most turns, as the one with the highest hash has the turn.
 */
class MemoryTurns
{
public:
    /** Sets the gateways that take turns; \a self is added if it is missing. */
    void setMembers(const std::string &self, const std::vector<std::string> &members);
    /** Whether this gateway has the turn at an engine; always, if it is the only one. */
    bool hasTurn(std::string_view engine, core::Milliseconds wallTime) const;
    size_t others() const { return m_others.size(); }

private:
    uint64_t m_self = 0;
    std::vector<uint64_t> m_others; ///< Hashes of their names.
};

/** Tokens that this gateway has sent to an engine lately, which the others may not know of yet. */
class UnseenTokens
{
public:
    void note(uint64_t tokens, core::TimePoint now);
    uint64_t sum(core::TimePoint now) const;

private:
    core::TimePoint m_since{};
    uint64_t m_current = 0;
    uint64_t m_before = 0;
};

} // namespace jujube::policy
