/** \file
 * Tests of the explanation of a request, without a network: reasons, refusals and the absence of
 * side effects.
 */

#include "serving/explain.h"
#include "http/server.h"
#include "platform/requestcodec.h"
#include "serving/gateway.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace jujube;
using namespace std::chrono_literals;

namespace {

/** The parts of a gateway that an explanation is based on, with one model service. */
struct Node
{
    explicit Node(uint64_t seed = 1) : random(seed)
    {
        serving::Route route;
        route.name = "chat";
        route.host = "h";
        route.prefix = "/chat";
        route.kind = serving::RouteKind::Stream;
        route.targets = {{"model", 1}};
        route.timeout = 2s;
        route.latencyObjective = 300ms;
        route.statesPromptBlocks = true;
        config.routesByHost["h"] = {route};
        config.requiresKeys = true;
        config.teams = {{"team-a", std::nullopt, serving::TeamQuota{100, 3'000, true, 100}},
                        {"team-b", 0U, std::nullopt}};
        config.teamByKey = {{"key-a", 0}, {"key-b", 1}};
        settings.firstStart = true;
        placement.domain = "a";
        quotas.configure(config);
    }

    serving::Endpoint &add(serving::Stage stage, const std::string &domain = "a")
    {
        serving::EndpointRecord record;
        record.id = "e" + std::to_string(endpoints.all().size());
        record.service = "model";
        record.address = "127.0.0.1:1";
        record.domain = domain;
        record.slots = 64;
        record.stage = stage;
        record.version.revision = ++revision;
        endpoints.update(record, 500'000, {core::BootClock::now(), true});
        serving::Endpoint &endpoint = *endpoints.find(record.id);
        endpoint.heldUntil = {};
        return endpoint;
    }

    absl::StatusOr<serving::Explanation> explain(const serving::ExplainQuery &query) const
    {
        const auto metadata = platform::decodeExplainQuery(query);
        cr_assert(metadata.ok());
        const serving::ExplainServices services{"g",       &config,   false,   endpoints,
                                                scheduler, placement, lengths, quarantine,
                                                quotas,    runSteps};
        return serving::explain(services, *metadata, random);
    }

    std::mt19937_64 random;
    boost::asio::io_context io;
    http::Client httpClient{io};
    serving::StoreClient store{httpClient, "127.0.0.1:1"};
    serving::NodeSettings settings;
    serving::FleetConfig config;
    serving::EndpointTable endpoints;
    policy::PlacementSettings placement;
    policy::OutputLengthEstimator lengths;
    serving::QuarantineKeeper quarantine{store, "g"};
    serving::TeamQuotas quotas{io, settings, random, []() {}};
    serving::PromptScheduler scheduler{io, endpoints, placement, random, []() { return 1U; }};
    std::map<std::string, policy::DecodeStepEstimator> runSteps;
    uint64_t revision = 0;
};

const serving::ExplainQuery Chat{"h", "/chat/1", "key-b", "1800,24", "20", "a1:1200,b2:600", false};

bool hasObstacle(const serving::ExplainedCandidate &it, std::string_view name)
{
    return std::find(it.obstacles.begin(), it.obstacles.end(), name) != it.obstacles.end();
}

} // namespace

// Guards against an endpoint that is passed over without a reason, or with another one: each
// obstacle alone, brought about as in operation.
Test(explain, each_reason_against_an_endpoint_is_named)
{
    Node node;
    const core::TimePoint now = core::BootClock::now();
    const auto decoder = [&node]() -> serving::Endpoint & {
        return node.add(serving::Stage::Decode);
    };
    decoder().leaving = true;
    decoder().pauseFor(now, 10s);
    serving::AnswerMetadata answer;
    answer.retryAfter = 10s;
    serving::applyAnswerNotices(decoder(), answer, now);
    answer = {};
    answer.requestLimit = 0.0;
    serving::applyAnswerNotices(decoder(), answer, now);
    decoder().health.eject(now);
    decoder().heldUntil = now + 10s;
    decoder().ownLoad.running = 64;
    node.add(serving::Stage::Prefill).ownLoad.backlogTokens = 50'000;
    decoder();
    node.add(serving::Stage::Prefill);
    const auto explained = node.explain(Chat);
    cr_assert(explained.ok());
    const std::vector<std::string_view> names{"draining", "paused", "back-off", "limit",
                                              "ejected",  "held",   "full",     "full"};
    cr_assert_eq(explained->candidates.size(), names.size() + 2);
    for (size_t i = 0; i < names.size(); ++i) {
        const auto &it = explained->candidates[i];
        cr_expect_eq(it.obstacles.size(), 1U, "%zu", i);
        cr_expect(hasObstacle(it, names[i]), "%zu: %s", i, std::string(names[i]).c_str());
        cr_expect(names[i] == "full" || (!it.figures.run && !it.figures.prefill), "%zu", i);
    }
    cr_assert(explained->candidates[8].obstacles.empty());
    cr_assert(explained->candidates[9].obstacles.empty());
    cr_assert_eq(*explained->run, 8U);
    const std::string text = serving::renderExplanationText(*explained);
    for (const std::string_view name : names)
        cr_assert(text.find(" " + std::string(name) + " running=") != std::string::npos);
}

// Guards against refusals that are explained as placements, and against a route or key that is
// answered as if it were known.
Test(explain, refusals_are_those_that_the_request_would_get)
{
    Node node;
    const auto none = node.explain(Chat);
    cr_assert_eq(none->refusal->status, 503U);
    cr_assert_eq(none->refusal->retryAfter, 400ms);
    node.add(serving::Stage::Decode);
    cr_assert_not(node.explain(Chat)->refusal.has_value());
    cr_assert_eq(node.explain(Chat)->rank, 0U);
    auto query = Chat;
    query.host = "other";
    cr_assert_eq(node.explain(query).status().code(), absl::StatusCode::kNotFound);
    query = Chat;
    query.key = "key-c";
    cr_assert_eq(node.explain(query).status().code(), absl::StatusCode::kUnauthenticated);
    query.key = "key-a";
    query.tokens = "8000,24";
    const auto over = node.explain(query);
    cr_assert_eq(over->refusal->status, 429U);
    cr_assert_gt(over->refusal->retryAfter, 10s);
    cr_assert_eq(static_cast<int>(over->quota->tokens), 8'024);
    cr_assert(node.explain({"h", "/chat", "key-b", "", "", "", false})->run.has_value());
}

// Guards against side effects: of two gateways with the same requests, one explains many in
// between. The verdicts, levels, delays and draws have to stay equal.
Test(explain, quotas_and_draws_are_as_without_explanations)
{
    Node node(5);
    Node twin(5);
    auto query = Chat;
    query.key = "key-a";
    for (Node *it : {&node, &twin}) {
        it->add(serving::Stage::Decode);
        it->add(serving::Stage::Prefill);
    }
    serving::RequestMetadata request;
    request.maxOutputTokens = 500;
    int refused = 0;
    for (int i = 0; i < 12; ++i) {
        serving::TeamQuotas::Answer answers[2];
        const auto preview = node.quotas.preview(node.config.teams[0], request);
        for (int j = 0; j < 20; ++j)
            cr_assert(node.explain(query).ok());
        for (const size_t j : {0U, 1U}) {
            Node &it = j == 0 ? node : twin;
            it.quotas.admit(it.config.teams[0], request,
                            [&](const auto &answer) { answers[j] = answer; });
        }
        cr_assert_eq(answers[0].admitted, answers[1].admitted);
        cr_assert_eq(answers[0].admitted, preview->decision.verdict == policy::QuotaVerdict::Admit);
        cr_assert(node.random == twin.random);
        refused += answers[0].admitted ? 0 : 1;
        if (answers[0].admitted)
            continue;
        cr_assert_geq(answers[0].retryAfter + 100ms, preview->decision.retryIn);
        cr_assert_leq(answers[0].retryAfter, preview->decision.retryIn + preview->retrySpread);
    }
    cr_assert_geq(refused, 3);
    for (const auto &[id, endpoint] : node.endpoints.all()) {
        cr_assert_eq(endpoint->ownLoad.running, 0U);
        cr_assert_not(endpoint->hadRequests);
    }
    cr_assert_eq(node.scheduler.waitingCount(), 0U);
}

// Guards against a run that is placed by work left and explained by its share of slots, and against
// a request beyond an engine's memory that is explained as if it were sent.
Test(explain, work_left_and_the_memory_of_engines_are_explained)
{
    Node node;
    node.config.services["model"].engine.emplace().cacheTokens = 520'000;
    node.placement.predictsByPace = true;
    for (const uint32_t rest : {1'080U, 24U})
        node.add(serving::Stage::Decode).ownLoad = {40, 0, 40 * rest};
    const auto byWork = node.explain(Chat);
    cr_assert(byWork.ok() && !byWork->refusal && *byWork->run == 1U && byWork->runByWork);
    cr_assert(byWork->candidates[0].figures.work->workLeftTokens == 43'200);
    const std::string text = serving::renderExplanationText(*byWork);
    cr_assert_neq(text.find("work-left=960 "), std::string::npos);
    cr_assert_neq(text.find("shortest expected time to the end"), std::string::npos);
    serving::ExplainQuery large = Chat;
    large.tokens = "493990,24";
    node.placement.predictsByPace = false; // With contention alone, runs are placed as before.
    cr_assert_not(node.explain(large)->refusal.has_value());
    node.placement.avoidsUnreachable = true;
    const auto refused = node.explain(large);
    cr_assert(refused->refusal && refused->refusal->why == serving::TooLargeForEngines);
    cr_assert(refused->candidates[1].figures.run && !refused->candidates[1].figures.work);
    cr_assert_not(node.explain(Chat)->refusal.has_value());
}

// Guards against an explained engine that differs from the one which the scheduler assigns: random
// loads and queues, in both modes of prediction, with prompts that wait before this one.
Test(explain, the_explained_engine_is_the_one_that_the_scheduler_assigns)
{
    int assigned = 0;
    int waits = 0;
    for (uint64_t seed = 1; seed <= 2'000; ++seed) {
        Node node(seed);
        std::mt19937_64 draw(seed);
        node.placement.predictsByPace = seed % 2 == 0;
        for (size_t i = 2 + draw() % 6; i > 0; --i) {
            auto &it = node.add(i % 2 == 0 ? serving::Stage::Decode : serving::Stage::Prefill,
                                draw() % 2 == 0 ? "a" : "b");
            it.ownLoad.running = static_cast<uint32_t>(draw() % 40);
            it.ownLoad.backlogTokens = static_cast<uint32_t>(draw() % 9'000);
            it.slowness = 0.7 + static_cast<double>(draw() % 100) / 50;
            if (draw() % 6 == 0)
                it.pauseFor(core::BootClock::now(), 10s);
        }
        const auto metadata = platform::decodeExplainQuery(Chat);
        const auto chain = serving::prefixChain(*metadata);
        policy::WaitingPrompt prompt;
        prompt.routeName = "chat";
        prompt.info = serving::promptInfo(*metadata, chain);
        prompt.arrivedAt = core::BootClock::now();
        prompt.firstTokenDueAt = prompt.arrivedAt + 300ms;
        prompt.deadlineAt = prompt.arrivedAt + 2s;
        std::string real;
        const auto add = [&](bool isLast) {
            serving::PromptCallbacks callbacks;
            callbacks.onEngineAssigned = [&, isLast](const serving::PrefillPlan &plan) {
                plan.engine->ownLoad.running += 1;
                plan.engine->ownLoad.backlogTokens += plan.choice.uncachedTokens;
                if (isLast)
                    real = plan.engine->record.id;
            };
            callbacks.onNoUsableEngine = callbacks.onDeadlineUnreachable = []() {};
            node.scheduler.add("model", prompt, chain, std::move(callbacks));
        };
        for (size_t i = draw() % 6; i > 0; --i)
            add(false);
        const std::mt19937_64 before = node.random;
        // The route has one service, whose draw the scheduler does not repeat.
        const size_t waiting = node.scheduler.waitingCount();
        const auto explained = node.explain(Chat);
        cr_assert(node.random == before);
        cr_assert_eq(node.scheduler.waitingCount(), waiting);
        cr_assert_eq(explained->waiting, waiting);
        serving::pickWeightedService(node.config.routesByHost["h"][0], node.random);
        add(true);
        node.io.poll();
        const bool dispatched = explained->prefill && !explained->waits;
        cr_assert_eq(dispatched, !real.empty(), "seed %lu", seed);
        if (!dispatched) {
            ++waits;
            continue;
        }
        ++assigned;
        cr_assert_eq(explained->candidates[explained->prefill->index].id, real, "seed %lu", seed);
    }
    cr_assert_gt(assigned, 500);
    cr_assert_gt(waits, 500);
}

// Guards against answers to other machines, and against parameters that are dropped or altered on
// the way to the gateway.
Test(explain, queries_arrive_as_they_were_sent_and_only_from_this_machine)
{
    const serving::ExplainQuery sent{"h.x", "/a b/&c=%", "k+/=", "1,2", "3", "a1:4,b2:5", true};
    const auto got = serving::decodeExplainTarget(serving::encodeExplainTarget(sent));
    cr_assert(got.ok());
    cr_assert_eq(got->path, sent.path);
    cr_assert_eq(got->key, sent.key);
    cr_assert_eq(got->prefix, sent.prefix);
    cr_assert(got->json);
    for (const char *target : {"/explain?hosts=a", "/explain?host=a&host=b", "/explain?format=xml"})
        cr_assert_not(serving::decodeExplainTarget(target).ok(), "%s", target);
    const serving::ExplainQuery malformed[] = {
        {"", "/a", "", "", "", "", false},    {"h", "a", "", "", "", "", false},
        {"h", "/a", "", "12", "", "", false}, {"h", "/a", "", "1,-2", "", "", false},
        {"h", "/a", "", "", "x", "", false},  {"h", "/a", "", "", "", "zz:1", false},
        {"h", "/a", "", "", "", "a1", false}};
    for (const auto &query : malformed)
        cr_assert_not(platform::decodeExplainQuery(query).ok());
    const auto ip = [](const char *text) { return boost::asio::ip::make_address(text); };
    cr_assert(http::isLocalClient(ip("127.9.0.1"), ip("127.0.0.1")));
    cr_assert(http::isLocalClient(ip("10.0.0.7"), ip("10.0.0.7")));
    cr_assert_not(http::isLocalClient(ip("10.0.0.8"), ip("10.0.0.7")));
}
