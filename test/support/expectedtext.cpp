#include "support/expectedtext.h"

#include <xxhash.h>

namespace jujube::test {

std::string expectedToken(uint64_t promptHash, uint32_t index)
{
    const uint64_t hashed = XXH64(&index, sizeof(index), promptHash);
    std::string token;
    for (int i = 0; i < 3; ++i)
        token += static_cast<char>('a' + (hashed >> (8 * i)) % 26);
    return token + ' ';
}

uint64_t promptHash(std::string_view prompt)
{
    return XXH64(prompt.data(), prompt.size(), 1);
}

std::string expectedText(std::string_view prompt, uint32_t tokens)
{
    const uint64_t hash = promptHash(prompt);
    std::string text;
    for (uint32_t i = 0; i < tokens; ++i)
        text += expectedToken(hash, i);
    return text;
}

} // namespace jujube::test
