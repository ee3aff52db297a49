#pragma once

/** \file
 * Defines a client connection to an HTTP server that carries one exchange at a time.
 */

#include "core/clock.h"
#include "http/message.h"
#include "http/outputbudget.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>

namespace jujube::http {

/** How an exchange failed. */
enum class Failure {
    NotSent,        ///< No byte of the request left this process: the peer cannot have acted on it.
    HeadNotSent,    ///< The end of its head never left it: the peer cannot have begun to act on it.
    ConnectionLost, ///< The connection ended or timed out before the response was complete.
    Malformed,      ///< The received bytes are not a valid response.
};

/** A request that its peer has not taken whole. */
struct SlowSend
{
    size_t unsentBytes = 0; ///< Bytes that the peer has not acknowledged.
    core::Milliseconds stalledFor{};
};

/** What becomes of a request whose peer responds, but takes nothing of it for some seconds. */
enum class StalledSend {
    GiveUp,
    Wait, ///< The peer may be working on it.
};

/** Callbacks of one exchange. None of them is invoked after ClientConnection::close(). */
struct ExchangeHandler
{
    /** Invoked with each response head. \return false if the response answers another request;
     * it is skipped then. */
    std::function<bool(const Head &)> onHead;
    std::function<void(std::string &)> onBody; ///< Receives body bytes and clears what it consumed.
    std::function<void()> onEnd;               ///< Invoked when the response is complete.
    std::function<void(Failure, const std::string &why)> onFailure;
};

/** A persistent connection. While idle it closes itself if the peer closes it or sends bytes that
 * answer no request. */
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    /** \param budget bounds what is held for slow peers; may be null. */
    static std::shared_ptr<ClientConnection>
    create(boost::asio::io_context &io, const std::string &address,
           const std::shared_ptr<SlowSendBudget> &budget = nullptr);
    ~ClientConnection();

    /** Sends a request, and connects first if the connection is not open.
     *
     * \param bytes The whole serialized request.
     * \param headRequest Whether its method is HEAD, whose response has no body.
     */
    void send(std::string bytes, bool headRequest, core::Milliseconds connectTimeout,
              ExchangeHandler handler, StalledSend stalledSend = StalledSend::GiveUp);
    /** Applies back pressure: stops reading from the socket until resumeReading(). */
    void pauseReading() { m_readPaused = true; }
    void resumeReading();
    /** Closes the connection immediately; no callback is invoked afterwards. The kernel still sends
     * what was written. */
    void close();
    /** Like close(), but discards what the kernel has not sent yet, such as a request that waits on
     * a slow link. */
    void reset();

    /** Whether the connection is open and idle, and its idle timeout has not expired. */
    bool isReusable() const
    {
        return m_open && !m_exchangeActive && m_reuseDeadline > core::BootClock::now();
    }
    /** Whether the peer of an idle connection has closed it or sent bytes, even if the event loop
     * has not processed that yet. */
    bool idlePeerActive();
    bool isOpen() const { return m_open; }
    /** Whether the peer may have received the whole head of this exchange's request, or may do so
     * after reset(). It may begin to work on the request then, before it reads the body. */
    bool headMayArrive() const
    {
        return m_writeStarted && (m_writeActive || m_writtenBytes >= m_headBytes);
    }
    /** Bytes of the last exchange's request that were not passed to the kernel. */
    size_t unwrittenBytes() const { return m_requestBytes - m_writtenBytes; }
    /** What the peer has not taken of the request that was given up because it takes too little;
     * nothing if the exchange ended otherwise. */
    const std::optional<SlowSend> &slowSend() const { return m_slowSend; }
    /** Whether the connection has carried another exchange before the current one. */
    bool reused() const { return m_exchangeCount > 1; }
    const std::string &address() const { return m_address; }
    /** Sets a callback that is invoked once if the connection closes by itself while idle. */
    void onIdleClose(std::function<void()> callback) { m_onIdleClose = std::move(callback); }

private:
    ClientConnection(boost::asio::io_context &io, std::string address,
                     const std::shared_ptr<SlowSendBudget> &budget);

    void connect(core::Milliseconds timeout);
    void handleConnected();
    void startWriting();
    void write();
    void handleWritten();
    void handleWriteFailed(const std::string &why);
    /** Whether the peer has ended the connection in order, when a read returns its end. */
    bool endedInOrder();
    /** Checks regularly, until all is sent, whether the peer takes the request. */
    void watchSend();
    void checkSend();
    void endWatch();
    void giveUpSend(const std::string &why);
    void read();
    void processInput();
    void parseResponses();
    void resetParser();
    void finishExchange();
    void fail(Failure failure, const std::string &why);
    void discardUnsent();
    void closeSocket();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::string m_address;
    std::string m_output;
    std::string m_input;
    std::array<char, 16384> m_readBuffer{};
    std::unique_ptr<ResponseParser> m_parser;
    std::shared_ptr<ExchangeHandler> m_handler;
    std::function<void()> m_onIdleClose;
    core::TimePoint m_reuseDeadline{};
    uint64_t m_exchangeCount = 0;
    bool m_open = false;
    bool m_exchangeActive = false;
    bool m_closed = false;
    bool m_writeActive = false; ///< The outcome of a write is not known yet.
    bool m_writeStarted = false;
    bool m_headRequest = false;
    bool m_headDelivered = false;
    bool m_skippingResponse = false; ///< The response being read answers another request.
    size_t m_skippedBytes = 0;       ///< Bytes of such responses during this exchange.
    bool m_answerBegun = false;      ///< Bytes were received during this exchange.

    // State of the request that is being sent.
    size_t m_requestBytes = 0;
    size_t m_headBytes = 0;
    size_t m_writtenBytes = 0; ///< Passed to the kernel.
    std::string m_writeError;  ///< Why the rest cannot be written; empty: no write has failed.
    size_t m_takenBytes = 0;   ///< Acknowledged by the peer at the last check.
    core::TimePoint m_takenAt{};
    uint32_t m_stalledChecks = 0; ///< In a row, without a byte taken.
    uint32_t m_slowChecks = 0;    ///< In a row, with little taken.
    bool m_watching = false;
    StalledSend m_stalledSend = StalledSend::GiveUp;
    SlowSendShare m_slowShare;
    std::optional<SlowSend> m_slowSend;

    bool m_readActive = false;
    bool m_readPaused = false; ///< The consumer of the body applies back pressure.
};

/** Disables Nagle's algorithm and sets keep-alive and user timeouts, so that a peer that vanished
 * without a reset is detected. */
void setTcpOptions(boost::asio::ip::tcp::socket &socket);

} // namespace jujube::http
