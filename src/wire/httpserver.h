#pragma once

/** \file
 * Defines an HTTP server with size and connection limits, based on Qt's HTTP server.
 */

#include "core/clock.h"
#include "wire/exchange.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace jujube::wire {

struct HttpServerLimits
{
    size_t maxHeaderBytes = 16UL << 10U;
    size_t maxBodyBytes = 4UL << 20U;
    int maxConnectionsPerThread = 1'000;
    core::Milliseconds idleTimeout{60'000};
};

/** HTTP server with several threads that listen on the same address. */
class HttpServer
{
public:
    using Handler = std::function<void(IncomingRequest, std::shared_ptr<Exchange>)>;

    /** Binds the address and starts the threads.
     *
     * \param address IPv4 address and port; port 0 selects a free port.
     */
    static absl::StatusOr<std::unique_ptr<HttpServer>>
    create(const std::string &address, int threads, HttpServerLimits limits, Handler handler);
    ~HttpServer();

    uint16_t port() const { return m_port; }
    /** Stops accepting connections; requests in progress continue. */
    void stopAccepting();
    /** Number of Exchange objects in this process. */
    int activeExchanges() const;
    /** Ends the threads and closes the remaining connections. */
    void stop();

private:
    class Worker;

    HttpServer() = default;

    uint16_t m_port = 0;
    std::vector<std::unique_ptr<Worker>> m_workers;
};

} // namespace jujube::wire
