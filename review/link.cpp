#include "review/link.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <netinet/tcp.h>

namespace jujube::review {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr size_t ChunkBytes = 8192;
constexpr int SegmentBytes = 1448; // Of TCP over Ethernet.
constexpr int ReceiveBufferBytes = 64 * 1024;

tcp::endpoint endpointOf(const std::string &address)
{
    const size_t colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)),
            static_cast<uint16_t>(std::stoul(address.substr(colon + 1)))};
}

} // namespace

struct Link::Pair
{
    struct Side
    {
        explicit Side(asio::io_context &io) : socket(io), timer(io) { }

        tcp::socket socket;
        asio::steady_timer timer;
        std::array<char, ChunkBytes> buffer{};
    };

    explicit Pair(asio::io_context &io) : client(io), target(io) { }

    void close()
    {
        ErrorCode ec;
        client.socket.close(ec);
        target.socket.close(ec);
    }

    Side client;
    Side target;
};

Link::Link(asio::io_context &io, std::string target, double bytesPerSecond)
    : m_io(io), m_acceptor(io), m_target(endpointOf(target)), m_bytesPerSecond(bytesPerSecond)
{
}

bool Link::listen(const std::string &address)
{
    const tcp::endpoint endpoint = endpointOf(address);
    ErrorCode ec;
    m_acceptor.open(endpoint.protocol(), ec);
    m_acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    m_acceptor.bind(endpoint, ec);
    if (!ec)
        m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (!ec)
        accept();
    return !ec;
}

void Link::accept()
{
    const auto pair = std::make_shared<Pair>(m_io);
    m_acceptor.async_accept(pair->client.socket, [this, pair](const ErrorCode &ec) {
        if (ec)
            return;
        accept();
        ErrorCode ignored;
        tcp::socket &target = pair->target.socket;
        target.open(m_target.protocol(), ignored);
        target.set_option(asio::socket_base::receive_buffer_size(ReceiveBufferBytes), ignored);
        setsockopt(target.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &SegmentBytes,
                   sizeof(SegmentBytes));
        target.async_connect(m_target, [this, pair](const ErrorCode &connectError) {
            if (connectError) {
                pair->close();
                return;
            }
            forward(pair, true);
            forward(pair, false);
        });
    });
}

void Link::forward(const std::shared_ptr<Pair> &pair, bool toTarget)
{
    Pair::Side &from = toTarget ? pair->client : pair->target;
    Pair::Side &to = toTarget ? pair->target : pair->client;
    from.socket.async_read_some(
        asio::buffer(from.buffer),
        [this, pair, toTarget, &from, &to](const ErrorCode &ec, size_t n) {
            if (ec) {
                pair->close();
                return;
            }
            const core::TimePoint now = core::BootClock::now();
            core::TimePoint dueAt = now;
            if (!toTarget) {
                constexpr double microseconds = 1e6;
                const double time = static_cast<double>(n) / m_bytesPerSecond * microseconds;
                m_freeAt =
                    std::max(m_freeAt, now) + std::chrono::microseconds(static_cast<int64_t>(time));
                dueAt = m_freeAt;
            }
            from.timer.expires_after(dueAt - now);
            from.timer.async_wait([this, pair, toTarget, &from, &to, n](const ErrorCode &) {
                asio::async_write(to.socket, asio::buffer(from.buffer, n),
                                  [this, pair, toTarget](const ErrorCode &writeError, size_t) {
                                      if (writeError)
                                          pair->close();
                                      else
                                          forward(pair, toTarget);
                                  });
            });
        });
}

} // namespace jujube::review
