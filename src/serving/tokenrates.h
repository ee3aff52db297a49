#pragma once

/** \file
 * Defines the token rates by which a service's engines are divided among the stages.
 */

namespace jujube::serving {

/** Tokens per second of one gateway or the sum over several. */
struct TokenRates
{
    double promptPerSecond = 0; ///< Prompt tokens to prefill, without cached ones.
    double outputPerSecond = 0; ///< Output tokens expected in the answers.

    TokenRates &operator+=(const TokenRates &other)
    {
        promptPerSecond += other.promptPerSecond;
        outputPerSecond += other.outputPerSecond;
        return *this;
    }
    TokenRates &operator-=(const TokenRates &other)
    {
        promptPerSecond -= other.promptPerSecond;
        outputPerSecond -= other.outputPerSecond;
        return *this;
    }
};

} // namespace jujube::serving
