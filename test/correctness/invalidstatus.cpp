/** \file
 * Tests of answers whose status is none of HTTP's, at each reader of answers.
 */

#include "core/text.h"
#include "http/client.h"
#include "support/deployment.h"
#include "support/loop.h"
#include "support/loopback.h"
#include "support/rawendpoint.h"
#include "wire/httpclient.h"

#include <criterion/criterion.h>

#include <optional>
#include <thread>

using namespace jujube;
using namespace std::chrono_literals;
using test::AfterAnswer;
using test::Deployment;
using test::RawEndpoint;

namespace {

constexpr uint16_t Port = 7071;
// A response to a request that asks for no other protocol has no status 101.
constexpr const char *InvalidStatuses[] = {"000", "099", "101", "600", "999"};

std::string answerWithStatus(const std::string &status, const std::string &body = "none")
{
    return core::concat("HTTP/1.1 ", status, " Odd\r\nRequest-Id: {id}\r\nServer-Seal: x\r\n",
                        "Content-Length: ", body.size(), "\r\n\r\n", body);
}

/** An endpoint whose event loop runs on a thread of its own. */
class ThreadedEndpoint
{
public:
    ThreadedEndpoint(const std::string &answer, AfterAnswer after)
        : m_endpoint(m_io, test::loopbackAddress(Port))
    {
        m_endpoint.setAnswer(answer, after);
        m_thread = std::thread([this]() { m_io.run_for(10s); });
    }
    ~ThreadedEndpoint()
    {
        m_io.stop();
        m_thread.join();
    }
    ThreadedEndpoint(const ThreadedEndpoint &) = delete;
    ThreadedEndpoint &operator=(const ThreadedEndpoint &) = delete;

    wire::HttpRequest makePost(size_t bodyBytes) const
    {
        wire::HttpRequest request;
        request.address = m_endpoint.address();
        request.method = "POST";
        request.body = std::string(bodyBytes, 'x');
        return request;
    }

private:
    boost::asio::io_context m_io;
    RawEndpoint m_endpoint;
    std::thread m_thread;
};

} // namespace

// Guards against a request that waits for its deadline, or is given the next bytes of the
// connection, after an endpoint in trouble has answered with a status such as 000.
Test(invalidstatus, of_a_run_fails_it_at_once)
{
    for (const char *status : InvalidStatuses) {
        for (const auto after : {AfterAnswer::KeepsOpen, AfterAnswer::Closes}) {
            Deployment it;
            RawEndpoint endpoint(it.io(), test::loopbackAddress(Port));
            endpoint.setAnswer(answerWithStatus(status), after);
            it.store().put("servers/w-1", endpoint.makeEntry("app"));
            it.publishConfig(1);
            it.startGateway();
            const auto begin = core::BootClock::now();
            const auto answer = it.sendRequest("POST", "/order/1", "r1");
            cr_assert_eq(answer.status(), http::status::BadGateway, "%s: %u", status,
                         answer.status());
            cr_assert_lt(core::BootClock::now() - begin, 1s, "%s", status);
            cr_assert_eq(endpoint.runCount("r1"), 1U);
        }
    }
}

// Guards against an answer that follows bytes which are no answer: they cannot be told apart.
Test(invalidstatus, is_not_skipped_as_an_interim_response)
{
    for (const char *status : {"000", "099", "101"}) {
        Deployment it;
        RawEndpoint endpoint(it.io(), test::loopbackAddress(Port));
        endpoint.setAnswer(answerWithStatus(status) + test::sealedAnswer(), AfterAnswer::KeepsOpen);
        it.store().put("servers/w-1", endpoint.makeEntry("app"));
        it.publishConfig(1);
        it.startGateway();
        const auto answer = it.sendRequest("POST", "/order/1", "r1");
        cr_assert_eq(answer.status(), http::status::BadGateway, "%s: %u", status, answer.status());
    }
}

// Guards against a prompt that waits for the timeout of its prefill.
Test(invalidstatus, of_a_prefill_sends_the_prompt_elsewhere)
{
    for (const char *status : InvalidStatuses) {
        Deployment it;
        RawEndpoint prefillEngine(it.io(), test::loopbackAddress(Port));
        prefillEngine.setAnswer(
            answerWithStatus(status, R"({"KvHandle":"h","Tokens":9000,"Version":1})"),
            AfterAnswer::KeepsOpen);
        auto &placeholder = it.addEndpoint("model", serving::Stage::Prefill);
        placeholder.setAdvertisedAddress(prefillEngine.address());
        it.store().put("servers/" + placeholder.id(), placeholder.makeEntry("model", "a"));
        auto &decodeEngine = it.addEndpoint("model", serving::Stage::Decode);
        it.publishConfig(1);
        it.startGateway();
        const auto answer =
            it.sendRequest("POST", "/stream/prompt/1", "r1",
                           {{"Token-Count", "9000,50"}, {"Prompt-Prefix", "a1:9000"}});
        cr_assert_eq(answer.status(), http::status::Ok, "%s: %u", status, answer.status());
        cr_assert(answer.complete);
        for (const auto &received : decodeEngine.receivedRequests())
            cr_assert_str_eq(received.cacheSource.c_str(), "", "%s", status);
    }
}

// Guards against answers of the store, the platform, peers and health checks that are taken for
// valid.
Test(invalidstatus, fails_a_call)
{
    for (const char *status : InvalidStatuses) {
        boost::asio::io_context io;
        RawEndpoint endpoint(io, test::loopbackAddress(Port));
        endpoint.setAnswer(answerWithStatus(status), AfterAnswer::KeepsOpen);
        http::Client client(io);
        http::Request request;
        request.head.method = "GET";
        request.head.target = "/";
        std::optional<bool> ok;
        client.call(endpoint.address(), request, 2'000ms,
                    [&](const http::CallResult &result) { ok = result.response.ok(); });
        const auto begin = core::BootClock::now();
        while (!ok)
            io.run_one();
        cr_assert_not(*ok, "%s", status);
        cr_assert_lt(core::BootClock::now() - begin, 1s, "%s", status);
    }
}

// Guards against status 000 of a service that its caller gets as 200: the product's own interface
// takes a status of 0 for that of an answer without one.
Test(invalidstatus, fails_an_exchange_of_an_agent)
{
    test::Loop loop;
    wire::HttpClient client(loop.io());
    for (const char *status : InvalidStatuses) {
        const ThreadedEndpoint endpoint(answerWithStatus(status), AfterAnswer::KeepsOpen);
        wire::HttpLimits limits;
        limits.totalTimeout = 2s;
        limits.progressTimeout = 2s;
        const auto response = loop.wait(client.send(endpoint.makePost(1), limits));
        cr_assert_not(response.ok(), "%s: %u", status, response->status);
        cr_assert(wire::sendStateOf(response.status()) == wire::SendState::MaybeSent);
    }
}

// Guards against a part of an answer that an agent takes for a whole one: it has no length, and its
// connection is reset while the request is being written.
Test(cutanswers, of_a_service_are_not_complete)
{
    test::Loop loop;
    wire::HttpClient client(loop.io());
    for (const auto after : {AfterAnswer::Closes, AfterAnswer::Resets}) {
        for (const size_t answerBytes : {7UL, 100UL << 10U}) {
            const ThreadedEndpoint endpoint(
                "HTTP/1.1 200 OK\r\nServer-Seal: x\r\n\r\n" + std::string(answerBytes, 'a'), after);
            for (const size_t bodyBytes : {1UL, 200UL << 10U, 4UL << 20U}) {
                // A request that fits the buffers of the kernel may be written when the answer
                // ends.
                const auto response = loop.wait(client.send(endpoint.makePost(bodyBytes), {}));
                if (bodyBytes == 1 && after == AfterAnswer::Closes)
                    continue; // The endpoint has read all of it: this connection ends in order.
                cr_assert_not(response.ok(), "%zu of %zu", answerBytes, bodyBytes);
            }
        }
    }
}
