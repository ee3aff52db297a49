#include "wire/httpserver.h"
#include "core/socketaddress.h"
#include "core/text.h"
#include "wire/requestbounds.h"

#include <absl/strings/match.h>
#include <QAbstractHttpServer>
#include <QCoreApplication>
#include <QEventLoop>
#include <QHttpServerRequest>
#include <QPointer>
#include <QTcpServer>
#include <QThread>
#include <QTimer>
#include <QUrl>
#include <QUrlQuery>

#include <arpa/inet.h>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <future>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jujube::wire {

namespace {

constexpr int ListenBacklog = 1024;

std::string methodName(QHttpServerRequest::Method method)
{
    switch (method) {
    case QHttpServerRequest::Method::Get:
        return "GET";
    case QHttpServerRequest::Method::Put:
        return "PUT";
    case QHttpServerRequest::Method::Delete:
        return "DELETE";
    case QHttpServerRequest::Method::Post:
        return "POST";
    case QHttpServerRequest::Method::Head:
        return "HEAD";
    case QHttpServerRequest::Method::Options:
        return "OPTIONS";
    case QHttpServerRequest::Method::Patch:
        return "PATCH";
    default:
        return "UNKNOWN";
    }
}

IncomingRequest convert(const QHttpServerRequest &request)
{
    IncomingRequest result;
    result.method = methodName(request.method());
    result.path = request.url().path(QUrl::FullyDecoded).toStdString();
    result.rawPath = request.url().path(QUrl::FullyEncoded).toStdString();
    result.query = request.url().query(QUrl::FullyEncoded).toStdString();
    for (const auto &[name, value] : request.headers())
        result.headers.emplace_back(name.toStdString(), value.toStdString());
    result.body = request.body().toStdString();
    return result;
}

enum class PortSharing { Exclusive, BetweenThreads };

absl::StatusOr<int> listenOn(const sockaddr_in &address, PortSharing sharing)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (sharing == PortSharing::BetweenThreads)
        setsockopt(fd, SOL_SOCKET, SO_REUSEPORT, &one, sizeof(one));
    if (bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || listen(fd, ListenBacklog) != 0) {
        const std::string reason = std::strerror(errno);
        close(fd);
        return absl::UnavailableError(core::concat("cannot listen: ", reason));
    }
    return fd;
}

uint16_t boundPort(int fd)
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size);
    return ntohs(address.sin_port);
}

class BoundedTcpServer : public QTcpServer
{
public:
    explicit BoundedTcpServer(const HttpServerLimits &limits) : m_limits(limits) { }

protected:
    void incomingConnection(qintptr descriptor) override
    {
        auto *socket = new QTcpSocket(this);
        socket->setSocketDescriptor(descriptor);
        socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
        if (m_connections >= m_limits.maxConnectionsPerThread) {
            refuse(socket, 503, "too many connections");
            QObject::connect(socket, &QTcpSocket::disconnected, socket, &QObject::deleteLater);
            return;
        }
        ++m_connections;
        // These slots are connected before Qt's HTTP server gets the socket, so they run first.
        QObject::connect(socket, &QTcpSocket::disconnected, this, [this]() { --m_connections; });
        enforceSizeLimits(socket);
        enforceIdleTimeout(socket);
        addPendingConnection(socket);
    }

private:
    void enforceSizeLimits(QTcpSocket *socket)
    {
        auto bounds =
            std::make_shared<RequestBounds>(m_limits.maxHeaderBytes, m_limits.maxBodyBytes);
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [socket, bounds]() {
            if (socket->property(properties::Active).toBool())
                return;
            if (socket->property(properties::Ended).toBool()) {
                socket->setProperty(properties::Ended, false);
                bounds->startNextRequest();
            }
            switch (bounds->inspect(socket->peek(socket->bytesAvailable()))) {
            case RequestBounds::Verdict::Ok:
                return;
            case RequestBounds::Verdict::HeaderTooLarge:
                refuse(socket, 431, "header over its bound");
                return;
            case RequestBounds::Verdict::BodyTooLarge:
                refuse(socket, 413, "body over its bound");
                return;
            }
        });
    }

    void enforceIdleTimeout(QTcpSocket *socket)
    {
        auto *timer = new QTimer(socket);
        timer->setInterval(m_limits.idleTimeout);
        QObject::connect(timer, &QTimer::timeout, socket, [socket]() {
            if (!socket->property(properties::Active).toBool())
                socket->abort();
        });
        QObject::connect(socket, &QTcpSocket::readyRead, timer, qOverload<>(&QTimer::start));
        timer->start();
    }

    static void refuse(QTcpSocket *socket, int status, std::string_view message)
    {
        const std::string body = core::concat("{\"error\":{\"code\":", status, ",\"message\":\"",
                                              message, "\",\"outcome\":\"not-run\"}}");
        const std::string text =
            core::concat("HTTP/1.1 ", status,
                         " Refused\r\nContent-Type: ", "application/json\r\nConnection: close\r\n",
                         "Content-Length: ", body.size(), "\r\n\r\n", body);
        socket->write(text.data(), static_cast<qint64>(text.size()));
        // Input is discarded here, because the slot of Qt's parser runs after this one.
        socket->readAll();
        QObject::connect(socket, &QTcpSocket::readyRead, socket, [socket]() { socket->readAll(); });
        socket->disconnectFromHost();
    }

    HttpServerLimits m_limits;
    int m_connections = 0;
};

class QtHttpServer : public QAbstractHttpServer
{
public:
    explicit QtHttpServer(HttpServer::Handler handler) : m_handler(std::move(handler)) { }

protected:
    bool handleRequest(const QHttpServerRequest &request, QTcpSocket *socket) override
    {
        socket->setProperty(properties::Active, true);
        auto exchange = Exchange::create(makeResponder(request, socket), socket);
        m_handler(convert(request), std::move(exchange));
        return true;
    }

    void missingHandler(const QHttpServerRequest & /*request*/, QTcpSocket *socket) override
    {
        socket->abort();
    }

private:
    HttpServer::Handler m_handler;
};

} // namespace

// A thread with its own event loop, listening socket and Qt HTTP server.
class HttpServer::Worker
{
public:
    Worker(int fd, const HttpServerLimits &limits, Handler handler)
    {
        std::promise<void> started;
        auto ready = started.get_future();
        m_thread = std::thread([this, fd, limits, handler = std::move(handler), &started]() {
            run(fd, limits, handler, started);
        });
        ready.wait();
    }

    ~Worker()
    {
        stop();
        delete m_context;
    }

    void post(std::function<void()> function)
    {
        QMetaObject::invokeMethod(m_context, std::move(function), Qt::QueuedConnection);
    }

    void stopAccepting()
    {
        post([this]() {
            // Connections that the kernel has already accepted are served before the socket closes.
            m_listener->close();
        });
    }

    void stop()
    {
        if (!m_thread.joinable())
            return;
        post([this]() { m_loop->quit(); });
        m_thread.join();
    }

private:
    void run(int fd, const HttpServerLimits &limits, const Handler &handler,
             std::promise<void> &started)
    {
        // Outlives the event loop, because exchanges that are released later still post to it. Such
        // functions are never run.
        auto *context = new QObject;
        QEventLoop loop;
        BoundedTcpServer listener(limits);
        QtHttpServer server(handler);
        QThread::currentThread()->setProperty(properties::Context, QVariant::fromValue(context));
        listener.setSocketDescriptor(fd);
        server.bind(&listener);
        m_context = context;
        m_loop = &loop;
        m_listener = &listener;
        started.set_value();
        loop.exec();
        // bind() made the server the owner of the listener, which belongs to this scope.
        listener.setParent(nullptr);
    }

    std::thread m_thread;
    QObject *m_context = nullptr;
    QEventLoop *m_loop = nullptr;
    QTcpServer *m_listener = nullptr;
};

absl::StatusOr<std::unique_ptr<HttpServer>> HttpServer::create(const std::string &address,
                                                               int threads, HttpServerLimits limits,
                                                               Handler handler)
{
    const auto parsed = core::parseSocketAddress(address);
    if (!parsed.ok())
        return parsed.status();
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_addr.s_addr = htonl(parsed->ip);
    target.sin_port = htons(parsed->port);

    // SO_REUSEPORT would also let a second process listen on the port unnoticed, and the kernel
    // would split the requests between the two. Listening exclusively first detects that.
    const auto probe = listenOn(target, PortSharing::Exclusive);
    if (!probe.ok())
        return absl::UnavailableError(
            core::concat(address, ": ", core::toStd(probe.status().message())));
    close(*probe);

    std::unique_ptr<HttpServer> server(new HttpServer);
    for (int i = 0; i < threads; ++i) {
        const auto fd = listenOn(target, PortSharing::BetweenThreads);
        if (!fd.ok())
            return absl::UnavailableError(core::concat(address, ": ", fd.status().message()));
        server->m_port = boundPort(*fd);
        target.sin_port = htons(server->m_port);
        server->m_workers.push_back(std::make_unique<Worker>(*fd, limits, handler));
    }
    return server;
}

HttpServer::~HttpServer()
{
    stop();
}

void HttpServer::stopAccepting()
{
    for (const auto &worker : m_workers)
        worker->stopAccepting();
}

int HttpServer::activeExchanges() const
{
    return liveExchangeCount();
}

void HttpServer::stop()
{
    for (const auto &worker : m_workers)
        worker->stop();
}

} // namespace jujube::wire
