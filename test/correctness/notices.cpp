/** \file
 * Tests of notices in endpoints' answers: an announced shutdown or a requested back-off.
 */

#include "platform/requestcodec.h"
#include "serving/endpointhealth.h"
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

serving::AnswerMetadata answerWith(uint32_t status, const std::string &name,
                                   const std::string &value)
{
    http::Head head;
    head.status = status;
    head.fields.add(name, value);
    return platform::decodeResponseHead(head);
}

} // namespace

// The endpoint's own notice takes precedence over its entry in the store, which still says ready.
Test(notices, a_worker_that_announces_its_shutdown_gets_no_further_request)
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

Test(notices, a_notice_in_the_head_of_a_running_stream_is_applied)
{
    Deployment it;
    auto &endpoint = it.addEndpoint("app");
    endpoint.setEventCount(1'000);
    endpoint.setResponseFields(Leaving);
    it.publishConfig(1);
    it.startGateway();
    auto answer = std::make_shared<test::ClientResponse>();
    const auto client = it.startRequest("/stream/once/1", "r1", answer);
    cr_assert(it.runUntil([&]() { return answer->response && !answer->response->body.empty(); }));
    cr_assert_eq(it.sendRequest("GET", "/read/1", "r2").status(), 503U);
    cr_assert_eq(endpoint.receivedRequests().size(), 1U);
    client->close();
}

// Peers send no work to the endpoint as long as gossip repeats the notice.
Test(notices, peers_learn_of_an_announced_shutdown)
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

// An outage of the store makes the entry expire and reappear: the incarnation is still shutting
// down.
Test(notices, a_shutdown_notice_survives_the_expiry_of_the_entry)
{
    serving::EndpointTable table;
    table.update(record("e", 7, 1), 1'000);
    serving::applyAnswerNotices(*table.find("e"), answerWith(200, "Server-Leaving", "1"),
                                core::TimePoint{1s});
    cr_assert_not(table.find("e")->acceptsWork());
    table.remove("e");
    table.update(record("e", 7, 2), 1'000);
    cr_assert_not(table.find("e")->acceptsWork());
    table.update(record("e", 8, 3), 1'000);
    cr_assert(table.find("e")->acceptsWork(), "the notice does not apply to a new incarnation");
}

Test(notices, a_worker_in_back_off_gets_nothing_until_it_ends)
{
    Deployment it;
    auto &endpoint = it.addEndpoint("app");
    it.publishConfig(1);
    it.startGateway();
    endpoint.setFault(EndpointFault::Refuse, 1);
    endpoint.setResponseFields({{"Retry-After", "0.9"}});
    const auto refusedAt = core::BootClock::now();
    cr_assert_eq(it.sendRequest("POST", "/order/1", "r1").status(), 503U);
    endpoint.setResponseFields({});
    while (core::BootClock::now() - refusedAt < 800ms) {
        const auto answer = it.sendRequest("POST", "/order/1", "r2");
        cr_assert_eq(answer.status(), 503U);
        const double after = std::stod("0" + answer.field("Retry-After"));
        const auto left = refusedAt + 900ms - core::BootClock::now();
        cr_assert_geq(after, std::chrono::duration<double>(left).count() - 0.05,
                      "Retry-After for the client ends before the back-off");
        it.runFor(50ms);
    }
    cr_assert_eq(endpoint.receivedRequests().size(), 1U);
    it.runFor(300ms);
    cr_assert_eq(it.sendRequest("POST", "/order/1", "r3").status(), 200U);
}

// While another endpoint serves, the back-off of one does not lengthen the clients' Retry-After.
Test(notices, clients_see_a_back_off_only_if_every_worker_asks_for_one)
{
    serving::EndpointTable table;
    table.update(record("e", 7, 1), 1'000);
    table.update(record("f", 7, 1), 1'000);
    const core::TimePoint now{10s};
    const auto refusal = answerWith(503, "Retry-After", "2.5");
    serving::applyAnswerNotices(*table.find("e"), refusal, now);
    cr_assert_not(table.remainingBackoff("app", now).has_value());
    serving::applyAnswerNotices(*table.find("f"), refusal, now + 1s);
    cr_assert(table.remainingBackoff("app", now + 1s) == 1'500ms);
    cr_assert_not(table.remainingBackoff("app", now + 2'500ms).has_value());
}

// Guards against a limit that is read from a malformed field or from another instance's answer.
Test(notices, limits_are_parsed_as_decimal_numbers_only)
{
    const auto limit = [](const std::string &text) {
        return answerWith(200, "Server-Limit", text).requestLimit;
    };
    cr_assert(limit("7.3") == 7.3);
    cr_assert(limit("0") == 0.0);
    cr_assert(answerWith(503, "Server-Limit", "5").requestLimit == 5.0);
    for (const char *text : {"", "-1", "nan", "inf", "1e9", "5/s", "five", "0x5", "5,6"})
        cr_assert_not(limit(text).has_value(), "%s", text);
    cr_assert_not(answerWith(421, "Server-Limit", "5").requestLimit.has_value());
}

// Guards against a limit that seems to end with an answer to a report, an order or the release of a
// handle, with a malformed field or with another instance's answer.
Test(notices, only_an_answer_to_a_request_without_the_field_ends_a_limit)
{
    serving::EndpointTable table;
    table.update(record("e", 7, 1), 1'000);
    auto &endpoint = *table.find("e");
    auto apply = [&, now = core::TimePoint{1s}](const serving::AnswerMetadata &answer) mutable {
        serving::applyAnswerNotices(endpoint, answer, now += 1s);
        return endpoint.limit.perSecond();
    };
    cr_assert(apply(answerWith(200, "Server-Limit", "5")) == 5.0);
    cr_assert(apply(answerWith(200, "Content-Type", "application/json")) == 5.0);
    cr_assert(apply(answerWith(421, "Request-Id", "r1")) == 5.0);
    http::Head malformed;
    malformed.status = 200;
    malformed.fields.add("Request-Id", "r1");
    malformed.fields.add("Server-Limit", "soon");
    cr_assert(apply(platform::decodeResponseHead(malformed)) == 5.0);
    cr_assert_not(apply(answerWith(200, "Request-Id", "r1")).has_value());
}

Test(notices, back_offs_are_parsed_as_seconds_only)
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
    cr_assert_not(answerWith(421, "Server-Leaving", "1").leaving,
                  "421 means that another instance answered");
}
