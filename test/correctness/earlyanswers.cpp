/** \file
 * Tests of endpoints that begin to work on a request, or answer it, before they have read its body.
 */

#include "core/text.h"
#include "support/deployment.h"
#include "support/loopback.h"
#include "support/rawendpoint.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <thread>

using namespace jujube;
using namespace std::chrono_literals;
using test::AfterAnswer;
using test::ClientResponse;
using test::Deployment;
using test::RawEndpoint;

namespace {

constexpr uint16_t FirstPort = 7061;
constexpr size_t EndpointCount = 3;
constexpr size_t BodyBytes = 1UL << 20U; // Far more than an endpoint's receive buffer.

/** A deployment whose service has endpoints of this kind only. */
struct Bench
{
    Deployment deployment;
    std::vector<std::unique_ptr<RawEndpoint>> endpoints;

    explicit Bench(uint32_t timeoutMs = 2'000, serving::NodeSettings settings = {})
    {
        for (size_t i = 0; i < EndpointCount; ++i) {
            endpoints.push_back(std::make_unique<RawEndpoint>(
                deployment.io(), test::loopbackAddress(static_cast<uint16_t>(FirstPort + i))));
            deployment.store().put(core::concat("servers/w-", i),
                                   endpoints.back()->makeEntry("app"));
        }
        deployment.publishConfig(1, R"(["key-a"])", timeoutMs);
        deployment.startGateway(std::move(settings));
    }

    void setAnswer(const std::string &bytes, AfterAnswer after)
    {
        for (const auto &it : endpoints)
            it->setAnswer(bytes, after);
    }

    ClientResponse send(const std::string &path, const std::string &id)
    {
        return deployment.sendRequest("POST", path, id, {}, std::string(BodyBytes, 'x'));
    }

    size_t runCount(const std::string &id) const
    {
        size_t runs = 0;
        for (const auto &it : endpoints)
            runs += it->runCount(id);
        return runs;
    }
};

} // namespace

// Guards against an order that runs again, or is refused as not run, although its endpoint has
// answered it: the endpoint resets the connection behind its answer, and the write that waits for
// room fails before the answer is read.
Test(earlyanswers, are_delivered_although_the_rest_of_the_request_cannot_be_written)
{
    Bench it;
    it.setAnswer(test::sealedAnswer("Connection: close\r\n"), AfterAnswer::Closes);
    for (int i = 0; i < 9; ++i) {
        const std::string id = core::concat("r", i);
        const auto answer = it.send("/order/1", id);
        cr_assert_eq(answer.status(), http::status::Ok, "%s: %u", id.c_str(), answer.status());
        cr_assert(answer.complete);
        cr_assert_str_eq(answer.response->body.c_str(), ("answer to " + id).c_str());
        cr_assert_eq(it.runCount(id), 1U);
    }
}

// The same for an answer that was read in part, as its client takes it slowly.
Test(earlyanswers, are_read_to_their_end_if_the_write_fails_while_reading_is_paused)
{
    constexpr size_t answerBytes = 40UL << 10U; // More than one read, less than the first window.
    boost::asio::io_context io;
    RawEndpoint endpoint(io, test::loopbackAddress(FirstPort));
    endpoint.setAnswer(core::concat("HTTP/1.1 200 OK\r\nContent-Length: ", answerBytes, "\r\n\r\n",
                                    std::string(answerBytes, 'a')),
                       AfterAnswer::Closes);
    const auto connection = http::ClientConnection::create(io, endpoint.address());
    size_t received = 0;
    bool complete = false;
    std::string error;
    http::ExchangeHandler handler;
    handler.onHead = [&](const http::Head &) {
        connection->pauseReading();
        return true;
    };
    handler.onBody = [&](std::string &bytes) {
        received += bytes.size();
        bytes.clear();
    };
    handler.onEnd = [&]() { complete = true; };
    handler.onFailure = [&](http::Failure, const std::string &why) { error = why; };
    http::Head head;
    head.method = "POST";
    head.target = "/";
    connection->send(http::renderRequest(head, std::string(BodyBytes, 'x')), false, 1'000ms,
                     std::move(handler));
    io.run_for(300ms);
    cr_assert_str_eq(error.c_str(), "");
    cr_assert_gt(received, 0U);
    cr_assert_lt(received, answerBytes);
    connection->resumeReading();
    io.restart();
    io.run_for(300ms);
    cr_assert_str_eq(error.c_str(), "");
    cr_assert(complete);
    cr_assert_eq(received, answerBytes);
}

// Guards against an order that runs again at another endpoint, or is refused as not run, because
// its connection ended before the whole request was written: its endpoint may work on it already.
Test(earlywork, of_an_order_is_not_repeated_when_its_connection_ends)
{
    for (const auto after : {AfterAnswer::Closes, AfterAnswer::Resets, AfterAnswer::ShutsDown}) {
        Bench it;
        it.setAnswer({}, after);
        const auto answer = it.send("/order/1", "r1");
        cr_assert_eq(answer.status(), http::status::BadGateway, "%d: %u", static_cast<int>(after),
                     answer.status());
        cr_assert_eq(it.runCount("r1"), 1U);
    }
}

// The same at the deadline of the request.
Test(earlywork, of_an_order_counts_as_a_run_at_its_deadline)
{
    Bench it(1'000);
    const auto answer = it.send("/order/1", "r1");
    cr_assert_eq(answer.status(), http::status::GatewayTimeout, "%u", answer.status());
    cr_assert_eq(it.runCount("r1"), 1U);
}

// The same at a planned stop of the gateway.
Test(earlywork, of_an_order_counts_as_a_run_when_the_gateway_stops)
{
    serving::NodeSettings settings;
    settings.drainGrace = 3s;
    Bench it(20'000, settings);
    bool stopped = false;
    it.deployment.gateway().drain([&]() { stopped = true; });
    it.deployment.runFor(1'500ms);
    const auto answer = std::make_shared<ClientResponse>();
    const auto client =
        it.deployment.startRequest("/order/1", "r1", answer, {}, 0, std::string(BodyBytes, 'x'));
    cr_assert(it.deployment.runUntil([&]() { return stopped; }));
    cr_assert_eq(answer->status(), http::status::GatewayTimeout, "%u", answer->status());
    cr_assert_eq(it.runCount("r1"), 1U);
}

// Requests that may run again go to another endpoint, within the attempts of their route.
Test(earlywork, of_a_repeatable_request_is_repeated_within_its_attempts)
{
    Bench it;
    it.setAnswer({}, AfterAnswer::Resets);
    const auto answer = it.send("/read/1", "r1");
    cr_assert_eq(answer.status(), http::status::BadGateway);
    cr_assert_eq(it.runCount("r1"), 2U);
}

// Guards against 503 for a request that its endpoint has received whole: the event loop handles the
// deadline between the write and its completion, as after a pause of the process.
Test(earlywork, counts_as_a_run_between_a_write_and_its_completion)
{
    Bench it;
    it.setAnswer(test::sealedAnswer(), AfterAnswer::KeepsOpen);
    const auto waiting = [&it]() {
        return std::any_of(it.endpoints.begin(), it.endpoints.end(),
                           [](const auto &one) { return one->hasWaitingConnection(); });
    };
    const auto answer = std::make_shared<ClientResponse>();
    const auto client =
        it.deployment.startRequest("/order/1", "r1", answer, {{"Deadline-Ms", "100"}});
    while (!waiting())
        it.deployment.io().run_one();
    std::this_thread::sleep_for(150ms);
    cr_assert(it.deployment.runUntil([&]() { return answer->complete; }));
    cr_assert(it.deployment.runUntil([&]() { return it.runCount("r1") > 0; }, 500ms));
    cr_assert_eq(answer->status(), http::status::GatewayTimeout, "%u", answer->status());
}

// Guards against a part of an answer that looks complete (MIXED): the answer has no length and its
// connection is reset while the request is being written. The failed write takes the error, so that
// the next read returns the end of the stream.
Test(earlyanswers, that_are_cut_off_are_not_complete)
{
    const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: x\r\n";
    for (const auto after : {AfterAnswer::Closes, AfterAnswer::Resets}) {
        for (const size_t bodyBytes : {7UL, 100UL << 10U, 1UL << 20U}) {
            Bench it;
            it.setAnswer(head + "\r\n" + std::string(bodyBytes, 'a'), after);
            const auto order = it.send("/order/1", "r1");
            cr_assert(!order.complete || order.status() == http::status::BadGateway, "%zu: %u",
                      bodyBytes, order.status());
            cr_assert_eq(it.runCount("r1"), 1U);
            const auto read = it.send("/read/1", "r2");
            cr_assert(!read.complete || read.status() == http::status::BadGateway, "%zu: %u",
                      bodyBytes, read.status());
        }
        Bench it;
        it.setAnswer(head + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: r1\n\n", after);
        for (const char *path : {"/stream/once/1", "/stream/resume/1"}) {
            const auto stream = it.send(path, "r3");
            cr_assert(!stream.complete || stream.status() == http::status::BadGateway, "%s: %u",
                      path, stream.status());
        }
    }
}

// An answer without a length whose connection ends in order is complete, although the endpoint has
// not read the whole request.
Test(earlyanswers, that_end_in_order_are_complete)
{
    Bench it;
    it.setAnswer("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: x\r\n\r\nanswer to {id}",
                 AfterAnswer::ShutsDown);
    const auto answer = it.send("/order/1", "r1");
    cr_assert_eq(answer.status(), http::status::Ok);
    cr_assert(answer.complete);
    cr_assert_str_eq(answer.response->body.c_str(), "answer to r1");
    cr_assert_eq(it.runCount("r1"), 1U);
}

// Guards against a stream that breaks off (LOST) although its events arrive: its endpoint reads the
// rest of the request only after the stream, and the kernel ended connections whose window was
// closed for 2.5 s.
Test(earlyanswers, may_last_longer_than_the_kernels_limit_for_a_closed_window)
{
    constexpr int events = 8;
    std::vector<std::string> pieces{"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: x\r\n"
                                    "Content-Type: text/event-stream\r\n\r\n"};
    std::string whole;
    for (int i = 1; i <= events; ++i) {
        pieces.push_back(core::concat("id: ", i, "\ndata: {id}\n\n"));
        whole += core::concat("id: ", i, "\ndata: r1\n\n");
    }
    Bench it(10'000);
    for (const auto &endpoint : it.endpoints)
        endpoint->setPieces(pieces, 500ms, AfterAnswer::ShutsDown);
    const auto answer = std::make_shared<ClientResponse>();
    const auto client = it.deployment.startRequest("/stream/once/1", "r1", answer, {}, 0,
                                                   std::string(BodyBytes, 'x'));
    cr_assert(
        it.deployment.runUntil([&]() { return answer->complete || !answer->error.empty(); }, 8s));
    cr_assert(answer->complete, "%s", answer->error.c_str());
    cr_assert_str_eq(answer->response->body.c_str(), whole.c_str());
    cr_assert_eq(it.runCount("r1"), 1U);
}
