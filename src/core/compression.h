#pragma once

/** \file
 * Defines the compression of messages between processes.
 */

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace jujube::core {

/** Compresses bytes into the zlib format. */
std::string compress(std::string_view bytes);

/** Reverts compress().
 *
 * \param size Size of the result in bytes; it bounds the memory that is used.
 * \return InvalidArgument if the bytes are malformed or expand to another size. */
absl::StatusOr<std::string> decompress(std::string_view bytes, size_t size);

} // namespace jujube::core
