#pragma once

/** \file
 * Defines a small deployment in the test's own process: fake store, endpoints and platform, and
 * real gateways.
 */

#include "fakes/fakeendpoint.h"
#include "fakes/fakestore.h"
#include "http/client.h"
#include "serving/gateway.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace jujube::test {

/** Response to a test's request. status() is 0 if the connection ended before a response. */
struct ClientResponse
{
    std::optional<http::Response> response;
    std::string error;
    bool complete = false;

    uint32_t status() const { return response ? response->head.status : 0; }
    std::string field(std::string_view name) const
    {
        return response ? std::string(response->head.fields.find(name).value_or("")) : "";
    }
};

/** A usage report that the platform received. */
struct ReceivedReport
{
    std::string holder;
    uint64_t fencingToken = 0;
    std::string body;
};

/** A configuration with the routes /order/, /read/, /open/, /stream/once/, /stream/resume/ and
 * /stream/prompt/. \a keys is the JSON array of the API keys of team-a. */
std::string configJson(uint64_t version, const std::string &keys, uint32_t timeoutMs,
                       const std::string &moreTeams = {});

/** Fake store, endpoints and platform, and gateways, all on one event loop.
 *
 * The loopback addresses depend on the process id, so that tests can run in parallel.
 */
class Deployment
{
public:
    Deployment();

    boost::asio::io_context &io() { return m_io; }
    FakeStore &store() { return *m_store; }
    serving::Gateway &gateway(size_t i = 0) { return *m_gateways.at(i); }
    const std::vector<ReceivedReport> &reports() const { return m_usageReports; }

    /** Adds an endpoint and its entry in the store. */
    FakeEndpoint &addEndpoint(const std::string &service,
                              serving::Stage stage = serving::Stage::None);
    /** Writes the configuration of configJson() to the store. */
    void publishConfig(uint64_t version, const std::string &keys = R"(["key-a"])",
                       uint32_t timeoutMs = 2'000);
    /** Writes a configuration of configJson() in which the engines have a health path. */
    void publishConfigWithHealthPath(uint64_t version, const std::string &path);
    /** Starts a gateway and, if \a wait is set, runs the loop until it is ready. */
    void startGateway(serving::NodeSettings settings = {}, bool wait = true);

    /** Sends a request to a gateway and runs the loop until the exchange has ended. */
    ClientResponse sendRequest(const std::string &method, const std::string &target,
                               const std::string &id, const std::vector<http::Field> &more = {},
                               const std::string &body = {}, size_t gateway = 0);
    /** Starts a POST without waiting; \a answer is filled in while the loop runs. close() on the
     * returned connection disconnects the client. */
    std::shared_ptr<http::ClientConnection>
    startRequest(const std::string &target, const std::string &id,
                 std::shared_ptr<ClientResponse> answer, const std::vector<http::Field> &more = {},
                 size_t gateway = 0, const std::string &body = {});
    /** Sends a request and closes its connection before the event loop runs again. */
    void sendAndDisconnect(const std::string &method, const std::string &target,
                           const std::string &id, const std::vector<http::Field> &more = {},
                           size_t gateway = 0) const;
    /** Number of times a request was started at any endpoint. */
    size_t runCount(const std::string &requestId) const;
    /** HTTP status of the gateway's readiness check; 0: no response. */
    uint32_t readinessStatus(size_t gateway = 0);
    void runFor(core::Milliseconds time);
    /** Runs the loop until \a done holds. \return false if \a limit passed before. */
    bool runUntil(const std::function<bool()> &done,
                  core::Milliseconds limit = core::Milliseconds(5'000));

    /** Address at which a gateway accepts clients. */
    std::string clientAddress(size_t gateway) const;

private:
    std::string address(uint32_t host, uint16_t port) const;

    boost::asio::io_context m_io;
    http::Client m_httpClient;
    std::string m_networkPrefix;
    std::unique_ptr<FakeStore> m_store;
    std::unique_ptr<http::Server> m_platform;
    std::vector<std::unique_ptr<FakeEndpoint>> m_endpoints;
    std::vector<std::unique_ptr<serving::Gateway>> m_gateways;
    std::vector<ReceivedReport> m_usageReports;
};

} // namespace jujube::test
