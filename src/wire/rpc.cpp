#include "wire/rpc.h"

#include "core/eventlog.h"
#include "core/keyhash.h"
#include "core/text.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace jujube::wire {

namespace {

constexpr size_t NonceBytes = 32;
constexpr uint64_t MaxMessageWords = 4UL << 20U; // 32 MiB
constexpr size_t MaxConnections = 4'096;
constexpr core::Milliseconds IdleCheckInterval{1'000};

capnp::ReaderOptions readerOptions()
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = MaxMessageWords;
    return options;
}

void setNoDelay(kj::AsyncIoStream &stream)
{
    int one = 1;
    stream.setsockopt(IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
}

std::string text(capnp::Data::Reader reader)
{
    return {reinterpret_cast<const char *>(reader.begin()), reader.size()};
}

capnp::Data::Reader asData(const std::string &value)
{
    return {reinterpret_cast<const kj::byte *>(value.data()), value.size()};
}

// The two sides authenticate different inputs, which prevents reflection attacks.
std::string clientProofInput(const std::string &serverNonce, const std::string &process)
{
    return core::concat("client", serverNonce, process);
}

std::string serverProofInput(const std::string &clientNonce)
{
    return core::concat("server", clientNonce);
}

} // namespace

RpcConnection::RpcConnection(kj::Own<kj::AsyncIoStream> stream)
    : m_stream(kj::mv(stream)),
      m_network(*m_stream, capnp::rpc::twoparty::Side::CLIENT, readerOptions()),
      m_rpc(capnp::makeRpcClient(m_network))
{
}

schema::Gate::Client RpcConnection::gate()
{
    capnp::MallocMessageBuilder message;
    auto server = message.initRoot<capnp::rpc::twoparty::VatId>();
    server.setSide(capnp::rpc::twoparty::Side::SERVER);
    return m_rpc.bootstrap(server).castAs<schema::Gate>();
}

Task<absl::StatusOr<std::shared_ptr<RpcConnection>>>
dial(IoContext &io, std::string address, RpcIdentity identity, core::Milliseconds timeout)
{
    try {
        auto target = co_await io.network().parseAddress(address.c_str());
        auto stream = co_await io.withTimeout(timeout, target->connect());
        setNoDelay(*stream);
        auto connection = std::make_shared<RpcConnection>(kj::mv(stream));
        auto gate = connection->gate();

        auto challenge =
            co_await io.withTimeout(timeout,
                                    kj::Promise<capnp::Response<schema::Gate::ChallengeResults>>(
                                        gate.challengeRequest().send()));
        const std::string serverNonce = text(challenge.getNonce());
        const std::string clientNonce = core::randomBytes(NonceBytes);
        auto login = gate.loginRequest();
        login.setProcess(identity.process.c_str());
        login.setClientNonce(asData(clientNonce));
        login.setProof(asData(core::fleetHmac(identity.fleetSecret,
                                              clientProofInput(serverNonce, identity.process))));
        auto reply = co_await io.withTimeout(
            timeout, kj::Promise<capnp::Response<schema::Gate::LoginResults>>(login.send()));
        const std::string expected =
            core::fleetHmac(identity.fleetSecret, serverProofInput(clientNonce));
        if (!core::equalInConstantTime(text(reply.getProof()), expected))
            co_return absl::PermissionDeniedError(address + " does not hold the fleet secret");
        connection->agent = reply.getAgent();
        connection->peer = reply.getPeer();
        co_return connection;
    } catch (const kj::Exception &ex) {
        const std::string what = ex.getDescription().cStr();
        if (what.find("Connection refused") != std::string::npos)
            co_return absl::FailedPreconditionError(core::concat(address, ": ", what));
        co_return absl::UnavailableError(core::concat(address, ": ", what));
    }
}

bool isConnectionRefused(const absl::Status &status)
{
    return absl::IsFailedPrecondition(status);
}

class RpcServer::GateServer : public schema::Gate::Server
{
public:
    GateServer(RpcServer &server, std::function<void()> onMessage)
        : m_server(server), m_onMessage(std::move(onMessage))
    {
    }

    kj::Promise<void> challenge(ChallengeContext context) override
    {
        m_nonce = core::randomBytes(NonceBytes);
        context.getResults().setNonce(asData(m_nonce));
        return kj::READY_NOW;
    }

    kj::Promise<void> login(LoginContext context) override
    {
        m_onMessage();
        const auto params = context.getParams();
        const std::string process = params.getProcess().cStr();
        const std::string secret = m_server.m_identity.fleetSecret;
        // A nonce is valid for one login attempt.
        const std::string nonce = std::exchange(m_nonce, {});
        const std::string expected = core::fleetHmac(secret, clientProofInput(nonce, process));
        if (nonce.empty() || !core::equalInConstantTime(text(params.getProof()), expected)) {
            core::Event("rpc.login.refused").with("peer", process);
            return KJ_EXCEPTION(FAILED, "login refused: the fleet secret does not match");
        }
        Sessions sessions = m_server.m_factory(m_onMessage);
        auto results = context.getResults();
        const std::string proof =
            core::fleetHmac(secret, serverProofInput(text(params.getClientNonce())));
        results.setProof(asData(proof));
        results.setAgent(kj::mv(sessions.agent));
        results.setPeer(kj::mv(sessions.peer));
        return kj::READY_NOW;
    }

private:
    RpcServer &m_server;
    std::function<void()> m_onMessage;
    std::string m_nonce;
};

struct RpcServer::Connection
{
    Connection(RpcServer &server, kj::Own<kj::AsyncIoStream> accepted)
        : stream(kj::mv(accepted)),
          lastReceivedAt(std::make_shared<core::TimePoint>(core::BootClock::now())),
          network(*stream, capnp::rpc::twoparty::Side::SERVER, readerOptions()),
          rpc(capnp::makeRpcServer(network, kj::heap<GateServer>(server, [it = lastReceivedAt]() {
                                       *it = core::BootClock::now();
                                   })))
    {
    }

    kj::Own<kj::AsyncIoStream> stream;
    std::shared_ptr<core::TimePoint> lastReceivedAt;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> rpc;
    bool closed = false;
};

RpcServer::RpcServer(IoContext &io, RpcIdentity identity, SessionFactory factory,
                     core::Milliseconds idleTimeout)
    : m_io(io),
      m_identity(std::move(identity)),
      m_factory(std::move(factory)),
      m_idleTimeout(idleTimeout)
{
}

RpcServer::~RpcServer() = default;

Task<absl::Status> RpcServer::listen(std::string address)
{
    try {
        auto target = co_await m_io.network().parseAddress(address.c_str());
        m_receiver = target->listen();
    } catch (const kj::Exception &ex) {
        co_return absl::UnavailableError(
            core::concat("rpc_listen ", address, ": ", ex.getDescription().cStr()));
    }
    coroutineTasks().add(acceptLoop());
    coroutineTasks().add(closeIdleConnections());
    co_return absl::OkStatus();
}

Task<void> RpcServer::acceptLoop()
{
    while (m_listening) {
        try {
            auto stream = co_await m_receiver->accept();
            if (m_connections.size() >= MaxConnections)
                continue;
            setNoDelay(*stream);
            m_connections.push_back(std::make_unique<Connection>(*this, kj::mv(stream)));
            Connection *connection = m_connections.back().get();
            coroutineTasks().add(connection->network.onDisconnect().then(
                [connection]() { connection->closed = true; },
                [connection](kj::Exception &&) { connection->closed = true; }));
        } catch (const kj::Exception &ex) {
            core::Event("rpc.accept.failed").with("why", ex.getDescription().cStr());
        }
    }
}

Task<void> RpcServer::closeIdleConnections()
{
    while (true) {
        co_await m_io.sleep(IdleCheckInterval);
        const core::TimePoint now = core::BootClock::now();
        for (auto it = m_connections.begin(); it != m_connections.end();) {
            const bool idle = now - *(*it)->lastReceivedAt > m_idleTimeout;
            // An idle connection is shut down first; the disconnect handler then marks it as
            // closed.
            if (idle && !(*it)->closed) {
                (*it)->stream->shutdownWrite();
                (*it)->stream->abortRead();
                ++it;
            } else if ((*it)->closed) {
                it = m_connections.erase(it);
            } else {
                ++it;
            }
        }
    }
}

} // namespace jujube::wire
