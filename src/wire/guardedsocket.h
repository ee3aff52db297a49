#pragma once

/** \file
 * Defines a connected socket that transmits nothing after a given time.
 */

#include "core/clock.h"

#include <absl/status/statusor.h>

#include <memory>
#include <string>

namespace jujube::wire {

/** A TCP socket for one order that must not take effect once its sender's lease has lapsed.
 *
 * The check of a lease and the send that follows it are not atomic: a process paused in between
 * would wake up deposed and send all the same. Three mechanisms close the gap:
 *
 * - A CLOCK_BOOTTIME timer shuts the socket down from a signal handler. After a pause the pending
 *   signal is delivered before any code of the process continues.
 * - TCP_USER_TIMEOUT, set below what remains of the lease, makes the kernel give up unsent data.
 * - The socket serves a single request, so nothing else can be queued behind it.
 */
class GuardedSocket
{
public:
    /** Opens a non-blocking socket that starts connecting to \a address. */
    static absl::StatusOr<std::unique_ptr<GuardedSocket>> connect(const std::string &address,
                                                                  core::TimePoint notAfter);
    ~GuardedSocket();
    GuardedSocket(const GuardedSocket &) = delete;
    GuardedSocket &operator=(const GuardedSocket &) = delete;

    int fd() const { return m_fd; }

private:
    GuardedSocket(int fd, size_t slot);

    int m_fd = -1;
    size_t m_slot = 0;
};

} // namespace jujube::wire
