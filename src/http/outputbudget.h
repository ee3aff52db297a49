#pragma once

/** \file
 * Defines the bounds on the output that the connections of a process hold together: on answers for
 * slow clients, and on requests for slow endpoints.
 */

#include "core/clock.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

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

class SlowSendShare;

/** Bounds the bytes of requests that all connections together hold for peers that read slowly.
 *
 * Requests to peers that read do not count, however large they are. A request is held whole, so
 * it cannot pause: if the bound is exceeded, requests to the peer that holds the most are given up.
 */
class SlowSendBudget
{
public:
    explicit SlowSendBudget(size_t maxBytes) : m_maxBytes(maxBytes) { }

    size_t usedBytes() const { return m_usedBytes; }
    size_t maxBytes() const { return m_maxBytes; }

private:
    friend class SlowSendShare;

    /** Gives up requests until the rest is within the bound. */
    void enforce();
    /** \return the share that has been slow for the longest, of the peer with the most bytes. */
    SlowSendShare *nextToGiveUp() const;

    size_t m_maxBytes;
    size_t m_usedBytes = 0;
    std::unordered_set<SlowSendShare *> m_shares; ///< That hold bytes.
};

/** The bytes that one connection holds for a slow peer; they are returned at the end of the
 * object's life. */
class SlowSendShare
{
public:
    /** \param budget may be null: there is no bound.
     * \param peer its address.
     * \param onGivenUp invoked from set() of any share of the budget; must not end the request
     * before that returns. */
    SlowSendShare(std::shared_ptr<SlowSendBudget> budget, std::string peer,
                  std::function<void()> onGivenUp)
        : m_budget(std::move(budget)), m_peer(std::move(peer)), m_onGivenUp(std::move(onGivenUp))
    {
    }
    ~SlowSendShare() { release(); }
    SlowSendShare(const SlowSendShare &) = delete;
    SlowSendShare &operator=(const SlowSendShare &) = delete;

    /** Sets the bytes held; 0 if the peer reads. */
    void set(size_t bytes, core::TimePoint now);
    size_t bytes() const { return m_bytes; }

private:
    friend class SlowSendBudget;

    void release();

    std::shared_ptr<SlowSendBudget> m_budget;
    std::string m_peer;
    std::function<void()> m_onGivenUp;
    core::TimePoint m_slowSince{};
    size_t m_bytes = 0;
};

} // namespace jujube::http
