/** \file
 * Tests that a request is sent at most once, and that a guarded request is not sent after its
 * lease.
 */

#include "wire/httpclient.h"
#include "support/loop.h"
#include "support/scriptedserver.h"

#include <criterion/criterion.h>

using namespace jujube;
using namespace std::chrono_literals;

namespace {

wire::HttpRequest post(const std::string &address)
{
    wire::HttpRequest request;
    request.address = address;
    request.method = "POST";
    request.path = "/order";
    request.body = "x";
    return request;
}

void answerOk(const wire::IncomingRequest & /*request*/,
              const std::shared_ptr<wire::Exchange> &exchange)
{
    exchange->send({});
}

} // namespace

Test(httpclient, a_closed_connection_is_not_retried)
{
    test::Loop loop;
    const test::ScriptedServer server(
        [](const auto &, const auto &exchange) { exchange->abort(); });
    wire::HttpClient client(loop.io());
    for (int i = 0; i < 8; ++i) {
        const auto response = loop.wait(client.send(post(server.address()), {}));
        cr_assert_not(response.ok());
        cr_assert(wire::sendStateOf(response.status()) == wire::SendState::MaybeSent);
    }
    cr_assert_eq(server.receivedPaths().size(), 8U);
}

Test(httpclient, a_refused_connection_is_reported_as_not_sent)
{
    test::Loop loop;
    wire::HttpClient client(loop.io());
    const auto response = loop.wait(client.send(post("127.0.0.1:9"), {}));
    cr_assert_not(response.ok());
    cr_assert(wire::sendStateOf(response.status()) == wire::SendState::NotSent);
}

Test(httpclient, an_unanswered_request_times_out)
{
    test::Loop loop;
    std::vector<std::shared_ptr<wire::Exchange>> kept;
    const test::ScriptedServer server(
        [&kept](const auto &, const auto &exchange) { kept.push_back(exchange); });
    wire::HttpClient client(loop.io());
    wire::HttpLimits limits;
    limits.totalTimeout = 200ms;
    limits.progressTimeout = 200ms;
    cr_assert_not(loop.wait(client.send(post(server.address()), limits)).ok());
}

Test(httpclient, a_guarded_send_in_time_arrives)
{
    test::Loop loop;
    const test::ScriptedServer server(answerOk);
    wire::HttpClient client(loop.io());
    const wire::SendGuard guard{core::BootClock::now() + 2s};
    const auto response = loop.wait(client.sendGuarded(post(server.address()), {}, guard));
    cr_assert(response.ok(), "%s", response.status().ToString().c_str());
    cr_assert_eq(response->status, 200U);
}

Test(httpclient, a_guarded_send_after_the_lease_is_not_sent)
{
    test::Loop loop;
    const test::ScriptedServer server(answerOk);
    wire::HttpClient client(loop.io());
    const wire::SendGuard guard{core::BootClock::now() - 1ms};
    const auto response = loop.wait(client.sendGuarded(post(server.address()), {}, guard));
    cr_assert_not(response.ok());
    cr_assert(wire::sendStateOf(response.status()) == wire::SendState::NotSent);
    cr_assert(server.receivedPaths().empty());
}
