#pragma once

/** \file
 * Defines authenticated Cap'n Proto RPC connections between the system's own processes.
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

/** An open connection to another process whose fleet secret has been verified. */
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

/** Who dials, and the secret both sides must hold. */
struct RpcIdentity
{
    std::string process;
    std::string fleetSecret;
};

/** Connects and logs in.
 *
 * Errors: FailedPrecondition if the peer's host refused the connection (no process listens),
 * PermissionDenied if the peer does not hold the fleet secret, Unavailable otherwise.
 */
Task<absl::StatusOr<std::shared_ptr<RpcConnection>>>
dial(IoContext &io, std::string address, RpcIdentity identity, core::Milliseconds timeout);

/** Whether a status of dial() proves that no process listens at the address. */
bool isConnectionRefused(const absl::Status &status);

/** Accepts connections and hands out sessions to callers that prove the fleet secret. */
class RpcServer
{
public:
    /** Creates the sessions of one connection; calls \a touch on every message received. */
    struct Sessions
    {
        schema::AgentSession::Client agent{nullptr};
        schema::PeerSession::Client peer{nullptr};
    };
    using SessionFactory = std::function<Sessions(std::function<void()> onMessage)>;

    /** \param silence a connection without a message for this long is closed. */
    RpcServer(IoContext &io, RpcIdentity identity, SessionFactory factory,
              core::Milliseconds idleTimeout);
    ~RpcServer();

    /** Binds the address and accepts until the object goes away. */
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
