/** \file
 * Tells clients on this machine from others.
 */

#include "http/server.h"

namespace jujube::http {

bool isLocalClient(const boost::asio::ip::address &client, const boost::asio::ip::address &server)
{
    return client.is_loopback() || client == server;
}

bool Responder::clientIsLocal() const
{
    boost::system::error_code ec;
    const auto client = m_connection->m_socket.remote_endpoint(ec);
    const auto server = ec ? client : m_connection->m_socket.local_endpoint(ec);
    return !ec && isLocalClient(client.address(), server.address());
}

} // namespace jujube::http
