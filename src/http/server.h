#pragma once

/** \file
 * Defines the HTTP server of the serving path: listener, kept connections and responses.
 */

#include "core/clock.h"
#include "http/message.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <absl/status/status.h>

#include <array>
#include <functional>
#include <memory>
#include <unordered_set>

namespace jujube::http {

class ServerConnection;

/** What a client may send, and how long it may take. */
struct ServerLimits
{
    uint32_t maxHeadBytes = 16 * 1024;
    uint64_t maxBodyBytes = 4UL << 20U;
    core::Milliseconds headTimeout{3'000};
    core::Milliseconds idleTimeout{15'000};
};

/** The way back for one request. Keeps its connection alive; all calls after the end do nothing. */
class Responder
{
public:
    explicit Responder(std::shared_ptr<ServerConnection> connection, uint64_t exchangeId);

    /** Sends a whole response. */
    void send(const Head &head, std::string_view body) const;
    /** Starts a response whose body follows in pieces. */
    void begin(const Head &head, Framing framing, uint64_t length) const;
    void write(std::string_view data) const;
    /** Ends the body as complete. */
    void finish() const;
    /** Ends the connection so that the body does not look complete. */
    void abort() const;
    /** The same once all that was written has gone out. */
    void abortAfterFlush() const;
    /** Sends bytes as they are, outside of any response; for stand-ins that misbehave. */
    void sendRaw(std::string_view bytes) const;
    /** Called once if the client leaves before the response is finished. */
    void onDisconnect(std::function<void()> callback) const;
    /** Whether the client has left, even if the event loop has not read its close yet. */
    bool clientDisconnected() const;
    /** Bytes of the response that the client has not taken yet. */
    size_t unsentBytes() const;
    /** Called each time that all of the response so far has gone out. */
    void onFlushed(std::function<void()> callback) const;
    /** Whether the request came on a connection that had carried another one before. */
    bool connectionReused() const;

private:
    ServerConnection *activeConnection() const;

    std::shared_ptr<ServerConnection> m_connection;
    uint64_t m_exchangeId = 0;
};

/** Accepts connections and hands over whole requests, one at a time for each connection. */
class Server
{
public:
    using Handler = std::function<void(Request, Responder)>;

    Server(boost::asio::io_context &io, Handler handler);
    ~Server();

    /** Listens on "address:port". */
    absl::Status listen(const std::string &address);
    /** Further connections are not accepted any more. */
    void stopListening();
    /** Answers from now on end their connection. */
    void closeAfterResponses() { m_closeAfterResponses = true; }
    /** Closes connections that carry no request. */
    void closeIdleConnections();
    void setLimits(ServerLimits limits) { m_limits = limits; }
    size_t connectionCount() const { return m_connections.size(); }
    size_t activeRequestCount() const;

private:
    friend class ServerConnection;
    void accept();
    void scheduleTimeoutCheck();

    boost::asio::io_context &m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_retryAccept;
    boost::asio::steady_timer m_timeoutCheck;
    Handler m_handler;
    ServerLimits m_limits;
    std::unordered_set<std::shared_ptr<ServerConnection>> m_connections;
    bool m_closeAfterResponses = false;
};

/** One connection of a client. Used through Server and Responder only. */
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(Server &server, boost::asio::ip::tcp::socket socket);

    void start();
    void close();
    bool hasActiveRequest() const { return m_requestActive; }
    bool isIdle() const;
    bool peerClosed();
    /** Enforces the head and idle time-outs. */
    void checkTimeouts(core::TimePoint now);

private:
    friend class Responder;

    void read();
    void processInput();
    void dispatch();
    void refuse(uint32_t status);
    void respond(const Head &head, Framing framing, uint64_t length);
    void enqueue(std::string_view data);
    void flush();
    void finishResponse();
    void handleDisconnect();

    Server &m_server;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_input;
    std::string m_pendingOutput; ///< Waits for the write in progress.
    std::string m_activeOutput;  ///< Being written.
    std::array<char, 8192> m_readBuffer{};
    std::unique_ptr<RequestParser> m_parser;
    std::function<void()> m_onDisconnect;
    std::function<void()> m_onFlushed;
    core::TimePoint m_phaseStart{}; ///< Start of the present head, body or idle time.
    uint64_t m_exchangeId =
        0; ///< Counts requests, so that a late call of an old one is told apart.
    Framing m_framing = Framing::Length;
    bool m_requestActive = false; ///< A request was handed over and its response is not finished.
    bool m_reading = false;
    bool m_readPaused = false; ///< The client sent far ahead; reading waits for the response.
    bool m_headRequest = false;
    bool m_keepAlive = true;
    bool m_closeWhenFlushed = false;
    bool m_closed = false;
};

} // namespace jujube::http
