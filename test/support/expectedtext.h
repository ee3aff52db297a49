#pragma once

/** \file
 * Defines the text that the fake engine generates, so that clients can verify a response.
 */

#include <cstdint>
#include <string>
#include <string_view>

namespace jujube::test {

/** Text of one output token: four bytes, a function of the whole prompt and the token's index. */
std::string expectedToken(uint64_t promptHash, uint32_t index);

/** Hash of a prompt, the first argument of expectedToken(). */
uint64_t promptHash(std::string_view prompt);

/** The first \a tokens output tokens of the response to a prompt. */
std::string expectedText(std::string_view prompt, uint32_t tokens);

} // namespace jujube::test
