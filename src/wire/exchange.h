#pragma once

/** \file
 * Defines a received HTTP request and the exchange that sends its response.
 */

#include <QHttpServerResponder>
#include <QPointer>
#include <QTcpSocket>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace jujube::wire {

/** A received request. Header names compare without regard to case. */
struct IncomingRequest
{
    std::string method;
    std::string path;    ///< Percent-decoded, without the query.
    std::string rawPath; ///< As received, without the query.
    std::string query;   ///< Without the question mark.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    /** Returns the value of the first header of this name, or an empty string. */
    std::string_view header(std::string_view name) const;
    /** Returns the decoded value of a query parameter, or an empty string. */
    std::string queryValue(std::string_view name) const;
};

struct OutgoingHeader
{
    std::string name;
    std::string value;
};

/** A complete response. */
struct OutgoingResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::vector<OutgoingHeader> headers;
    std::string body;
};

/** Sends the response to one request. All members except post() run on the Qt thread of the
 * exchange.
 *
 * A response is sent either by one call of send(), or by begin(), any number of write() and end().
 * If the object is destroyed before the response has ended, the connection is aborted, so that an
 * incomplete chunked response never looks complete.
 */
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    /** Creates the exchange of a request. The object is destroyed on the thread that created it,
     * whichever thread releases the last reference. */
    static std::shared_ptr<Exchange> create(QHttpServerResponder responder, QTcpSocket *socket);
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    /** Sends a complete response. */
    void send(const OutgoingResponse &response);
    /** Starts a chunked response. */
    void begin(int status, const std::string &contentType);
    void write(std::string_view bytes);
    /** Ends a chunked response. */
    void end();
    /** Closes the connection once pending output has been sent, so that the client sees an
     * incomplete body. */
    void abortAfterFlush();
    /** Closes the connection immediately and discards pending output. */
    void abort();

    bool connected() const;
    /** Bytes accepted by write() that have not been passed to the kernel yet. */
    int64_t unsentBytes() const;
    /** Sets a callback that is invoked once if the client disconnects before the response has
     * ended, and immediately if it has disconnected already. */
    void onDisconnect(std::function<void()> callback);
    /** Queues a function to run on the thread of this exchange; callable from any thread. The
     * function is discarded if the thread has ended. */
    void post(std::function<void(Exchange &)> function);

private:
    enum class State { NotStarted, Streaming, Ended };

    Exchange(QHttpServerResponder responder, QTcpSocket *socket);
    ~Exchange();
    void finishExchange();

    QHttpServerResponder m_responder;
    QPointer<QTcpSocket> m_socket;
    QObject *m_thread = nullptr;
    QMetaObject::Connection m_disconnected;
    State m_state = State::NotStarted;
    std::function<void()> m_onDisconnect;
};

/** Names of dynamic Qt properties: the exchange state of a socket, and the context object of a
 * thread. */
namespace properties {
inline constexpr const char *Active = "exchangeActive";
inline constexpr const char *Ended = "exchangeEnded";
inline constexpr const char *Context = "context";
} // namespace properties

/** Number of Exchange objects in this process. */
int liveExchangeCount();

} // namespace jujube::wire
