#pragma once

/** \file
 * Defines a value that readers load as an immutable snapshot and writers replace as a whole.
 */

#include <atomic>
#include <memory>

namespace jujube::core {

/** Read-copy-update cell. Readers never wait for a writer that is building a new value. */
template <typename T> class Snapshot
{
public:
    explicit Snapshot(std::shared_ptr<const T> initial = std::make_shared<const T>())
        : m_current(std::move(initial))
    {
    }

    std::shared_ptr<const T> load() const { return m_current.load(std::memory_order_acquire); }
    void store(std::shared_ptr<const T> next)
    {
        m_current.store(std::move(next), std::memory_order_release);
    }

private:
    std::atomic<std::shared_ptr<const T>> m_current;
};

} // namespace jujube::core
