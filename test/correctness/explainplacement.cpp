/** \file
 * Tests that explained placements are those that requests get.
 */

#include "policy/explainplacement.h"

#include <criterion/criterion.h>

#include <limits>

using namespace jujube;

namespace {

/** A random service: engines of both stages, loaded and slow to different degrees. */
struct RandomCase
{
    explicit RandomCase(uint64_t seed) : random(seed)
    {
        candidates.resize(1 + random() % 12);
        for (size_t i = 0; i < candidates.size(); ++i) {
            policy::PlacementCandidate &it = candidates[i];
            ids.push_back(std::make_unique<std::string>("e" + std::to_string(i)));
            it.id = *ids.back();
            it.domain = random() % 2 == 0 ? "a" : "b";
            it.slots = 64;
            it.running = static_cast<double>(random() % 70);
            it.remainingTokens = random() % 4 == 0 ? 0 : it.running * uniform(20, 1'000);
            it.reported = random() % 4 == 0 ? static_cast<double>(random() % 70) : 0;
            it.reportsWaiting = random() % 8 == 0;
            it.backlogTokens = static_cast<double>(random() % 8'000);
            it.cachedTokens = random() % 3 == 0 ? 0 : static_cast<uint32_t>(random() % 6'000);
            it.slowness = uniform(0.7, 3);
            if (random() % 2 == 0)
                it.slowdown = uniform(0.2, 9);
            it.pace = uniform(0.5, 3);
            it.usualPace = random() % 2 == 0 ? 1 : uniform(0.5, 2);
            it.isPrefillEngine = random() % 2 == 0;
            // Nearly equal engines, among which the random part decides.
            if (i > 0 && random() % 3 == 0) {
                const std::string_view id = it.id;
                it = candidates[i - 1];
                it.id = id;
            }
            it.usable = random() % 5 != 0;
        }
        settings.predictsByPace = random() % 2 == 0;
        settings.domain = "a";
        settings.gateways = 1 + random() % 20;
        prompt = {static_cast<uint32_t>(random() % 9'000), random() % 3 == 0 ? 0 : random(),
                  random() % 2 == 0 ? 0 : static_cast<uint32_t>(random() % 6'000),
                  static_cast<uint32_t>(random() % 10)};
    }

    double uniform(double least, double most)
    {
        return std::uniform_real_distribution<double>(least, most)(random);
    }

    std::mt19937_64 random;
    std::vector<std::unique_ptr<std::string>> ids;
    std::vector<policy::PlacementCandidate> candidates;
    policy::PlacementSettings settings;
    policy::PromptInfo prompt;
};

} // namespace

// Guards against an explanation whose figures or choice differ from those of the real choice, in
// both modes of prediction, and against one that draws from the generator of the gateway: the
// lowest explained score, with the random parts of the real choice, has to be the real choice.
Test(explainplacement, figures_and_choices_are_those_of_real_requests)
{
    int prefills = 0;
    int drawn = 0;
    for (uint64_t seed = 1; seed <= 5'000; ++seed) {
        RandomCase it(seed);
        const std::mt19937_64 before = it.random;
        const auto explained = policy::explainPlacement(
            it.candidates, {it.prompt, true, std::nullopt}, it.settings, it.random);
        cr_assert(it.random == before);
        std::mt19937_64 draws = it.random;
        const auto real =
            policy::choosePrefillEngine(it.candidates, it.prompt, it.settings, it.random);
        cr_assert_eq(explained.prefill.has_value(), real.has_value());
        std::optional<size_t> lowest;
        double best = std::numeric_limits<double>::max();
        size_t possible = 0;
        for (size_t i = 0; i < it.candidates.size(); ++i) {
            const auto &figures = explained.candidates[i];
            possible += figures.mayPrefill ? 1 : 0;
            if (!figures.prefill)
                continue;
            const double score = figures.prefill->ms()
                + figures.prefill->spread * std::uniform_real_distribution<double>(0, 1)(draws);
            if (score < best) {
                best = score;
                lowest = i;
            }
        }
        cr_assert(draws == it.random);
        if (!real) {
            cr_assert_not(lowest.has_value());
            continue;
        }
        ++prefills;
        drawn += possible > 1 ? 1 : 0;
        const auto &chosen = explained.candidates[real->index];
        cr_assert_eq(explained.prefill->index, real->index);
        cr_assert(lowest == real->index);
        cr_assert(chosen.mayPrefill);
        cr_assert_eq(chosen.prefill->expectedTokens, real->expectedTokens);
        cr_assert_eq(chosen.prefill->fetch, real->fetch);
        cr_assert_eq(static_cast<int64_t>(chosen.prefill->ms()), real->predictedFirstToken.count());
    }
    cr_assert_gt(prefills, 4'000);
    cr_assert_gt(drawn, 500);
}

// Guards against an explained run at an engine that a run would not go to: prefill engines, or
// another engine than the one that prefills and decodes.
Test(explainplacement, the_explained_run_is_the_one_that_is_chosen)
{
    int runs = 0;
    for (uint64_t seed = 1; seed <= 5'000; ++seed) {
        RandomCase it(seed);
        const auto explained = policy::explainPlacement(
            it.candidates, {it.prompt, false, std::nullopt}, it.settings, it.random);
        cr_assert_not(explained.prefill.has_value());
        std::vector<policy::PlacementCandidate> decoders;
        std::vector<size_t> indices;
        for (size_t i = 0; i < it.candidates.size(); ++i) {
            if (it.candidates[i].isPrefillEngine)
                continue;
            decoders.push_back(it.candidates[i]);
            indices.push_back(i);
        }
        const auto real =
            policy::chooseLeastLoadedEndpoint(decoders, it.settings.domain, it.settings, it.random);
        cr_assert_eq(explained.run.has_value(), real.has_value());
        if (!real)
            continue;
        ++runs;
        cr_assert_eq(*explained.run, indices[*real]);
        cr_assert(explained.candidates[*explained.run].mayRun);
        RandomCase again(seed);
        const auto whole = policy::explainPlacement(
            again.candidates, {again.prompt, true, std::nullopt}, again.settings, again.random);
        if (whole.prefill && !again.candidates[whole.prefill->index].isPrefillEngine)
            cr_assert_eq(*whole.run, whole.prefill->index);
    }
    cr_assert_gt(runs, 3'000);
}

// Guards against figures of a run that differ from those of the choice by work left, and against
// an explanation by that rule where the other one decides. The lowest explained score with the
// random parts of the real choice, among the engines with the best room, has to be the real choice.
Test(explainplacement, runs_placed_by_work_left_are_explained_by_it)
{
    int byWork = 0;
    int allFull = 0;
    int drawn = 0;
    for (uint64_t seed = 1; seed <= 5'000; ++seed) {
        RandomCase it(seed);
        std::erase_if(it.candidates, [](const auto &each) { return each.isPrefillEngine; });
        policy::PlacementQuery query{it.prompt, false, std::nullopt, it.uniform(20, 900)};
        for (int i = 0; i < 50; ++i)
            query.steps.note(10.0 + i, 20 + it.uniform(0, 1) * i, false);
        const auto explained =
            policy::explainPlacement(it.candidates, query, it.settings, it.random);
        std::mt19937_64 draws = it.random;
        const auto real =
            policy::chooseRunner(it.candidates, query.outputTokens, it.settings.domain, query.steps,
                                 it.settings, it.random);
        cr_assert(explained.run == real.index);
        if (!real.index)
            continue;
        const auto &chosen = explained.candidates[*real.index];
        cr_assert(chosen.mayRun);
        cr_assert_eq(chosen.work.has_value(), it.settings.predictsByPace);
        cr_assert_neq(chosen.run.has_value(), explained.runByWork);
        if (chosen.work) {
            cr_assert_eq(static_cast<int64_t>(chosen.work->finishMs), real.expectedTime.count());
            cr_assert_eq(chosen.work->workLeftTokens, real.workLeftTokens);
            allFull += explained.runByWork ? 0 : 1;
        }
        if (!explained.runByWork)
            continue;
        ++byWork;
        std::optional<size_t> lowest;
        double best = std::numeric_limits<double>::max();
        size_t possible = 0;
        for (size_t i = 0; i < it.candidates.size(); ++i) {
            const auto &figures = explained.candidates[i];
            possible += figures.mayRun ? 1 : 0;
            if (!figures.work)
                continue;
            cr_assert(figures.work->room >= chosen.work->room);
            const double score = figures.work->ms
                + figures.work->spread * std::uniform_real_distribution<double>(0, 1)(draws);
            if (figures.work->room == chosen.work->room && score < best) {
                best = score;
                lowest = i;
            }
        }
        cr_assert(draws == it.random);
        cr_assert(lowest == real.index);
        drawn += possible > 1 ? 1 : 0;
    }
    cr_assert_gt(byWork, 1'500);
    cr_assert_gt(drawn, 100);
    cr_assert_gt(allFull, 50);
}
