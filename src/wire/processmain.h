#pragma once

/** \file
 * Defines the startup, signal handling and shutdown that all programs share.
 */

#include <absl/status/status.h>

#include <functional>

namespace jujube::wire {

inline constexpr int ExitOk = 0;
inline constexpr int ExitFailure = 1;  ///< The operation failed.
inline constexpr int ExitUsage = 2;    ///< Bad command line or settings.
inline constexpr int ExitConflict = 3; ///< Another operator has changed the data meanwhile.

/** Runs a Qt application until SIGTERM or SIGINT, then shuts it down gracefully.
 *
 * The process exits without running static destructors, because threads may still hold references
 * to static objects. All data that must persist has been written before. A second signal ends the
 * process immediately.
 */
class ProcessMain
{
public:
    using StopHandler = std::function<void(std::function<void()> done)>;

    ProcessMain();

    /** Sets the handler for the first signal. The process ends when the handler, or a thread that
     * it started, calls done. */
    void onStop(StopHandler handler);
    /** Logs an error and ends the process; callable from any thread. */
    void fail(const absl::Status &status);
    /** Runs the event loop until the process ends. */
    [[noreturn]] int run();

private:
    StopHandler m_stopHandler;
    int m_signalFd = -1;
    bool m_stopping = false;
};

} // namespace jujube::wire
