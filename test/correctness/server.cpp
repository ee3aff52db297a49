/** \file
 * Tests that handlers of the HTTP server are notified when their client disconnects.
 */

#include "http/server.h"
#include "support/loopback.h"
#include "support/residentbytes.h"

#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <algorithm>
#include <fstream>
#include <optional>
#include <unistd.h>
#include <vector>

using namespace jujube;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

constexpr uint16_t Port = 7005;

// Opens a connection and sends a request with blocking calls, outside of the server's event loop.
tcp::socket connectAndSend(boost::asio::io_context &io)
{
    const std::string address = test::loopbackAddress(Port);
    tcp::socket socket(io);
    socket.connect({boost::asio::ip::make_address(address.substr(0, address.rfind(':'))), Port});
    boost::asio::write(socket,
                       boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: test\r\n\r\n")));
    return socket;
}

} // namespace

// Guards against work for clients that have disconnected. The server has read the request, but not
// the close that follows it in the socket buffer, so it has to ask the kernel.
Test(server, client_close_is_detected_before_the_event_loop_reads_it)
{
    boost::asio::io_context io;
    boost::asio::io_context blocking;
    std::vector<bool> disconnected;
    http::Server server(io, [&](const http::Request &, const http::Responder &responder) {
        disconnected.push_back(responder.clientDisconnected());
    });
    cr_assert(server.listen(test::loopbackAddress(Port)).ok());
    const tcp::socket openClient = connectAndSend(blocking);
    io.run_for(20ms);
    connectAndSend(blocking).close();
    io.run_for(20ms);
    cr_assert_eq(disconnected.size(), 2U);
    cr_assert_not(disconnected[0]);
    cr_assert(disconnected[1]);
}

// Guards against work for clients that have been disconnected by the server itself for leaving too
// much of the response unread: the handler has to be notified as with any other disconnect.
Test(server, handler_is_notified_when_the_server_drops_a_slow_client)
{
    boost::asio::io_context io;
    boost::asio::io_context blocking;
    bool notified = false;
    std::optional<http::Responder> savedResponder;
    http::Server server(io, [&](const http::Request &, const http::Responder &responder) {
        savedResponder = responder;
        responder.onDisconnect([&]() { notified = true; });
        http::Head head;
        head.status = http::status::Ok;
        responder.begin(head, http::Framing::Chunked, 0);
    });
    cr_assert(server.listen(test::loopbackAddress(Port)).ok());
    const tcp::socket client = connectAndSend(blocking);
    io.run_for(20ms);
    const std::string piece(1UL << 20U, 'x');
    for (int i = 0; i < 100 && !savedResponder->clientDisconnected(); ++i)
        savedResponder->write(piece);
    cr_assert(savedResponder->clientDisconnected());
    cr_assert_not(notified); // The callback must not run inside write().
    io.restart();
    io.run_for(20ms);
    cr_assert(notified);
}

namespace {

/** Sends a request with a body of \a pieces parts, one in each interval. \return whether the
 * handler received it before the connection was closed. */
bool uploadArrives(size_t pieces, size_t pieceBytes, core::Milliseconds interval)
{
    boost::asio::io_context io;
    boost::asio::io_context blocking;
    bool arrived = false;
    http::Server server(io,
                        [&](const http::Request &, const http::Responder &) { arrived = true; });
    http::ServerLimits limits;
    limits.headTimeout = 200ms;
    limits.idleTimeout = 200ms;
    server.setLimits(limits);
    const std::string address = test::loopbackAddress(Port);
    cr_assert(server.listen(address).ok());
    tcp::socket socket(blocking);
    socket.connect({boost::asio::ip::make_address(address.substr(0, address.rfind(':'))), Port});
    boost::system::error_code ec;
    boost::asio::write(socket,
                       boost::asio::buffer("POST / HTTP/1.1\r\nHost: test\r\nContent-Length: "
                                           + std::to_string(pieces * pieceBytes) + "\r\n\r\n"),
                       ec);
    for (size_t i = 0; i < pieces && !ec; ++i) {
        io.restart();
        io.run_for(interval);
        boost::asio::write(socket, boost::asio::buffer(std::string(pieceBytes, 'x')), ec);
    }
    io.restart();
    io.run_for(100ms);
    return arrived;
}

} // namespace

// Guards against uploads over slow links that are cut: the limit did not depend on how much of the
// body had arrived.
Test(server, a_body_that_arrives_slowly_is_accepted)
{
    cr_assert(uploadArrives(30, 20'000, 50ms));
}

// Guards against connections that are held open by a body that drips.
Test(server, a_body_that_drips_is_not_waited_for)
{
    cr_assert_not(uploadArrives(30, 1, 50ms));
}

// Guards against unbounded memory: a client that is refused, does not read its earlier response and
// goes on sending, while the server waits to write the refusal.
Test(server, input_after_a_last_response_is_not_kept)
{
    boost::asio::io_context io;
    boost::asio::io_context blocking;
    std::optional<http::Responder> response;
    http::Server server(
        io, [&](const http::Request &, const http::Responder &responder) { response = responder; });
    cr_assert(server.listen(test::loopbackAddress(Port)).ok());
    server.closeAfterResponses();
    tcp::socket client = connectAndSend(blocking);
    client.non_blocking(true);
    io.run_for(20ms);
    http::Head head;
    head.status = http::status::Ok;
    response->begin(head, http::Framing::Chunked, 0);
    const std::string part(1UL << 20U, 'x');
    for (int i = 0; i < 40 && response->unsentBytes() < part.size(); ++i) {
        response->write(part);
        io.restart();
        io.run_for(20ms);
    }
    cr_assert_geq(response->unsentBytes(), part.size());
    response->finish();
    const size_t before = test::residentBytes();
    const std::string piece(64UL << 10U, 'y');
    size_t sent = 0;
    constexpr size_t enough = 64UL << 20U;
    const core::TimePoint end = core::BootClock::now() + 2s;
    while (sent < enough && core::BootClock::now() < end) {
        boost::system::error_code ec;
        sent += client.write_some(boost::asio::buffer(piece), ec);
        io.restart();
        io.poll();
    }
    cr_assert_geq(sent, enough);
    cr_assert_leq(test::residentBytes() - std::min(before, test::residentBytes()), 16UL << 20U);
}
