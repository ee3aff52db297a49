#pragma once

/** \file
 * Defines an HTTP request as received and the exchange that answers it.
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

/** A request as received. Header names compare without regard to case. */
struct IncomingRequest
{
    std::string method;
    std::string path;    ///< Percent-decoded, without the query.
    std::string rawPath; ///< As received, without the query.
    std::string query;   ///< Without the question mark.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string_view header(std::string_view name) const;
    std::string queryValue(std::string_view name) const;
};

struct OutgoingHeader
{
    std::string name;
    std::string value;
};

/** A whole response. */
struct OutgoingResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::vector<OutgoingHeader> headers;
    std::string body;
};

/** The answer side of one exchange. All members run on the exchange's Qt thread.
 *
 * Either send() is called once, or begin(), any number of write() and then end(). If the object
 * goes away before the response ended, the connection is cut: a chunked response is never closed
 * as if it were whole.
 */
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
    /** Takes over a request's responder. The object is destroyed on the thread it was created on,
     * whichever thread drops the last reference. */
    static std::shared_ptr<Exchange> create(QHttpServerResponder responder, QTcpSocket *socket);
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    void send(const OutgoingResponse &response);
    void begin(int status, const std::string &contentType);
    void write(std::string_view bytes);
    void end();
    /** Closes the connection after what was written, without the end of a whole answer. */
    void abortAfterFlush();
    /** Cuts the connection at once and drops what has not been sent. */
    void abort();

    bool connected() const;
    /** Bytes accepted by write() and not yet taken by the caller. */
    int64_t unsentBytes() const;
    /** Called once when the caller leaves before the response ended. */
    void onDisconnect(std::function<void()> callback);
    /** Runs a function on this exchange's thread; callable from any thread. The function is
     * dropped when the thread has ended. */
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

/** Names of the dynamic properties that tie a socket to its exchange and a thread to its context.
 */
namespace properties {
inline constexpr const char *Active = "exchangeActive";
inline constexpr const char *Ended = "exchangeEnded";
inline constexpr const char *Context = "context";
} // namespace properties

/** Exchanges of this process that have not been answered to the end. */
int liveExchangeCount();

} // namespace jujube::wire
