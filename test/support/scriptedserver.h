#pragma once

/** \file
 * Defines an HTTP server whose responses are produced by a handler of the test.
 */

#include "wire/httpserver.h"

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace jujube::test {

/** Runs the handler on a free loopback port and records the path of each request. */
class ScriptedServer
{
public:
    explicit ScriptedServer(wire::HttpServer::Handler handler, wire::HttpServerLimits limits = {});

    std::string address() const;
    /** Paths of the requests received so far, in order. */
    std::vector<std::string> receivedPaths() const;

private:
    mutable std::mutex m_mutex;
    std::vector<std::string> m_receivedPaths;
    std::unique_ptr<wire::HttpServer> m_server;
};

} // namespace jujube::test
