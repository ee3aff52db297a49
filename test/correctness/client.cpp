/** \file
 * Tests of HTTP calls to peers whose responses are late, duplicated or endless.
 */

#include "http/client.h"
#include "http/server.h"
#include "support/loopback.h"

#include <criterion/criterion.h>

#include <optional>

using namespace jujube;
using namespace std::chrono_literals;

// Guards against taking a duplicate response for the response to the next call: the server sends it
// on the same connection after that call. Responses to reports and orders carry no request id, so
// such calls use a dedicated connection.
Test(caller, a_duplicate_response_is_not_taken_for_the_next_call)
{
    boost::asio::io_context io;
    std::string previousResponse;
    int calls = 0;
    http::Server server(io, [&](const http::Request &, const http::Responder &responder) {
        const std::string body = "answer " + std::to_string(++calls);
        if (responder.connectionReused())
            responder.sendRaw(previousResponse);
        previousResponse =
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        http::Head head;
        head.status = 200;
        responder.send(head, body);
    });
    const std::string address = test::loopbackAddress(7004);
    cr_assert(server.listen(address).ok());
    http::Client client(io);
    for (int i = 1; i <= 3; ++i) {
        std::string got;
        http::Request request;
        request.head.method = "GET";
        request.head.target = "/";
        client.call(
            address, request, 1'000ms,
            [&](const http::CallResult &result) {
                got = result.response.ok() ? result.response->body : "none";
            },
            http::ConnectionMode::Dedicated);
        for (int n = 0; n < 200 && got.empty(); ++n) {
            io.restart();
            io.run_for(5ms);
        }
        cr_assert_str_eq(got.c_str(), ("answer " + std::to_string(i)).c_str());
    }
}

// A peer sends an endless body: the call has to fail and its connection has to be closed.
Test(caller, an_endless_response_fails_the_call)
{
    boost::asio::io_context io;
    size_t sent = 0;
    bool closed = false;
    http::Server server(io, [&](const http::Request &, const http::Responder &responder) {
        responder.onDisconnect([&]() { closed = true; });
        http::Head head;
        head.status = 200;
        responder.begin(head, http::Framing::None, 0);
        const auto more = [&sent, responder]() {
            constexpr size_t pieceBytes = 64UL << 10U;
            sent += pieceBytes;
            responder.sendRaw(std::string(pieceBytes, 'x'));
        };
        responder.onFlushed(more);
        more();
    });
    const std::string address = test::loopbackAddress(7005);
    cr_assert(server.listen(address).ok());
    http::Client client(io);
    std::optional<absl::Status> status;
    http::Request request;
    request.head.method = "GET";
    request.head.target = "/";
    client.call(address, request, 5'000ms,
                [&](const http::CallResult &result) { status = result.response.status(); });
    for (int n = 0; n < 400 && !(status && closed); ++n) {
        io.restart();
        io.run_for(5ms);
    }
    cr_assert(status && absl::IsResourceExhausted(*status));
    cr_assert(closed);
    cr_assert_leq(sent, 16UL << 20U);
}

namespace {

/** Calls a server that sends \a first bytes and then one byte in each interval. \return the time
 * until the call failed; nothing if it has not failed within three seconds. */
std::optional<core::Milliseconds> timeUntilFailure(uint16_t port, size_t first,
                                                   core::Milliseconds interval,
                                                   core::Milliseconds timeout)
{
    boost::asio::io_context io;
    std::optional<http::Responder> response;
    http::Server server(io, [&](const http::Request &, const http::Responder &responder) {
        http::Head head;
        head.status = 200;
        responder.begin(head, http::Framing::Chunked, 0);
        if (first > 0)
            responder.write(std::string(first, 'x'));
        response = responder;
    });
    const std::string address = test::loopbackAddress(port);
    cr_assert(server.listen(address).ok());
    http::Client client(io);
    std::optional<absl::Status> status;
    http::Request request;
    request.head.method = "GET";
    request.head.target = "/";
    const core::TimePoint begin = core::BootClock::now();
    client.call(
        address, request, timeout,
        [&](const http::CallResult &result) { status = result.response.status(); },
        http::ConnectionMode::Pooled, {}, http::StoreBodyBytes);
    core::TimePoint writeAt = begin + interval;
    while (!status && core::BootClock::now() < begin + 3s) {
        io.restart();
        io.run_for(5ms);
        if (response && core::BootClock::now() >= writeAt) {
            response->write("x");
            writeAt += interval;
        }
    }
    if (!status)
        return std::nullopt;
    cr_assert(absl::IsDeadlineExceeded(*status));
    return std::chrono::duration_cast<core::Milliseconds>(core::BootClock::now() - begin);
}

} // namespace

// Guards against memory that is used up by many calls at a time: the answer to a call that needs a
// few values has a smaller limit than a part of the store.
Test(caller, a_call_has_its_own_limit_for_the_response)
{
    boost::asio::io_context io;
    const std::string large(http::SmallBodyBytes + 1, 'x');
    http::Server server(io, [&](const http::Request &, const http::Responder &responder) {
        http::Head head;
        head.status = 200;
        responder.send(head, large);
    });
    const std::string address = test::loopbackAddress(7009);
    cr_assert(server.listen(address).ok());
    http::Client client(io);
    http::Request request;
    request.head.method = "GET";
    request.head.target = "/";
    std::vector<absl::Status> results;
    const auto done = [&](const http::CallResult &result) {
        results.push_back(result.response.status());
    };
    client.call(address, request, 1'000ms, done);
    for (int n = 0; n < 200 && results.empty(); ++n) {
        io.restart();
        io.run_for(5ms);
    }
    client.call(address, request, 1'000ms, done, http::ConnectionMode::Pooled, {},
                http::StoreBodyBytes);
    for (int n = 0; n < 200 && results.size() < 2; ++n) {
        io.restart();
        io.run_for(5ms);
    }
    cr_assert_eq(results.size(), 2U);
    cr_assert(absl::IsResourceExhausted(results[0]));
    cr_assert(results[1].ok());
}

// Guards against calls that never end: bytes now and then do not count as progress.
Test(caller, a_response_that_drips_fails_the_call)
{
    const auto time = timeUntilFailure(7006, 0, 20ms, 300ms);
    cr_assert(time.has_value());
    cr_assert_leq(time->count(), 600);
}

// Guards against a long wait for a peer that stops in the middle of a large response: what it has
// sent earns the rest a limited time only.
Test(caller, a_response_that_stops_fails_the_call)
{
    const auto stops = timeUntilFailure(7007, 200'000, 5'000ms, 300ms);
    cr_assert(stops.has_value());
    cr_assert_leq(stops->count(), 900);
    const auto drips = timeUntilFailure(7008, 60'000, 20ms, 300ms);
    cr_assert(drips.has_value());
    cr_assert_leq(drips->count(), 1'800);
}

// Guards against a request that is sent on a kept connection which its peer has closed, so that it
// is not known whether it ran: the event loop has not processed the close yet.
Test(caller, a_kept_connection_that_its_peer_has_closed_is_not_used)
{
    boost::asio::io_context serverIo;
    http::Server server(serverIo, [&](const http::Request &, const http::Responder &responder) {
        http::Head head;
        head.status = 200;
        responder.send(head, "answer");
    });
    const std::string address = test::loopbackAddress(7008);
    cr_assert(server.listen(address).ok());
    boost::asio::io_context io;
    http::ConnectionPool pool(io);
    const auto kept = pool.acquire(address);
    bool ended = false;
    http::ExchangeHandler handler;
    handler.onHead = [](const http::Head &) { return true; };
    handler.onBody = [](std::string &bytes) { bytes.clear(); };
    handler.onEnd = [&]() {
        ended = true;
        pool.release(kept);
    };
    handler.onFailure = [](http::Failure, const std::string &) {};
    http::Head head;
    head.method = "GET";
    head.target = "/";
    kept->send(http::renderRequest(head, {}), false, 1'000ms, std::move(handler));
    for (int n = 0; n < 200 && !ended; ++n) {
        serverIo.restart();
        serverIo.run_for(1ms);
        io.restart();
        io.run_for(1ms);
    }
    cr_assert(ended);
    cr_assert_eq(pool.acquire(address), kept);
    pool.release(kept);
    server.closeIdleConnections();
    cr_assert_neq(pool.acquire(address), kept);
}
