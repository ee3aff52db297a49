/** \file
 * Tests of the HTTP server of the serving path: what handlers learn of their clients.
 */

#include "http/server.h"
#include "support/loopback.h"

#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <optional>
#include <vector>

using namespace jujube;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

constexpr uint16_t Port = 7005;

// A connection with one request on it, made without the event loop of the server.
tcp::socket connectAndAsk(boost::asio::io_context &io)
{
    const std::string address = test::loopbackAddress(Port);
    tcp::socket socket(io);
    socket.connect({boost::asio::ip::make_address(address.substr(0, address.rfind(':'))), Port});
    boost::asio::write(socket,
                       boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: test\r\n\r\n")));
    return socket;
}

} // namespace

// Guards against work for callers that have left (GONE): the close is behind the request in the
// socket, so only the kernel knows of it.
Test(server, a_close_is_seen_before_the_loop_has_read_it)
{
    boost::asio::io_context io;
    boost::asio::io_context blocking;
    std::vector<bool> left;
    http::Server server(io, [&](const http::Request &, const http::Responder &responder) {
        left.push_back(responder.clientDisconnected());
    });
    cr_assert(server.listen(test::loopbackAddress(Port)).ok());
    const tcp::socket openClient = connectAndAsk(blocking);
    io.run_for(20ms);
    connectAndAsk(blocking).close();
    io.run_for(20ms);
    cr_assert_eq(left.size(), 2U);
    cr_assert_not(left[0]);
    cr_assert(left[1]);
}

// Guards against work for callers that are gone (GONE): a client that leaves too much unread is cut
// off by the server itself, and its handler has to hear of it as of any other close.
Test(server, a_handler_is_told_when_its_client_is_cut_off)
{
    boost::asio::io_context io;
    boost::asio::io_context blocking;
    bool gone = false;
    std::optional<http::Responder> kept;
    http::Server server(io, [&](const http::Request &, const http::Responder &responder) {
        kept = responder;
        responder.onDisconnect([&]() { gone = true; });
        http::Head head;
        head.status = http::status::Ok;
        responder.begin(head, http::Framing::Chunked, 0);
    });
    cr_assert(server.listen(test::loopbackAddress(Port)).ok());
    const tcp::socket client = connectAndAsk(blocking);
    io.run_for(20ms);
    const std::string piece(1UL << 20U, 'x');
    for (int i = 0; i < 100 && !kept->clientDisconnected(); ++i)
        kept->write(piece);
    cr_assert(kept->clientDisconnected());
    cr_assert_not(gone); // Not from inside its own write.
    io.restart();
    io.run_for(20ms);
    cr_assert(gone);
}
