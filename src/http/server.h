#pragma once

/** \file
 * Defines the HTTP server of the serving path: listener, persistent connections and responses.
 */

#include "core/clock.h"
#include "http/message.h"
#include "http/outputbudget.h"

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

/** Whether a client that has connected to an address of this machine runs on it: a loopback
 * address, or the address of the server itself, which connections over the loopback interface have
 * by default. The kernel drops packets from outside with either as their source. */
bool isLocalClient(const boost::asio::ip::address &client, const boost::asio::ip::address &server);

/** Limits on the size and duration of requests, and on idle connections. */
struct ServerLimits
{
    uint32_t maxHeadBytes = 16 * 1024;
    uint64_t maxBodyBytes = 4UL << 20U;
    core::Milliseconds headTimeout{3'000};
    core::Milliseconds idleTimeout{15'000};
};

/** Sends the response to one request. It keeps the connection object alive; calls after the end of
 * the response have no effect. */
class Responder
{
public:
    explicit Responder(std::shared_ptr<ServerConnection> connection, uint64_t exchangeId);

    /** Sends a complete response. */
    void send(const Head &head, std::string_view body) const;
    /** Sends the head of a response whose body follows with write() and finish().
     *
     * \param length Length of the body in bytes, used with Framing::Length only.
     */
    void begin(const Head &head, Framing framing, uint64_t length) const;
    void write(std::string_view data) const;
    /** Ends the body and thereby the response. */
    void finish() const;
    /** Closes the connection immediately, so that the client sees an incomplete body. */
    void abort() const;
    /** Closes the connection like abort(), but after all pending output has been sent. */
    void abortAfterFlush() const;
    /** Sends raw bytes outside of any response; for test servers that simulate faults. */
    void sendRaw(std::string_view bytes) const;
    /** Sets a callback that is invoked once if the client disconnects before finish(). */
    void onDisconnect(std::function<void()> callback) const;
    /** Whether the client has disconnected, even if the event loop has not processed that yet. */
    bool clientDisconnected() const;
    /** Bytes of the response that are buffered here, those of the write in progress included. */
    size_t unsentBytes() const;
    /** Sets a callback that is invoked each time the output buffer becomes empty. */
    void onFlushed(std::function<void()> callback) const;
    /** Whether the connection holds so much unsent output that the source has to pause. */
    bool outputFull() const;
    /** Sets a callback that is invoked once, when a source that has paused may continue. */
    void onDrained(std::function<void()> callback) const;
    /** Whether the client runs on this machine, see isLocalClient(). */
    bool clientIsLocal() const;
    /** Whether the connection carried another request before this one. */
    bool connectionReused() const;

private:
    ServerConnection *activeConnection() const;

    std::shared_ptr<ServerConnection> m_connection;
    uint64_t m_exchangeId = 0;
};

/** Accepts connections and passes complete requests to a handler, one at a time for each
 * connection. */
class Server
{
public:
    using Handler = std::function<void(Request, Responder)>;

    Server(boost::asio::io_context &io, Handler handler);
    ~Server();

    /** Starts to listen on "address:port". */
    absl::Status listen(const std::string &address);
    /** Stops accepting connections; the open ones continue. */
    void stopListening();
    /** Closes each connection after its next response from now on. */
    void closeAfterResponses() { m_closeAfterResponses = true; }
    /** Closes connections without an active or partly received request. */
    void closeIdleConnections();
    void setLimits(ServerLimits limits) { m_limits = limits; }
    /** Bounds what all later connections hold together: the bodies of requests that are received or
     * being handled, and output. A request that exceeds its bound is refused with 503. If complete
     * answers exceed theirs, the clients that have been stalled longest are disconnected. */
    void setMemory(size_t bodyBytes, size_t outputBytes)
    {
        m_bodyBudget = std::make_shared<BufferBudget>(bodyBytes);
        m_outputBudget = std::make_shared<OutputBudget>(outputBytes);
    }
    size_t connectionCount() const { return m_connections.size(); }
    /** Bytes of answers that the kernel has not taken yet. */
    size_t unsentBytes() const;
    size_t activeRequestCount() const;

private:
    friend class ServerConnection;
    void accept();
    void scheduleTimeoutCheck();
    void closeSlowestClient();

    boost::asio::io_context &m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_acceptRetryTimer;
    boost::asio::steady_timer m_timeoutCheckTimer;
    Handler m_handler;
    ServerLimits m_limits;
    std::shared_ptr<BufferBudget> m_bodyBudget;
    std::shared_ptr<OutputBudget> m_outputBudget;
    std::unordered_set<std::shared_ptr<ServerConnection>> m_connections;
    bool m_closeAfterResponses = false;
};

/** A connection of a client. Used through Server and Responder only. */
class ServerConnection : public std::enable_shared_from_this<ServerConnection>
{
public:
    ServerConnection(Server &server, boost::asio::ip::tcp::socket socket);

    void start();
    void close();
    bool hasActiveRequest() const { return m_requestActive; }
    bool isIdle() const;
    bool peerClosed();
    /** Enforces the head and idle timeouts. */
    void checkTimeouts(core::TimePoint now);

private:
    friend class Responder;
    friend class Server;

    void read();
    void processInput();
    bool checkBodySize();
    void dispatch();
    void refuse(uint32_t status);
    void respond(const Head &head, Framing framing, uint64_t length);
    void enqueue(std::string_view data);
    void flush();
    void handleWritten();
    void finishResponse();
    void handleDisconnect();
    /** Whether a write has begun, and the client leaves more than the connection's reserve unread.
     */
    bool isStalled() const;
    void updateOutputShare();
    /** Closes the connection if the client has vanished while it is sent output. */
    void checkClient();

    Server &m_server;
    boost::asio::ip::tcp::socket m_socket;
    std::string m_input;
    std::string m_pendingOutput; ///< Output that waits for the write in progress.
    std::string m_activeOutput;  ///< Output that is being written.
    OutputShare m_outputShare;   ///< Of both.
    size_t m_takenOutput = 0;    ///< Bytes of m_pendingOutput that were sent or are being written.
    core::TimePoint m_writeStartedAt{};
    bool m_outputUnacked = false; ///< The client may not have received all of the output.
    std::array<char, 8192> m_readBuffer{};
    std::unique_ptr<RequestParser> m_parser;
    std::shared_ptr<BufferShare> m_bodyShare; ///< Of the request that is being received.
    std::function<void()> m_onDisconnect;
    std::function<void()> m_onFlushed;
    std::function<void()> m_onDrained;
    core::TimePoint m_phaseStart{}; ///< Start of the current head, body or idle period.
    uint64_t m_exchangeId =
        0; ///< Counts requests, so that calls of earlier responders are ignored.
    Framing m_framing = Framing::Length;
    bool m_requestActive = false; ///< The response to the current request is not finished.
    bool m_reading = false;
    bool m_readPaused = false; ///< The client pipelined too much; reading waits for the response.
    bool m_headRequest = false;
    bool m_keepAlive = true;
    bool m_closeWhenFlushed = false;
    bool m_closed = false;
};

} // namespace jujube::http
