#pragma once

/** \file
 * Defines one connection to an HTTP server that carries one exchange at a time.
 */

#include "core/clock.h"
#include "http/message.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>

namespace jujube::http {

/** How an exchange failed. */
enum class Failure {
    NotSent,        ///< No byte of the request left this process: the peer cannot have acted on it.
    ConnectionLost, ///< The connection ended or fell silent before the response was whole.
    Malformed,      ///< What came is no valid response.
};

/** Callbacks of one exchange. Dropping the exchange with close() silences them all. */
struct ExchangeHandler
{
    /** A response head came. \return false if it belongs to another request: it is skipped. */
    std::function<bool(const Head &)> onHead;
    std::function<void(std::string &)> onBody; ///< Body bytes; what is taken must be cleared.
    std::function<void()> onEnd;               ///< The response is whole.
    std::function<void(Failure, const std::string &why)> onFailure;
};

/** A kept connection. Between two exchanges it watches for the peer's close or stray bytes. */
class ClientConnection : public std::enable_shared_from_this<ClientConnection>
{
public:
    static std::shared_ptr<ClientConnection> create(boost::asio::io_context &io,
                                                    const std::string &address);
    ~ClientConnection();

    /** Sends a request, after connecting if need be. \a bytes is the whole message. */
    void send(std::string bytes, bool headRequest, core::Milliseconds connectTimeout,
              ExchangeHandler handler);
    /** Stops reading from the socket until resumeReading(), so that the peer has to wait. */
    void pauseReading() { m_readPaused = true; }
    void resumeReading();
    /** Ends the connection at once; no callback follows. */
    void close();

    /** Whether another request may be sent on it now. */
    bool isReusable() const
    {
        return m_open && !m_exchangeActive && m_reuseDeadline > core::BootClock::now();
    }
    bool isOpen() const { return m_open; }
    const std::string &address() const { return m_address; }
    /** Called once when the connection closes by itself while idle. */
    void onIdleClose(std::function<void()> callback) { m_onIdleClose = std::move(callback); }

private:
    ClientConnection(boost::asio::io_context &io, std::string address);

    void connect(core::Milliseconds timeout);
    void handleConnected();
    void write();
    void read();
    void processInput();
    void parseResponses();
    void resetParser();
    void finishExchange();
    void fail(Failure failure, const std::string &why);
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
    bool m_open = false;
    bool m_exchangeActive = false;
    bool m_closed = false;
    bool m_writeActive = false;
    bool m_writeStarted = false;
    bool m_headRequest = false;
    bool m_headDelivered = false;
    bool m_skippingResponse = false; ///< The response being read answers an earlier request.
    size_t m_skippedBytes = 0;       ///< Of responses to other requests, in this exchange.
    bool m_readActive = false;
    bool m_readPaused = false; ///< The consumer of the body applies back pressure.
};

/** Options that make a connection notice a peer that vanished without a reset. */
void setTcpOptions(boost::asio::ip::tcp::socket &socket);

} // namespace jujube::http
