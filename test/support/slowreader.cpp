#include "support/slowreader.h"

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

constexpr core::Milliseconds ReadInterval{100};
constexpr size_t ChunkBytes = 256UL << 10U;
// The kernel accepts about this much of each request without a read.
constexpr int ReceiveBufferBytes = 16 * 1024;

tcp::endpoint endpointOf(const std::string &address)
{
    const size_t colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)),
            static_cast<uint16_t>(std::stoul(address.substr(colon + 1)))};
}

} // namespace

struct SlowReader::Pair
{
    explicit Pair(asio::io_context &io) : client(io), target(io), timer(io) { }

    void close()
    {
        ErrorCode ec;
        client.close(ec);
        target.close(ec);
        timer.cancel();
    }

    tcp::socket client;
    tcp::socket target;
    asio::steady_timer timer;
    std::array<char, ChunkBytes> request{};
    std::array<char, ChunkBytes> answer{};
};

SlowReader::SlowReader(asio::io_context &io, const std::string &target, double bytesPerSecond)
    : m_io(io), m_acceptor(io), m_target(endpointOf(target)), m_bytesPerSecond(bytesPerSecond)
{
}

bool SlowReader::listen(const std::string &address)
{
    const tcp::endpoint endpoint = endpointOf(address);
    ErrorCode ec;
    m_acceptor.open(endpoint.protocol(), ec);
    m_acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    // Inherited by accepted connections; it has to be set before they are established.
    m_acceptor.set_option(asio::socket_base::receive_buffer_size(ReceiveBufferBytes), ec);
    m_acceptor.bind(endpoint, ec);
    if (!ec)
        m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (!ec)
        accept();
    return !ec;
}

void SlowReader::accept()
{
    const auto pair = std::make_shared<Pair>(m_io);
    m_acceptor.async_accept(pair->client, [this, pair](const ErrorCode &ec) {
        if (ec)
            return;
        accept();
        pair->target.async_connect(m_target, [this, pair](const ErrorCode &connectError) {
            if (connectError) {
                pair->close();
                return;
            }
            forwardRequest(pair);
            forwardAnswer(pair);
        });
    });
}

// Reads in intervals, so that the rate can change and a connection that is not read stays open.
void SlowReader::forwardRequest(const std::shared_ptr<Pair> &pair)
{
    pair->timer.expires_after(ReadInterval);
    pair->timer.async_wait([this, pair](const ErrorCode &ec) {
        if (ec)
            return;
        const double seconds = std::chrono::duration<double>(ReadInterval).count();
        const auto most = std::min(ChunkBytes, static_cast<size_t>(m_bytesPerSecond * seconds));
        if (most == 0) {
            forwardRequest(pair);
            return;
        }
        pair->client.async_read_some(asio::buffer(pair->request.data(), most),
                                     [this, pair](const ErrorCode &readError, size_t n) {
                                         if (readError) {
                                             pair->close();
                                             return;
                                         }
                                         m_takenBytes += n;
                                         asio::async_write(
                                             pair->target, asio::buffer(pair->request.data(), n),
                                             [this, pair](const ErrorCode &writeError, size_t) {
                                                 if (writeError)
                                                     pair->close();
                                                 else
                                                     forwardRequest(pair);
                                             });
                                     });
    });
}

void SlowReader::forwardAnswer(const std::shared_ptr<Pair> &pair)
{
    pair->target.async_read_some(
        asio::buffer(pair->answer), [this, pair](const ErrorCode &ec, size_t n) {
            if (ec) {
                pair->close();
                return;
            }
            asio::async_write(pair->client, asio::buffer(pair->answer.data(), n),
                              [this, pair](const ErrorCode &writeError, size_t) {
                                  if (writeError)
                                      pair->close();
                                  else
                                      forwardAnswer(pair);
                              });
        });
}

} // namespace jujube::test
