#pragma once

/** \file
 * Defines authenticated Cap'n Proto RPC connections between processes of the system.
 */

#include "wire/generated/jujube.capnp.h"
#include "wire/iothread.h"

#include <absl/status/statusor.h>
#include <capnp/message.h>
#include <capnp/rpc-twoparty.h>

#include <functional>
#include <list>
#include <memory>
#include <string>

namespace jujube::wire {

/** A connection to another process. The connections that dial() returns are authenticated. */
class RpcConnection
{
public:
    RpcConnection(kj::Own<kj::AsyncIoStream> stream);

    schema::Gate::Client gate();

    schema::AgentSession::Client agent{nullptr};
    schema::PeerSession::Client peer{nullptr};

private:
    kj::Own<kj::AsyncIoStream> m_stream;
    capnp::TwoPartyVatNetwork m_network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> m_rpc;
};

/** Name of a process and the secret that authenticates it; both sides must hold the same secret. */
struct RpcIdentity
{
    std::string process;
    std::string fleetSecret;
};

/** Connects to a process and authenticates both sides.
 *
 * \param timeout Limit for each of connect, challenge and login.
 *
 * Errors: FailedPrecondition if the connection was refused because no process listens at the
 * address, PermissionDenied if the peer does not hold the fleet secret, Unavailable otherwise.
 */
Task<absl::StatusOr<std::shared_ptr<RpcConnection>>>
dial(IoContext &io, std::string address, RpcIdentity identity, core::Milliseconds timeout);

/** Whether a status of dial() shows that no process listens at the address. */
bool isConnectionRefused(const absl::Status &status);

/** Accepts connections and grants sessions to clients that prove to hold the fleet secret. */
class RpcServer
{
public:
    /** The session capabilities of one connection. */
    struct Sessions
    {
        schema::AgentSession::Client agent{nullptr};
        schema::PeerSession::Client peer{nullptr};
    };
    /** Creates the sessions of a connection, which call \a onMessage for every message received. */
    using SessionFactory = std::function<Sessions(std::function<void()> onMessage)>;

    /** \param idleTimeout A connection is closed after this time without a message. */
    RpcServer(IoContext &io, RpcIdentity identity, SessionFactory factory,
              core::Milliseconds idleTimeout);
    ~RpcServer();

    /** Binds the address and starts to accept connections. */
    Task<absl::Status> listen(std::string address);
    void stopListening() { m_listening = false; }
    size_t connectionCount() const { return m_connections.size(); }

private:
    struct Connection;
    class GateServer;

    Task<void> acceptLoop();
    Task<void> closeIdleConnections();

    IoContext &m_io;
    RpcIdentity m_identity;
    SessionFactory m_factory;
    core::Milliseconds m_idleTimeout;
    bool m_listening = true;
    kj::Own<kj::ConnectionReceiver> m_receiver;
    std::list<std::unique_ptr<Connection>> m_connections;
};

} // namespace jujube::wire
