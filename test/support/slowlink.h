#pragma once

/** \file
 * Defines a TCP relay that stands for a link of low bandwidth.
 */

#include "core/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <memory>
#include <string>

namespace jujube::test {

/** Forwards connections to a target. All connections share the bandwidth of each direction, in the
 * order in which their bytes are read. */
class SlowLink
{
public:
    SlowLink(boost::asio::io_context &io, std::string target, double bytesPerSecond);

    void setRate(double bytesPerSecond) { m_bytesPerSecond = bytesPerSecond; }
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
    /** When the link has sent all bytes read so far, to the client and to the target. */
    std::array<core::TimePoint, 2> m_freeAt{};
};

} // namespace jujube::test
