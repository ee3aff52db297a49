#include "policy/explainplacement.h"

#include <algorithm>
#include <limits>

namespace jujube::policy {

namespace {

// Lowest score that some candidate reaches with the largest value of its random part. Only
// candidates whose score without the random part is below may be chosen.
class ScoreBound
{
public:
    void note(double score, double spread) { m_bound = std::min(m_bound, score + spread); }
    bool admits(double score) const { return score < m_bound; }

private:
    double m_bound = std::numeric_limits<double>::max();
};

void explainPrefill(PlacementExplanation &explanation,
                    const std::vector<PlacementCandidate> &candidates, const PlacementQuery &query,
                    const PlacementSettings &settings, std::mt19937_64 &random)
{
    const auto preferred = preferredEngine(candidates, query.prompt);
    ScoreBound bound;
    for (size_t i = 0; i < candidates.size(); ++i) {
        CandidateFigures &figures = explanation.candidates[i];
        figures.isPreferred = preferred == i;
        if (!mayPrefill(candidates[i], settings))
            continue;
        figures.prefill = scorePrefill(candidates[i], query.prompt, figures.isPreferred, settings);
        bound.note(figures.prefill->ms(), figures.prefill->spread);
    }
    for (CandidateFigures &it : explanation.candidates)
        it.mayPrefill = it.prefill && bound.admits(it.prefill->ms());
    explanation.prefill = query.prefill
        ? query.prefill
        : choosePrefillEngine(candidates, query.prompt, settings, random);
}

void explainShares(PlacementExplanation &explanation,
                   const std::vector<PlacementCandidate> &candidates, std::string_view domain,
                   const PlacementSettings &settings)
{
    ScoreBound bound;
    for (size_t i = 0; i < candidates.size(); ++i) {
        if (!candidates[i].usable)
            continue;
        const RunScore score = scoreRun(candidates[i], domain, settings);
        explanation.candidates[i].run = score;
        bound.note(score.share, score.spread);
    }
    for (CandidateFigures &it : explanation.candidates)
        it.mayRun = it.run && bound.admits(it.run->share);
}

void explainWork(PlacementExplanation &explanation,
                 const std::vector<PlacementCandidate> &candidates, std::string_view domain,
                 const PlacementQuery &query, const PlacementSettings &settings)
{
    const double usualRemaining = usualRemainingTokens(candidates, query.outputTokens);
    RunRoom best = RunRoom::NoFreeSlot;
    for (size_t i = 0; i < candidates.size(); ++i) {
        if (!candidates[i].usable)
            continue;
        const WorkScore score = scoreRunByWork(candidates[i], query.outputTokens, usualRemaining,
                                               domain, query.steps, settings);
        explanation.candidates[i].work = score;
        best = std::min(best, score.room);
    }
    explanation.runByWork = best != RunRoom::NoFreeSlot;
    ScoreBound bound;
    for (const CandidateFigures &it : explanation.candidates) {
        if (it.work && it.work->room == best)
            bound.note(it.work->ms, it.work->spread);
    }
    for (CandidateFigures &it : explanation.candidates)
        it.mayRun = it.work && it.work->room == best && bound.admits(it.work->ms);
}

void explainRun(PlacementExplanation &explanation, std::vector<PlacementCandidate> candidates,
                const PlacementQuery &query, const PlacementSettings &settings,
                std::mt19937_64 &random)
{
    const std::string domain(explanation.prefill ? candidates[explanation.prefill->index].domain
                                                 : std::string_view(settings.domain));
    // A session considers decode engines only, also for the usual work left of a stream.
    for (PlacementCandidate &it : candidates)
        it.usable = it.usable && !it.isPrefillEngine;
    const bool byWork = settings.predictsByPace && query.outputTokens > 0;
    if (byWork)
        explainWork(explanation, candidates, domain, query, settings);
    if (!explanation.runByWork)
        explainShares(explanation, candidates, domain, settings);
    if (explanation.prefill && !candidates[explanation.prefill->index].isPrefillEngine)
        explanation.run = explanation.prefill->index;
    else if (byWork)
        explanation.run =
            chooseRunner(candidates, query.outputTokens, domain, query.steps, settings, random)
                .index;
    else
        explanation.run = chooseLeastLoadedEndpoint(candidates, domain, settings, random);
}

} // namespace

PlacementExplanation explainPlacement(const std::vector<PlacementCandidate> &candidates,
                                      const PlacementQuery &query,
                                      const PlacementSettings &settings, std::mt19937_64 random)
{
    PlacementExplanation explanation;
    explanation.candidates.resize(candidates.size());
    if (query.needsPrefill)
        explainPrefill(explanation, candidates, query, settings, random);
    explainRun(explanation, candidates, query, settings, random);
    return explanation;
}

} // namespace jujube::policy
