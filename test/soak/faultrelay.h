#pragma once

/** \file
 * Defines a relay on the loopback network that harms the connections it carries.
 */

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <list>
#include <memory>
#include <string>

namespace jujube::soak {

/** What a relay does to bytes and to new connections. */
enum class LinkFault {
    None,
    Delay,         ///< Bytes arrive late, in both directions.
    Reset,         ///< Connections are reset once they carry a byte.
    DropRequests,  ///< Bytes towards the target vanish.
    DropResponses, ///< Bytes from the target vanish.
    Silent         ///< No byte passes in either direction, and connections stay open.
};

/** Accepts connections on one address and carries them to another. */
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
    /** Connections that are open now carry nothing any more and are never closed. */
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
