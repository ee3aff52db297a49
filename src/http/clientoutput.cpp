/** \file
 * Writes the requests of client connections, and watches whether their peers take them.
 */

#include "http/clientconnection.h"

#include "http/socketstate.h"
#include "http/transferrate.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace jujube::http {

namespace {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

// The kernel takes no more while it holds this much that it has not sent yet. What is sent and not
// acknowledged does not count, so this does not limit the rate.
constexpr int MaxUnsentKernelBytes = 64 << 10;
constexpr core::Milliseconds CheckInterval{250};
// A peer that has taken nothing for 2 s does not read. Checks are counted instead of the time, as
// this process may itself be paused.
constexpr uint32_t ChecksUntilStalled = 8;
// The pause of a peer that reads may be longer than the time between two checks.
constexpr uint32_t ChecksUntilSlow = 2;
constexpr uint64_t MsPerSecond = 1'000;
constexpr size_t SlowBytesPerCheck =
    MinTransferBytesPerSecond * static_cast<uint64_t>(CheckInterval.count()) / MsPerSecond;

} // namespace

void ClientConnection::startWriting()
{
    m_writeActive = true;
    m_writeStarted = true;
    if (m_requestBytes > MaxUnsentKernelBytes)
        setsockopt(m_socket.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &MaxUnsentKernelBytes,
                   sizeof(MaxUnsentKernelBytes));
    write();
}

void ClientConnection::write()
{
    const auto self = shared_from_this();
    m_socket.async_write_some(
        asio::buffer(m_output.data() + m_writtenBytes, m_requestBytes - m_writtenBytes),
        [self](const ErrorCode &ec, size_t n) {
            self->m_writtenBytes += n;
            if (!ec && !self->m_closed && self->m_exchangeActive) {
                self->handleWritten();
                return;
            }
            self->m_writeActive = false;
            self->m_output = {};
            if (ec && !self->m_closed && self->m_exchangeActive)
                self->handleWriteFailed(ec.message());
        });
}

// The peer may have answered before it closed the connection. What was received is read first; the
// end of the connection, which follows it, fails the exchange if the answer is not complete.
void ClientConnection::handleWriteFailed(const std::string &why)
{
    m_writeError = why;
    endWatch();
    // After an error that leaves the connection open, such as a lack of memory, nothing would end
    // it.
    ErrorCode ignored;
    if (!hasPollEvents(m_socket, POLLHUP | POLLERR))
        m_socket.shutdown(asio::socket_base::shutdown_receive, ignored);
    read();
}

void ClientConnection::handleWritten()
{
    const size_t left = m_requestBytes - m_writtenBytes;
    if (left == 0) {
        m_writeActive = false;
        m_output = {}; // An idle connection would keep the memory.
        if (unsentBytes(m_socket) > 0)
            watchSend();
        return;
    }
    watchSend();
    write();
}

void ClientConnection::watchSend()
{
    if (std::exchange(m_watching, true))
        return;
    m_takenBytes = 0;
    m_takenAt = core::BootClock::now();
    m_stalledChecks = 0;
    m_slowChecks = 0;
    // The kernel's limit would also end connections whose peer takes some data, but keeps its
    // window nearly closed.
    setUserTimeout(m_socket, core::Milliseconds(0));
    checkSend();
}

void ClientConnection::checkSend()
{
    m_timer.expires_after(CheckInterval);
    m_timer.async_wait([weak = weak_from_this()](const ErrorCode &ec) {
        const auto self = weak.lock();
        if (ec || !self || !self->m_watching)
            return;
        const size_t unsent =
            self->m_requestBytes - self->m_writtenBytes + unsentBytes(self->m_socket);
        if (unsent == 0) {
            self->endWatch();
            return;
        }
        if (isUnresponsive(self->m_socket)) {
            self->giveUpSend("the endpoint does not respond");
            return;
        }
        if (self->m_answerBegun) {
            // It may read the rest of the request after its answer.
            self->m_slowShare.set(0, {});
            self->checkSend();
            return;
        }
        const core::TimePoint now = core::BootClock::now();
        const size_t unacked = unackedBytes(self->m_socket);
        const size_t taken = self->m_writtenBytes - std::min(self->m_writtenBytes, unacked);
        const size_t progress = taken - std::min(taken, self->m_takenBytes);
        if (progress > 0 || unacked == 0) {
            self->m_takenAt = now;
            self->m_stalledChecks = 0;
        } else if (++self->m_stalledChecks >= ChecksUntilStalled
                   && self->m_stalledSend == StalledSend::GiveUp) {
            self->giveUpSend("the endpoint takes nothing of the request");
            return;
        }
        self->m_takenBytes = taken;
        self->m_slowChecks = progress < SlowBytesPerCheck ? self->m_slowChecks + 1 : 0;
        const bool slow = self->m_slowChecks >= ChecksUntilSlow;
        self->m_slowShare.set(slow ? self->m_output.size() + unacked : 0, now);
        self->checkSend();
    });
}

void ClientConnection::endWatch()
{
    if (!std::exchange(m_watching, false))
        return;
    m_timer.cancel();
    m_slowShare.set(0, {});
    setUserTimeout(m_socket, UserTimeout);
}

void ClientConnection::giveUpSend(const std::string &why)
{
    if (m_closed || !m_watching)
        return;
    const size_t unacked = unackedBytes(m_socket);
    m_slowSend = SlowSend{
        m_requestBytes - m_writtenBytes + unacked,
        std::chrono::duration_cast<core::Milliseconds>(core::BootClock::now() - m_takenAt)};
    discardUnsent();
    fail(Failure::ConnectionLost, why);
}

} // namespace jujube::http
