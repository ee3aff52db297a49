#include "http/clientconnection.h"

#include "core/socketaddress.h"
#include "http/socketstate.h"

#include <boost/asio/ip/address_v4.hpp>

#include <algorithm>
#include <charconv>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace jujube::http {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr uint32_t MaxResponseHeadBytes = 64 * 1024; // Four times the limit for requests.
// Allows for some duplicate or late responses; a stream that exceeds it is considered corrupt.
constexpr size_t MaxSkippedBytes = 1UL << 20U;
// Applies to peers that announce no idle timeout. They close idle connections after seconds, and a
// request that is sent while the peer closes has an unknown outcome.
constexpr core::Milliseconds DefaultIdleTimeout{3'000};
// Subtracted from an announced idle timeout, to allow for the transit time of a request.
constexpr core::Milliseconds IdleTimeoutMargin{700};
constexpr std::string_view EndOfHead = "\r\n\r\n";
constexpr int KeepAliveSeconds = 1;
constexpr int KeepAliveProbes = 2;

core::Milliseconds reuseTimeout(const Fields &fields)
{
    const auto value = fields.find("keep-alive");
    if (!value)
        return DefaultIdleTimeout;
    const size_t at = value->find("timeout=");
    if (at == std::string_view::npos)
        return DefaultIdleTimeout;
    int64_t seconds = 0;
    const char *begin = value->data() + at + std::string_view("timeout=").size();
    std::from_chars(begin, value->data() + value->size(), seconds);
    return std::max(core::Milliseconds(0), core::Milliseconds(seconds * 1000) - IdleTimeoutMargin);
}

} // namespace

void setTcpOptions(tcp::socket &socket)
{
    ErrorCode ec;
    socket.set_option(tcp::no_delay(true), ec);
    socket.set_option(asio::socket_base::keep_alive(true), ec);
    const int fd = socket.native_handle();
    // Best effort: without these options a vanished peer is only detected by a later timeout.
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &KeepAliveSeconds, sizeof(KeepAliveSeconds));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &KeepAliveSeconds, sizeof(KeepAliveSeconds));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &KeepAliveProbes, sizeof(KeepAliveProbes));
    setUserTimeout(socket, UserTimeout);
}

std::shared_ptr<ClientConnection>
ClientConnection::create(asio::io_context &io, const std::string &address,
                         const std::shared_ptr<SlowSendBudget> &budget)
{
    return std::shared_ptr<ClientConnection>(new ClientConnection(io, address, budget));
}

ClientConnection::ClientConnection(asio::io_context &io, std::string address,
                                   const std::shared_ptr<SlowSendBudget> &budget)
    : m_socket(io),
      m_timer(io),
      m_address(std::move(address)),
      m_slowShare(budget, m_address, [this]() {
          // The request is ended later, as this is called while another connection is checked.
          asio::post(m_socket.get_executor(), [weak = weak_from_this()]() {
              if (const auto self = weak.lock())
                  self->giveUpSend("the memory for endpoints that read slowly is used up");
          });
      })
{
}

ClientConnection::~ClientConnection()
{
    closeSocket();
}

void ClientConnection::send(std::string bytes, bool headRequest, core::Milliseconds connectTimeout,
                            ExchangeHandler handler, StalledSend stalledSend)
{
    m_exchangeActive = true;
    m_stalledSend = stalledSend;
    ++m_exchangeCount;
    m_writeStarted = false;
    m_answerBegun = false;
    m_requestBytes = bytes.size();
    m_headBytes = bytes.find(EndOfHead) + EndOfHead.size();
    m_writtenBytes = 0;
    m_writeError.clear();
    m_slowSend.reset();
    m_headDelivered = false;
    m_skippedBytes = 0;
    m_headRequest = headRequest;
    m_output = std::move(bytes);
    m_handler = std::make_shared<ExchangeHandler>(std::move(handler));
    resetParser();
    if (m_open)
        startWriting();
    else
        connect(connectTimeout);
}

void ClientConnection::connect(core::Milliseconds timeout)
{
    const auto address = core::parseSocketAddress(m_address);
    const auto self = shared_from_this();
    if (!address.ok() || address->port == 0) {
        asio::post(m_socket.get_executor(), [self]() {
            self->fail(Failure::NotSent, "the address " + self->m_address + " is not valid");
        });
        return;
    }
    m_timer.expires_after(timeout);
    m_timer.async_wait([self](const ErrorCode &waitError) {
        if (!waitError && !self->m_open)
            self->fail(Failure::NotSent, "no connection in time");
    });
    m_socket.async_connect(tcp::endpoint(asio::ip::address_v4(address->ip), address->port),
                           [self](const ErrorCode &connectError) {
                               if (self->m_closed)
                                   return;
                               if (connectError)
                                   self->fail(Failure::NotSent, connectError.message());
                               else
                                   self->handleConnected();
                           });
}

void ClientConnection::handleConnected()
{
    m_open = true;
    m_timer.cancel();
    setTcpOptions(m_socket);
    startWriting();
    read();
}

void ClientConnection::resetParser()
{
    m_skippingResponse = false;
    m_parser = std::make_unique<ResponseParser>(MaxResponseHeadBytes);
    if (m_headRequest)
        m_parser->expectNoBody();
}

void ClientConnection::resumeReading()
{
    if (!std::exchange(m_readPaused, false) || m_closed)
        return;
    read();
}

void ClientConnection::read()
{
    if (m_readPaused || std::exchange(m_readActive, true))
        return;
    const auto self = shared_from_this();
    m_socket.async_read_some(asio::buffer(m_readBuffer), [self](const ErrorCode &ec, size_t n) {
        self->m_readActive = false;
        if (self->m_closed)
            return;
        if (!ec) {
            self->m_answerBegun = true;
            self->m_input.append(self->m_readBuffer.data(), n);
            self->processInput();
            if (!self->m_closed)
                self->read();
            return;
        }
        if (!self->m_exchangeActive) {
            self->closeSocket();
            if (self->m_onIdleClose)
                std::exchange(self->m_onIdleClose, {})();
            return;
        }
        // An orderly shutdown completes a close-delimited body; a connection reset does not.
        if (ec == asio::error::eof && self->m_headDelivered && !self->m_skippingResponse
            && self->endedInOrder() && !self->m_parser->consumeEof()) {
            self->finishExchange();
            return;
        }
        self->fail(Failure::ConnectionLost,
                   self->m_writeError.empty() ? ec.message() : self->m_writeError);
    });
}

// The kernel reports the error of a connection once. If a write has taken it, reads return what was
// received and then the end of the stream, as after an orderly shutdown.
bool ClientConnection::endedInOrder()
{
    if (unwrittenBytes() == 0)
        return true; // No write can have failed.
    return m_writeError.empty() && !hasPollEvents(m_socket, POLLHUP | POLLERR);
}

void ClientConnection::processInput()
{
    if (!m_exchangeActive) {
        // No exchange is active, so these bytes answer no request.
        closeSocket();
        if (m_onIdleClose)
            std::exchange(m_onIdleClose, {})();
        return;
    }
    parseResponses();
}

void ClientConnection::parseResponses()
{
    // A callback may end the exchange; this reference keeps its closure alive until it returns.
    const auto handler = m_handler;
    while (!m_closed && m_exchangeActive && !m_input.empty()) {
        const size_t before = m_input.size();
        const ErrorCode ec = m_parser->consume(m_input);
        if (ec) {
            fail(Failure::Malformed, ec.message());
            return;
        }
        if (!m_parser->headDone())
            return;
        if (!m_headDelivered && !m_skippingResponse) {
            m_skippingResponse =
                m_parser->head().status < status::Ok || !handler->onHead(m_parser->head());
            m_headDelivered = !m_skippingResponse;
            if (m_closed)
                return;
        }
        if (m_skippingResponse) {
            m_parser->body().clear();
            m_skippedBytes += before - m_input.size();
            if (m_skippedBytes > MaxSkippedBytes) {
                fail(Failure::Malformed, "too many bytes outside of the expected response");
                return;
            }
        } else if (!m_parser->body().empty()) {
            handler->onBody(m_parser->body());
        }
        if (m_closed || !m_parser->done())
            return;
        if (!m_skippingResponse) {
            finishExchange();
            return;
        }
        resetParser();
    }
}

void ClientConnection::finishExchange()
{
    const Head &head = m_parser->head();
    // The connection is not reusable if the response came before the whole request was sent, as the
    // peer still expects the rest of it, or if extra bytes follow the response.
    const bool keep =
        head.keepAlive && !head.closeDelimited && unwrittenBytes() == 0 && m_input.empty();
    m_reuseDeadline = core::BootClock::now() + reuseTimeout(head.fields);
    m_exchangeActive = false;
    endWatch();
    resumeReading();
    const auto self = shared_from_this();
    const auto handler = std::exchange(m_handler, {});
    if (!keep)
        closeSocket();
    handler->onEnd();
}

void ClientConnection::fail(Failure failure, const std::string &why)
{
    if (m_closed)
        return;
    const auto self = shared_from_this();
    const auto handler = std::exchange(m_handler, {});
    if (!m_writeStarted)
        failure = Failure::NotSent;
    else if (!headMayArrive())
        failure = Failure::HeadNotSent;
    // The peer must not receive the rest of a request that may be sent elsewhere now.
    if (unwrittenBytes() > 0)
        discardUnsent();
    closeSocket();
    if (handler)
        handler->onFailure(failure, why);
}

bool ClientConnection::idlePeerActive()
{
    return hasPollEvents(m_socket, POLLIN | POLLRDHUP | POLLHUP | POLLERR);
}

void ClientConnection::close()
{
    const auto self = shared_from_this();
    m_onIdleClose = {};
    closeSocket();
}

void ClientConnection::reset()
{
    discardUnsent();
    close();
}

// What the kernel holds is not sent after the socket is closed.
void ClientConnection::discardUnsent()
{
    ErrorCode ec;
    m_socket.set_option(asio::socket_base::linger(true, 0), ec);
}

void ClientConnection::closeSocket()
{
    m_closed = true;
    m_open = false;
    m_exchangeActive = false;
    m_handler = {};
    m_watching = false;
    m_slowShare.set(0, {});
    ErrorCode ec;
    m_timer.cancel();
    m_socket.close(ec);
}

} // namespace jujube::http
