/** \file
 * Tests of what happens to requests late in the planned stop of a gateway.
 */

#include "core/socketaddress.h"
#include "support/deployment.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

using namespace jujube;
using namespace std::chrono_literals;
using test::Deployment;
using test::EndpointFault;

// Guards against requests that are passed on late in a planned stop and cut at its end without an
// answer (LOST): the body of this one arrives after the load balancer has removed the gateway.
Test(stops, no_request_that_is_read_late_is_passed_on)
{
    using boost::asio::ip::tcp;
    Deployment it;
    auto &endpoint = it.addEndpoint("app");
    it.publishConfig(1);
    it.startGateway();
    tcp::socket socket(it.io());
    const auto address = core::parseSocketAddress(it.clientAddress(0));
    socket.connect({boost::asio::ip::address_v4(address->ip), address->port});
    boost::asio::write(socket,
                       boost::asio::buffer(std::string(
                           "POST /order/1 HTTP/1.1\r\nHost: test.example\r\nRequest-Id: r1\r\n"
                           "X-Api-Key: key-a\r\nContent-Length: 8\r\n\r\nhalf")));
    it.runFor(50ms);
    it.gateway().drain([]() {});
    it.runFor(3s);
    boost::asio::write(socket, boost::asio::buffer(std::string("half")));
    std::string answer;
    std::array<char, 4096> buf{};
    socket.async_read_some(boost::asio::buffer(buf),
                           [&](const auto &, size_t n) { answer.assign(buf.data(), n); });
    cr_assert(it.runUntil([&]() { return !answer.empty(); }));
    cr_assert(answer.starts_with("HTTP/1.1 503"), "%s", answer.c_str());
    cr_assert_neq(answer.find("Retry-After:"), std::string::npos);
    cr_assert_eq(endpoint.runCount("r1"), 0U);
}

// Guards against connections that close without an answer at the end of a planned stop (LOST).
Test(stops, what_is_open_at_the_end_of_the_grace_time_gets_an_answer)
{
    Deployment it;
    auto &endpoint = it.addEndpoint("app");
    endpoint.setFault(EndpointFault::Silent);
    it.publishConfig(1, R"(["key-a"])", 20'000);
    serving::NodeSettings settings;
    settings.drainGrace = 4s;
    it.startGateway(settings);
    auto answer = std::make_shared<test::ClientResponse>();
    const auto client = it.startRequest("/order/1", "r1", answer);
    cr_assert(it.runUntil([&]() { return endpoint.runningCount() == 1; }));
    bool stopped = false;
    uint32_t statusAtStop = 0;
    it.gateway().drain([&]() {
        stopped = true;
        statusAtStop = answer->status();
    });
    cr_assert(it.runUntil([&]() { return stopped; }, 4s));
    cr_assert_eq(statusAtStop, 504U);
}
