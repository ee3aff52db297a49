/** \file
 * Tests of endpoints that write an earlier refusal once more on a kept connection.
 */

#include "support/deployment.h"

#include <criterion/criterion.h>

using namespace jujube;
using namespace std::chrono_literals;
using test::Deployment;
using test::EndpointFault;

namespace {

/** A deployment in which the next request finds a kept connection to each endpoint. */
struct Bench
{
    Deployment deployment;
    test::FakeEndpoint &one = deployment.addEndpoint("app");
    test::FakeEndpoint &two = deployment.addEndpoint("app");

    explicit Bench(EndpointFault fault)
    {
        deployment.publishConfig(1);
        deployment.startGateway();
        for (int i = 0; one.receivedRequests().empty() || two.receivedRequests().empty(); ++i)
            cr_assert_eq(
                deployment.sendRequest("POST", "/order/1", "warm" + std::to_string(i)).status(),
                200U);
        one.setFault(fault, 1);
        two.setFault(fault, 1);
    }

    size_t runs(const std::string &id) const { return one.runCount(id) + two.runCount(id); }
};

constexpr EndpointFault Faults[] = {EndpointFault::RepeatedRefusal,
                                    EndpointFault::RepeatedRefusalWithoutId};

// Checks that a request which may run once runs once, and that its answer says so or nothing.
void expectOneRun(const std::string &target)
{
    for (const EndpointFault fault : Faults) {
        Bench it(fault);
        const auto answer = it.deployment.sendRequest("POST", target, "r1");
        it.deployment.runFor(100ms);
        cr_assert_eq(it.runs("r1"), 1U);
        // The refusal names another request, or it is open whose it is.
        cr_assert_eq(answer.status(), fault == EndpointFault::RepeatedRefusal ? 200U : 502U);
    }
}

} // namespace

// Guards against "not run, come back" for a request that an endpoint runs (REFUSED), and against a
// second run of it (TWICE): the refusal belongs to an earlier request.
Test(repeatedrefusals, are_not_taken_for_the_answer_to_a_request_that_may_run_once)
{
    expectOneRun("/order/1");
}

// The same for a stream that may not be resumed.
Test(repeatedrefusals, are_not_taken_for_the_answer_to_a_stream)
{
    expectOneRun("/stream/once/1");
}

// What may be repeated is repeated, at the expense of the retry budget.
Test(repeatedrefusals, a_read_is_served_all_the_same)
{
    for (const EndpointFault fault : Faults) {
        Bench it(fault);
        const auto answer = it.deployment.sendRequest("GET", "/read/1", "r1");
        cr_assert(answer.status() == 200U || answer.status() == 502U);
        cr_assert_leq(it.runs("r1"), 2U);
        cr_assert(answer.status() != 200U || answer.response->body == "answer to r1");
    }
}

// An endpoint that refuses the first request on a new connection is believed, also without an id.
Test(repeatedrefusals, a_refusal_on_a_new_connection_is_believed)
{
    Deployment it;
    auto &endpoint = it.addEndpoint("app");
    it.publishConfig(1);
    it.startGateway();
    endpoint.setFault(EndpointFault::Refuse);
    const auto answer = it.sendRequest("POST", "/order/1", "r1");
    cr_assert_eq(answer.status(), 503U);
    cr_assert_eq(endpoint.runCount("r1"), 0U);
}
