#pragma once

/** \file
 * Defines clients and endpoints that read slowly, and the checks that they harm no others.
 */

#include "soak/invariants.h"
#include "support/rawendpoint.h"
#include "support/slowreader.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <memory>
#include <random>

namespace jujube::soak {

/** A service of its own, whose requests and answers are large. Two of its endpoints read at rates
 * that change at random, the third one is quick, and the fourth begins to work on a request before
 * it reads the body; its clients read their answers at random rates. */
class SlowReaders
{
public:
    /** Memory of each gateway; the requests would use up more. */
    static constexpr uint64_t GatewayMemoryMb = 120;

    SlowReaders(boost::asio::io_context &io, SoakDeployment &deployment, uint64_t seed);
    ~SlowReaders();

    /** Adds the service and its endpoints. */
    absl::Status create();
    void start();
    /** Sends no further requests, and lets all endpoints read quickly. */
    void stop();
    /** Notes the memory of the gateways' processes; call it regularly. */
    void noteMemory();
    /** Checks the requests of the service, those of \a load and the memory of the gateways. */
    std::vector<InvariantResult> check(const LoadGenerator &load) const;

private:
    struct Call
    {
        std::string id;
        size_t gateway = 0;
        core::TimePoint sentAt{}; ///< Time at which the gateway had taken the whole request.
        core::TimePoint headAt{}; ///< Time of the first bytes of the answer; not set: none.
        uint32_t status = 0;      ///< 0: no answer.
        size_t answerBytes = 0;
        bool sent = false;
        bool ended = false;
    };
    struct Client;

    void changeRates();
    /** Changes how the endpoint that does not read bodies answers. */
    void changeEarlyAnswer();
    void call(const std::shared_ptr<Client> &client);
    void readSome(const std::shared_ptr<Client> &client);
    void end(const std::shared_ptr<Client> &client);
    size_t runCount(const std::string &id) const;
    InvariantResult checkRuns() const;
    InvariantResult checkStatus() const;
    InvariantResult checkTimes() const;
    InvariantResult checkQuickRequests(const LoadGenerator &load) const;

    boost::asio::io_context &m_io;
    SoakDeployment &m_deployment;
    std::mt19937_64 m_random;
    uint64_t m_seed;
    boost::asio::steady_timer m_timer;
    std::vector<std::unique_ptr<test::FakeEndpoint>> m_endpoints;
    std::vector<std::unique_ptr<test::SlowReader>> m_readers;
    std::unique_ptr<test::RawEndpoint> m_earlyEndpoint;
    std::vector<std::shared_ptr<Client>> m_clients;
    std::deque<Call> m_calls; ///< A deque: clients hold pointers to its elements.
    InvariantResult m_memory;
    size_t m_highestResident = 0;
    bool m_stopped = false;
};

} // namespace jujube::soak
