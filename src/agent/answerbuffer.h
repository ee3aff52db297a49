#pragma once

/** \file
 * Defines the buffer that keeps the bytes of an answer until the entry has acknowledged them.
 */

#include <cstdint>
#include <string>
#include <string_view>

namespace jujube::agent {

/** Holds the unacknowledged bytes of one answer, addressed by their offset from its start.
 *
 * Bytes stay until they are acknowledged, so an entry whose connection broke can read the same
 * offset again over a new connection.
 */
class AnswerBuffer
{
public:
    void append(std::string_view bytes) { m_bytes.append(bytes); }
    /** Drops the bytes below \a offset. Offsets already dropped or beyond the end are ignored. */
    void acknowledge(uint64_t offset);
    /** Bytes from \a offset on, at most \a limit; empty if \a offset was dropped or is at the end.
     */
    std::string read(uint64_t offset, size_t limit) const;

    /** Offset of the first byte held. */
    uint64_t begin() const { return m_begin; }
    /** Offset after the last byte appended. */
    uint64_t end() const { return m_begin + m_bytes.size(); }

private:
    uint64_t m_begin = 0;
    std::string m_bytes;
};

} // namespace jujube::agent
