/** \file
 * Tests of streams that are resumed after a broken connection and fail again.
 */

#include "support/deployment.h"

#include <boost/asio/error.hpp>
#include <criterion/criterion.h>

#include <array>

using namespace jujube;
using namespace std::chrono_literals;
using test::Deployment;
using test::EndpointFault;

// Guards against a corrupted body (MIXED): if the resumed run ended with an error, the head of that
// error was written into the body of the stream.
Test(resumedstreams, an_error_of_the_second_run_ends_the_stream_as_incomplete)
{
    Deployment it;
    // As many endpoints as the route allows attempts, so the last answer is final.
    const std::array<test::FakeEndpoint *, 3> endpoints{
        &it.addEndpoint("app"), &it.addEndpoint("app"), &it.addEndpoint("app")};
    const auto setFault = [&](EndpointFault fault) {
        for (test::FakeEndpoint *endpoint : endpoints)
            endpoint->setFault(fault);
    };
    const auto runs = [&]() {
        size_t n = 0;
        for (const test::FakeEndpoint *endpoint : endpoints)
            n += endpoint->runCount("r1");
        return n;
    };
    it.publishConfig(1);
    it.startGateway();
    setFault(EndpointFault::BreakStream);
    auto answer = std::make_shared<test::ClientResponse>();
    const auto client = it.startRequest("/stream/resume/1", "r1", answer);
    cr_assert(it.runUntil([&]() { return runs() == 1; }));
    setFault(EndpointFault::ServerError);
    cr_assert(it.runUntil([&]() { return answer->complete || !answer->error.empty(); }));
    cr_assert_eq(runs(), endpoints.size());
    cr_assert_not(answer->complete);
    cr_assert_eq(answer->status(), 200U);
    cr_assert_str_eq(answer->error.c_str(),
                     boost::system::error_code(boost::asio::error::eof).message().c_str());
    cr_assert(answer->response->body.ends_with("\n\n"), "%s", answer->response->body.c_str());
}
