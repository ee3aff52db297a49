#pragma once

/** \file
 * Defines a relay whose open channels can go silent.
 */

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <memory>
#include <string>
#include <vector>

namespace jujube::review {

/** Passes the bytes of each channel on to a server. */
class SilentRelay
{
public:
    SilentRelay(boost::asio::io_context &io, const std::string &address, std::string server);

    /** Drops all further bytes of the channels that are open now, without closing them. */
    void silence();

private:
    struct Channel;
    struct Direction;

    void accept();
    static void pass(const std::shared_ptr<Channel> &channel, Direction &direction);

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_server;
    std::vector<std::weak_ptr<Channel>> m_channels;
};

} // namespace jujube::review
