#include "support/deployment.h"

#include "core/eventlog.h"
#include "core/text.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <algorithm>
#include <unistd.h>

namespace jujube::test {

namespace {

constexpr uint16_t StorePort = 7001;
constexpr uint16_t PlatformPort = 7002;
constexpr uint16_t EndpointPort = 7100;
constexpr uint16_t ClientPort = 7200;
constexpr uint16_t ReadyPort = 7201;
constexpr uint16_t InternalPort = 7300;
constexpr uint32_t FirstGatewayHost = 10;
constexpr core::Milliseconds CallTimeout{5'000};

std::string routeJson(const std::string &prefix, const std::string &kind,
                      const std::string &service, uint32_t timeoutMs,
                      const std::string &extraFields)
{
    return core::concat(
        R"({"Name":"r)", prefix, R"(","Host":"test.example","PathPrefix":")", prefix,
        R"(","Kind":")", kind, R"(","Service":")", service, R"(","TimeoutMs":)", timeoutMs,
        R"(,"TargetLatencyMs":300,"Priority":1,"TargetGapMs":200)", extraFields, "}");
}

// Head of a client's request. It carries the valid API key unless extraFields has one.
http::Head requestHead(const std::string &method, const std::string &target, const std::string &id,
                       const std::vector<http::Field> &extraFields)
{
    http::Head head;
    head.method = method;
    head.target = target;
    head.fields.add("Host", "test.example");
    head.fields.add("Request-Id", id);
    const bool hasApiKey =
        std::any_of(extraFields.begin(), extraFields.end(), [](const http::Field &it) {
            return http::equalIgnoreCase(it.name, "X-Api-Key");
        });
    if (!hasApiKey)
        head.fields.add("X-Api-Key", "key-a");
    for (const http::Field &it : extraFields)
        head.fields.add(it.name, it.value);
    return head;
}

} // namespace

Deployment::Deployment() : m_httpClient(m_io)
{
    core::startEventLog("test", core::LogSettings{core::LogTarget::None});
    const auto pid = static_cast<uint32_t>(getpid());
    m_networkPrefix = core::concat("127.", 1 + pid / 250 % 250, ".", 1 + pid % 250, ".");
    m_store = std::make_unique<FakeStore>(m_io);
    cr_assert(m_store->listen(address(1, StorePort)).ok());
    m_platform = std::make_unique<http::Server>(
        m_io, [this](const http::Request &request, const http::Responder &responder) {
            m_usageReports.push_back(
                {std::string(request.head.fields.find("Duty-Holder").value_or("")),
                 std::stoull("0"
                             + std::string(request.head.fields.find("Fence-Token").value_or(""))),
                 request.body});
            http::Head head;
            head.status = 200;
            responder.send(head, {});
        });
    cr_assert(m_platform->listen(address(1, PlatformPort)).ok());
}

std::string Deployment::address(uint32_t host, uint16_t port) const
{
    return core::concat(m_networkPrefix, host, ":", port);
}

FakeEndpoint &Deployment::addEndpoint(const std::string &service, serving::Stage stage)
{
    const std::string id = core::concat("i-", m_endpoints.size() + 1);
    m_endpoints.push_back(std::make_unique<FakeEndpoint>(m_io, id, stage));
    FakeEndpoint &endpoint = *m_endpoints.back();
    cr_assert(
        endpoint.listen(address(2, static_cast<uint16_t>(EndpointPort + m_endpoints.size()))).ok());
    m_store->put("servers/" + id, endpoint.makeEntry(service, "a"));
    return endpoint;
}

std::string configJson(uint64_t version, const std::string &keys, uint32_t timeoutMs,
                       const std::string &moreTeams)
{
    const std::string resumable = R"(,"Resumable":true,"MaxAttempts":3)";
    const std::string twoAttempts = R"(,"MaxAttempts":2)";
    return core::concat(
        R"({"Version":)", version, R"(,"Routes":[)",
        routeJson("/order/", "non_idempotent", "app", timeoutMs, ""), ",",
        routeJson("/read/", "idempotent", "app", timeoutMs, twoAttempts), ",",
        routeJson("/open/", "idempotent", "app", timeoutMs, R"(,"AllowAnonymous":true)"), ",",
        routeJson("/stream/once/", "streaming", "app", timeoutMs, ""), ",",
        routeJson("/stream/resume/", "streaming", "app", timeoutMs, resumable), ",",
        routeJson("/stream/prompt/", "streaming", "model", timeoutMs, R"(,"SessionAffinity":true)"),
        R"(],"Services":[{"Name":"app"},{"Name":"model","Engine":{"Slots":64,)",
        R"("KvTokens":500000,"SwitchS":0.2}}],"Tenants":[{"Name":"team-a","ApiKeys":)", keys, "}",
        moreTeams, "]}");
}

void Deployment::publishConfig(uint64_t version, const std::string &keys, uint32_t timeoutMs)
{
    m_store->put("op/config", configJson(version, keys, timeoutMs));
}

void Deployment::publishConfigWithHealthPath(uint64_t version, const std::string &path)
{
    std::string json = configJson(version, R"(["key-a"])", 2'000);
    const std::string name = R"({"Name":"model")";
    json.replace(json.find(name), name.size(),
                 core::concat(name, R"(,"HealthPath":")", path, "\""));
    m_store->put("op/config", json);
}

void Deployment::startGateway(serving::NodeSettings settings, bool wait)
{
    const auto host = static_cast<uint32_t>(FirstGatewayHost + m_gateways.size());
    settings.name = core::concat("gateway-", host);
    settings.domain = "a";
    settings.ip = core::concat(m_networkPrefix, host);
    settings.clientAddress = address(host, ClientPort);
    settings.readyAddress = address(host, ReadyPort);
    settings.firstInternalPort = InternalPort;
    settings.lastInternalPort = InternalPort;
    settings.storeAddress = address(1, StorePort);
    settings.platformAddress = address(1, PlatformPort);
    m_gateways.push_back(std::make_unique<serving::Gateway>(m_io, settings));
    const absl::Status status = m_gateways.back()->start();
    cr_assert(status.ok(), "%s", std::string(status.message()).c_str());
    const size_t index = m_gateways.size() - 1;
    if (wait)
        cr_assert(runUntil([this, index]() { return readinessStatus(index) == 200; }));
}

std::string Deployment::clientAddress(size_t gateway) const
{
    return address(static_cast<uint32_t>(FirstGatewayHost + gateway), ClientPort);
}

void Deployment::sendAndDisconnect(const std::string &method, const std::string &target,
                                   const std::string &id,
                                   const std::vector<http::Field> &extraFields,
                                   size_t gateway) const
{
    const std::string to = clientAddress(gateway);
    const size_t colon = to.rfind(':');
    boost::asio::io_context blocking;
    boost::asio::ip::tcp::socket socket(blocking);
    socket.connect({boost::asio::ip::make_address(to.substr(0, colon)), ClientPort});
    boost::asio::write(
        socket,
        boost::asio::buffer(http::renderRequest(requestHead(method, target, id, extraFields), {})));
    socket.close();
}

ClientResponse Deployment::sendRequest(const std::string &method, const std::string &target,
                                       const std::string &id,
                                       const std::vector<http::Field> &extraFields,
                                       const std::string &body, size_t gateway)
{
    const http::Head request = requestHead(method, target, id, extraFields);
    ClientResponse answer;
    bool done = false;
    auto connection = http::ClientConnection::create(m_io, clientAddress(gateway));
    http::ExchangeHandler handler;
    handler.onHead = [&](const http::Head &head) {
        answer.response = http::Response{head, {}};
        return true;
    };
    handler.onBody = [&](std::string &bytes) {
        answer.response->body += bytes;
        bytes.clear();
    };
    handler.onEnd = [&]() { answer.complete = done = true; };
    handler.onFailure = [&](http::Failure, const std::string &why) {
        answer.error = why;
        done = true;
    };
    connection->send(http::renderRequest(request, body), method == "HEAD", CallTimeout,
                     std::move(handler));
    runUntil([&]() { return done; });
    connection->close();
    return answer;
}

std::shared_ptr<http::ClientConnection> Deployment::startRequest(
    const std::string &target, const std::string &id, std::shared_ptr<ClientResponse> answer,
    const std::vector<http::Field> &extraFields, size_t gateway, const std::string &body)
{
    auto connection = http::ClientConnection::create(m_io, clientAddress(gateway));
    http::ExchangeHandler handler;
    handler.onHead = [answer](const http::Head &it) {
        answer->response = http::Response{it, {}};
        return true;
    };
    handler.onBody = [answer](std::string &bytes) {
        answer->response->body += bytes;
        bytes.clear();
    };
    handler.onEnd = [answer]() { answer->complete = true; };
    handler.onFailure = [answer](http::Failure, const std::string &why) {
        answer->error = why.empty() ? "?" : why;
    };
    connection->send(http::renderRequest(requestHead("POST", target, id, extraFields), body), false,
                     CallTimeout, std::move(handler));
    return connection;
}

size_t Deployment::runCount(const std::string &requestId) const
{
    size_t runs = 0;
    for (const auto &it : m_endpoints)
        runs += it->runCount(requestId);
    return runs;
}

uint32_t Deployment::readinessStatus(size_t gateway)
{
    uint32_t status = 0;
    bool done = false;
    http::Request request;
    request.head.method = "GET";
    request.head.target = "/api/readiness";
    m_httpClient.call(address(static_cast<uint32_t>(FirstGatewayHost + gateway), ReadyPort),
                      std::move(request), CallTimeout, [&](const http::CallResult &result) {
                          status = result.response.ok() ? result.response->head.status : 0;
                          done = true;
                      });
    while (!done)
        m_io.run_one();
    return status;
}

void Deployment::runFor(core::Milliseconds time)
{
    m_io.restart();
    m_io.run_for(time);
}

bool Deployment::runUntil(const std::function<bool()> &done, core::Milliseconds limit)
{
    const core::TimePoint end = core::BootClock::now() + limit;
    while (!done()) {
        if (core::BootClock::now() > end)
            return false;
        m_io.restart();
        m_io.run_for(core::Milliseconds(5));
    }
    return true;
}

} // namespace jujube::test
