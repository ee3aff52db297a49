#include "wire/exchange.h"

#include "core/text.h"

#include <absl/strings/match.h>
#include <QThread>
#include <QUrl>
#include <QUrlQuery>

#include <atomic>

namespace jujube::wire {

namespace {

std::atomic<int> liveExchanges{0};

QByteArray bytes(std::string_view text)
{
    return {text.data(), static_cast<qsizetype>(text.size())};
}

} // namespace

int liveExchangeCount()
{
    return liveExchanges.load();
}

std::string_view IncomingRequest::header(std::string_view name) const
{
    for (const auto &[key, value] : headers) {
        if (absl::EqualsIgnoreCase(key, core::toAbsl(name)))
            return value;
    }
    return {};
}

std::string IncomingRequest::queryValue(std::string_view name) const
{
    const QUrlQuery parsed(QString::fromStdString(query));
    return parsed
        .queryItemValue(QString::fromUtf8(name.data(), static_cast<qsizetype>(name.size())),
                        QUrl::FullyDecoded)
        .toStdString();
}

std::shared_ptr<Exchange> Exchange::create(QHttpServerResponder responder, QTcpSocket *socket)
{
    auto *exchange = new Exchange(std::move(responder), socket);
    return {exchange, [](Exchange *it) {
                QMetaObject::invokeMethod(
                    it->m_thread, [it]() { delete it; }, Qt::AutoConnection);
            }};
}

Exchange::Exchange(QHttpServerResponder responder, QTcpSocket *socket)
    : m_responder(std::move(responder)),
      m_socket(socket),
      m_thread(socket->thread()->property(properties::Context).value<QObject *>())
{
    ++liveExchanges;
    m_disconnected = QObject::connect(socket, &QTcpSocket::disconnected, m_thread, [this]() {
        if (m_state != State::Ended && m_onDisconnect)
            std::exchange(m_onDisconnect, nullptr)();
    });
}

Exchange::~Exchange()
{
    --liveExchanges;
    QObject::disconnect(m_disconnected);
    if (m_state != State::Ended)
        abort();
    if (m_socket) {
        m_socket->setProperty(properties::Active, false);
        m_socket->setProperty(properties::Ended, true);
    }
}

void Exchange::send(const OutgoingResponse &response)
{
    if (m_state != State::NotStarted || !m_socket)
        return;
    m_responder.writeStatusLine(static_cast<QHttpServerResponder::StatusCode>(response.status));
    m_responder.writeHeader("Content-Type", bytes(response.contentType));
    for (const OutgoingHeader &header : response.headers)
        m_responder.writeHeader(bytes(header.name), bytes(header.value));
    m_responder.writeHeader("Content-Length", QByteArray::number(qulonglong(response.body.size())));
    m_responder.writeBody(bytes(response.body));
    finishExchange();
}

void Exchange::begin(int status, const std::string &contentType)
{
    if (m_state != State::NotStarted || !m_socket)
        return;
    m_responder.writeStatusLine(static_cast<QHttpServerResponder::StatusCode>(status));
    m_responder.writeHeader("Content-Type", bytes(contentType));
    m_responder.writeHeader("Cache-Control", "no-cache");
    m_responder.writeHeader("Transfer-Encoding", "chunked");
    m_responder.writeBody(QByteArray());
    m_state = State::Streaming;
}

void Exchange::write(std::string_view data)
{
    if (m_state != State::Streaming || !m_socket || data.empty())
        return;
    QByteArray chunk = QByteArray::number(qulonglong(data.size()), 16);
    chunk.append("\r\n");
    chunk.append(data.data(), static_cast<qsizetype>(data.size()));
    chunk.append("\r\n");
    m_responder.writeBody(chunk);
}

void Exchange::end()
{
    if (m_state != State::Streaming || !m_socket)
        return;
    m_responder.writeBody(QByteArray("0\r\n\r\n"));
    finishExchange();
}

// Resets the callback to break a reference cycle: it refers to the session of the request, which
// refers to this object.
void Exchange::finishExchange()
{
    m_state = State::Ended;
    m_onDisconnect = nullptr;
}

void Exchange::abort()
{
    finishExchange();
    if (m_socket)
        m_socket->abort();
}

void Exchange::abortAfterFlush()
{
    finishExchange();
    if (m_socket)
        m_socket->disconnectFromHost();
}

bool Exchange::connected() const
{
    return m_socket && m_socket->state() == QAbstractSocket::ConnectedState;
}

int64_t Exchange::unsentBytes() const
{
    return m_socket ? m_socket->bytesToWrite() : 0;
}

void Exchange::onDisconnect(std::function<void()> callback)
{
    if (m_state == State::Ended)
        return;
    if (!connected()) {
        callback();
        return;
    }
    m_onDisconnect = std::move(callback);
}

void Exchange::post(std::function<void(Exchange &)> function)
{
    QMetaObject::invokeMethod(
        m_thread,
        [self = shared_from_this(), function = std::move(function)]() { function(*self); },
        Qt::QueuedConnection);
}

} // namespace jujube::wire
