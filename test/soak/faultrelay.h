#pragma once

/** \file
 * Defines a TCP relay on the loopback network that injects faults into the connections it forwards.
 */

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <list>
#include <memory>
#include <string>

namespace jujube::soak {

/** Fault that a relay applies to the connections it forwards. */
enum class LinkFault {
    None,
    Delay,         ///< Bytes are delayed in both directions.
    Reset,         ///< A connection is reset when it receives a byte.
    DropRequests,  ///< Bytes to the target are dropped.
    DropResponses, ///< Bytes from the target are dropped.
    Silent         ///< Connections that receive a byte stop forwarding for good and stay open.
};

/** Accepts connections on one address and forwards them to another. */
class FaultRelay
{
public:
    FaultRelay(boost::asio::io_context &io, std::string target);
    ~FaultRelay();

    absl::Status listen(const std::string &address);
    const std::string &address() const { return m_address; }
    void setFault(LinkFault fault) { m_fault = fault; }
    /** Resets every open connection. */
    void resetOpen();
    /** Makes the connections that are open now stop forwarding for good, without closing them. */
    void silenceOpen();

private:
    struct Link;
    struct Direction;

    void accept();
    void readNext(const std::shared_ptr<Link> &link, bool forTarget);
    void deliver(const std::shared_ptr<Link> &link, bool forTarget, size_t n);
    void close(const std::shared_ptr<Link> &link, bool reset);

    boost::asio::io_context &m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_address;
    std::string m_target;
    std::list<std::shared_ptr<Link>> m_links;
    LinkFault m_fault = LinkFault::None;
};

} // namespace jujube::soak
