#include "soak/faultrelay.h"

#include "core/clock.h"
#include "core/text.h"

#include <absl/status/statusor.h>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace jujube::soak {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

// Long enough to reorder messages of two connections, short enough for requests to meet their
// deadlines.
constexpr core::Milliseconds LinkDelay{120};

absl::StatusOr<tcp::endpoint> endpointOf(const std::string &address)
{
    const size_t colon = address.rfind(':');
    ErrorCode ec;
    const auto ip = asio::ip::make_address(address.substr(0, colon), ec);
    if (ec || colon == std::string::npos)
        return absl::InvalidArgumentError("invalid address: " + address);
    return tcp::endpoint(ip, static_cast<uint16_t>(std::stoul(address.substr(colon + 1))));
}

} // namespace

struct FaultRelay::Direction
{
    std::array<char, 16384> buf{};
};

struct FaultRelay::Link
{
    explicit Link(asio::io_context &io) : clientSocket(io), targetSocket(io) { }

    tcp::socket clientSocket; ///< To the client.
    tcp::socket targetSocket; ///< To the target.
    Direction toTarget;
    Direction toClient;
    bool silent = false;
    bool closed = false;
};

FaultRelay::FaultRelay(asio::io_context &io, std::string target)
    : m_io(io), m_acceptor(io), m_target(std::move(target))
{
}

FaultRelay::~FaultRelay()
{
    ErrorCode ec;
    m_acceptor.close(ec);
    while (!m_links.empty()) {
        m_links.front()->silent = false;
        close(std::shared_ptr<Link>(m_links.front()), false);
    }
}

absl::Status FaultRelay::listen(const std::string &address)
{
    const auto endpoint = endpointOf(address);
    if (!endpoint.ok())
        return endpoint.status();
    ErrorCode ec;
    m_acceptor.open(endpoint->protocol(), ec);
    m_acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
    m_acceptor.bind(*endpoint, ec);
    if (!ec)
        m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec)
        return absl::UnavailableError(
            core::concat("cannot listen on ", address, ": ", ec.message()));
    m_address = address;
    accept();
    return absl::OkStatus();
}

void FaultRelay::accept()
{
    auto link = std::make_shared<Link>(m_io);
    m_acceptor.async_accept(link->clientSocket, [this, link](const ErrorCode &ec) {
        if (ec)
            return;
        m_links.push_back(link);
        const auto target = endpointOf(m_target);
        if (!target.ok()) {
            close(link, true);
        } else {
            link->targetSocket.async_connect(*target, [this, link](const ErrorCode &failed) {
                if (failed || link->closed) {
                    close(link, true);
                    return;
                }
                ErrorCode ignored;
                link->clientSocket.set_option(tcp::no_delay(true), ignored);
                link->targetSocket.set_option(tcp::no_delay(true), ignored);
                readNext(link, true);
                readNext(link, false);
            });
        }
        accept();
    });
}

void FaultRelay::readNext(const std::shared_ptr<Link> &link, bool forTarget)
{
    tcp::socket &from = forTarget ? link->clientSocket : link->targetSocket;
    Direction &direction = forTarget ? link->toTarget : link->toClient;
    from.async_read_some(asio::buffer(direction.buf),
                         [this, link, forTarget](const ErrorCode &ec, size_t n) {
                             if (link->closed || link->silent)
                                 return;
                             if (ec)
                                 close(link, ec == asio::error::connection_reset);
                             else
                                 deliver(link, forTarget, n);
                         });
}

void FaultRelay::deliver(const std::shared_ptr<Link> &link, bool forTarget, size_t n)
{
    const bool drop = (m_fault == LinkFault::DropRequests && forTarget)
        || (m_fault == LinkFault::DropResponses && !forTarget) || m_fault == LinkFault::Silent;
    if (drop) {
        // Bytes after a gap must not arrive either: a real network would close the connection.
        link->silent = m_fault == LinkFault::Silent;
        if (!link->silent)
            readNext(link, forTarget);
        return;
    }
    if (m_fault == LinkFault::Reset) {
        close(link, true);
        return;
    }
    const auto write = [this, link, forTarget, n]() {
        tcp::socket &to = forTarget ? link->targetSocket : link->clientSocket;
        Direction &direction = forTarget ? link->toTarget : link->toClient;
        asio::async_write(to, asio::buffer(direction.buf, n),
                          [this, link, forTarget](const ErrorCode &ec, size_t) {
                              if (link->closed || link->silent)
                                  return;
                              if (ec)
                                  close(link, true);
                              else
                                  readNext(link, forTarget);
                          });
    };
    if (m_fault != LinkFault::Delay) {
        write();
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(m_io, LinkDelay);
    timer->async_wait([link, timer, write](const ErrorCode &ec) {
        if (!ec && !link->closed && !link->silent)
            write();
    });
}

void FaultRelay::close(const std::shared_ptr<Link> &link, bool reset)
{
    if (std::exchange(link->closed, true))
        return;
    ErrorCode ec;
    for (tcp::socket *it : {&link->clientSocket, &link->targetSocket}) {
        if (reset)
            it->set_option(asio::socket_base::linger(true, 0), ec);
        it->close(ec);
    }
    m_links.remove(link);
}

void FaultRelay::resetOpen()
{
    const auto links = m_links;
    for (const auto &it : links)
        close(it, true);
}

void FaultRelay::silenceOpen()
{
    for (const auto &it : m_links)
        it->silent = true;
}

} // namespace jujube::soak
