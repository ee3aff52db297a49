#pragma once

/** \file
 * Defines the deployment of a review case: gateways as processes, and stand-ins for the store, the
 * endpoints, the platform and the clients in the process of the case.
 */

#include "fakes/fakeendpoint.h"
#include "fakes/fakestore.h"
#include "http/client.h"

#include <boost/asio/io_context.hpp>

#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace jujube::review {

/** Exit codes of a case. */
enum class Verdict { Held = 0, Broken = 1, NotRun = 2 };

/** Settings of a gateway that differ between cases. */
struct GatewayOptions
{
    std::string name;
    core::Milliseconds grace{8'000};       ///< From SIGTERM to SIGKILL.
    core::Milliseconds contactTime{3'000}; ///< ContactMs.
    core::Milliseconds drainTime{2'000};   ///< DrainMs.
    core::Milliseconds configTime{2'000};  ///< ConfigApplyMs.
    bool fenced = true;                    ///< RequireFence.
    double linkMbps = 1'000;
    double cpuShare = 0.19;
    std::string storeAddress{}; ///< Of a relay to the store; empty: the store itself.
};

/** A gateway that runs as a child process. */
class GatewayProcess
{
public:
    GatewayProcess(std::string program, std::string folder)
        : m_program(std::move(program)), m_folder(std::move(folder))
    {
    }
    GatewayProcess(const GatewayProcess &) = delete;
    GatewayProcess &operator=(const GatewayProcess &) = delete;
    ~GatewayProcess();

    void writeSettings(const std::string &text) const;
    bool start();
    void signal(int number) const;
    /** Whether the process runs; reaps it once it has ended. */
    bool running();
    pid_t pid() const { return m_pid; }
    /** Resident memory of the process in megabytes; 0 if it does not run. */
    size_t residentMb() const;
    std::string logPath() const { return m_folder + "/log"; }

    std::string name;
    std::string clientAddress;
    std::string readyAddress;

private:
    std::string settingsPath() const { return m_folder + "/settings.toml"; }

    std::string m_program;
    std::string m_folder;
    pid_t m_pid = 0;
};

/** Outcome of a client's request. */
struct Outcome
{
    uint32_t status = 0; ///< 0: no head was received.
    std::string body;
    std::string error;     ///< How the connection failed; empty: it did not.
    bool complete = false; ///< The answer has the length that its head announces.
    bool ended = false;
    core::TimePoint sentAt{};
    core::TimePoint endedAt{};
    core::TimePoint lastBytesAt{};
    http::Fields fields;
};

/** A request of a client. */
struct ClientRequest
{
    std::string address;
    std::string method = "POST";
    std::string target;
    std::string id;
    core::Milliseconds timeLimit{10'000};
    core::Milliseconds patience{}; ///< The client leaves after such a pause; 0: it does not.
    bool quiet = false;            ///< Only failures are recorded.
    std::string body;
    std::vector<http::Field> fields;
};

/** Store, platform, endpoints, gateways and clients of a case, on one event loop. */
class Deployment
{
public:
    /** \param program path of the gateway. \param recordPath file for what was sent and answered.
     */
    Deployment(std::string program, const std::string &recordPath);
    ~Deployment();

    boost::asio::io_context &io() { return m_io; }
    test::FakeStore &store() { return m_store; }
    /** Starts the store and the platform. */
    bool listen();
    /** Loopback address of a part of the deployment. */
    std::string address(uint32_t host, uint16_t port) const;
    /** Adds an endpoint that listens and is registered in the store. */
    test::FakeEndpoint &addEndpoint(const std::string &service,
                                    serving::Stage stage = serving::Stage::None);
    /** Writes the entry of an endpoint with a state. */
    void registerEndpoint(test::FakeEndpoint &endpoint, const std::string &service,
                          const std::string &state);
    GatewayProcess *addGateway(const GatewayOptions &options);
    /** Runs the loop until all gateways are ready. */
    bool waitReady(core::Milliseconds limit);
    std::string storeAddress() const;
    bool isReady(const GatewayProcess &gateway);

    std::shared_ptr<Outcome> send(const ClientRequest &request);

    void runFor(core::Milliseconds time);
    bool runUntil(const std::function<bool()> &done, core::Milliseconds limit);
    /** Adds a line to the record, with the time since the start. */
    void record(const std::string &line);
    core::Milliseconds elapsed() const;

    /** A usage report that the platform received. */
    struct UsageReport
    {
        std::string holder;
        std::string fencingToken;
        std::string body;
    };
    const std::vector<UsageReport> &reports() const { return m_reports; }
    std::vector<std::unique_ptr<GatewayProcess>> &gateways() { return m_gateways; }

private:
    void leaveAfterPause(const std::shared_ptr<Outcome> &outcome,
                         const std::shared_ptr<http::ClientConnection> &connection,
                         core::Milliseconds patience);
    void handleReport(const http::Request &request, const http::Responder &responder);

    boost::asio::io_context m_io;
    std::string m_program;
    std::string m_folder;
    std::string m_networkPrefix;
    std::ofstream m_record;
    core::TimePoint m_startedAt;
    test::FakeStore m_store;
    http::Server m_platform;
    http::Client m_httpClient;
    std::vector<std::unique_ptr<test::FakeEndpoint>> m_endpoints;
    std::vector<std::unique_ptr<GatewayProcess>> m_gateways;
    std::vector<std::shared_ptr<http::ClientConnection>> m_connections;
    std::vector<UsageReport> m_reports;
};

/** Runs a case as a program: reads its arguments and TROUBLE, and returns its exit code.
 * \param run gets whether the disruption takes place. */
int runCase(int argc, char **argv, const std::function<Verdict(Deployment &, bool trouble)> &run);

/** JSON of a route. \param more further members, each with a leading comma. */
std::string routeJson(const std::string &prefix, const std::string &kind,
                      const std::string &service, core::Milliseconds timeout,
                      const std::string &more = "");
/** JSON of a configuration with one team "team-a" whose key is "key-a". */
std::string configJson(uint64_t version, const std::string &routes, const std::string &services);

} // namespace jujube::review
