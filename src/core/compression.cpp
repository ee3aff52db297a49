#include "core/compression.h"

#include <zlib.h>

namespace jujube::core {

namespace {

const Bytef *bytesOf(std::string_view text)
{
    return reinterpret_cast<const Bytef *>(text.data());
}

Bytef *bytesOf(std::string &text)
{
    return reinterpret_cast<Bytef *>(text.data());
}

} // namespace

std::string compress(std::string_view bytes)
{
    uLongf size = compressBound(bytes.size());
    std::string result(size, '\0');
    // The buffer has the bound's size, so this fails only without memory.
    if (compress2(bytesOf(result), &size, bytesOf(bytes), bytes.size(), Z_BEST_SPEED) != Z_OK)
        throw std::bad_alloc();
    result.resize(size);
    return result;
}

absl::StatusOr<std::string> decompress(std::string_view bytes, size_t size)
{
    std::string result(size, '\0');
    uLongf resultSize = size;
    const int status = uncompress(bytesOf(result), &resultSize, bytesOf(bytes), bytes.size());
    if (status != Z_OK || resultSize != size)
        return absl::InvalidArgumentError("the compressed bytes are malformed");
    return result;
}

} // namespace jujube::core
