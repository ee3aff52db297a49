#pragma once

/** \file
 * Defines the bound on the output that the client connections of a process hold together.
 */

#include <cstddef>
#include <memory>

namespace jujube::http {

/** Limits the output of each connection to a fraction of what is free of a common bound.
 *
 * The limit shrinks as more connections hold output, so that slow clients together never take all
 * of the bound, and no client waits for memory that another one holds.
 */
class OutputBudget
{
public:
    /** Least limit of a connection. */
    static constexpr size_t MinConnectionBytes = 16UL << 10U;
    /** Part of each connection's output that does not count: the least limit and one read beyond.
     */
    static constexpr size_t ReservedBytes = 32UL << 10U;
    /** Most output that a connection may hold while much is free. */
    static constexpr size_t MaxConnectionBytes = 256UL << 10U;

    explicit OutputBudget(size_t maxBytes) : m_maxBytes(maxBytes) { }

    size_t usedBytes() const { return m_usedBytes; }
    size_t maxBytes() const { return m_maxBytes; }
    /** Most output that one connection may hold now before its source has to pause. */
    size_t connectionLimit() const;
    /** Whether complete answers, which cannot pause, have exceeded the bound. */
    bool exceeded() const { return m_usedBytes > m_maxBytes; }

private:
    friend class OutputShare;

    size_t m_maxBytes;
    size_t m_usedBytes = 0;
};

/** The output that one connection holds; it is returned at the end of the object's life. */
class OutputShare
{
public:
    /** \param budget may be null: only MaxConnectionBytes applies. */
    explicit OutputShare(std::shared_ptr<OutputBudget> budget) : m_budget(std::move(budget)) { }
    ~OutputShare() { set(0); }
    OutputShare(const OutputShare &) = delete;
    OutputShare &operator=(const OutputShare &) = delete;

    void set(size_t bytes);
    size_t bytes() const { return m_bytes; }
    /** Whether the source has to pause. */
    bool full() const { return m_bytes > limit(); }
    /** Whether a source that has paused may continue. */
    bool drained() const;

private:
    size_t limit() const;
    /** The part of bytes that the budget counts. */
    static size_t counted(size_t bytes);

    std::shared_ptr<OutputBudget> m_budget;
    size_t m_bytes = 0;
};

} // namespace jujube::http
