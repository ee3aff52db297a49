#include "support/rawendpoint.h"

#include "core/text.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <poll.h>
#include <utility>

namespace jujube::test {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

// The kernel accepts about this much of each request without a read.
constexpr int ReceiveBufferBytes = 16 * 1024;
constexpr std::string_view EndOfHead = "\r\n\r\n";
constexpr std::string_view IdPlaceholder = "{id}";

std::string requestIdOf(const std::string &head)
{
    constexpr std::string_view name = "\r\nRequest-Id: ";
    const size_t at = head.find(name);
    if (at == std::string::npos)
        return {};
    const size_t begin = at + name.size();
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

} // namespace

struct RawEndpoint::Connection
{
    explicit Connection(tcp::socket accepted)
        : socket(std::move(accepted)), timer(socket.get_executor())
    {
    }

    tcp::socket socket;
    asio::steady_timer timer;
    // Smaller than a head, so that most of a body stays in the kernel.
    std::array<char, 1'024> buffer{};
    std::string input;
    std::string requestId;
    bool working = false;
};

RawEndpoint::RawEndpoint(asio::io_context &io, const std::string &address)
    : m_acceptor(io), m_address(address)
{
    const size_t colon = address.rfind(':');
    const tcp::endpoint endpoint(asio::ip::make_address(address.substr(0, colon)),
                                 static_cast<uint16_t>(std::stoul(address.substr(colon + 1))));
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    // Inherited by accepted connections; it has to be set before they are established.
    m_acceptor.set_option(asio::socket_base::receive_buffer_size(ReceiveBufferBytes));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    accept();
}

RawEndpoint::~RawEndpoint() = default;

std::string RawEndpoint::makeEntry(const std::string &service) const
{
    return core::concat(R"({"Service":")", service, R"(","Address":")", m_address,
                        R"(","Zone":"a","Version":"v1","Slots":64,"State":"ready",)",
                        R"("ColdLeftMs":0,"Sequence":1,"born":1800000000000})");
}

void RawEndpoint::setAnswer(std::string bytes, AfterAnswer after)
{
    setPieces(bytes.empty() ? std::vector<std::string>() : std::vector{std::move(bytes)}, {},
              after);
}

void RawEndpoint::setPieces(std::vector<std::string> pieces, core::Milliseconds pause,
                            AfterAnswer after)
{
    m_pieces = std::move(pieces);
    m_pause = pause;
    m_after = after;
}

size_t RawEndpoint::runCount(const std::string &requestId) const
{
    const auto it = m_runs.find(requestId);
    return it == m_runs.end() ? 0 : it->second;
}

bool RawEndpoint::hasWaitingConnection()
{
    pollfd state{m_acceptor.native_handle(), POLLIN, 0};
    return poll(&state, 1, 0) > 0;
}

void RawEndpoint::accept()
{
    m_acceptor.async_accept([this](const ErrorCode &ec, tcp::socket socket) {
        if (ec)
            return;
        readHead(std::make_shared<Connection>(std::move(socket)));
        accept();
    });
}

void RawEndpoint::readHead(const std::shared_ptr<Connection> &connection)
{
    connection->socket.async_read_some(
        asio::buffer(connection->buffer), [this, connection](const ErrorCode &ec, size_t n) {
            if (ec)
                return;
            m_readBytes += n;
            connection->input.append(connection->buffer.data(), n);
            if (connection->input.find(EndOfHead) == std::string::npos)
                readHead(connection);
            else
                work(connection);
        });
}

// The end of the connection is visible without a read: the kernel reports an error. Until then the
// pending wait keeps the connection.
void RawEndpoint::work(const std::shared_ptr<Connection> &connection)
{
    connection->requestId = requestIdOf(connection->input);
    ++m_runs[connection->requestId];
    connection->working = true;
    connection->socket.async_wait(asio::socket_base::wait_error,
                                  [this, connection](const ErrorCode &ec) {
                                      if (ec || !std::exchange(connection->working, false))
                                          return;
                                      ++m_abandonedRuns;
                                      connection->timer.cancel();
                                      connection->socket.close();
                                  });
    connection->timer.expires_after(m_workTime);
    connection->timer.async_wait([this, connection](const ErrorCode &ec) {
        if (!ec && connection->working)
            answer(connection, 0);
    });
}

void RawEndpoint::answer(const std::shared_ptr<Connection> &connection, size_t piece)
{
    if (m_pieces.empty() && m_after == AfterAnswer::KeepsOpen)
        return;
    ErrorCode ec;
    if (piece < m_pieces.size()) {
        std::string bytes = m_pieces[piece];
        for (size_t at = 0; (at = bytes.find(IdPlaceholder, at)) != std::string::npos;)
            bytes.replace(at, IdPlaceholder.size(), connection->requestId);
        // Written at once, so that the end of the connection follows the answer without a delay.
        asio::write(connection->socket, asio::buffer(bytes), ec);
    }
    if (!ec && piece + 1 < m_pieces.size()) {
        connection->timer.expires_after(m_pause);
        connection->timer.async_wait([this, connection, piece](const ErrorCode &waitError) {
            if (!waitError && connection->working)
                answer(connection, piece + 1);
        });
        return;
    }
    connection->working = false;
    if (!ec)
        handleAnswered(connection);
}

void RawEndpoint::handleAnswered(const std::shared_ptr<Connection> &connection)
{
    ErrorCode ignored;
    switch (m_after) {
    case AfterAnswer::KeepsOpen:
        return;
    case AfterAnswer::ReadsOn:
        readOn(connection);
        return;
    case AfterAnswer::Resets:
        connection->socket.set_option(asio::socket_base::linger(true, 0), ignored);
        connection->socket.close(ignored);
        return;
    case AfterAnswer::Closes:
        connection->socket.close(ignored);
        return;
    case AfterAnswer::ShutsDown:
        connection->socket.shutdown(tcp::socket::shutdown_send, ignored);
        readOn(connection);
        return;
    }
}

void RawEndpoint::readOn(const std::shared_ptr<Connection> &connection)
{
    connection->socket.async_read_some(asio::buffer(connection->buffer),
                                       [this, connection](const ErrorCode &ec, size_t n) {
                                           m_readBytes += n;
                                           if (!ec)
                                               readOn(connection);
                                       });
}

std::string sealedAnswer(const std::string &moreFields)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: x\r\n" + moreFields
        + "Content-Length: 12\r\n\r\nanswer to {id}";
}

} // namespace jujube::test
