/** \file
 * Tests that endpoints which do not read their requests delay no others, that what is held for them
 * is bounded, and that the final status tells whether the request may have run.
 */

#include "core/metrics.h"
#include "core/text.h"
#include "http/outputbudget.h"
#include "support/deployment.h"
#include "support/loopback.h"
#include "support/residentbytes.h"
#include "support/slowreader.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>

using namespace jujube;
using namespace std::chrono_literals;
using test::ClientResponse;
using test::Deployment;
using test::EndpointFault;
using test::SlowReader;

namespace {

constexpr size_t KiB = 1UL << 10U;
constexpr size_t MiB = 1UL << 20U;
constexpr uint16_t ReaderPort = 7051;
constexpr uint32_t RouteTimeoutMs = 4'500;

uint64_t counter(const std::string &name)
{
    const std::string metrics = "\n" + core::renderMetrics();
    const size_t at = metrics.find("\n" + name + " ");
    return at == std::string::npos ? 0 : std::stoull(metrics.substr(at + name.size() + 2));
}

/** Adds an endpoint that is reached through a reader. */
std::unique_ptr<SlowReader> addSlowEndpoint(Deployment &deployment, double bytesPerSecond)
{
    auto &endpoint = deployment.addEndpoint("app");
    auto reader = std::make_unique<SlowReader>(deployment.io(), endpoint.address(), bytesPerSecond);
    const std::string address = test::loopbackAddress(ReaderPort);
    cr_assert(reader->listen(address));
    endpoint.setAdvertisedAddress(address);
    deployment.store().put("servers/" + endpoint.id(), endpoint.makeEntry("app", "a"));
    return reader;
}

struct Order
{
    std::shared_ptr<ClientResponse> answer = std::make_shared<ClientResponse>();
    core::TimePoint from = core::BootClock::now();
    core::Milliseconds taken{};
};

Order startOrder(Deployment &deployment, const std::string &id, size_t bytes,
                 const std::string &path = "/order/1")
{
    Order order;
    deployment.startRequest(path, id, order.answer, {}, 0, std::string(bytes, 'x'));
    return order;
}

void finishOrder(Deployment &deployment, Order &order)
{
    cr_assert(deployment.runUntil([&]() { return order.answer->complete; }, 8s));
    order.taken =
        std::chrono::duration_cast<core::Milliseconds>(core::BootClock::now() - order.from);
}

Order runOrder(Deployment &deployment, const std::string &id, size_t bytes,
               const std::string &path = "/order/1")
{
    Order order = startOrder(deployment, id, bytes, path);
    finishOrder(deployment, order);
    return order;
}

} // namespace

// Guards against 503 for an order whose endpoint has the head, and may work on it before it reads
// the body; and against an order that is taken from an endpoint at work.
Test(slowendpoints, an_order_whose_body_is_not_taken_may_have_run)
{
    Deployment it;
    const auto reader = addSlowEndpoint(it, 0);
    it.publishConfig(1, R"(["key-a"])", RouteTimeoutMs);
    it.startGateway();
    std::vector<Order> orders;
    // The first of them fits the endpoint's receive buffer.
    for (const size_t bytes : {4 * KiB, 60 * KiB, 300 * KiB, 4 * MiB - KiB})
        orders.push_back(startOrder(it, core::concat("o", bytes), bytes));
    for (Order &order : orders) {
        finishOrder(it, order);
        cr_assert_eq(order.answer->status(), http::status::GatewayTimeout);
        cr_assert_eq(order.answer->field("Retry-After"), "");
        cr_assert_geq(order.taken, core::Milliseconds(RouteTimeoutMs));
        cr_assert_lt(order.taken, core::Milliseconds(RouteTimeoutMs) + 500ms);
    }
    cr_assert_eq(reader->takenBytes(), 0U);
    cr_assert_eq(counter("jujube_slow_endpoints_total"), 0U);
}

// Guards against a repeatable request that waits for an endpoint which does not read, although
// another one would answer it.
Test(slowendpoints, that_take_nothing_lose_repeatable_requests_to_others)
{
    Deployment it;
    const auto reader = addSlowEndpoint(it, 0);
    it.publishConfig(1, R"(["key-a"])", RouteTimeoutMs);
    it.startGateway();
    for (const size_t bytes : {60 * KiB, 300 * KiB, 4 * MiB - KiB}) {
        const Order request = runOrder(it, core::concat("r", bytes), bytes, "/read/1");
        cr_assert_eq(request.answer->status(), http::status::BadGateway);
        cr_assert_geq(request.taken, 2s);
        cr_assert_lt(request.taken, 3s);
    }
    cr_assert_eq(reader->takenBytes(), 0U);
    cr_assert_eq(counter("jujube_slow_endpoints_total"), 3U);
    it.addEndpoint("app");
    it.runFor(200ms);
    const Order request = runOrder(it, "r", 300 * KiB, "/read/1");
    cr_assert_eq(request.answer->status(), http::status::Ok);
    cr_assert_lt(request.taken, 3s);
    cr_assert_eq(it.runCount("r"), 1U);
}

// Guards against the loss of requests to endpoints that do read: the kernel ended connections after
// 2.5 s whose peer kept its window nearly closed.
Test(slowendpoints, that_take_a_little_keep_their_requests_until_the_deadline)
{
    Deployment it;
    const auto reader = addSlowEndpoint(it, 40'000);
    it.publishConfig(1, R"(["key-a"])", RouteTimeoutMs);
    it.startGateway();
    const Order taken = runOrder(it, "taken", 120 * KiB);
    cr_assert_eq(taken.answer->status(), http::status::Ok);
    cr_assert_geq(taken.taken, 2'600ms);
    const Order late = runOrder(it, "late", 300 * KiB);
    cr_assert_eq(late.answer->status(), http::status::GatewayTimeout);
    cr_assert_geq(late.taken, core::Milliseconds(RouteTimeoutMs));
    cr_assert_eq(counter("jujube_slow_endpoints_total"), 0U);
}

// Guards against an answer that is given up because its endpoint is silent after it has received
// the whole request.
Test(slowendpoints, that_have_the_whole_request_may_be_silent_until_the_deadline)
{
    Deployment it;
    auto &endpoint = it.addEndpoint("app");
    endpoint.setFault(EndpointFault::Silent);
    it.publishConfig(1, R"(["key-a"])", RouteTimeoutMs);
    it.startGateway();
    const Order order = runOrder(it, "silent", 4 * MiB - KiB);
    cr_assert_eq(order.answer->status(), http::status::GatewayTimeout);
    cr_assert_geq(order.taken, core::Milliseconds(RouteTimeoutMs));
    cr_assert_eq(endpoint.runCount("silent"), 1U);
    cr_assert_eq(counter("jujube_slow_endpoints_total"), 0U);
}

// Guards against a second run of requests that an endpoint begins to read at about the time at
// which they are sent elsewhere.
Test(slowendpoints, run_no_request_twice_if_they_read_again)
{
    constexpr size_t count = 24;
    Deployment it;
    const auto reader = addSlowEndpoint(it, 0);
    it.addEndpoint("app");
    it.publishConfig(1, R"(["key-a"])", RouteTimeoutMs);
    serving::NodeSettings settings;
    settings.retrySlack = count;
    it.startGateway(settings);
    std::vector<Order> orders;
    for (size_t i = 0; i < count; ++i) {
        orders.push_back(startOrder(it, core::concat("o", i), (60 + 20 * i) * KiB, "/read/1"));
        it.runFor(20ms);
    }
    it.runFor(1'900ms); // The first of them are given up after 2.3 s.
    cr_assert_eq(reader->takenBytes(), 0U);
    reader->setRate(1e6);
    for (size_t i = 0; i < count; ++i) {
        const auto &answer = *orders[i].answer;
        cr_assert(it.runUntil([&]() { return answer.complete; }, 8s));
        cr_assert_eq(answer.status(), http::status::Ok, "%zu: %u", i, answer.status());
    }
    it.runFor(500ms);
    for (size_t i = 0; i < count; ++i)
        cr_assert_eq(it.runCount(core::concat("o", i)), 1U, "%zu", i);
    cr_assert_gt(reader->takenBytes(), 0U);
    cr_assert_gt(counter("jujube_slow_endpoints_total"), 0U);
}

// Guards against the loss of orders whose endpoint reads on after a pause.
Test(slowendpoints, keep_orders_until_they_read_again)
{
    constexpr size_t count = 24;
    Deployment it;
    const auto reader = addSlowEndpoint(it, 0);
    it.publishConfig(1, R"(["key-a"])", RouteTimeoutMs);
    it.startGateway();
    std::vector<Order> orders;
    for (size_t i = 0; i < count; ++i)
        orders.push_back(startOrder(it, core::concat("o", i), (60 + 8 * i) * KiB));
    it.runFor(2'600ms); // Repeatable requests are given up after 2.3 s.
    cr_assert_eq(reader->takenBytes(), 0U);
    reader->setRate(1e6);
    for (size_t i = 0; i < count; ++i) {
        finishOrder(it, orders[i]);
        const auto &answer = *orders[i].answer;
        cr_assert_eq(answer.status(), http::status::Ok, "%zu: %u", i, answer.status());
        cr_assert_eq(it.runCount(core::concat("o", i)), 1U, "%zu", i);
    }
    cr_assert_eq(counter("jujube_slow_endpoints_total"), 0U);
}

// Guards against slow endpoints that use up the memory for requests, so that requests to quick ones
// are refused.
Test(slowendpoints, leave_memory_to_requests_for_others)
{
    constexpr size_t slowCount = 30;
    Deployment it;
    const auto reader = addSlowEndpoint(it, 4'000);
    it.addEndpoint("model", serving::Stage::Decode);
    it.publishConfig(1, R"(["key-a"])", RouteTimeoutMs);
    serving::NodeSettings settings;
    settings.memoryBytes = 32 * MiB; // Room for 8 MiB of bodies.
    it.startGateway(settings);
    const size_t residentBefore = test::residentBytes();
    std::vector<Order> slow;
    for (size_t i = 0; i < slowCount; ++i) {
        slow.push_back(startOrder(it, core::concat("slow-", i), 400 * KiB));
        it.runFor(5ms);
    }
    it.runFor(1s); // After 0.5 s at a low rate a request counts as slow.
    // The clients' copies of the requests are in this process, too.
    cr_assert_lt(test::residentBytes() - std::min(residentBefore, test::residentBytes()),
                 settings.memoryBytes + slowCount * 400 * KiB);
    for (int i = 0; i < 20; ++i) {
        const auto answer = std::make_shared<ClientResponse>();
        const core::TimePoint begin = core::BootClock::now();
        it.startRequest("/stream/prompt/1", core::concat("quick-", i), answer,
                        {{"Token-Count", "300,40"}, {"Prompt-Prefix", "a:200,b:100"}}, 0,
                        std::string(2 * MiB, 'x'));
        cr_assert(it.runUntil([&]() { return answer->complete; }, 2s));
        cr_assert_eq(answer->status(), http::status::Ok, "%d: %u", i, answer->status());
        cr_assert_lt(core::BootClock::now() - begin, 500ms);
    }
    size_t waiting = 0;
    size_t refused = 0; // There was no memory for their bodies; they were not sent.
    size_t givenUp = 0;
    for (const Order &order : slow) {
        waiting += order.answer->complete ? 0 : 1;
        refused += order.answer->status() == http::status::ServiceUnavailable ? 1 : 0;
        givenUp += order.answer->status() == http::status::BadGateway ? 1 : 0;
    }
    cr_assert_eq(waiting + refused + givenUp, slowCount);
    cr_assert_eq(givenUp, counter("jujube_slow_endpoints_total"));
    cr_assert_gt(givenUp, 0U);
    cr_assert_gt(waiting, 0U);
    cr_assert_leq(waiting * 400 * KiB, settings.memoryBytes / 8);
}

// Guards against one slow peer that displaces the requests to others.
Test(slowendpoints, give_up_the_oldest_request_of_the_peer_that_holds_the_most)
{
    const auto budget = std::make_shared<http::SlowSendBudget>(10 * KiB);
    std::string givenUp;
    std::map<std::string, std::unique_ptr<http::SlowSendShare>> shares;
    core::TimePoint now{1s};
    const auto hold = [&](const std::string &name, size_t bytes) {
        auto &share = shares[name];
        share = std::make_unique<http::SlowSendShare>(budget, name.substr(0, 1),
                                                      [&givenUp, name]() { givenUp += name; });
        share->set(bytes, now += 1s);
    };
    hold("b1", 5 * KiB);
    hold("a1", 3 * KiB);
    shares["a1"]->set(2 * KiB, now + 1s); // Slow since its first bytes.
    hold("a2", 2 * KiB);
    cr_assert_eq(givenUp, "");
    hold("a3", 2 * KiB);
    cr_assert_eq(givenUp, "a1");
    shares.erase("b1");
    cr_assert_eq(budget->usedBytes(), 4 * KiB);
    hold("c1", 11 * KiB); // A single request beyond the bound.
    cr_assert_eq(givenUp, "a1c1");
    cr_assert_eq(budget->usedBytes(), 4 * KiB);
    shares.clear();
    cr_assert_eq(budget->usedBytes(), 0U);
}
