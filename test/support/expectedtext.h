#pragma once

/** \file
 * Defines the text that the stand-in engine produces, so that callers can verify an answer.
 */

#include <cstdint>
#include <string>
#include <string_view>

namespace jujube::test {

/** Text of one output token: four bytes that depend on the whole prompt and the position. */
std::string expectedToken(uint64_t promptHash, uint32_t index);

/** Hash of a prompt as expectedToken() wants it. */
uint64_t promptHash(std::string_view prompt);

/** The whole answer to a prompt. */
std::string expectedText(std::string_view prompt, uint32_t tokens);

} // namespace jujube::test
