/** \file
 * Tests of failed prefills: where the prompt goes next, and that sends stay within the retry
 * budget.
 */

#include "support/deployment.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace jujube;
using namespace std::chrono_literals;
using test::Deployment;
using test::EndpointFault;

namespace {

std::vector<http::Field> promptFields(int part)
{
    return {{"Token-Count", "9000,50"}, {"Prompt-Prefix", "a" + std::to_string(part) + ":9000"}};
}

auto receivedCount(const test::FakeEndpoint &endpoint, const std::string &id)
{
    return std::count_if(endpoint.receivedRequests().begin(), endpoint.receivedRequests().end(),
                         [&](const auto &it) { return it.id == id; });
}

} // namespace

// Guards against repeated sends of a prompt to a failed prefill engine. When a sixth of the engines
// were gone but still listed, connections to them opened and closed at once, and four sends of one
// prompt to the same engine within ten milliseconds used up the retry budget.
Test(readerfaults, a_prompt_goes_only_once_to_a_prefill_engine_that_failed_it)
{
    Deployment it;
    auto &failingEngine = it.addEndpoint("model", serving::Stage::Prefill);
    auto &decodeEngine = it.addEndpoint("model", serving::Stage::Decode);
    it.publishConfig(1);
    it.startGateway();
    failingEngine.setFault(EndpointFault::LoseResponse);
    for (int i = 0; i < 2; ++i) {
        const std::string id = "r" + std::to_string(i);
        cr_assert_eq(it.sendRequest("POST", "/stream/prompt/1", id, promptFields(i)).status(),
                     200U);
        cr_assert_eq(receivedCount(failingEngine, id), 1);
        cr_assert_eq(decodeEngine.runCount(id), 1U);
    }
}

// Without retry budget nothing is sent again, not even to a decode engine that would prefill
// itself.
Test(readerfaults, without_retry_budget_a_failed_prefill_is_refused_at_once)
{
    Deployment it;
    auto &failingEngine = it.addEndpoint("model", serving::Stage::Prefill);
    auto &decodeEngine = it.addEndpoint("model", serving::Stage::Decode);
    it.publishConfig(1);
    serving::NodeSettings settings;
    settings.retryRatio = 0;
    settings.retrySlack = 0;
    it.startGateway(settings);
    failingEngine.setFault(EndpointFault::LoseResponse);
    const auto begin = core::BootClock::now();
    const auto answer = it.sendRequest("POST", "/stream/prompt/1", "r1", promptFields(1));
    cr_assert_eq(answer.status(), 503U);
    cr_assert_not(answer.field("Retry-After").empty());
    cr_assert_leq(core::BootClock::now() - begin, 500ms);
    cr_assert_eq(failingEngine.receivedRequests().size() + decodeEngine.receivedRequests().size(),
                 1U);
}
