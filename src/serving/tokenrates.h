#pragma once

/** \file
 * Defines the rates of tokens by which the split of a service's engines is planned.
 */

namespace jujube::serving {

/** Tokens a second of one gateway or of several. */
struct TokenRates
{
    double promptPerSecond = 0; ///< Given to engines to be read, without what their caches hold.
    double outputPerSecond = 0; ///< Expected in the answers to them.

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
