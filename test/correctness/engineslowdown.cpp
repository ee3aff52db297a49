/** \file
 * Tests of the estimates of engine speed and prefill duration, and of the placement by them.
 */

#include "policy/engineslowdown.h"
#include "policy/placement.h"
#include "policy/promptqueue.h"
#include "policy/reportedpace.h"
#include "serving/endpointhealth.h"
#include "serving/gossip.h"
#include "serving/loadexchange.h"
#include "serving/promptscheduler.h"

#include <boost/asio/io_context.hpp>
#include <criterion/criterion.h>

#include <algorithm>
#include <cmath>
#include <limits>

using namespace jujube;
using namespace std::chrono_literals;

namespace {

const core::TimePoint Start{1h};

/** Gateways that send prompts to engines of their own speeds, each of which serves one prompt after
 * another, and that exchange their evidence once per second. */
struct Fleet
{
    struct Gateway
    {
        std::vector<policy::EngineSlowdown> slowdowns;
        policy::PrefillDurationEstimator duration;
    };

    Fleet(size_t gatewayCount, std::vector<double> tokensPerMs)
        : rates(std::move(tokensPerMs)), freeAt(rates.size(), Start), gateways(gatewayCount)
    {
        for (Gateway &it : gateways)
            it.slowdowns.resize(rates.size());
    }

    /** Sends a prompt of a random gateway to a random engine, unless it has no room. */
    void sendOne(core::TimePoint now)
    {
        Gateway &gateway = gateways[random() % gateways.size()];
        const size_t engine = random() % rates.size();
        const double tokens = 300 + static_cast<double>(random() % 8'000);
        const double waitMs =
            std::max(0.0, std::chrono::duration<double, std::milli>(freeAt[engine] - now).count());
        if (waitMs * rates[engine] > 6'000)
            return;
        const policy::PrefillWork work{tokens, waitMs * rates[engine], 0, false};
        std::lognormal_distribution<double> noise(0, 0.3);
        const double ownMs = 15 + tokens / rates[engine] * noise(random);
        const double taken = waitMs + ownMs;
        freeAt[engine] = now + std::chrono::microseconds(std::llround(taken * 1'000));
        const policy::PrefillDurationModel &model = gateway.duration.model();
        const double factor = gateway.slowdowns[engine].factor().value_or(1);
        const double predicted = model.predictMs(work, factor);
        ratios[engine].push_back(taken / predicted);
        policy::PrefillWork alone = work;
        alone.aheadTokens = 0;
        gateway.slowdowns[engine].note(taken - model.fixedPartMs(work), model.workMs(work),
                                       model.workMs(alone) / predicted, now);
        gateway.duration.note(work, taken, factor);
    }

    void exchange(core::TimePoint now)
    {
        for (size_t from = 0; from < gateways.size(); ++from) {
            for (size_t e = 0; e < rates.size(); ++e) {
                const auto evidence = gateways[from].slowdowns[e].own(now);
                for (size_t to = 0; evidence && to < gateways.size(); ++to) {
                    if (to != from)
                        gateways[to].slowdowns[e].merge(from, *evidence, now);
                }
            }
        }
        for (Gateway &it : gateways) {
            std::vector<policy::EngineSlowdown *> engines;
            for (policy::EngineSlowdown &engine : it.slowdowns)
                engines.push_back(&engine);
            policy::normalizeSlowdowns(engines, now);
        }
    }

    /** Runs for some seconds with a prompt every 10 ms, which is more than the engines can take. */
    core::TimePoint run(core::TimePoint from, std::chrono::seconds time)
    {
        ratios.assign(rates.size(), {});
        core::TimePoint now = from;
        for (int i = 0; i < time.count() * 100; ++i, now += 10ms) {
            sendOne(now);
            if (i % 100 == 0)
                exchange(now);
        }
        return now;
    }

    double quantileOf(size_t engine, double quantile)
    {
        std::vector<double> &of = ratios[engine];
        std::sort(of.begin(), of.end());
        return of[static_cast<size_t>(quantile * static_cast<double>(of.size() - 1))];
    }

    std::mt19937_64 random{7};
    std::vector<double> rates;
    std::vector<core::TimePoint> freeAt;
    std::vector<std::vector<double>> ratios;
    std::vector<Gateway> gateways;
};

policy::PlacementCandidate engine(std::string_view id)
{
    policy::PlacementCandidate it;
    it.id = id;
    it.slots = 64;
    it.isPrefillEngine = true;
    return it;
}

std::vector<policy::EngineSlowdown *> pointersTo(std::vector<policy::EngineSlowdown> &engines)
{
    std::vector<policy::EngineSlowdown *> pointers;
    pointers.reserve(engines.size());
    for (policy::EngineSlowdown &it : engines)
        pointers.push_back(&it);
    return pointers;
}

} // namespace

// Engines of two speeds under one queue, as at Archive: a prediction by the line of all engines is
// wrong by a factor of 1.7 at each.
Test(engineslowdown, prefills_are_predicted_on_engines_of_two_speeds)
{
    Fleet fleet(10, {20, 20, 22, 55, 55, 50, 55, 20});
    core::TimePoint now = fleet.run(Start, 60s);
    fleet.run(now, 60s);
    for (size_t e = 0; e < fleet.rates.size(); ++e) {
        cr_assert_geq(fleet.quantileOf(e, 0.5), 0.8, "engine %zu: %f", e, fleet.quantileOf(e, 0.5));
        cr_assert_leq(fleet.quantileOf(e, 0.5), 1.25, "engine %zu: %f", e,
                      fleet.quantileOf(e, 0.5));
        cr_assert_lt(fleet.quantileOf(e, 0.9), 2, "engine %zu: %f", e, fleet.quantileOf(e, 0.9));
    }
}

// An engine that becomes slow for good, or a slow engine that is replaced by a fast machine under
// load, is known within a few half-lives at every gateway, also at those that seldom use it.
Test(engineslowdown, a_change_of_speed_is_followed)
{
    Fleet fleet(10, {40, 40, 40, 40});
    const core::TimePoint now = fleet.run(Start, 30s);
    fleet.rates[2] = 15;
    fleet.run(now, 30s);
    for (const auto &gateway : fleet.gateways) {
        cr_assert_gt(*gateway.slowdowns[2].factor(), 1.6);
        cr_assert_lt(*gateway.slowdowns[1].factor(), 1);
    }
}

// A new engine is neither avoided nor preferred, and old evidence is forgotten.
Test(engineslowdown, an_engine_without_recent_evidence_counts_as_usual)
{
    std::vector<policy::EngineSlowdown> engines(2);
    for (int i = 0; i < 10; ++i)
        engines[0].note(400, 100, 1, Start);
    policy::normalizeSlowdowns(pointersTo(engines), Start);
    cr_assert(engines[0].factor());
    cr_assert_not(engines[1].factor());
    policy::normalizeSlowdowns(pointersTo(engines), Start + 60s);
    cr_assert_not(engines[0].factor());
    cr_assert_not(engines[0].own(Start + 60s));
}

// Absurd and contradictory evidence of peers: the factor stays within its limits, and one gateway
// does not outvote the others by a huge weight.
Test(engineslowdown, absurd_evidence_is_limited)
{
    std::vector<policy::EngineSlowdown> engines(3);
    constexpr double infinity = std::numeric_limits<double>::infinity();
    engines[0].merge(1, {std::nan(""), 5}, Start);
    engines[0].merge(1, {infinity, 5}, Start);
    engines[0].merge(1, {1, std::nan("")}, Start);
    engines[0].merge(1, {1, -3}, Start);
    engines[0].note(infinity, 0, 1, Start);
    engines[0].note(-1, 100, 1, Start);
    cr_assert_eq(engines[0].merged(Start).weight, 0);
    for (uint64_t gateway = 0; gateway < 20; ++gateway) {
        for (policy::EngineSlowdown &it : engines)
            it.merge(gateway, {0, 10}, Start);
    }
    engines[0].merge(99, {-1e30, 1e30}, Start);
    engines[1].merge(99, {1e30, 1e30}, Start);
    policy::normalizeSlowdowns(pointersTo(engines), Start);
    cr_assert_gt(*engines[0].factor(), 0.75);
    cr_assert_lt(*engines[1].factor(), 1.33);
    for (uint64_t gateway = 100; gateway < 1'000; ++gateway)
        engines[0].merge(gateway, {-1e30, 1e30}, Start);
    policy::normalizeSlowdowns(pointersTo(engines), Start);
    cr_assert_geq(*engines[0].factor(), 0.2);
    cr_assert_leq(*engines[1].factor(), 5);
}

// Two gateways with different lines agree on the engines: the factor between their lines is not
// taken for the speed of the engines that only one of them uses more.
Test(engineslowdown, the_speeds_of_a_service_have_a_geometric_mean_of_one)
{
    std::vector<policy::EngineSlowdown> engines(4);
    for (int i = 0; i < 4; ++i) {
        engines[i].merge(1, {0.5 + (i < 2 ? 0.4 : -0.4), 20}, Start);
        engines[i].merge(2, {-0.3 + (i < 2 ? 0.4 : -0.4), 20}, Start);
    }
    policy::normalizeSlowdowns(pointersTo(engines), Start);
    double product = 1;
    for (const policy::EngineSlowdown &it : engines)
        product *= *it.factor();
    cr_assert_float_eq(product, 1, 0.01);
    cr_assert_float_eq(*engines[0].factor(), std::exp(0.4), 0.05);
}

// A neighbour's burst of 300 ms on one VM: the engine gets less work while the reports are fresh,
// and its usual share again as soon as they are stale.
Test(reportedpace, a_burst_counts_only_while_its_report_is_fresh)
{
    policy::ReportedPace pace;
    for (int i = 0; i < 100; ++i)
        pace.note(100, Start + i * 100ms);
    const core::TimePoint burst = Start + 10s;
    pace.note(300, burst);
    cr_assert_float_eq(pace.factor(burst), 3, 0.01);
    cr_assert_float_eq(pace.factor(burst + 200ms), 2, 0.1);
    cr_assert_float_eq(pace.factor(burst + 400ms), 1, 0.1);
    pace.note(100, burst + 300ms);
    pace.note(900, burst + 200ms); // Older than the last.
    cr_assert_float_eq(pace.factor(burst + 300ms), 1, 0.1);
}

// An engine whose pace is always high is not taken for a fast one between two reports, and absurd
// paces are limited.
Test(reportedpace, stale_reports_fall_back_to_the_usual_pace)
{
    policy::ReportedPace pace;
    cr_assert_eq(pace.factor(Start), 1);
    for (int i = 0; i < 600; ++i)
        pace.note(200, Start + i * 100ms);
    cr_assert_float_eq(pace.factor(Start + 61s), 2, 0.1);
    // It is a property of the machine and fades with a half-life of minutes only.
    cr_assert_geq(pace.factor(Start + 200s), 1.5);
    cr_assert_float_eq(pace.factor(Start + 2h), 1, 0.01);
    pace.note(1'000'000, Start + 300s);
    cr_assert_leq(pace.factor(Start + 300s), 4);
    pace.note(1, Start + 301s);
    cr_assert_geq(pace.factor(Start + 301s), 0.25);
    pace.note(0, Start + 302s);
    cr_assert_float_eq(pace.factor(Start + 301s), 0.25, 0.01);
}

// Gateways that decide on the same figures at the same moment must not all choose the same engine
// while others are as good within a few percent.
Test(placement, gateways_with_equal_figures_spread_over_similar_engines)
{
    std::vector engines{engine("a"), engine("b"), engine("c")};
    engines[0].slowdown = 1;
    engines[1].slowdown = 1.01;
    engines[2].slowdown = 1.02;
    std::vector<int> chosen(engines.size());
    for (uint32_t seed = 0; seed < 60; ++seed) {
        std::mt19937_64 random(seed);
        ++chosen[policy::choosePrefillEngine(engines, {8'000, 0, 0}, {}, random)->index];
    }
    cr_assert_lt(*std::max_element(chosen.begin(), chosen.end()), 50);
    cr_assert_gt(chosen[2], 0);
}

// Engines of two speeds under one queue: the slow one gets a share of the work, neither none nor as
// much as the fast one. Also by wrong figures at the limits.
Test(placement, work_is_spread_by_the_speed_of_engines)
{
    for (const double slowdown : {2.5, 5.0}) {
        std::vector engines{engine("slow"), engine("fast")};
        engines[0].slowdown = slowdown;
        engines[1].slowdown = 1 / slowdown;
        std::mt19937_64 random(1);
        std::vector<int> chosen(engines.size());
        for (int i = 0; i < 200; ++i) {
            const auto choice = policy::choosePrefillEngine(engines, {2'000, 0, 0}, {}, random);
            ++chosen[choice->index];
            engines[choice->index].backlogTokens += 2'000;
        }
        cr_assert_gt(chosen[0], 0);
        cr_assert_gt(chosen[1], 3 * chosen[0]);
    }
}

// A wrong slowdown lets an engine hold at most twice the usual backlog and at least half of it.
Test(promptqueue, the_room_of_an_engine_is_limited_whatever_its_slowdown)
{
    for (const double slowdown : {1e-9, 0.2, 1.0, 5.0, 1e9}) {
        policy::PromptQueue queue({});
        policy::WaitingPrompt prompt;
        prompt.id = 1;
        prompt.info.tokens = 1'000;
        prompt.firstTokenDueAt = prompt.deadlineAt = Start + 60s;
        queue.add(prompt);
        std::vector engines{engine("a")};
        engines[0].slowdown = slowdown;
        const auto cached = [](const policy::WaitingPrompt &) { return std::vector<uint32_t>{0}; };
        std::mt19937_64 random(1);
        engines[0].backlogTokens = 12'100;
        cr_assert_not(queue.takeNext(engines, cached, {}, Start, random));
        engines[0].backlogTokens = 2'900;
        cr_assert(queue.takeNext(engines, cached, {}, Start, random));
    }
}

// Engines of two speeds under one queue: while all long prompts prefer the fast engines, which have
// no room, the slow ones would be idle. They take a prompt once it would wait longer otherwise.
Test(promptqueue, slow_engines_are_used_while_fast_ones_are_full)
{
    std::vector engines{engine("slow"), engine("fast")};
    engines[0].slowdown = 1.7;
    engines[1].slowdown = 0.7;
    engines[1].backlogTokens = 9'000;
    const auto cached = [](const policy::WaitingPrompt &) { return std::vector<uint32_t>{0, 0}; };
    policy::PlacementSettings placement;
    placement.prefill.tokensPerMs = 35;
    std::mt19937_64 random(1);
    for (const uint32_t gateways : {1U, 40U}) {
        placement.gateways = gateways;
        policy::PromptQueue queue({});
        policy::WaitingPrompt prompt;
        prompt.info.tokens = 12'000;
        prompt.firstTokenDueAt = prompt.deadlineAt = Start + 60s;
        prompt.id = 1;
        queue.add(prompt);
        const auto dispatch = queue.takeNext(engines, cached, placement, Start, random);
        cr_assert_eq(dispatch.has_value(), gateways > 1);
        cr_assert(!dispatch || dispatch->choice.index == 0);
    }
}

// The line is fitted to prefills alone, and one in twenty that takes 20 times as long does not
// change it.
Test(prefillduration, the_fit_resists_very_slow_prefills)
{
    policy::PrefillDurationEstimator estimator;
    std::mt19937_64 random(3);
    for (int i = 0; i < 3'000; ++i) {
        const double tokens = 300 + static_cast<double>(random() % 9'000);
        const double ahead = i % 3 == 0 ? static_cast<double>(random() % 6'000) : 0;
        const double ms = 12 + (tokens + 0.5 * ahead) / 40;
        estimator.note({tokens, ahead, 4, false}, i % 20 == 0 ? 20 * ms : ms);
    }
    for (const double tokens : {1'000.0, 4'000.0, 9'000.0}) {
        const double taken = 12 + (tokens + 1'500) / 40;
        cr_assert_float_eq(estimator.model().predictMs({tokens, 3'000, 4, false}) / taken, 1, 0.15);
    }
}

// A gateway must use the freshest of the reports that it and its peers have received, and pass on
// only its own: reports that go round would never become stale.
Test(loadreports, the_freshest_report_counts_and_only_own_ones_are_shared)
{
    serving::EndpointRecord record;
    record.id = "a";
    serving::Endpoint endpoint(record, 1'000);
    endpoint.noteReport({2, 0, 300, 20ms}, Start, false);
    cr_assert_not(endpoint.reportToShare(Start));
    cr_assert_gt(serving::placementViewOf(endpoint, {}, Start).pace, 2.8);
    serving::AnswerMetadata answer;
    answer.load = serving::EndpointLoad{2, 0, 8, 50};
    serving::applyAnswerNotices(endpoint, answer, Start + 50ms);
    endpoint.noteReport({2, 0, 400, 60ms}, Start + 60ms, false); // Older.
    cr_assert_lt(serving::placementViewOf(endpoint, {}, Start + 50ms).pace, 0.6);
    const auto shared = endpoint.reportToShare(Start + 150ms);
    cr_assert(shared);
    cr_assert_eq(shared->pacePercent, 50U);
    cr_assert_eq(shared->age.count(), 100);
    cr_assert_not(endpoint.reportToShare(Start + 450ms));
    // Without a pace, only requests of other clients are news.
    answer.load = serving::EndpointLoad{2, 1, 8, {}};
    endpoint.ownLoad.running = 3;
    serving::applyAnswerNotices(endpoint, answer, Start + 500ms);
    cr_assert_not(endpoint.reportToShare(Start + 500ms));
    endpoint.ownLoad.running = 1;
    cr_assert(endpoint.reportToShare(Start + 500ms));
}

// Prompts are refused by the expected wait: with fast engines it is shorter, with slow ones longer.
Test(promptscheduler, the_expected_wait_follows_the_speed_of_the_engines)
{
    boost::asio::io_context io;
    serving::EndpointTable endpoints;
    for (const char *id : {"a", "b"}) {
        serving::EndpointRecord record;
        record.id = id;
        record.service = "model";
        record.stage = serving::Stage::Prefill;
        record.version.revision = 1;
        endpoints.update(record, 1'000);
        endpoints.find(id)->ownLoad.backlogTokens = 60'000;
    }
    const policy::PlacementSettings placement;
    std::mt19937_64 random(1);
    serving::PromptScheduler scheduler(io, endpoints, placement, random, []() { return 1U; });
    policy::WaitingPrompt prompt;
    prompt.info.tokens = 60'000;
    prompt.firstTokenDueAt = prompt.deadlineAt = core::BootClock::now() + 60s;
    scheduler.add("model", prompt, {}, {});
    const double usual = static_cast<double>(scheduler.expectedWait("model", prompt).count());
    for (int i = 0; i < 50; ++i) {
        endpoints.find("a")->slowdown.note(400, 100, 1, Start);
        endpoints.find("b")->slowdown.note(25, 100, 1, Start);
    }
    endpoints.updateSlowdowns(Start);
    // Engines of speeds 1/4 and 4 have 2.1 times the rate of two usual ones.
    cr_assert_float_eq(scheduler.expectedWait("model", prompt).count() / usual, 0.48, 0.05);
}

// Without this, the hub would pass on reports that are older than those that other gateways have.
Test(loadexchange, the_freshest_report_of_an_endpoint_is_forwarded)
{
    const auto report = [](const std::string &name, uint32_t pace, core::Milliseconds age) {
        serving::GossipMessage gossip;
        gossip.kind = serving::GossipKind::Load;
        gossip.name = name;
        gossip.run = gossip.sequence = 1;
        gossip.shares.push_back({17, {}, false, false, false, {{3, 2, pace, age}}});
        return gossip;
    };
    serving::LoadAggregator loads;
    loads.apply(report("a", 250, 10ms), Start);
    loads.apply(report("b", 90, 200ms), Start + 5ms);
    loads.prune(Start + 50ms);
    const auto shares = loads.loadExcept("c");
    cr_assert_eq(shares.size(), 1U);
    cr_assert_eq(shares.front().report->pacePercent, 250U);
    cr_assert_eq(shares.front().report->age.count(), 60);
    loads.prune(Start + 600ms);
    cr_assert(loads.loadExcept("c").empty());
}

// Guards against figures that are lost or cut off on the wire.
Test(news, speeds_and_reports_are_encoded)
{
    serving::GossipMessage gossip;
    gossip.engineSpeeds.push_back({17, {-0.25, 12.5}});
    gossip.shares.push_back({17, {3, 100}, false, false, false, {{5, 70'000, 350, 120ms}}});
    gossip.shares.push_back({18, {3, 100}});
    const auto back = serving::decodeGossip(serving::encodeGossip(gossip));
    cr_assert(back.ok());
    cr_assert_eq(back->engineSpeeds.front().endpoint, 17U);
    cr_assert_float_eq(back->engineSpeeds.front().evidence.meanLogRatio, -0.25, 1e-6);
    cr_assert_float_eq(back->engineSpeeds.front().evidence.weight, 12.5, 1e-6);
    cr_assert_eq(back->shares[0].report->running, 5U);
    cr_assert_eq(back->shares[0].report->waiting, 65'535U);
    cr_assert_eq(back->shares[0].report->pacePercent, 350U);
    cr_assert_eq(back->shares[0].report->age.count(), 120);
    cr_assert_not(back->shares[1].report);
}
