#pragma once

/** \file
 * Defines a TCP relay that stands for the network link of a client.
 */

#include "core/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>

namespace jujube::review {

/** Forwards connections to a target at a limited rate, with the segment size of Ethernet, so that
 * the kernel of the sender buffers about as much as it does on a network. */
class Link
{
public:
    Link(boost::asio::io_context &io, std::string target, double bytesPerSecond);

    /** Starts to listen on "address:port". \return whether that succeeded. */
    bool listen(const std::string &address);

private:
    struct Pair;

    void accept();
    void forward(const std::shared_ptr<Pair> &pair, bool toTarget);

    boost::asio::io_context &m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_target;
    double m_bytesPerSecond;
    core::TimePoint m_freeAt{}; ///< When all bytes read so far have passed to clients.
};

} // namespace jujube::review
