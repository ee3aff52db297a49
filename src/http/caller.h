#pragma once

/** \file
 * Defines plain HTTP calls with a time limit, and the pool of kept connections that carries them.
 */

#include "http/clientconnection.h"

#include <absl/status/statusor.h>

#include <unordered_map>

namespace jujube::http {

/** Kept connections by address. The pool holds idle ones only; a user owns what it takes. */
class ConnectionPool
{
public:
    explicit ConnectionPool(boost::asio::io_context &io) : m_io(io) { }

    /** An idle connection to the address, or a new one that is not connected yet. */
    std::shared_ptr<ClientConnection> acquire(const std::string &address);
    /** Puts a connection back after its exchange; one that cannot be used again is closed. */
    void release(std::shared_ptr<ClientConnection> connection);
    /** Closes the idle connections to an address. */
    void closeIdle(const std::string &address);

private:
    boost::asio::io_context &m_io;
    std::unordered_map<std::string, std::vector<std::shared_ptr<ClientConnection>>> m_idle;
};

/** Why a call has no response. */
enum class CallError {
    NotSent,  ///< The peer cannot have acted on it.
    MaybeSent ///< It may have, or may do so later.
};

struct CallResult
{
    absl::StatusOr<Response> response = absl::UnknownError("no result");
    CallError error = CallError::MaybeSent;
};

/** Which connection carries a call. */
enum class ConnectionMode {
    Pooled, ///< A pooled one, if there is one.
    /** A new one, closed after the call: a late or duplicate response to another call cannot arrive
     * on it. For peers whose responses carry no request id. */
    Dedicated
};

/** Makes calls whose whole response is wanted within a time limit. */
class Client
{
public:
    explicit Client(boost::asio::io_context &io) : m_io(io), m_pool(io) { }

    /** Calls back exactly once, never from inside this function. */
    void call(const std::string &address, Request request, core::Milliseconds timeout,
              std::function<void(CallResult)> done, ConnectionMode mode = ConnectionMode::Pooled);
    uint64_t callCount() const { return m_calls; }

private:
    boost::asio::io_context &m_io;
    ConnectionPool m_pool;
    uint64_t m_calls = 0;
};

} // namespace jujube::http
