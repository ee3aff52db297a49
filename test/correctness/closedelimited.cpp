/** \file
 * Tests of answers that have neither a length nor chunks and end with their connection.
 */

#include "support/deployment.h"
#include "support/loopback.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

using namespace jujube;
using namespace std::chrono_literals;
using test::Deployment;
using test::EndpointFault;

namespace {

std::string wholeStream(const std::string &id)
{
    std::string text;
    for (uint32_t i = 1; i <= 3; ++i)
        text += test::eventText(id, i);
    return text;
}

/** A deployment whose endpoints delimit their answers by closing the connection. */
struct Bench
{
    Deployment deployment;
    test::FakeEndpoint &one = deployment.addEndpoint("app");
    test::FakeEndpoint &two = deployment.addEndpoint("app");

    Bench()
    {
        one.setCloseDelimited(true);
        two.setCloseDelimited(true);
        deployment.publishConfig(1);
        deployment.startGateway();
    }
};

} // namespace

Test(closedelimited, whole_answers_are_delivered_as_whole)
{
    Bench it;
    const auto plain = it.deployment.sendRequest("POST", "/order/1", "r1");
    cr_assert(plain.complete);
    cr_assert_str_eq(plain.response->body.c_str(), "answer to r1");
    for (const char *path : {"/stream/once/1", "/stream/resume/1"}) {
        const auto answer = it.deployment.sendRequest("POST", path, "s1");
        cr_assert(answer.complete, "%s", path);
        cr_assert(answer.response->body == wholeStream("s1"));
    }
}

// Guards against a broken stream that looks complete (ORDER): its connection closes in order in the
// middle of an event, as when a worker ends by itself.
Test(closedelimited, a_stream_that_ends_inside_an_event_is_broken_off)
{
    Bench it;
    it.one.setFault(EndpointFault::BreakStream);
    it.two.setFault(EndpointFault::BreakStream);
    const auto answer = it.deployment.sendRequest("POST", "/stream/once/1", "r1");
    cr_assert_eq(answer.status(), 200U);
    cr_assert_not(answer.complete);
}

// The same for a stream that may be resumed: it goes on at another endpoint.
Test(closedelimited, a_stream_that_ends_inside_an_event_is_resumed)
{
    Bench it;
    it.one.setFault(EndpointFault::BreakStream);
    it.two.setFault(EndpointFault::BreakStream);
    // Both work again by the time of the second send.
    auto answer = std::make_shared<test::ClientResponse>();
    const auto client = it.deployment.startRequest("/stream/resume/1", "r1", answer);
    it.deployment.runUntil([&]() { return it.one.runCount("r1") + it.two.runCount("r1") == 1; });
    it.one.setFault(EndpointFault::None);
    it.two.setFault(EndpointFault::None);
    cr_assert(it.deployment.runUntil([&]() { return answer->complete || !answer->error.empty(); }));
    cr_assert(answer->complete, "%s", answer->error.c_str());
    cr_assert(answer->response->body == wholeStream("r1"));
}

// Guards against an empty answer in place of a crash (MIXED, BUDGET): an engine ends before the
// first event, and its connection closes in order.
Test(closedelimited, a_stream_without_an_event_is_no_answer)
{
    Deployment it;
    auto &engine = it.addEndpoint("model", serving::Stage::Decode);
    engine.setCloseDelimited(true);
    engine.setCrashingBlock("bad");
    it.publishConfig(1);
    it.startGateway();
    const auto answer =
        it.sendRequest("POST", "/stream/prompt/1", "r1",
                       {{"Token-Count", "300,20"}, {"Prompt-Prefix", "bad:200,f:100"}});
    cr_assert(engine.crashed());
    cr_assert_eq(answer.status(), 502U);
}

// Guards against a part of an answer that looks complete (MIXED): its connection is reset.
Test(closedelimited, an_answer_that_is_reset_is_not_complete)
{
    Deployment it;
    auto &endpoint = it.addEndpoint("app");
    using boost::asio::ip::tcp;
    const std::string address = test::loopbackAddress(7051);
    tcp::acceptor acceptor(
        it.io(), {boost::asio::ip::make_address(address.substr(0, address.rfind(':'))), 7051});
    tcp::socket socket(it.io());
    std::array<char, 4096> buf{};
    acceptor.async_accept(socket, [&](const auto &) {
        socket.async_read_some(boost::asio::buffer(buf), [&](const auto &, size_t) {
            boost::asio::write(
                socket,
                boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
                                                "Server-Seal: x\r\n\r\nhalf of")));
            socket.set_option(boost::asio::socket_base::linger(true, 0));
            socket.close();
        });
    });
    endpoint.setAdvertisedAddress(address);
    it.store().put("servers/" + endpoint.id(), endpoint.makeEntry("app", "a"));
    it.publishConfig(1);
    it.startGateway();
    const auto answer = it.sendRequest("POST", "/order/1", "r1");
    cr_assert_eq(answer.status(), 502U);
}

// Guards against a 200 with an empty or short body that is framed as whole (MIXED, ORDER): a worker
// stops in the middle of the head of its answer and closes in order. All places are tried.
Test(closedelimited, an_answer_that_ends_inside_its_head_is_not_delivered)
{
    using boost::asio::ip::tcp;
    Deployment it;
    auto &endpoint = it.addEndpoint("app");
    const std::string address = test::loopbackAddress(7052);
    tcp::acceptor acceptor(
        it.io(), {boost::asio::ip::make_address(address.substr(0, address.rfind(':'))), 7052});
    std::string answer;
    size_t sent = 0;
    std::array<char, 4096> buf{};
    std::function<void()> accept = [&]() {
        auto socket = std::make_shared<tcp::socket>(it.io());
        acceptor.async_accept(*socket, [&, socket](const boost::system::error_code &ec) {
            if (ec)
                return;
            socket->async_read_some(boost::asio::buffer(buf), [&, socket](const auto &, size_t) {
                boost::asio::write(*socket, boost::asio::buffer(answer.data(), sent));
                socket->close();
            });
            accept();
        });
    };
    accept();
    endpoint.setAdvertisedAddress(address);
    it.store().put("servers/" + endpoint.id(), endpoint.makeEntry("app", "a"));
    it.publishConfig(1);
    it.startGateway();
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: x\r\n";
    for (const char *framing : {"", "Content-Length: 12\r\n", "Transfer-Encoding: chunked\r\n"}) {
        answer = head + framing + "\r\n";
        for (const char *path : {"/order/1", "/stream/once/1"}) {
            for (sent = 0; sent < answer.size(); ++sent) {
                const auto response = it.sendRequest("POST", path, "r1");
                cr_assert_eq(response.status(), 502U, "status %u after %zu bytes of %s",
                             response.status(), sent, answer.c_str());
                // A whole answer in between keeps the endpoint from being ejected.
                const std::string cut =
                    std::exchange(answer, head + "Content-Length: 12\r\n\r\nanswer to r1");
                const size_t cutAt = std::exchange(sent, answer.size());
                cr_assert_eq(it.sendRequest("POST", "/order/1", "r1").status(), 200U);
                answer = cut;
                sent = cutAt;
            }
        }
    }
    acceptor.close();
}
