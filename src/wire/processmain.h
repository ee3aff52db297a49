#pragma once

/** \file
 * Defines the start, the signals and the end that all programs of the system share.
 */

#include <absl/status/status.h>

#include <functional>

namespace jujube::wire {

inline constexpr int ExitOk = 0;
inline constexpr int ExitFailure = 1;  ///< The operation failed.
inline constexpr int ExitUsage = 2;    ///< Bad command line or settings.
inline constexpr int ExitConflict = 3; ///< Another operator was faster.

/** Runs a Qt application until SIGTERM or SIGINT, then shuts it down gracefully.
 *
 * The process ends without running static destructors once everything that must last has been
 * written: threads may still hold references at that point.
 */
class ProcessMain
{
public:
    using StopHandler = std::function<void(std::function<void()> done)>;

    ProcessMain();

    /** Called once on the first signal; the process ends when it calls done, from any thread. */
    void onStop(StopHandler handler);
    /** Ends the process with an error, from any thread. */
    void fail(const absl::Status &status);
    /** Runs until the process ends. */
    [[noreturn]] int run();

private:
    StopHandler m_stopHandler;
    int m_signalFd = -1;
    bool m_stopping = false;
};

} // namespace jujube::wire
