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
using test::WorkerFault;

// Guards against a corrupted body (MIXED): if the resumed run ended with an error, the head of that
// error was written into the body of the stream.
Test(resumedstreams, an_error_of_the_second_run_ends_the_stream_as_incomplete)
{
    Deployment it;
    // As many endpoints as the route allows attempts, so the last answer is final.
    const std::array<test::WorkerStandin *, 3> workers{&it.addWorker("app"), &it.addWorker("app"),
                                                       &it.addWorker("app")};
    const auto setFault = [&](WorkerFault fault) {
        for (test::WorkerStandin *worker : workers)
            worker->setFault(fault);
    };
    const auto runs = [&]() {
        size_t n = 0;
        for (const test::WorkerStandin *worker : workers)
            n += worker->runsOf("r1");
        return n;
    };
    it.publishConfig(1);
    it.startGateway();
    setFault(WorkerFault::BreakStream);
    auto answer = std::make_shared<test::ClientAnswer>();
    const auto client = it.start("/stream/resume/1", "r1", answer);
    cr_assert(it.runUntil([&]() { return runs() == 1; }));
    setFault(WorkerFault::ServerError);
    cr_assert(it.runUntil([&]() { return answer->whole || !answer->why.empty(); }));
    cr_assert_eq(runs(), workers.size());
    cr_assert_not(answer->whole);
    cr_assert_eq(answer->status(), 200U);
    cr_assert_str_eq(answer->why.c_str(),
                     boost::system::error_code(boost::asio::error::eof).message().c_str());
    cr_assert(answer->response->body.ends_with("\n\n"), "%s", answer->response->body.c_str());
}
