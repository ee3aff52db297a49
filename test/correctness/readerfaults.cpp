/** \file
 * Tests of prompts whose reader is gone: where they go next, and that they stay within the budget.
 */

#include "support/deployment.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace jujube;
using namespace std::chrono_literals;
using test::Deployment;
using test::EndpointFault;

namespace {

std::vector<http::Field> prompt(int part)
{
    return {{"Token-Count", "9000,50"}, {"Prompt-Prefix", "a" + std::to_string(part) + ":9000"}};
}

auto seenOf(const test::FakeEndpoint &worker, const std::string &id)
{
    return std::count_if(worker.receivedRequests().begin(), worker.receivedRequests().end(),
                         [&](const auto &it) { return it.id == id; });
}

} // namespace

// A sixth of the readers is gone and its address still listed: connections come about and end. Four
// sends of one prompt to the same reader within ten milliseconds spent the budget of repeats.
Test(readerfaults, a_prompt_goes_to_the_reader_that_failed_it_only_once)
{
    Deployment it;
    auto &gone = it.addEndpoint("model", serving::Stage::Prefill);
    auto &decoder = it.addEndpoint("model", serving::Stage::Decode);
    it.publishConfig(1);
    it.startGateway();
    gone.setFault(EndpointFault::LoseResponse);
    for (int i = 0; i < 2; ++i) {
        const std::string id = "r" + std::to_string(i);
        cr_assert_eq(it.sendRequest("POST", "/stream/prompt/1", id, prompt(i)).status(), 200U);
        cr_assert_eq(seenOf(gone, id), 1);
        cr_assert_eq(decoder.runCount(id), 1U);
    }
}

// Without budget nothing is sent again, not even to a decoder that would read the prompt itself.
Test(readerfaults, without_budget_a_prompt_that_was_not_read_is_refused_at_once)
{
    Deployment it;
    auto &gone = it.addEndpoint("model", serving::Stage::Prefill);
    auto &decoder = it.addEndpoint("model", serving::Stage::Decode);
    it.publishConfig(1);
    serving::NodeSettings settings;
    settings.retryRatio = 0;
    settings.retrySlack = 0;
    it.startGateway(settings);
    gone.setFault(EndpointFault::LoseResponse);
    const auto begin = core::BootClock::now();
    const auto answer = it.sendRequest("POST", "/stream/prompt/1", "r1", prompt(1));
    cr_assert_eq(answer.status(), 503U);
    cr_assert_not(answer.field("Retry-After").empty());
    cr_assert_leq(core::BootClock::now() - begin, 500ms);
    cr_assert_eq(gone.receivedRequests().size() + decoder.receivedRequests().size(), 1U);
}
