/** \file
 * Tests of endpoints that accept no connections: pauses, connect timeouts and prompts that go
 * elsewhere. The pattern of load: a quarter of the engines crashes during a burst.
 */

#include "policy/connectfailures.h"
#include "platform/requestcodec.h"
#include "serving/endpointhealth.h"
#include "support/deployment.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace jujube;
using namespace std::chrono_literals;
using test::Deployment;

namespace {

std::vector<serving::EndpointPtr> makeEngines(size_t n)
{
    std::vector<serving::EndpointPtr> engines;
    for (size_t i = 0; i < n; ++i) {
        serving::EndpointRecord record;
        record.id = "i-" + std::to_string(i);
        record.service = "model";
        record.slots = 64;
        record.stage = serving::Stage::Prefill;
        engines.push_back(std::make_shared<serving::Endpoint>(record, 0));
    }
    return engines;
}

// Attempts to connect to ended engines while \a prompts arrive, one each 2 ms. Engines that work
// are busy, so the idle ended ones look best.
size_t wastedAttempts(bool pauses, size_t prompts)
{
    auto engines = makeEngines(24);
    std::mt19937_64 random(7);
    const policy::PlacementSettings settings;
    size_t wasted = 0;
    core::TimePoint now{10s};
    for (size_t i = 0; i < prompts; ++i, now += 2ms) {
        for (int attempt = 0; attempt < 8; ++attempt) {
            std::vector<policy::PlacementCandidate> views;
            views.reserve(engines.size());
            for (const auto &it : engines)
                views.push_back(serving::placementViewOf(*it, {}, now));
            for (size_t j = 6; j < views.size(); ++j)
                views[j].backlogTokens = 2'000;
            const auto choice = policy::choosePrefillEngine(views, {600}, settings, random);
            if (!choice || choice->index >= 6)
                break;
            ++wasted;
            if (pauses)
                serving::recordConnectFailure(*engines[choice->index], engines, now);
        }
    }
    return wasted;
}

serving::AnswerMetadata misdirectedBy(const std::string &instance)
{
    http::Head head;
    head.status = 421;
    head.fields.add("Instance-Id", instance);
    return platform::decodeResponseHead(head);
}

} // namespace

// Guards against pauses that grow with each of the many attempts that fail at the same moment.
Test(connectfailures, attempts_that_fail_during_a_pause_count_once)
{
    policy::ConnectFailures failures;
    core::TimePoint now{10s};
    cr_assert(failures.note(now) == 300ms);
    cr_assert(failures.note(now + 100ms) == 200ms, "the rest of the same pause");
    cr_assert(failures.note(now + 300ms) == 600ms);
    cr_assert(failures.note(now + 900ms) == 1'200ms);
    cr_assert(failures.note(now + 2'100ms) == 1'200ms, "an upper limit");
    failures.reset();
    cr_assert(failures.note(now + 2'200ms) == 300ms, "after an answer");
}

// Guards against prompts that try one ended engine after the other: six of 24 engines have ended
// and are idle, the others are busy.
Test(connectfailures, ended_engines_do_not_attract_every_prompt_of_a_burst)
{
    cr_assert_geq(wastedAttempts(false, 300), 2'000U);
    cr_assert_leq(wastedAttempts(true, 300), 18U, "one attempt for each pause");
}

// Guards against a gateway with a fault of its own network that stops using all endpoints.
Test(connectfailures, half_of_the_engines_stay_in_use_if_none_can_be_reached)
{
    const auto engines = makeEngines(10);
    const core::TimePoint now{10s};
    for (const auto &it : engines)
        serving::recordConnectFailure(*it, engines, now);
    const auto usable = std::count_if(engines.begin(), engines.end(), [now](const auto &it) {
        return serving::placementViewOf(*it, {}, now).usable;
    });
    cr_assert_eq(usable, 5);
    for (const auto &it : engines)
        cr_assert(serving::placementViewOf(*it, {}, now + 300ms).usable, "a pause ends");
}

// Guards against a request that is late because it waited for a VM without power.
Test(connectfailures, the_time_to_connect_leaves_half_of_the_objective)
{
    cr_assert(policy::connectTimeout(250ms) == 125ms);
    cr_assert(policy::connectTimeout(100ms) == 120ms);
    cr_assert(policy::connectTimeout(5s) == 350ms);
    cr_assert(policy::connectTimeout(0ms) == 350ms, "without an objective");
}

// Guards against sends to the entry of a process that has ended, at whose address its successor
// refuses them: each refusal is charged to the retry budget.
Test(connectfailures, an_engine_at_whose_address_another_instance_answers_gets_no_work)
{
    const auto engines = makeEngines(2);
    const core::TimePoint now{10s};
    serving::applyAnswerNotices(*engines[0], misdirectedBy("i-0"), now);
    cr_assert(engines[0]->acceptsWork(), "the engine itself refuses a request of another stage");
    serving::applyAnswerNotices(*engines[0], misdirectedBy("i-9"), now);
    cr_assert_not(engines[0]->acceptsWork());
    http::Head head;
    head.status = 200;
    head.fields.add("Instance-Id", "i-9");
    serving::applyAnswerNotices(*engines[1], platform::decodeResponseHead(head), now);
    cr_assert(engines[1]->acceptsWork(), "only a refusal says so");
}

// Guards against prompts that decode engines prefill although a prefill engine is available: with
// three ended engines in a row the limit of attempts was reached within a few milliseconds.
Test(connectfailures, a_prompt_reaches_the_prefill_engine_that_is_left)
{
    Deployment it;
    for (int i = 0; i < 5; ++i) {
        auto &ended = it.addEndpoint("model", serving::Stage::Prefill);
        ended.setAdvertisedAddress(ended.address().substr(0, ended.address().find(':')) + ":1");
        it.store().put("servers/" + ended.id(), ended.makeEntry("model", "a"));
    }
    auto &left = it.addEndpoint("model", serving::Stage::Prefill);
    auto &decodeEngine = it.addEndpoint("model", serving::Stage::Decode);
    it.publishConfig(1);
    serving::NodeSettings settings;
    settings.contention = true;
    it.startGateway(settings);
    for (int i = 0; i < 6; ++i) {
        const std::string id = "r" + std::to_string(i);
        const auto answer = it.sendRequest(
            "POST", "/stream/prompt/1", id,
            {{"Token-Count", "9000,50"}, {"Prompt-Prefix", "a" + std::to_string(i) + ":9000"}});
        cr_assert_eq(answer.status(), 200U);
        cr_assert_eq(decodeEngine.runCount(id), 1U);
    }
    const auto &prefills = left.receivedRequests();
    const auto &runs = decodeEngine.receivedRequests();
    cr_assert_eq(prefills.size(), 6U);
    cr_assert(std::all_of(runs.begin(), runs.end(),
                          [](const auto &run) { return !run.cacheSource.empty(); }));
}
