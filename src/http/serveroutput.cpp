/** \file
 * Writes the responses of server connections, and holds what slow clients have not taken yet.
 */

#include "http/server.h"
#include "http/socketstate.h"

#include <boost/asio/write.hpp>

namespace jujube::http {

namespace {

namespace asio = boost::asio;
using ErrorCode = boost::system::error_code;

// A client that leaves more than this unread is too slow and is disconnected.
constexpr size_t MaxUnsentBytes = 4UL << 20U;
// Output is written in pieces, so that it is known while a slow client takes it that some was sent.
constexpr size_t MaxWriteBytes = 16UL << 10U;
constexpr size_t MaxIdleCapacity = 16UL * 1024;

} // namespace

void ServerConnection::respond(const Head &head, Framing framing, uint64_t length)
{
    m_framing = framing;
    m_keepAlive = m_keepAlive && !m_server.m_closeAfterResponses;
    enqueue(renderResponseHead(head, framing, length, m_keepAlive));
}

void ServerConnection::enqueue(std::string_view data)
{
    if (m_closed)
        return;
    m_pendingOutput += data;
    updateOutputShare();
    if (m_server.m_outputBudget && m_server.m_outputBudget->exceeded())
        m_server.closeSlowestClient();
    if (m_pendingOutput.size() - m_takenOutput <= MaxUnsentBytes)
        return;
    // The callback is posted to the event loop, so that it does not run inside the handler's write.
    asio::post(m_socket.get_executor(), [disconnected = std::exchange(m_onDisconnect, {})]() {
        if (disconnected)
            disconnected();
    });
    close();
}

void ServerConnection::flush()
{
    if (!m_activeOutput.empty() || m_pendingOutput.empty() || m_closed)
        return;
    if (m_takenOutput == 0 && m_pendingOutput.size() <= MaxWriteBytes) {
        m_activeOutput.swap(m_pendingOutput);
    } else {
        m_activeOutput.assign(m_pendingOutput, m_takenOutput, MaxWriteBytes);
        m_takenOutput += m_activeOutput.size();
        // Each byte is moved about once, however long the output is.
        if (m_takenOutput > m_pendingOutput.size() / 2)
            m_pendingOutput.erase(0, std::exchange(m_takenOutput, 0));
    }
    updateOutputShare();
    m_writeStartedAt = core::BootClock::now();
    m_outputUnacked = true;
    const auto self = shared_from_this();
    asio::async_write(m_socket, asio::buffer(m_activeOutput), [self](const ErrorCode &ec, size_t) {
        self->m_activeOutput.clear();
        // An idle connection would keep the memory of a large response.
        if (self->m_activeOutput.capacity() > MaxIdleCapacity)
            self->m_activeOutput.shrink_to_fit();
        if (self->m_closed)
            return;
        if (ec)
            self->handleDisconnect();
        else
            self->handleWritten();
    });
}

void ServerConnection::handleWritten()
{
    if (m_pendingOutput.empty() && m_pendingOutput.capacity() > MaxIdleCapacity)
        m_pendingOutput.shrink_to_fit();
    updateOutputShare();
    flush();
    if (m_activeOutput.empty() && m_closeWhenFlushed) {
        close();
        return;
    }
    if (m_onDrained && m_outputShare.drained())
        std::exchange(m_onDrained, {})();
    if (!m_closed && m_activeOutput.empty()) {
        if (const auto flushed = m_onFlushed)
            flushed();
    }
}

void ServerConnection::checkClient()
{
    if (m_closed || !m_outputUnacked)
        return;
    if (m_activeOutput.empty() && unackedBytes(m_socket) == 0)
        m_outputUnacked = false;
    else if (isUnresponsive(m_socket))
        handleDisconnect();
}

bool ServerConnection::isStalled() const
{
    return !m_activeOutput.empty() && m_outputShare.bytes() > OutputBudget::ReservedBytes;
}

void ServerConnection::updateOutputShare()
{
    m_outputShare.set(m_pendingOutput.size() - m_takenOutput + m_activeOutput.size());
}

} // namespace jujube::http
