#pragma once

/** \file
 * Defines a small deployment on loopback: gateways as processes, and stand-ins of the platform and
 * of workers in this process.
 */

#include "caserecord.h"

#include "fakes/fakeendpoint.h"
#include "fakes/fakestore.h"
#include "http/client.h"
#include "http/server.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace jujube::review {

/** A usage report or another call that the duty address received. */
struct DutyCall
{
    std::string holder;
    std::string fence;
    std::string body;
};

/** Sheet whose figures the settings of the gateways hold. */
enum class CaseSite { Accra, RigaGrown };

/** What is served to clients: a route and its service. */
struct CaseRoute
{
    std::string prefix;
    std::string kind;
    std::string service;
    core::Milliseconds timeout{10'000};
    std::string more{}; ///< Further members, each with a comma before it.
};

/** A deployment whose processes and files end with it. */
class CaseFleet
{
public:
    static constexpr const char *Host = "desk.example";
    static constexpr const char *Key = "key-a";

    CaseFleet(boost::asio::io_context &io, CaseRecord &record, CaseSite site = CaseSite::Accra);
    ~CaseFleet();
    CaseFleet(const CaseFleet &) = delete;
    CaseFleet &operator=(const CaseFleet &) = delete;

    /** Starts the stand-ins of the platform. */
    bool start();
    test::FakeStore &store() { return m_store; }
    /** Adds a worker and registers it. Null if its address cannot be used. */
    test::FakeEndpoint *addEndpoint(const std::string &service,
                                    serving::Stage stage = serving::Stage::None);
    /** Address for a further stand-in of a worker. */
    std::string endpointAddress(size_t number) const;
    /** Writes a configuration with these routes, as the operator does.
     * \param services members of the list of services. */
    void publishConfig(const std::vector<CaseRoute> &routes, const std::string &services);
    /** Starts a gateway and waits until it is ready. */
    bool startGateway();
    void signalGateway(size_t gateway, int number);
    std::string clientAddress(size_t gateway) const;
    const std::vector<std::unique_ptr<test::FakeEndpoint>> &endpoints() const
    {
        return m_endpoints;
    }
    /** Number of times that workers began to run a request. */
    size_t runCount(const std::string &requestId) const;
    /** Whether a gateway's process runs. */
    bool running(size_t gateway);
    std::string logPath(size_t gateway) const;

    void runFor(core::Milliseconds time);
    bool runUntil(const std::function<bool()> &done, core::Milliseconds limit);

private:
    struct Process
    {
        pid_t pid = 0;
        std::string name;
        std::string ip;
        std::string log;
    };

    std::string address(uint32_t host, uint16_t port) const;
    bool writeSettings(const std::string &path, const Process &process) const;
    bool isReady(const std::string &ip);

    boost::asio::io_context &m_io;
    CaseRecord &m_record;
    CaseSite m_site;
    std::string m_networkPrefix;
    std::string m_folder;
    test::FakeStore m_store;
    http::Server m_duties;
    http::Client m_client;
    std::vector<DutyCall> m_dutyCalls;
    std::vector<std::unique_ptr<test::FakeEndpoint>> m_endpoints;
    std::vector<Process> m_gateways;
    uint64_t m_configVersion = 0;
};

} // namespace jujube::review
