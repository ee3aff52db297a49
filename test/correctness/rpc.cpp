/** \file
 * Tests that RPC connections require the fleet secret, and how failed and idle connections are
 * handled.
 */

#include "wire/rpc.h"
#include "core/text.h"
#include "support/loop.h"

#include <criterion/criterion.h>

using namespace jujube;
using namespace std::chrono_literals;

namespace {

// Tests run in parallel, so each has a port of its own.
std::string addressOf(int test)
{
    return core::concat("127.0.0.1:", 28'730 + test);
}

wire::RpcServer::Sessions noSessions(const std::function<void()> & /*onMessage*/)
{
    return {};
}

} // namespace

Test(rpc, the_fleet_secret_opens_a_session)
{
    const std::string address = addressOf(1);
    test::Loop loop;
    wire::RpcServer server(loop.io(), {"server", "secret"}, noSessions, 1min);
    cr_assert(loop.wait(server.listen(address)).ok());
    cr_assert(loop.wait(wire::dial(loop.io(), address, {"client", "secret"}, 1s)).ok());
}

Test(rpc, a_wrong_secret_is_refused)
{
    const std::string address = addressOf(2);
    test::Loop loop;
    wire::RpcServer server(loop.io(), {"server", "secret"}, noSessions, 1min);
    cr_assert(loop.wait(server.listen(address)).ok());
    cr_assert_not(loop.wait(wire::dial(loop.io(), address, {"client", "guess"}, 1s)).ok());
}

Test(rpc, a_refused_connection_is_distinguished_from_an_unresponsive_server)
{
    const std::string address = addressOf(3);
    test::Loop loop;
    const auto refused = loop.wait(wire::dial(loop.io(), "127.0.0.1:9", {"client", "s"}, 1s));
    cr_assert(wire::isConnectionRefused(refused.status()));
    auto listener = loop.io()
                        .network()
                        .parseAddress(address.c_str())
                        .then([](kj::Own<kj::NetworkAddress> &&it) { return it->listen(); });
    wire::Task<absl::Status> silent = [](wire::IoContext &io,
                                         kj::Promise<kj::Own<kj::ConnectionReceiver>> bound,
                                         std::string address) -> wire::Task<absl::Status> {
        const auto receiver = co_await kj::mv(bound);
        const auto dialled = co_await wire::dial(io, address, {"client", "s"}, 200ms);
        co_return dialled.status();
    }(loop.io(), kj::mv(listener), address);
    const absl::Status status = loop.wait(kj::mv(silent));
    cr_assert_not(status.ok());
    cr_assert_not(wire::isConnectionRefused(status));
}

Test(rpc, an_idle_connection_is_closed_by_the_server)
{
    const std::string address = addressOf(4);
    test::Loop loop;
    wire::RpcServer server(loop.io(), {"server", "secret"}, noSessions, 500ms);
    cr_assert(loop.wait(server.listen(address)).ok());
    const auto connection = loop.wait(wire::dial(loop.io(), address, {"client", "secret"}, 1s));
    cr_assert_eq(server.connectionCount(), 1U);
    loop.runFor(3'500ms);
    cr_assert_eq(server.connectionCount(), 0U);
}
