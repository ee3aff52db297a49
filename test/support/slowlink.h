#pragma once

/** \file
 * Defines a TCP relay that stands for a link of low bandwidth.
 */

#include "core/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>

namespace jujube::test {

/** Forwards connections to a target. The bytes from the target share one bandwidth, in the order in
 * which they are read; requests to the target are not delayed. */
class SlowLink
{
public:
    SlowLink(boost::asio::io_context &io, std::string target, double bytesPerSecond);

    /** Starts to listen on "address:port". \return whether that succeeded. */
    bool listen(const std::string &address);
    void setRate(double bytesPerSecond) { m_bytesPerSecond = bytesPerSecond; }

private:
    struct Pair;

    void accept();
    void forwardRequests(const std::shared_ptr<Pair> &pair);
    void forwardResponses(const std::shared_ptr<Pair> &pair);

    boost::asio::io_context &m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_target;
    double m_bytesPerSecond;
    core::TimePoint m_freeAt{}; ///< When the link has sent all bytes read so far.
};

} // namespace jujube::test
