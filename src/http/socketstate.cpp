#include "http/socketstate.h"

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace jujube::http {

namespace {

using boost::asio::ip::tcp;

constexpr uint32_t MinUnansweredSends = 2;

size_t queueBytes(tcp::socket &socket, unsigned long query)
{
    int bytes = 0;
    return ioctl(socket.native_handle(), query, &bytes) == 0 && bytes > 0
        ? static_cast<size_t>(bytes)
        : 0;
}

} // namespace

void setUserTimeout(tcp::socket &socket, core::Milliseconds timeout)
{
    // Best effort: without it a vanished peer is only detected by a later timeout.
    const auto ms = static_cast<unsigned>(timeout.count());
    setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof(ms));
}

size_t unackedBytes(tcp::socket &socket)
{
    return queueBytes(socket, SIOCOUTQ);
}

size_t unsentBytes(tcp::socket &socket)
{
    return queueBytes(socket, SIOCOUTQNSD);
}

// The kernel probes a closed window, and sends data again that is not acknowledged. A single one
// without an answer may still be on its way.
bool isUnresponsive(tcp::socket &socket)
{
    tcp_info info{};
    socklen_t n = sizeof(info);
    if (getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &n) != 0)
        return false;
    const uint32_t unanswered = uint32_t(info.tcpi_probes) + info.tcpi_retransmits;
    return unanswered >= MinUnansweredSends
        && core::Milliseconds(info.tcpi_last_ack_recv) >= UserTimeout;
}

bool hasPollEvents(tcp::socket &socket, short events)
{
    pollfd state{socket.native_handle(), events, 0};
    return poll(&state, 1, 0) > 0 && (state.revents & events) != 0;
}

} // namespace jujube::http
