#pragma once

/** \file
 * Defines a TCP socket that transmits nothing after a given time.
 */

#include "core/clock.h"

#include <absl/status/statusor.h>

#include <memory>
#include <string>

namespace jujube::wire {

/** A TCP socket for one request that must not take effect after the lease of its sender has
 * expired.
 *
 * Checking a lease and sending are not atomic: a process that is paused in between would resume
 * without the lease and still send. Three mechanisms prevent that:
 *
 * - A CLOCK_BOOTTIME timer shuts the socket down from a signal handler. After a pause the pending
 *   signal is delivered before the sending thread continues.
 * - TCP_USER_TIMEOUT, set to at most the remaining time of the lease, makes the kernel
 *   discard unsent data.
 * - The socket carries a single request, so no other data can be queued.
 */
class GuardedSocket
{
public:
    /** Opens a non-blocking socket and starts to connect it.
     *
     * \param address IPv4 address and port.
     * \param notAfter Time at which the socket is shut down.
     *
     * Errors: DeadlineExceeded if \a notAfter has passed, ResourceExhausted if no descriptor or
     * guard slot is free, InvalidArgument if \a address is not an IPv4 address, Unavailable if the
     * connect fails at once, Internal if the timer cannot be created.
     */
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
