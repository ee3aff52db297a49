#pragma once

/** \file
 * Defines the thread that runs the KJ event loop beside the Qt threads of a process.
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

/** What code on the KJ thread works with. */
struct IoContext
{
    kj::AsyncIoProvider &provider;
    kj::LowLevelAsyncIoProvider &lowLevel;
    kj::Timer &timer;

    kj::Network &network() const { return provider.getNetwork(); }
    /** A promise that is fulfilled after the given time. */
    kj::Promise<void> sleep(core::Milliseconds time) const;

    /** Fails with an OVERLOADED exception if the promise takes longer than \a limit. */
    template <typename T>
    kj::Promise<T> withTimeout(core::Milliseconds limit, kj::Promise<T> promise) const
    {
        return timer.timeoutAfter(limit.count() * kj::MILLISECONDS, kj::mv(promise));
    }
};

/** One KJ event loop on a thread of its own.
 *
 * Other threads hand work over with post(); results go back as queued Qt calls. The loop's own
 * thread never blocks.
 */
class IoThread
{
public:
    /** Starts the thread; \a main runs on it first and creates what lives there. */
    static std::unique_ptr<IoThread> create(std::function<void(IoContext &)> main);
    ~IoThread();
    IoThread(const IoThread &) = delete;
    IoThread &operator=(const IoThread &) = delete;

    /** Runs a function on the loop's thread. Callable from any thread. */
    void post(std::function<void()> function);
    /** Ends the loop and joins the thread. Objects of \a main must be gone or inert by then. */
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
