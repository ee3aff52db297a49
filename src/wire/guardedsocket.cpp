#include "wire/guardedsocket.h"
#include "core/socketaddress.h"
#include "core/text.h"

#include <arpa/inet.h>
#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <ctime>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jujube::wire {

namespace {

constexpr size_t MaxGuardedSockets = 16;
constexpr int FreeSlot = 0;

// Descriptors that the signal handler may shut down. They are lock-free atomics, because the
// handler may interrupt any thread at any instruction. A free slot is zero, the initial value of
// static storage; a used slot holds its descriptor plus one.
std::array<std::atomic<int>, MaxGuardedSockets> guardedFds;
std::array<timer_t, MaxGuardedSockets> guardTimers;

int guardSignal()
{
    return SIGRTMIN + 3;
}

void shutDownGuardedSocket(int /*signal*/, siginfo_t *info, void * /*context*/)
{
    const int savedErrno = errno;
    const auto slot = static_cast<size_t>(info->si_value.sival_int);
    if (slot < MaxGuardedSockets) {
        const int fd = guardedFds[slot].load();
        if (fd != FreeSlot)
            shutdown(fd - 1, SHUT_RDWR);
    }
    errno = savedErrno;
}

void installHandler()
{
    static const bool installed = [] {
        struct sigaction action
        {
        };
        action.sa_sigaction = shutDownGuardedSocket;
        action.sa_flags = SA_SIGINFO | SA_RESTART;
        sigemptyset(&action.sa_mask);
        return sigaction(guardSignal(), &action, nullptr) == 0;
    }();
    (void)installed;
}

absl::StatusOr<size_t> claimSlot(int fd)
{
    for (size_t i = 0; i < MaxGuardedSockets; ++i) {
        int expected = FreeSlot;
        if (guardedFds[i].compare_exchange_strong(expected, fd + 1))
            return i;
    }
    return absl::ResourceExhaustedError("too many guarded sockets are open");
}

bool armTimer(size_t slot, core::TimePoint notAfter)
{
    sigevent event{};
    // The signal is directed at this thread, which does the sending: a process-wide signal could be
    // delivered to another thread while this one already continues after a pause.
    event.sigev_notify = SIGEV_THREAD_ID;
    event._sigev_un._tid = gettid();
    event.sigev_signo = guardSignal();
    event.sigev_value.sival_int = static_cast<int>(slot);
    if (timer_create(CLOCK_BOOTTIME, &event, &guardTimers[slot]) != 0)
        return false;
    const auto since = notAfter.time_since_epoch();
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(since);
    itimerspec when{};
    when.it_value.tv_sec = seconds.count();
    when.it_value.tv_nsec = (since - seconds).count();
    return timer_settime(guardTimers[slot], TIMER_ABSTIME, &when, nullptr) == 0;
}

absl::StatusOr<sockaddr_in> socketAddressOf(const std::string &address)
{
    const auto parsed = core::parseSocketAddress(address);
    if (!parsed.ok())
        return parsed.status();
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_addr.s_addr = htonl(parsed->ip);
    result.sin_port = htons(parsed->port);
    return result;
}

} // namespace

absl::StatusOr<std::unique_ptr<GuardedSocket>> GuardedSocket::connect(const std::string &address,
                                                                      core::TimePoint notAfter)
{
    const auto remaining = notAfter - core::BootClock::now();
    if (remaining <= std::chrono::milliseconds(1))
        return absl::DeadlineExceededError("the lease has expired; nothing was sent");
    const auto peer = socketAddressOf(address);
    if (!peer.ok())
        return peer.status();

    installHandler();
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return absl::ResourceExhaustedError(
            core::concat("cannot create a socket: ", std::strerror(errno)));
    const auto slot = claimSlot(fd);
    if (!slot.ok()) {
        close(fd);
        return slot.status();
    }
    std::unique_ptr<GuardedSocket> guarded(new GuardedSocket(fd, *slot));
    const unsigned int userTimeoutMs = core::toMessageMs(remaining);
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMs, sizeof(userTimeoutMs));
    if (!armTimer(*slot, notAfter))
        return absl::InternalError(core::concat("cannot create a timer: ", std::strerror(errno)));
    const int rc = ::connect(fd, reinterpret_cast<const sockaddr *>(&*peer), sizeof(*peer));
    if (rc != 0 && errno != EINPROGRESS)
        return absl::UnavailableError(core::concat(address, ": ", std::strerror(errno)));
    return guarded;
}

GuardedSocket::GuardedSocket(int fd, size_t slot) : m_fd(fd), m_slot(slot)
{
}

GuardedSocket::~GuardedSocket()
{
    // The timer is deleted first, so that the handler cannot shut down a reused descriptor.
    timer_delete(guardTimers[m_slot]);
    guardedFds[m_slot].store(FreeSlot);
    close(m_fd);
}

} // namespace jujube::wire
