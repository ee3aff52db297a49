#pragma once

/** \file
 * Defines a thread that runs a KJ event loop in a process that also has Qt threads.
 */

#include "core/clock.h"
#include "wire/coroutine.h"

#include <kj/async-io.h>
#include <kj/timer.h>

#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace jujube::wire {

/** I/O and timer interfaces of a KJ event loop, for use on its thread only. */
struct IoContext
{
    kj::AsyncIoProvider &provider;
    kj::LowLevelAsyncIoProvider &lowLevel;
    kj::Timer &timer;

    kj::Network &network() const { return provider.getNetwork(); }
    /** Returns a promise that is fulfilled after the given time. */
    kj::Promise<void> sleep(core::Milliseconds time) const;

    /** Returns a promise that fails with an OVERLOADED exception if \a promise takes longer than
     * \a limit. */
    template <typename T>
    kj::Promise<T> withTimeout(core::Milliseconds limit, kj::Promise<T> promise) const
    {
        return timer.timeoutAfter(limit.count() * kj::MILLISECONDS, kj::mv(promise));
    }
};

/** A KJ event loop on a thread of its own.
 *
 * Other threads pass work to it with post(); results are returned as queued Qt calls. Functions
 * that run on this thread must not block.
 */
class IoThread
{
public:
    /** Starts the thread. \a main runs on it first and creates the objects that belong to it. */
    static std::unique_ptr<IoThread> create(std::function<void(IoContext &)> main);
    ~IoThread();
    IoThread(const IoThread &) = delete;
    IoThread &operator=(const IoThread &) = delete;

    /** Queues a function to run on this thread. Callable from any thread. */
    void post(std::function<void()> function);
    /** Ends the loop and joins the thread. Objects that \a main created must be destroyed or
     * inactive before. */
    void stop();

private:
    explicit IoThread(int eventFd);
    void run(const std::function<void(IoContext &)> &main);
    Task<void> runPosted(kj::AsyncInputStream &events);

    int m_eventFd = -1;
    std::mutex m_mutex;
    std::vector<std::function<void()>> m_posted;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace jujube::wire
