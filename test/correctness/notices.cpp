/** \file
 * Tests of what workers say of themselves in their answers: that they leave, or want a pause.
 */

#include "platform/requestcodec.h"
#include "support/deployment.h"

#include <criterion/criterion.h>

using namespace jujube;
using namespace std::chrono_literals;
using test::Deployment;
using test::EndpointFault;

namespace {

const std::vector<http::Field> Leaving{{"Server-Leaving", "1"}};

serving::EndpointRecord record(const std::string &id, int64_t bornMs, uint64_t revision)
{
    serving::EndpointRecord record;
    record.id = id;
    record.service = "app";
    record.address = "10.0.0.1:80";
    record.bornMs = bornMs;
    record.version.revision = revision;
    return record;
}

serving::AnswerFacts answerWith(uint32_t status, const std::string &name, const std::string &value)
{
    http::Head head;
    head.status = status;
    head.fields.add(name, value);
    return platform::decodeAnswer(head);
}

} // namespace

// The store still says that the worker is ready: its own word goes first.
Test(notices, a_worker_that_says_it_leaves_gets_no_further_request)
{
    Deployment it;
    auto &one = it.addEndpoint("app");
    it.publishConfig(1);
    it.startGateway();
    one.setResponseFields(Leaving);
    cr_assert_eq(it.sendRequest("GET", "/read/1", "r1").status(), 200U);
    auto &two = it.addEndpoint("app");
    cr_assert(
        it.runUntil([&]() { return it.sendRequest("GET", "/read/1", "r2").status() == 200U; }));
    const size_t before = one.receivedRequests().size();
    for (int i = 0; i < 10; ++i)
        it.sendRequest("GET", "/read/1", "r3");
    cr_assert_eq(one.receivedRequests().size(), before);
    cr_assert_geq(two.receivedRequests().size(), 10U);
}

Test(notices, the_head_of_a_stream_that_goes_on_tells_too)
{
    Deployment it;
    auto &worker = it.addEndpoint("app");
    worker.setEventCount(1'000);
    worker.setResponseFields(Leaving);
    it.publishConfig(1);
    it.startGateway();
    auto answer = std::make_shared<test::ClientResponse>();
    const auto client = it.startRequest("/stream/once/1", "r1", answer);
    cr_assert(it.runUntil([&]() { return answer->response && !answer->response->body.empty(); }));
    cr_assert_eq(it.sendRequest("GET", "/read/1", "r2").status(), 503U);
    cr_assert_eq(worker.receivedRequests().size(), 1U);
    client->close();
}

// Peers keep work away while they are told, so that they need not learn it each.
Test(notices, peers_are_told_of_a_worker_that_leaves)
{
    Deployment it;
    auto &one = it.addEndpoint("app");
    it.addEndpoint("app");
    it.publishConfig(1);
    it.startGateway();
    it.startGateway();
    it.runFor(300ms);
    one.setResponseFields(Leaving);
    while (one.receivedRequests().empty())
        it.sendRequest("GET", "/read/1", "r1");
    it.runFor(400ms);
    const size_t before = one.receivedRequests().size();
    for (int i = 0; i < 10; ++i)
        it.sendRequest("GET", "/read/1", "r2", {}, {}, 1);
    cr_assert_eq(one.receivedRequests().size(), before);
}

// A lapse of the store removes the entry and brings it back: the incarnation is still leaving.
Test(notices, an_incarnation_that_leaves_is_remembered_across_a_lapse_of_its_entry)
{
    serving::EndpointTable table;
    table.update(record("e", 7, 1), 1'000);
    serving::noteNotices(*table.find("e"), answerWith(200, "Server-Leaving", "1"),
                         core::TimePoint{1s});
    cr_assert_not(table.find("e")->acceptsWork());
    table.remove("e");
    table.update(record("e", 7, 2), 1'000);
    cr_assert_not(table.find("e")->acceptsWork());
    table.update(record("e", 8, 3), 1'000);
    cr_assert(table.find("e")->acceptsWork(), "a new incarnation is free of the notice");
}

Test(notices, a_worker_that_wants_a_pause_gets_nothing_until_it_ends)
{
    Deployment it;
    auto &worker = it.addEndpoint("app");
    it.publishConfig(1);
    it.startGateway();
    worker.setFault(EndpointFault::Refuse, 1);
    worker.setResponseFields({{"Retry-After", "0.9"}});
    const auto refusedAt = core::BootClock::now();
    cr_assert_eq(it.sendRequest("POST", "/order/1", "r1").status(), 503U);
    worker.setResponseFields({});
    while (core::BootClock::now() - refusedAt < 800ms) {
        const auto answer = it.sendRequest("POST", "/order/1", "r2");
        cr_assert_eq(answer.status(), 503U);
        const double after = std::stod("0" + answer.field("Retry-After"));
        const auto left = refusedAt + 900ms - core::BootClock::now();
        cr_assert_geq(after, std::chrono::duration<double>(left).count() - 0.05,
                      "the client is told to come before the pause ends");
        it.runFor(50ms);
    }
    cr_assert_eq(worker.receivedRequests().size(), 1U);
    it.runFor(300ms);
    cr_assert_eq(it.sendRequest("POST", "/order/1", "r3").status(), 200U);
}

// The pause of one worker is no reason to tell clients of it while another serves.
Test(notices, a_pause_counts_for_clients_only_if_every_worker_wants_one)
{
    serving::EndpointTable table;
    table.update(record("e", 7, 1), 1'000);
    table.update(record("f", 7, 1), 1'000);
    const core::TimePoint now{10s};
    const auto refusal = answerWith(503, "Retry-After", "2.5");
    serving::noteNotices(*table.find("e"), refusal, now);
    cr_assert_not(table.backoffLeft("app", now).has_value());
    serving::noteNotices(*table.find("f"), refusal, now + 1s);
    cr_assert(table.backoffLeft("app", now + 1s) == 1'500ms);
    cr_assert_not(table.backoffLeft("app", now + 2'500ms).has_value());
}

Test(notices, pauses_are_read_as_seconds_and_nothing_else)
{
    const auto pause = [](const std::string &text) {
        return answerWith(503, "Retry-After", text).retryAfter;
    };
    cr_assert(pause("0.25") == 250ms);
    cr_assert(pause("2") == 2s);
    cr_assert(pause("99999999999999999999") == 24h);
    for (const char *text : {"-1", "", "soon", "1s", "nan", "Wed, 21 Oct 2026 07:28:00 GMT", "1e9"})
        cr_assert_not(pause(text).has_value(), "%s", text);
    cr_assert_not(answerWith(200, "Retry-After", "2").retryAfter.has_value());
    cr_assert_not(answerWith(421, "Server-Leaving", "1").leaving, "another instance answered");
}
