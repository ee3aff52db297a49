#include "support/slowlink.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace jujube::test {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr size_t ChunkBytes = 8192;
// Small buffers, as on a slow link: otherwise the kernel accepts most of a response at once.
constexpr int SocketBufferBytes = 32 * 1024;

tcp::endpoint endpointOf(const std::string &address)
{
    const size_t colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)),
            static_cast<uint16_t>(std::stoul(address.substr(colon + 1)))};
}

} // namespace

struct SlowLink::Pair
{
    explicit Pair(asio::io_context &io) : client(io), target(io), timer(io) { }

    void close()
    {
        ErrorCode ec;
        client.close(ec);
        target.close(ec);
    }

    tcp::socket client;
    tcp::socket target;
    asio::steady_timer timer;
    std::array<char, ChunkBytes> requestBuffer{};
    std::array<char, ChunkBytes> responseBuffer{};
};

SlowLink::SlowLink(asio::io_context &io, std::string target, double bytesPerSecond)
    : m_io(io), m_acceptor(io), m_target(endpointOf(target)), m_bytesPerSecond(bytesPerSecond)
{
}

bool SlowLink::listen(const std::string &address)
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

void SlowLink::accept()
{
    const auto pair = std::make_shared<Pair>(m_io);
    m_acceptor.async_accept(pair->client, [this, pair](const ErrorCode &ec) {
        if (ec)
            return;
        accept();
        ErrorCode ignored;
        pair->target.open(m_target.protocol(), ignored);
        pair->target.set_option(asio::socket_base::receive_buffer_size(SocketBufferBytes), ignored);
        pair->client.set_option(asio::socket_base::send_buffer_size(SocketBufferBytes), ignored);
        pair->target.async_connect(m_target, [this, pair](const ErrorCode &connectError) {
            if (connectError) {
                pair->close();
                return;
            }
            forwardRequests(pair);
            forwardResponses(pair);
        });
    });
}

void SlowLink::forwardRequests(const std::shared_ptr<Pair> &pair)
{
    pair->client.async_read_some(
        asio::buffer(pair->requestBuffer), [this, pair](const ErrorCode &ec, size_t n) {
            if (ec) {
                pair->close();
                return;
            }
            asio::async_write(pair->target, asio::buffer(pair->requestBuffer, n),
                              [this, pair](const ErrorCode &writeError, size_t) {
                                  if (writeError)
                                      pair->close();
                                  else
                                      forwardRequests(pair);
                              });
        });
}

void SlowLink::forwardResponses(const std::shared_ptr<Pair> &pair)
{
    pair->target.async_read_some(
        asio::buffer(pair->responseBuffer), [this, pair](const ErrorCode &ec, size_t n) {
            if (ec) {
                pair->close();
                return;
            }
            const core::TimePoint now = core::BootClock::now();
            m_freeAt = std::max(m_freeAt, now)
                + std::chrono::microseconds(
                           static_cast<int64_t>(static_cast<double>(n) / m_bytesPerSecond * 1e6));
            pair->timer.expires_after(m_freeAt - now);
            pair->timer.async_wait([this, pair, n](const ErrorCode &) {
                asio::async_write(pair->client, asio::buffer(pair->responseBuffer, n),
                                  [this, pair](const ErrorCode &writeError, size_t) {
                                      if (writeError)
                                          pair->close();
                                      else
                                          forwardResponses(pair);
                                  });
            });
        });
}

} // namespace jujube::test
