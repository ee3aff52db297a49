#include "silentrelay.h"

#include "slowtraffic.h"

#include <boost/asio/write.hpp>

namespace jujube::review {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

struct SilentRelay::Direction
{
    tcp::socket &from;
    tcp::socket &to;
    std::array<char, 16384> buf{};
};

struct SilentRelay::Channel
{
    explicit Channel(tcp::socket accepted)
        : client(std::move(accepted)), server(client.get_executor())
    {
    }

    tcp::socket client;
    tcp::socket server;
    Direction up{client, server};
    Direction down{server, client};
    bool silent = false;
};

SilentRelay::SilentRelay(asio::io_context &io, const std::string &address, std::string server)
    : m_acceptor(io), m_server(std::move(server))
{
    const tcp::endpoint endpoint = endpointOf(address);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    accept();
}

void SilentRelay::silence()
{
    for (const auto &it : m_channels) {
        if (const auto channel = it.lock())
            channel->silent = true;
    }
}

void SilentRelay::accept()
{
    m_acceptor.async_accept([this](const ErrorCode &ec, tcp::socket socket) {
        if (!ec) {
            const auto channel = std::make_shared<Channel>(std::move(socket));
            m_channels.push_back(channel);
            channel->server.async_connect(endpointOf(m_server),
                                          [channel](const ErrorCode &connectError) {
                                              if (connectError)
                                                  return;
                                              pass(channel, channel->up);
                                              pass(channel, channel->down);
                                          });
        }
        accept();
    });
}

void SilentRelay::pass(const std::shared_ptr<Channel> &channel, Direction &direction)
{
    direction.from.async_read_some(
        asio::buffer(direction.buf), [channel, &direction](const ErrorCode &ec, size_t n) {
            ErrorCode ignored;
            if (ec) {
                if (!channel->silent)
                    direction.to.shutdown(tcp::socket::shutdown_send, ignored);
                return;
            }
            if (channel->silent) {
                pass(channel, direction);
                return;
            }
            asio::async_write(direction.to, asio::buffer(direction.buf.data(), n),
                              [channel, &direction](const ErrorCode &writeError, size_t) {
                                  if (!writeError)
                                      pass(channel, direction);
                              });
        });
}

} // namespace jujube::review
