#include "support/scriptedserver.h"

#include "core/text.h"

namespace jujube::test {

ScriptedServer::ScriptedServer(wire::HttpServer::Handler handler, wire::HttpServerLimits limits)
{
    auto server = wire::HttpServer::create(
        "127.0.0.1:0", 1, limits,
        [this, handler = std::move(handler)](const wire::IncomingRequest &request,
                                             const std::shared_ptr<wire::Exchange> &exchange) {
            {
                const std::lock_guard guard(m_mutex);
                m_receivedPaths.push_back(request.path);
            }
            handler(request, exchange);
        });
    m_server = std::move(*server);
}

std::string ScriptedServer::address() const
{
    return core::concat("127.0.0.1:", m_server->port());
}

std::vector<std::string> ScriptedServer::receivedPaths() const
{
    const std::lock_guard guard(m_mutex);
    return m_receivedPaths;
}

} // namespace jujube::test
