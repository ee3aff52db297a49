/** \file
 * Tests that clients which read slowly delay no others, and that the output held for them is
 * bounded.
 */

#include "core/metrics.h"
#include "core/text.h"
#include "http/outputbudget.h"
#include "http/server.h"
#include "support/deployment.h"
#include "support/loopback.h"
#include "support/residentbytes.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>

#include <algorithm>
#include <functional>
#include <optional>

using namespace jujube;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using test::ClientResponse;
using test::Deployment;
using test::EndpointFault;

namespace {

constexpr uint64_t MiB = 1UL << 20U;

constexpr int SmallReceiveBuffer = 4'096;
constexpr int ModerateReceiveBuffer = 32 * 1'024;
constexpr int LargeReceiveBuffer = 256 * 1'024;

/** Sends a request on a connection that takes little unread data, unless stated otherwise. */
tcp::socket sendUnread(boost::asio::io_context &io, const std::string &address,
                       const std::string &request, int receiveBuffer = SmallReceiveBuffer)
{
    const size_t colon = address.rfind(':');
    tcp::socket socket(io);
    socket.open(tcp::v4());
    socket.set_option(boost::asio::socket_base::receive_buffer_size(receiveBuffer));
    socket.connect({boost::asio::ip::make_address(address.substr(0, colon)),
                    static_cast<uint16_t>(std::stoi(address.substr(colon + 1)))});
    boost::asio::write(socket, boost::asio::buffer(request));
    socket.non_blocking(true);
    return socket;
}

std::string streamRequest(const std::string &id)
{
    return "POST /stream/once/1 HTTP/1.1\r\nHost: test.example\r\nX-Api-Key: key-a\r\n"
           "Content-Length: 0\r\nRequest-Id: "
        + id + "\r\n\r\n";
}

/** Reads what has arrived, at most some bytes. \return whether the connection is still open. */
bool readSome(tcp::socket &socket, size_t maxBytes)
{
    std::string buffer(maxBytes, 0);
    boost::system::error_code ec;
    socket.read_some(boost::asio::buffer(buffer), ec);
    return !ec || ec == boost::asio::error::would_block;
}

uint64_t closedSlowClients()
{
    const std::string metrics = "\n" + core::renderMetrics();
    const std::string name = "\njujube_slow_clients_closed_total ";
    const size_t at = metrics.find(name);
    return at == std::string::npos ? 0 : std::stoull(metrics.substr(at + name.size()));
}

} // namespace

// Guards against slow clients that together take all of the bound, in whatever order they come.
Test(slowclients, always_leave_a_part_of_the_bound_to_others)
{
    const auto budget = std::make_shared<http::OutputBudget>(8 * MiB);
    std::vector<std::unique_ptr<http::OutputShare>> shares;
    for (size_t count = 1; count <= 400; ++count) {
        shares.push_back(std::make_unique<http::OutputShare>(budget));
        while (!shares.back()->full())
            shares.back()->set(shares.back()->bytes() + 1'024);
        cr_assert_lt(budget->usedBytes(), budget->maxBytes(), "%zu clients", count);
        cr_assert_geq(budget->connectionLimit(), http::OutputBudget::MinConnectionBytes);
        cr_assert_geq(shares.back()->bytes(), http::OutputBudget::MinConnectionBytes);
    }
    cr_assert_gt(shares.front()->bytes(), 200U << 10U);
    // Quick streams neither count nor pause.
    http::OutputShare quick(budget);
    const size_t used = budget->usedBytes();
    quick.set(10'000);
    cr_assert_eq(budget->usedBytes(), used);
    cr_assert(!quick.full() && quick.drained());
    shares.clear();
    cr_assert_eq(budget->usedBytes(), 0U);
}

// Guards against a gateway that is killed for its memory, and against quick clients that wait for
// memory which slow ones hold.
Test(slowclients, delay_no_quick_ones_and_hold_bounded_memory)
{
    constexpr size_t slowCount = 120;
    Deployment it;
    auto &endless = it.addEndpoint("app");
    it.addEndpoint("model", serving::Stage::Prefill);
    auto &decode = it.addEndpoint("model", serving::Stage::Decode);
    it.publishConfig(1, R"(["key-a"])", 30'000);
    serving::NodeSettings settings;
    settings.memoryBytes = 32 * MiB; // Room for 2 MiB of output.
    it.startGateway(settings);
    endless.setFault(EndpointFault::EndlessEvent, slowCount);
    const size_t residentBefore = test::residentBytes();
    boost::asio::io_context blocking;
    std::vector<tcp::socket> slow;
    for (size_t i = 0; i < slowCount; ++i)
        slow.push_back(
            sendUnread(blocking, it.clientAddress(0), streamRequest("slow-" + std::to_string(i))));
    cr_assert(it.runUntil([&]() { return endless.runningCount() == slowCount; }));
    // Every second slow client reads 2 KiB in 20 ms.
    const auto readSlowly = [&]() {
        for (size_t i = 0; i < slowCount; i += 2)
            cr_assert(readSome(slow[i], 2'048));
    };
    size_t written = 0;
    for (int i = 0; i < 100 && (i < 20 || written != endless.endlessBytes()); ++i) {
        written = endless.endlessBytes();
        it.runFor(20ms);
    }
    std::vector<core::Milliseconds> times;
    for (int i = 0; i < 30; ++i) {
        readSlowly();
        const auto answer = std::make_shared<ClientResponse>();
        const core::TimePoint begin = core::BootClock::now();
        it.startRequest(i % 2 == 0 ? "/stream/prompt/1" : "/stream/once/1",
                        "quick-" + std::to_string(i), answer,
                        {{"Token-Count", "3000,40"},
                         {"Prompt-Prefix", core::concat("a", i, ":800,b", i, ":1200,c3:1000")}});
        cr_assert(it.runUntil([&]() { return answer->complete; }, 2s), "%d: %u", i,
                  answer->status());
        times.push_back(
            std::chrono::duration_cast<core::Milliseconds>(core::BootClock::now() - begin));
        cr_assert_eq(answer->status(), 200U);
        it.runFor(20ms);
    }
    // A stream of the fake lasts 15 ms; loops on a busy machine are some ms late.
    std::sort(times.begin(), times.end());
    cr_assert_lt(times[times.size() / 2], 100ms);
    cr_assert_lt(times.back(), 500ms);
    cr_assert_eq(decode.receivedRequests().size(), 15U);
    for (const test::ReceivedRequest &run : decode.receivedRequests())
        cr_assert_not(run.cacheSource.empty(), "a prefill failed");
    // The fake endpoint's side of the streams is in this process, too.
    cr_assert_lt(test::residentBytes() - std::min(residentBefore, test::residentBytes()),
                 settings.memoryBytes);
    for (size_t i = 1; i < slowCount; i += 2)
        cr_assert(readSome(slow[i], 64));
    cr_assert_eq(closedSlowClients(), 0U);
}

// Guards against answers that an endpoint cuts off, as they stay unread for some seconds: a paused
// stream continued only when its client had taken all of the 256 KB that are held, beside what the
// kernel holds.
Test(slowclients, let_their_source_continue_in_small_steps)
{
    constexpr uint16_t port = 7042;
    constexpr size_t step = 2'048;
    constexpr size_t total = 4 * MiB;
    boost::asio::io_context io;
    boost::asio::io_context blocking;
    std::optional<http::Responder> responder;
    size_t clientBytes = 0;
    size_t atLastWrite = 0;
    std::function<void()> produce = [&]() {
        while (!responder->outputFull())
            responder->write(std::string(http::OutputBudget::MinConnectionBytes, 'x'));
        atLastWrite = clientBytes;
        responder->onDrained(produce);
    };
    http::Server server(io, [&](const http::Request &, const http::Responder &it) {
        responder = it;
        http::Head head;
        head.status = http::status::Ok;
        it.begin(head, http::Framing::Chunked, 0);
        produce();
    });
    server.setMemory(MiB, 8 * MiB);
    cr_assert(server.listen(test::loopbackAddress(port)).ok());
    tcp::socket client = sendUnread(blocking, test::loopbackAddress(port),
                                    "GET / HTTP/1.1\r\nHost: h\r\n\r\n", ModerateReceiveBuffer);
    io.run_for(50ms);
    size_t longest = 0;
    std::string buffer(step, 0);
    const core::TimePoint end = core::BootClock::now() + 10s;
    while (clientBytes < total && core::BootClock::now() < end) {
        boost::system::error_code ec;
        clientBytes += client.read_some(boost::asio::buffer(buffer), ec);
        io.restart();
        io.poll();
        if (clientBytes > MiB) // The kernel's buffers are full.
            longest = std::max(longest, clientBytes - atLastWrite);
    }
    cr_assert_geq(clientBytes, total);
    // The kernel reports free room in its send buffer of 256 KB in steps of a third.
    cr_assert_lt(longest, 200U << 10U, "%zu bytes", longest);
}

// Guards against unbounded memory for complete answers, whose source cannot pause, and against the
// disconnection of a quick client in place of the slow ones.
Test(slowclients, are_disconnected_if_complete_answers_exceed_the_bound)
{
    constexpr uint16_t port = 7041;
    constexpr size_t answerBytes = 3 * MiB;
    boost::asio::io_context io;
    boost::asio::io_context blocking;
    http::Server server(io, [&](const http::Request &, const http::Responder &responder) {
        http::Head head;
        head.status = http::status::Ok;
        responder.send(head, std::string(answerBytes, 'x'));
    });
    server.setMemory(MiB, 8 * MiB);
    const std::string address = test::loopbackAddress(port);
    cr_assert(server.listen(address).ok());
    const std::string request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
    std::vector<tcp::socket> slow;
    for (size_t i = 0; i < 40; ++i) {
        slow.push_back(sendUnread(blocking, address, request));
        io.restart();
        io.run_for(5ms);
    }
    cr_assert_gt(closedSlowClients(), 0U);
    cr_assert_eq(server.connectionCount() + closedSlowClients(), 40U);
    tcp::socket quick = sendUnread(blocking, address, request, LargeReceiveBuffer);
    size_t received = 0;
    const core::TimePoint end = core::BootClock::now() + 3s;
    std::string buffer(MiB, 0);
    while (received < answerBytes && core::BootClock::now() < end) {
        boost::system::error_code ec;
        received += quick.read_some(boost::asio::buffer(buffer), ec);
        io.restart();
        io.poll();
    }
    cr_assert_geq(received, answerBytes);
}

namespace {

/** Reads an answer whole. \return its bytes until the connection ends or stays silent for 1 s. */
std::string readAll(boost::asio::io_context &io, tcp::socket &socket, size_t bytesPerRead,
                    core::Milliseconds interval)
{
    std::string text;
    std::string buffer(bytesPerRead, 0);
    core::TimePoint lastRead = core::BootClock::now();
    while (core::BootClock::now() - lastRead < 1s) {
        boost::system::error_code ec;
        const size_t n = socket.read_some(boost::asio::buffer(buffer), ec);
        text.append(buffer, 0, n);
        if (n > 0)
            lastRead = core::BootClock::now();
        if (ec && ec != boost::asio::error::would_block)
            break;
        io.restart();
        io.run_for(interval);
    }
    return text;
}

std::string bodyOf(const std::string &answer)
{
    constexpr std::string_view endOfHead = "\r\n\r\n";
    const size_t at = answer.find(endOfHead);
    return at == std::string::npos ? "" : answer.substr(at + endOfHead.size());
}

std::string orderRequest(const std::string &id)
{
    return "POST /order/1 HTTP/1.1\r\nHost: test.example\r\nX-Api-Key: key-a\r\n"
           "Content-Length: 0\r\nRequest-Id: "
        + id + "\r\n\r\n";
}

} // namespace

// Guards against the loss of answers and streams (LOST) whose clients pause for a few seconds while
// they read: the kernel ended connections whose window was closed for 2.5 s.
Test(slowclients, that_pause_while_they_read_get_the_whole_answer)
{
    constexpr size_t bodyBytes = 240UL << 10U;
    Deployment it;
    auto &endpoint = it.addEndpoint("app");
    endpoint.setBodySize(bodyBytes);
    it.publishConfig(1, R"(["key-a"])", 10'000);
    it.startGateway();
    constexpr int clientCount = 4;
    std::vector<tcp::socket> clients;
    clients.reserve(clientCount);
    for (int i = 0; i < clientCount; ++i)
        clients.push_back(sendUnread(it.io(), it.clientAddress(0),
                                     orderRequest(core::concat("r", i)), ModerateReceiveBuffer));
    it.runFor(4s);
    for (tcp::socket &client : clients)
        cr_assert_eq(bodyOf(readAll(it.io(), client, 1UL << 20U, 1ms)).size(), bodyBytes);
}

// Guards against a 408 behind an answer that its client takes slowly: output that was not sent was
// taken for the begin of another request.
Test(slowclients, get_nothing_behind_an_answer_that_they_take_slowly)
{
    constexpr size_t bodyBytes = 600UL << 10U;
    boost::asio::io_context io;
    http::Server server(io, [](const http::Request &, const http::Responder &responder) {
        http::Head head;
        head.status = 200;
        responder.send(head, std::string(bodyBytes, 'a'));
    });
    http::ServerLimits limits;
    limits.headTimeout = 500ms;
    server.setLimits(limits);
    server.setMemory(MiB, MiB);
    const std::string address = test::loopbackAddress(7009);
    cr_assert(server.listen(address).ok());
    tcp::socket client = sendUnread(io, address, orderRequest("r1"));
    // About 200 KB/s.
    cr_assert_eq(bodyOf(readAll(io, client, 2'000, 10ms)).size(), bodyBytes);
}
