#pragma once

/** \file
 * Defines the buffer that keeps an answer until the entry has acknowledged it.
 */

#include <cstdint>
#include <string>
#include <string_view>

namespace jujube::agent {

/** Bytes of one answer, addressed by their offset from its start.
 *
 * Reading from an offset acknowledges every byte below it. The unread rest stays, so an entry
 * whose connection went silent reads on from the same offset over a new connection.
 */
class AnswerBuffer
{
public:
    void append(std::string_view bytes) { m_bytes.append(bytes); }
    /** Drops the bytes below \a offset. Offsets already dropped or beyond the end are ignored. */
    void acknowledge(uint64_t offset);
    /** Bytes from \a offset on, at most \a limit; empty if the offset was already dropped. */
    std::string read(uint64_t offset, size_t limit) const;

    uint64_t begin() const { return m_begin; }
    uint64_t end() const { return m_begin + m_bytes.size(); }

private:
    uint64_t m_begin = 0;
    std::string m_bytes;
};

} // namespace jujube::agent
