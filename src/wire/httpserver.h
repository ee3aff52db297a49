#pragma once

/** \file
 * Defines the bounded HTTP server of a process, on Qt's HTTP server.
 */

#include "core/clock.h"

#include <absl/status/statusor.h>
#include <QHttpServerResponder>
#include <QPointer>
#include <QTcpSocket>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <variant>
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
    void cut();
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
    enum class State { Fresh, Streaming, Ended };

    Exchange(QHttpServerResponder responder, QTcpSocket *socket);
    ~Exchange();
    void conclude();

    QHttpServerResponder m_responder;
    QPointer<QTcpSocket> m_socket;
    QObject *m_thread = nullptr;
    QMetaObject::Connection m_disconnected;
    State m_state = State::Fresh;
    std::function<void()> m_onDisconnect;
};

struct HttpServerLimits
{
    size_t maxHeaderBytes = 16UL << 10U;
    size_t maxBodyBytes = 4UL << 20U;
    int maxConnections = 1'000; ///< For each thread.
    core::Milliseconds idle{60'000};
};

/** Serves HTTP on several threads that share one address. */
class HttpServer
{
public:
    using Handler = std::function<void(IncomingRequest, std::shared_ptr<Exchange>)>;

    /** Binds the address and starts the threads.
     *
     * \param address IPv4 address and port; port 0 takes a free one.
     */
    static absl::StatusOr<std::unique_ptr<HttpServer>>
    create(const std::string &address, int threads, HttpServerLimits limits, Handler handler);
    ~HttpServer();

    uint16_t port() const { return m_port; }
    /** Stops accepting connections; requests in progress go on. */
    void stopAccepting();
    /** Exchanges that have not ended. */
    int activeExchanges() const;
    /** Ends the threads and cuts what is left. */
    void stop();

private:
    class Worker;

    HttpServer() = default;

    uint16_t m_port = 0;
    std::vector<std::unique_ptr<Worker>> m_workers;
};

} // namespace jujube::wire
