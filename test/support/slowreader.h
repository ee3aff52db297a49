#pragma once

/** \file
 * Defines a TCP relay whose target side reads slowly or not at all.
 */

#include "core/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <string>

namespace jujube::test {

/** Forwards connections to a target and limits what each connection takes from its client. Answers
 * pass at once. */
class SlowReader
{
public:
    /** \param bytesPerSecond of each connection; 0: nothing is read. */
    SlowReader(boost::asio::io_context &io, const std::string &target, double bytesPerSecond);

    /** Starts to listen on "address:port". \return whether that succeeded. */
    bool listen(const std::string &address);
    /** Sets the rate of later reads, also of open connections. */
    void setRate(double bytesPerSecond) { m_bytesPerSecond = bytesPerSecond; }
    /** Bytes that were read from clients. */
    size_t takenBytes() const { return m_takenBytes; }

private:
    struct Pair;

    void accept();
    void forwardRequest(const std::shared_ptr<Pair> &pair);
    void forwardAnswer(const std::shared_ptr<Pair> &pair);

    boost::asio::io_context &m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::endpoint m_target;
    double m_bytesPerSecond;
    size_t m_takenBytes = 0;
};

} // namespace jujube::test
