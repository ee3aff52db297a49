/** \file
 * Tests that a process that is paused between checking its lease and sending does not send after
 * the lease has expired.
 */

#include "wire/guardedsocket.h"

#include <criterion/criterion.h>

#include <arpa/inet.h>
#include <csignal>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

using namespace jujube;
using namespace std::chrono_literals;

namespace {

// Listens on a free loopback port.
int listenOnLoopback(std::string &address)
{
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    cr_assert_eq(bind(fd, reinterpret_cast<sockaddr *>(&target), sizeof(target)), 0);
    listen(fd, 4);
    socklen_t size = sizeof(target);
    getsockname(fd, reinterpret_cast<sockaddr *>(&target), &size);
    address = "127.0.0.1:" + std::to_string(ntohs(target.sin_port));
    return fd;
}

// The sending process: connects, reports that on the pipe and stops itself. Once continued, it
// sends without checking the clock again, like code that has just checked its lease.
[[noreturn]] void sendAfterPause(const std::string &address, int toParent)
{
    auto guarded = wire::GuardedSocket::connect(address, core::BootClock::now() + 300ms);
    if (!guarded.ok())
        _exit(3);
    pollfd writable{(*guarded)->fd(), POLLOUT, 0};
    poll(&writable, 1, 1'000);
    (void)!write(toParent, "r", 1);
    raise(SIGSTOP);
    const ssize_t n = send((*guarded)->fd(), "order", 5, MSG_NOSIGNAL);
    _exit(n == 5 ? 1 : 0);
}

// Pauses the sending process for a time. Returns its exit code (1 if the send succeeded) and the
// received bytes.
int sendWithPause(core::Milliseconds pause, std::string &received)
{
    std::string address;
    const int listener = listenOnLoopback(address);
    int fds[2];
    cr_assert_eq(pipe(fds), 0);
    const pid_t child = fork();
    if (child == 0)
        sendAfterPause(address, fds[1]);
    char c = 0;
    cr_assert_eq(read(fds[0], &c, 1), 1);
    int status = 0;
    waitpid(child, &status, WUNTRACED);
    std::this_thread::sleep_for(pause);
    kill(child, SIGCONT);
    waitpid(child, &status, 0);
    const int accepted = accept(listener, nullptr, nullptr);
    char buf[16] = {};
    const ssize_t n = recv(accepted, buf, sizeof(buf), 0);
    received.assign(buf, n > 0 ? static_cast<size_t>(n) : 0);
    return WEXITSTATUS(status);
}

} // namespace

Test(guardedsocket, a_pause_within_the_lease_does_not_prevent_the_send)
{
    std::string received;
    cr_assert_eq(sendWithPause(20ms, received), 1);
    cr_assert_eq(received, "order");
}

Test(guardedsocket, a_pause_beyond_the_lease_prevents_the_send)
{
    std::string received;
    cr_assert_eq(sendWithPause(600ms, received), 0,
                 "the paused process sent after its lease had expired");
    cr_assert_eq(received, "");
}
