#include "http/server.h"

#include "core/eventlog.h"
#include "core/metrics.h"
#include "core/socketaddress.h"
#include "http/clientconnection.h"
#include "http/socketstate.h"
#include "http/transferrate.h"

#include <boost/asio/ip/address_v4.hpp>

#include <algorithm>

namespace jujube::http {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

// Limit of pipelined input that is buffered while a request is being served.
constexpr size_t MaxReadAheadBytes = 64UL * 1024;
// The kernel doubles it, and would otherwise hold up to 4 MB of output for each slow client. 256 KB
// allow 200 Mbit/s at a round trip of 10 ms.
constexpr int SendBufferBytes = 128 * 1024;
constexpr core::Milliseconds TimeoutCheckInterval{500};
constexpr core::Milliseconds AcceptRetryDelay{50}; // Lets descriptors close if the process ran out.
constexpr int Backlog = 1024;
// Bodies that take all of the memory for them arrive within about a second.
constexpr std::chrono::seconds RefusalRetryAfter{1};

} // namespace

Responder::Responder(std::shared_ptr<ServerConnection> connection, uint64_t exchangeId)
    : m_connection(std::move(connection)), m_exchangeId(exchangeId)
{
}

ServerConnection *Responder::activeConnection() const
{
    const bool valid =
        m_connection && m_connection->m_requestActive && m_connection->m_exchangeId == m_exchangeId;
    return valid ? m_connection.get() : nullptr;
}

void Responder::send(const Head &head, std::string_view body) const
{
    ServerConnection *connection = activeConnection();
    if (!connection)
        return;
    connection->respond(head, Framing::Length, body.size());
    if (!connection->m_headRequest)
        connection->enqueue(body);
    connection->finishResponse();
}

void Responder::begin(const Head &head, Framing framing, uint64_t length) const
{
    if (ServerConnection *connection = activeConnection()) {
        connection->respond(head, framing, length);
        connection->flush();
    }
}

void Responder::write(std::string_view data) const
{
    ServerConnection *connection = activeConnection();
    if (!connection || connection->m_headRequest)
        return;
    if (connection->m_framing == Framing::Chunked)
        connection->enqueue(renderChunk(data));
    else
        connection->enqueue(data);
    connection->flush();
}

void Responder::finish() const
{
    ServerConnection *connection = activeConnection();
    if (!connection)
        return;
    if (connection->m_framing == Framing::Chunked && !connection->m_headRequest)
        connection->enqueue(LastChunk);
    connection->finishResponse();
}

void Responder::abort() const
{
    if (ServerConnection *connection = activeConnection())
        connection->close();
}

void Responder::abortAfterFlush() const
{
    if (ServerConnection *connection = activeConnection()) {
        connection->m_closeWhenFlushed = true;
        connection->m_onDisconnect = {};
        connection->flush();
    }
}

void Responder::sendRaw(std::string_view bytes) const
{
    if (m_connection && !m_connection->m_closed) {
        m_connection->enqueue(bytes);
        m_connection->flush();
    }
}

void Responder::onDisconnect(std::function<void()> callback) const
{
    if (ServerConnection *connection = activeConnection())
        connection->m_onDisconnect = std::move(callback);
}

bool Responder::clientDisconnected() const
{
    ServerConnection *connection = activeConnection();
    return !connection || connection->peerClosed();
}

size_t Responder::unsentBytes() const
{
    const ServerConnection *connection = activeConnection();
    return connection ? connection->m_outputShare.bytes() : 0;
}

void Responder::onFlushed(std::function<void()> callback) const
{
    if (ServerConnection *connection = activeConnection())
        connection->m_onFlushed = std::move(callback);
}

bool Responder::outputFull() const
{
    const ServerConnection *connection = activeConnection();
    return connection && connection->m_outputShare.full();
}

void Responder::onDrained(std::function<void()> callback) const
{
    if (ServerConnection *connection = activeConnection())
        connection->m_onDrained = std::move(callback);
}

bool Responder::connectionReused() const
{
    return m_exchangeId > 1;
}

Server::Server(asio::io_context &io, Handler handler)
    : m_io(io),
      m_acceptor(io),
      m_acceptRetryTimer(io),
      m_timeoutCheckTimer(io),
      m_handler(std::move(handler))
{
}

Server::~Server()
{
    const auto connections = m_connections;
    for (const auto &it : connections)
        it->close();
}

absl::Status Server::listen(const std::string &address)
{
    const auto parsed = core::parseSocketAddress(address);
    if (!parsed.ok())
        return parsed.status();
    const tcp::endpoint endpoint(asio::ip::address_v4(parsed->ip), parsed->port);
    ErrorCode ec;
    m_acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        m_acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    if (!ec)
        m_acceptor.bind(endpoint, ec);
    if (!ec)
        m_acceptor.listen(Backlog, ec);
    if (ec)
        return absl::UnavailableError("cannot listen on " + address + ": " + ec.message());
    accept();
    scheduleTimeoutCheck();
    return absl::OkStatus();
}

void Server::stopListening()
{
    ErrorCode ec;
    m_acceptor.close(ec);
}

void Server::accept()
{
    m_acceptor.async_accept([this](const ErrorCode &ec, tcp::socket socket) {
        if (!m_acceptor.is_open())
            return;
        if (ec) {
            core::Event("server.accept.failed").with("why", ec.message());
            m_acceptRetryTimer.expires_after(AcceptRetryDelay);
            m_acceptRetryTimer.async_wait([this](const ErrorCode &waitError) {
                if (!waitError && m_acceptor.is_open())
                    accept();
            });
            return;
        }
        ErrorCode ignored;
        setTcpOptions(socket);
        // The kernel's limit would also end connections whose client pauses reading.
        setUserTimeout(socket, core::Milliseconds(0));
        if (m_outputBudget)
            socket.set_option(asio::socket_base::send_buffer_size(SendBufferBytes), ignored);
        const auto connection = std::make_shared<ServerConnection>(*this, std::move(socket));
        m_connections.insert(connection);
        connection->start();
        accept();
    });
}

void Server::scheduleTimeoutCheck()
{
    m_timeoutCheckTimer.expires_after(TimeoutCheckInterval);
    m_timeoutCheckTimer.async_wait([this](const ErrorCode &ec) {
        if (ec)
            return;
        const core::TimePoint now = core::BootClock::now();
        const auto connections = m_connections;
        for (const auto &it : connections)
            it->checkTimeouts(now);
        scheduleTimeoutCheck();
    });
}

// The connection is closed from the event loop, as a response may be written to it at the moment.
void Server::closeSlowestClient()
{
    std::shared_ptr<ServerConnection> slowest;
    for (const auto &it : m_connections) {
        if (it->isStalled() && (!slowest || it->m_writeStartedAt < slowest->m_writeStartedAt))
            slowest = it;
    }
    if (!slowest)
        return;
    asio::post(m_io, [slowest]() {
        const OutputShare &share = slowest->m_outputShare;
        if (slowest->m_closed || !slowest->m_server.m_outputBudget->exceeded())
            return;
        core::incrementCounter("jujube_slow_clients_closed_total");
        core::Event("client.slow.closed")
            .with("unsent_bytes", share.bytes())
            .with("used_bytes", slowest->m_server.m_outputBudget->usedBytes())
            .with("max_bytes", slowest->m_server.m_outputBudget->maxBytes());
        slowest->handleDisconnect();
    });
}

void Server::closeIdleConnections()
{
    const auto connections = m_connections;
    for (const auto &it : connections) {
        if (it->isIdle())
            it->close();
    }
}

size_t Server::unsentBytes() const
{
    size_t sum = 0;
    for (const auto &it : m_connections)
        sum += it->m_outputShare.bytes();
    return sum;
}

size_t Server::activeRequestCount() const
{
    return static_cast<size_t>(
        std::count_if(m_connections.begin(), m_connections.end(),
                      [](const auto &it) { return it->hasActiveRequest(); }));
}

ServerConnection::ServerConnection(Server &server, tcp::socket socket)
    : m_server(server),
      m_socket(std::move(socket)),
      m_outputShare(server.m_outputBudget),
      m_phaseStart(core::BootClock::now())
{
}

void ServerConnection::start()
{
    m_parser = std::make_unique<RequestParser>(m_server.m_limits.maxHeadBytes);
    read();
}

void ServerConnection::read()
{
    if (m_reading || m_closed)
        return;
    m_reading = true;
    const auto self = shared_from_this();
    m_socket.async_read_some(asio::buffer(m_readBuffer), [self](const ErrorCode &ec, size_t n) {
        self->m_reading = false;
        if (self->m_closed)
            return;
        if (ec) {
            self->handleDisconnect();
            return;
        }
        if (self->m_input.empty() && !self->m_requestActive && !self->m_parser->started())
            self->m_phaseStart = core::BootClock::now();
        // After the last response input is read only to see the client close.
        if (!self->m_closeWhenFlushed)
            self->m_input.append(self->m_readBuffer.data(), n);
        self->processInput();
        self->m_readPaused = self->m_requestActive && self->m_input.size() > MaxReadAheadBytes;
        if (!self->m_readPaused)
            self->read();
    });
}

void ServerConnection::processInput()
{
    if (m_requestActive || m_closeWhenFlushed || m_input.empty())
        return;
    if (const ErrorCode ec = m_parser->consume(m_input)) {
        core::Event("request.malformed").with("why", ec.message());
        refuse(ec == boost::beast::http::error::header_limit ? status::HeadTooLarge
                                                             : status::BadRequest);
        return;
    }
    if (!m_parser->headDone() || !checkBodySize())
        return;
    const Head &head = m_parser->head();
    if (m_parser->done()) {
        dispatch();
        return;
    }
    if (const auto expect = head.fields.find("expect");
        expect && equalIgnoreCase(*expect, "100-continue") && m_parser->body().empty()) {
        enqueue("HTTP/1.1 100 Continue\r\n\r\n");
        flush();
    }
}

// Refuses the request if its body is too large. \return false if it has refused it.
bool ServerConnection::checkBodySize()
{
    const uint64_t received = m_parser->body().size();
    const uint64_t stated = m_parser->head().contentLength.value_or(0);
    if (std::max(received, stated) > m_server.m_limits.maxBodyBytes) {
        refuse(status::ContentTooLarge);
        return false;
    }
    if (received == 0)
        return true;
    if (!m_bodyShare)
        m_bodyShare = std::make_shared<BufferShare>(m_server.m_bodyBudget);
    if (m_bodyShare->resize(received))
        return true;
    core::Event("request.unbuffered")
        .with("body_bytes", received)
        .with("used_bytes", m_server.m_bodyBudget->usedBytes())
        .with("max_bytes", m_server.m_bodyBudget->maxBytes());
    refuse(status::ServiceUnavailable);
    return false;
}

void ServerConnection::dispatch()
{
    m_requestActive = true;
    ++m_exchangeId;
    Request request{std::move(m_parser->head()), std::move(m_parser->body()),
                    std::exchange(m_bodyShare, nullptr)};
    m_keepAlive = request.head.keepAlive;
    m_headRequest = request.head.method == "HEAD";
    m_parser = std::make_unique<RequestParser>(m_server.m_limits.maxHeadBytes);
    m_server.m_handler(std::move(request), Responder(shared_from_this(), m_exchangeId));
}

// Refuses a request that is not complete, and closes the connection.
void ServerConnection::refuse(uint32_t status)
{
    m_parser = std::make_unique<RequestParser>(m_server.m_limits.maxHeadBytes);
    m_bodyShare = nullptr;
    m_input.clear();
    m_requestActive = true;
    ++m_exchangeId;
    m_keepAlive = false;
    Head head;
    head.status = status;
    if (status == status::ServiceUnavailable)
        head.fields.add("Retry-After", std::to_string(RefusalRetryAfter.count()));
    respond(head, Framing::Length, 0);
    finishResponse();
}

void ServerConnection::finishResponse()
{
    m_requestActive = false;
    m_onDisconnect = {};
    m_onFlushed = {};
    m_onDrained = {};
    m_phaseStart = core::BootClock::now();
    // The server may have begun to stop after the head announced a persistent connection.
    m_closeWhenFlushed = !m_keepAlive || m_server.m_closeAfterResponses;
    flush();
    if (m_closeWhenFlushed)
        return;
    // A pipelined request is processed from the event loop, not inside the call that ended the
    // previous response.
    if (!m_input.empty() || m_readPaused) {
        asio::post(m_socket.get_executor(), [self = shared_from_this()]() {
            if (self->m_closed)
                return;
            self->processInput();
            if (self->m_readPaused && self->m_input.size() <= MaxReadAheadBytes) {
                self->m_readPaused = false;
                self->read();
            }
        });
    }
}

bool ServerConnection::isIdle() const
{
    return !m_requestActive && m_input.empty() && !m_parser->started() && m_activeOutput.empty();
}

// Polls the socket, because a busy event loop may not have processed the close yet.
bool ServerConnection::peerClosed()
{
    if (m_closed)
        return true;
    return hasPollEvents(m_socket, POLLRDHUP | POLLHUP | POLLERR);
}

void ServerConnection::checkTimeouts(core::TimePoint now)
{
    checkClient();
    if (m_requestActive || m_closed)
        return;
    const ServerLimits &limits = m_server.m_limits;
    const bool requestBegun = !m_input.empty() || m_parser->started();
    if (!requestBegun && !m_activeOutput.empty()) {
        // The client still takes the last answer.
        if (now - m_writeStartedAt > limits.idleTimeout)
            close();
    } else if (isIdle()) {
        if (now - m_phaseStart > limits.idleTimeout)
            close();
    } else if (!m_parser->headDone() && now - m_phaseStart > limits.headTimeout) {
        refuse(status::RequestTimeout);
    } else if (now - m_phaseStart > limits.headTimeout + limits.idleTimeout
                   + transferAllowance(m_parser->body().size())) {
        close();
    }
}

void ServerConnection::handleDisconnect()
{
    const auto self = shared_from_this();
    const auto disconnected = std::exchange(m_onDisconnect, {});
    close();
    if (disconnected)
        disconnected();
}

void ServerConnection::close()
{
    if (m_closed)
        return;
    const auto self = shared_from_this();
    m_closed = true;
    m_requestActive = false;
    m_onDisconnect = {};
    m_onFlushed = {};
    m_onDrained = {};
    // A session may keep the connection for some time. Output in progress is still referred to.
    m_pendingOutput = {};
    m_takenOutput = 0;
    m_outputShare.set(0);
    ErrorCode ec;
    m_socket.close(ec);
    m_server.m_connections.erase(self);
}

} // namespace jujube::http
