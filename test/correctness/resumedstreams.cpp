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

// Guards against an error's text or head in the middle of a stream, and against a broken stream
// that looks complete (ORDER, MIXED): the endpoint that was to resume it answers with something
// else.
Test(resumedstreams, no_other_answer_becomes_a_part_of_the_stream)
{
    const std::string whole =
        test::eventText("r1", 1) + test::eventText("r1", 2) + test::eventText("r1", 3);
    for (const EndpointFault fault :
         {EndpointFault::ServerError, EndpointFault::UnavailableAfterRun, EndpointFault::Refuse,
          EndpointFault::NoSeal, EndpointFault::PlainAnswer, EndpointFault::LoseResponse,
          EndpointFault::EndlessUnsealed, EndpointFault::EndlessHead,
          EndpointFault::ForeignResponse, EndpointFault::RepeatedRefusal,
          EndpointFault::RepeatedRefusalWithoutId}) {
        Deployment it;
        test::FakeEndpoint &one = it.addEndpoint("app");
        test::FakeEndpoint &two = it.addEndpoint("app");
        it.publishConfig(1);
        it.startGateway();
        one.setFault(EndpointFault::BreakStream);
        two.setFault(EndpointFault::BreakStream);
        auto answer = std::make_shared<test::ClientResponse>();
        const auto client = it.startRequest("/stream/resume/1", "r1", answer);
        cr_assert(it.runUntil([&]() { return one.runCount("r1") + two.runCount("r1") == 1; }));
        (one.runCount("r1") == 1 ? two : one).setFault(fault);
        cr_assert(it.runUntil([&]() { return answer->complete || !answer->error.empty(); }));
        cr_assert_eq(answer->status(), 200U);
        const std::string &body = answer->response->body;
        cr_assert(whole.starts_with(body), "fault %d: %s", static_cast<int>(fault), body.c_str());
        cr_assert(body.size() < whole.size() ? !answer->complete : answer->complete, "fault %d",
                  static_cast<int>(fault));
        // Framing errors would show as another failure than the end of the connection.
        if (!answer->complete)
            cr_assert(answer->error == boost::system::error_code(boost::asio::error::eof).message(),
                      "%s", answer->error.c_str());
    }
}

// Guards against a document that is cut for want of events, where an endpoint answers with one.
Test(resumedstreams, a_document_in_place_of_a_stream_is_delivered)
{
    Deployment it;
    it.addEndpoint("app").setFault(EndpointFault::PlainAnswer);
    it.publishConfig(1);
    it.startGateway();
    const auto answer = it.sendRequest("POST", "/stream/once/1", "r1");
    cr_assert(answer.complete);
    cr_assert_str_eq(answer.response->body.c_str(), "{\"error\":\"no such stream\"\n\n}");
}
