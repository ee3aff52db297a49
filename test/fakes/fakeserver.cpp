#include "fakes/fakeserver.h"

#include "core/eventlog.h"
#include "core/text.h"
#include "wire/processmain.h"

#include <iostream>
#include <QTimer>

namespace jujube::test {

int64_t nowUs()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

FakeServer::FakeServer(std::string name, Handler handler)
    : m_name(std::move(name)), m_handler(std::move(handler))
{
}

int FakeServer::run(const std::string &address)
{
    core::startEventLog(m_name);
    wire::ProcessMain lifecycle;
    wire::HttpServerLimits limits;
    limits.maxBodyBytes = 64UL << 20U;
    limits.maxConnectionsPerThread = 20'000;
    auto server = wire::HttpServer::create(
        address, 1, limits,
        [this](const wire::IncomingRequest &request, const ExchangePtr &exchange) {
            dispatch(request, exchange);
        });
    if (!server.ok())
        lifecycle.fail(server.status());
    return lifecycle.run();
}

std::string FakeServer::start()
{
    auto server = wire::HttpServer::create(
        "127.0.0.1:0", 1, {},
        [this](const wire::IncomingRequest &request, const ExchangePtr &exchange) {
            dispatch(request, exchange);
        });
    m_backgroundServer = std::move(*server);
    return core::concat("127.0.0.1:", m_backgroundServer->port());
}

size_t FakeServer::countOf(const std::string &kind) const
{
    const std::lock_guard guard(m_mutex);
    const auto it = m_recordCounts.find(kind);
    return it == m_recordCounts.end() ? 0 : it->second;
}

void FakeServer::dispatch(const wire::IncomingRequest &request, const ExchangePtr &exchange)
{
    if (request.path == "/history") {
        wire::OutgoingResponse response;
        response.contentType = "application/x-ndjson";
        response.body = m_history;
        exchange->send(response);
        return;
    }
    if (request.path == "/faults") {
        const auto object = wire::parseObject(request.body);
        if (!object.ok()) {
            exchange->send({400, "text/plain", {}, std::string(object.status().message())});
            return;
        }
        for (auto it = object->begin(); it != object->end(); ++it)
            setFault(it.key().toStdString().c_str(), it.value().toDouble(it.value().toBool()));
        record("fault", *object);
        if (m_onFaults)
            m_onFaults(*object);
        exchange->send({});
        return;
    }
    if (fault("outage") != 0) {
        exchange->abort();
        return;
    }
    m_handler(request, exchange);
}

void FakeServer::record(const std::string &kind, QJsonObject details)
{
    details["kind"] = wire::qstring(kind);
    details["at_us"] = QString::number(nowUs());
    const std::lock_guard guard(m_mutex);
    m_history += wire::toJsonText(details) + "\n";
    ++m_recordCounts[kind];
}

double FakeServer::fault(const char *name, double fallback) const
{
    const std::lock_guard guard(m_mutex);
    const auto it = m_faults.find(name);
    return it == m_faults.end() ? fallback : it->second;
}

void FakeServer::setFault(const char *name, double value)
{
    const std::lock_guard guard(m_mutex);
    m_faults[name] = value;
}

void FakeServer::onFaults(std::function<void(const QJsonObject &)> callback)
{
    m_onFaults = std::move(callback);
}

void FakeServer::respond(const ExchangePtr &exchange, int status, const QJsonObject &body)
{
    if (fault("lose_answers") != 0) {
        exchange->abort();
        return;
    }
    if (fault("silence") != 0) {
        m_unansweredExchanges.push_back(exchange);
        return;
    }
    wire::OutgoingResponse response;
    response.status = status;
    response.body = wire::toJsonText(body);
    const int delay = static_cast<int>(fault("delay_ms"));
    if (delay == 0) {
        exchange->send(response);
        return;
    }
    QTimer::singleShot(delay, [exchange, response]() { exchange->send(response); });
}

} // namespace jujube::test
