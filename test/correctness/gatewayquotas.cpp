/** \file
 * Tests of the quotas of teams with real gateways.
 */

#include "core/metrics.h"
#include "support/deployment.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace jujube;
using namespace std::chrono_literals;
using test::Deployment;

namespace {

// The configuration of the other tests, in which team-a has a quota of tokens.
std::string configWithQuota(uint64_t version, int perSecond, int burst)
{
    std::string text = test::configJson(version, R"(["key-a"])", 2'000);
    const std::string team = R"({"Name":"team-a",)";
    return text.replace(text.find(team), team.size(),
                        team + R"("RatePerS":)" + std::to_string(perSecond) + R"(,"Burst":)"
                            + std::to_string(burst)
                            + R"(,"Unit":"token_stream","PlainTokens":100,)");
}

const std::vector<http::Field> Tokens{{"Token-Count", "600,400"}};

} // namespace

// Guards against a request over the quota that runs, that is told no time to retry, or that is
// refused although the bucket covers it, and against a charge for a request that did not run.
Test(gatewayquotas, a_request_over_the_quota_is_refused_and_told_when_to_retry)
{
    Deployment it;
    auto &endpoint = it.addEndpoint("app");
    it.store().put("op/config", configWithQuota(1, 500, 3'000));
    it.startGateway();
    endpoint.setFault(test::EndpointFault::Refuse);
    for (int i = 0; i < 5; ++i)
        cr_assert_eq(it.sendRequest("POST", "/order/1", "n" + std::to_string(i), Tokens).status(),
                     503U);
    endpoint.setFault(test::EndpointFault::None);
    it.runFor(300ms);
    const size_t before = endpoint.receivedRequests().size();
    for (int i = 0; i < 3; ++i)
        cr_assert_eq(it.sendRequest("POST", "/order/1", "r" + std::to_string(i), Tokens).status(),
                     200U);
    const auto refused = it.sendRequest("POST", "/order/1", "r4", Tokens);
    cr_assert_eq(refused.status(), 429U);
    const double retryAfter = std::stod(refused.field("Retry-After"));
    cr_assert_gt(retryAfter, 0.5);
    cr_assert_lt(retryAfter, 12.0);
    cr_assert_eq(endpoint.receivedRequests().size(), before + 3);
    cr_assert_eq(it.sendRequest("GET", "/open/1", "o1", {{"X-Api-Key", ""}}).status(), 200U);
    cr_assert(core::renderMetrics().find("jujube_quota_refusals_total{team=\"team-a\"} 1")
              != std::string::npos);
    it.runFor(2'000ms);
    cr_assert_eq(it.sendRequest("POST", "/order/1", "r5", Tokens).status(), 200U);
}

// Guards against gateways that each admit the whole quota, with a hub and without one.
Test(gatewayquotas, gateways_keep_a_quota_together)
{
    for (const size_t gateways : {4U, 11U}) {
        Deployment it;
        auto &endpoint = it.addEndpoint("app");
        it.store().put("op/config", configWithQuota(1, 10'000, 10'000));
        serving::NodeSettings settings;
        settings.quotaOverrun = 0.1;
        settings.quotaSlack = 5'000;
        for (size_t i = 0; i < gateways; ++i)
            it.startGateway(settings);
        it.runFor(2s);
        std::vector<std::shared_ptr<test::ClientResponse>> answers;
        std::vector<std::shared_ptr<http::ClientConnection>> connections;
        const core::TimePoint start = core::BootClock::now();
        for (int i = 0; core::BootClock::now() - start < 4s; ++i) {
            answers.push_back(std::make_shared<test::ClientResponse>());
            connections.push_back(it.startRequest("/read/1", "r" + std::to_string(i),
                                                  answers.back(), Tokens, i % gateways));
            it.runFor(10ms);
        }
        it.runFor(1s);
        // 10,000 at the start, a fifth of the margin of 14,000, and 10,000 a second.
        const double tokens = 1'000.0 * static_cast<double>(endpoint.receivedRequests().size());
        cr_expect_geq(tokens, 45'000, "%zu gateways: %g", gateways, tokens);
        cr_expect_leq(tokens, 60'000, "%zu gateways: %g", gateways, tokens);
        const auto refused = std::count_if(answers.begin(), answers.end(), [](const auto &answer) {
            return answer->status() == http::status::TooManyRequests;
        });
        cr_expect_gt(refused, 100);
    }
}
