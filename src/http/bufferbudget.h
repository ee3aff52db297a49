#pragma once

/** \file
 * Defines the bound on the bytes that all connections of a process buffer together.
 */

#include <cstddef>
#include <memory>
#include <utility>

namespace jujube::http {

/** Counts the bytes of the buffers that share a bound. Each buffer has a limit of its own; with
 * many connections the sum of these limits can exceed the memory of the process. */
class BufferBudget
{
public:
    explicit BufferBudget(size_t maxBytes) : m_maxBytes(maxBytes) { }

    size_t maxBytes() const { return m_maxBytes; }
    size_t usedBytes() const { return m_usedBytes; }

private:
    friend class BufferShare;

    size_t m_maxBytes;
    size_t m_usedBytes = 0;
};

/** The part of a budget that one buffer uses; it is returned at the end of the object's life. */
class BufferShare
{
public:
    /** Creates a share without a budget, which any size fits in. */
    BufferShare() = default;
    explicit BufferShare(std::shared_ptr<BufferBudget> budget) : m_budget(std::move(budget)) { }
    BufferShare(BufferShare &&other) noexcept
        : m_budget(std::move(other.m_budget)), m_bytes(std::exchange(other.m_bytes, 0))
    {
    }
    BufferShare &operator=(BufferShare &&other) noexcept
    {
        std::swap(m_budget, other.m_budget);
        std::swap(m_bytes, other.m_bytes);
        return *this;
    }
    ~BufferShare() { release(); }

    /** Changes the size. \return false, with the size unchanged, if the budget does not allow it.
     */
    [[nodiscard]] bool resize(size_t bytes)
    {
        if (!m_budget)
            return true;
        const size_t others = m_budget->m_usedBytes - m_bytes;
        if (bytes > m_bytes && others + bytes > m_budget->m_maxBytes)
            return false;
        m_budget->m_usedBytes = others + bytes;
        m_bytes = bytes;
        return true;
    }
    void release()
    {
        if (m_budget)
            m_budget->m_usedBytes -= m_bytes;
        m_bytes = 0;
    }

private:
    std::shared_ptr<BufferBudget> m_budget;
    size_t m_bytes = 0;
};

} // namespace jujube::http
