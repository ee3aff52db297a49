#pragma once

/** \file
 * Defines an HTTP client for calls with a timeout, and its pool of persistent connections.
 */

#include "http/clientconnection.h"

#include <absl/status/statusor.h>

#include <unordered_map>

namespace jujube::http {

/** Pool of persistent connections by address. It holds idle connections only: one that is acquired
 * belongs to its user until it is released. */
class ConnectionPool
{
public:
    /** \param slowSends bounds what the connections hold for slow peers; may be null. */
    explicit ConnectionPool(boost::asio::io_context &io,
                            std::shared_ptr<SlowSendBudget> slowSends = nullptr)
        : m_io(io), m_slowSends(std::move(slowSends))
    {
    }

    /** Returns an idle connection to the address, or a new one that is not connected yet. */
    std::shared_ptr<ClientConnection> acquire(const std::string &address);
    /** Returns a connection to the pool after its exchange, or closes it if it is not reusable. */
    void release(std::shared_ptr<ClientConnection> connection);
    /** Closes the idle connections to an address. */
    void closeIdle(const std::string &address);

private:
    boost::asio::io_context &m_io;
    std::shared_ptr<SlowSendBudget> m_slowSends;
    std::unordered_map<std::string, std::vector<std::shared_ptr<ClientConnection>>> m_idle;
};

/** Whether the peer may have received a call that failed. */
enum class CallError {
    NotSent,  ///< The peer cannot have acted on it.
    MaybeSent ///< The peer may have acted on it, or may do so later.
};

struct CallResult
{
    absl::StatusOr<Response> response = absl::UnknownError("no result");
    CallError error = CallError::MaybeSent;
    size_t receivedBytes = 0; ///< Of the body, also of a call that failed.
};

/** Limit for answers that hold a few values. Many calls can be in progress at a time. */
inline constexpr size_t SmallBodyBytes = 64UL << 10U;
/** Limit for a part of the store: some hundred bytes for each of 2,000 items. */
inline constexpr size_t StoreBodyBytes = 4UL << 20U;

/** Selects the connection that carries a call. */
enum class ConnectionMode {
    Pooled, ///< An idle connection of the pool, or a new one if there is none.
    /** A new connection that is closed after the call, so that a late or duplicate response to
     * another call cannot arrive on it. For peers whose responses carry no request id. */
    Dedicated
};

/** HTTP client that buffers the whole response to each call and limits the time of the call. */
class Client
{
public:
    explicit Client(boost::asio::io_context &io) : m_io(io), m_pool(io) { }

    /** Sends a request. Invokes \a done exactly once, never from inside this function.
     *
     * \param address IPv4 address and port.
     * \param timeout Time until the first bytes of the response's body. A response that has begun
     * may take longer while it makes progress.
     * \param onProgress invoked with each part of the response's body; may be empty.
     * \param maxBodyBytes A larger body of the response fails the call.
     */
    void call(const std::string &address, Request request, core::Milliseconds timeout,
              std::function<void(CallResult)> done, ConnectionMode mode = ConnectionMode::Pooled,
              std::function<void()> onProgress = {}, size_t maxBodyBytes = SmallBodyBytes);
    uint64_t callCount() const { return m_calls; }

private:
    boost::asio::io_context &m_io;
    ConnectionPool m_pool;
    uint64_t m_calls = 0;
};

} // namespace jujube::http
