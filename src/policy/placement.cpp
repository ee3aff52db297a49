#include "policy/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <xxhash.h>

namespace jujube::policy {

namespace {

core::Milliseconds wholeMs(double ms)
{
    return core::Milliseconds(static_cast<int64_t>(ms));
}

// Rendezvous hashing: all gateways rank the engines alike, and the loss of an engine moves only the
// prefixes that prefer it.
std::optional<size_t> engineOfPrefix(const std::vector<PlacementCandidate> &engines,
                                     uint64_t prefixHash)
{
    std::optional<size_t> preferred;
    uint64_t best = 0;
    for (size_t i = 0; i < engines.size(); ++i) {
        if (!engines[i].usable || !engines[i].isPrefillEngine)
            continue;
        const uint64_t score =
            XXH3_64bits_withSeed(engines[i].id.data(), engines[i].id.size(), prefixHash);
        if (!preferred || score > best) {
            preferred = i;
            best = score;
        }
    }
    return preferred;
}

// Load and speed figures are not recent enough to tell smaller differences, and gateways that
// decide on the same figures should not all choose the same engine.
constexpr double PrefillTieShare = 0.05;
// The largest slowdown and the highest pace at once are more likely to be wrong than true.
constexpr double MinPrefillFactor = 0.15;
constexpr double MaxPrefillFactor = 8;

// Sets the times to the first token at one engine.
void predictTimes(PrefillScore &times, const PlacementCandidate &engine, const PromptInfo &prompt,
                  const PlacementSettings &settings)
{
    const double tokens = times.expectedTokens;
    const bool fetch = times.fetch;
    if (!settings.predictsByPace) {
        const PrefillTimeModel &model =
            engine.isPrefillEngine ? settings.disaggregatedPrefill : settings.colocatedPrefill;
        times.prefillMs = (engine.backlogTokens + tokens) * engine.slowness / model.tokensPerMs;
        times.restMs = model.fixedMs + (fetch ? settings.prefixFetchMs : 0);
        return;
    }
    if (engine.isPrefillEngine) {
        times.prefillMs = settings.prefill.predictMs(
            {tokens, engine.backlogTokens, prompt.priority, fetch}, prefillFactor(engine));
        times.restMs = settings.handOver.fixedMs + prompt.tokens / settings.handOver.tokensPerMs;
        return;
    }
    // The smoothed slowness contains the usual pace already.
    const PrefillTimeModel &model = settings.colocatedPrefill;
    times.prefillMs = (engine.backlogTokens + tokens) / model.tokensPerMs * engine.slowness
        * engine.pace / engine.usualPace;
    times.restMs = model.fixedMs + (fetch ? settings.prefixFetchMs : 0);
}

} // namespace

// The smoothed slowness of an engine that prefills its own prompts contains its usual pace.
double runFactor(const PlacementCandidate &endpoint)
{
    return endpoint.usualPace == 1 ? endpoint.slowness * endpoint.pace : endpoint.pace;
}

double prefillFactor(const PlacementCandidate &engine)
{
    return std::clamp(engine.slowdown.value_or(1) * engine.pace, MinPrefillFactor,
                      MaxPrefillFactor);
}

std::optional<size_t> preferredEngine(const std::vector<PlacementCandidate> &engines,
                                      const PromptInfo &prompt)
{
    // The preferred engine matters only for the first prefill of a prefix; afterwards it can be
    // fetched from the endpoints that hold it.
    const bool uncachedPrefix = prompt.prefixHash != 0 && prompt.fetchableTokens == 0;
    return uncachedPrefix ? engineOfPrefix(engines, prompt.prefixHash) : std::nullopt;
}

bool mayPrefill(const PlacementCandidate &engine, const PlacementSettings &settings)
{
    return engine.usable
        && (engine.isPrefillEngine || engine.running < engine.slots * settings.maxColocatedSlotUse);
}

PrefillScore scorePrefill(const PlacementCandidate &engine, const PromptInfo &prompt,
                          bool isPreferred, const PlacementSettings &settings)
{
    PrefillScore score;
    score.fetch = prompt.fetchableTokens > engine.cachedTokens + settings.minFetchTokens;
    const uint32_t reusableTokens = score.fetch ? prompt.fetchableTokens : engine.cachedTokens;
    score.missingTokens = prompt.tokens - std::min(reusableTokens, prompt.tokens);
    score.expectedTokens = isPreferred
        ? std::min(score.missingTokens, prompt.tokens * (1 - settings.preferredCachedShare))
        : score.missingTokens;
    score.crossDomainMs = engine.domain == settings.domain ? 0 : settings.crossDomainPrefillMs;
    predictTimes(score, engine, prompt, settings);
    score.spread = settings.predictsByPace ? score.prefillMs * PrefillTieShare : 1;
    return score;
}

RunScore scoreRun(const PlacementCandidate &endpoint, std::string_view domain,
                  const PlacementSettings &settings)
{
    // Load figures are not recent enough to tell smaller differences.
    constexpr double tieShare = 0.02;
    RunScore score{0, tieShare};
    score.share = (endpoint.running + 1) * runFactor(endpoint) / std::max(1U, endpoint.slots);
    if (endpoint.domain != domain)
        score.share += settings.crossDomainSlotPenalty;
    return score;
}

std::optional<PrefillChoice> choosePrefillEngine(const std::vector<PlacementCandidate> &engines,
                                                 const PromptInfo &prompt,
                                                 const PlacementSettings &settings,
                                                 std::mt19937_64 &random)
{
    const auto preferred = preferredEngine(engines, prompt);
    std::optional<PrefillChoice> choice;
    double best = std::numeric_limits<double>::max();
    std::uniform_real_distribution<double> tie(0, 1);
    for (size_t i = 0; i < engines.size(); ++i) {
        const PlacementCandidate &engine = engines[i];
        if (!mayPrefill(engine, settings))
            continue;
        const PrefillScore figures = scorePrefill(engine, prompt, preferred == i, settings);
        const double ms = figures.ms();
        const double score = ms + figures.spread * tie(random);
        if (score < best) {
            best = score;
            choice.emplace();
            choice->index = i;
            choice->uncachedTokens = static_cast<uint32_t>(figures.missingTokens);
            choice->expectedTokens = figures.expectedTokens;
            choice->fetch = figures.fetch;
            choice->predictedFirstToken = wholeMs(ms);
            choice->predictedPrefill = wholeMs(settings.predictsByPace ? figures.prefillMs : ms);
            choice->byPace = settings.predictsByPace;
            choice->slowdown = engine.slowdown.value_or(1);
            choice->pace = engine.pace;
        }
    }
    return choice;
}

std::optional<size_t> chooseLeastLoadedEndpoint(const std::vector<PlacementCandidate> &endpoints,
                                                std::string_view domain,
                                                const PlacementSettings &settings,
                                                std::mt19937_64 &random)
{
    std::optional<size_t> choice;
    double best = std::numeric_limits<double>::max();
    for (size_t i = 0; i < endpoints.size(); ++i) {
        if (!endpoints[i].usable)
            continue;
        const RunScore figures = scoreRun(endpoints[i], domain, settings);
        std::uniform_real_distribution<double> tie(0, figures.spread);
        const double score = figures.share + tie(random);
        if (score < best) {
            best = score;
            choice = i;
        }
    }
    return choice;
}

namespace {

// Load figures are not recent enough to tell smaller differences. The more gateways decide on the
// same figures, the more runs reach the best engine before the figures change.
constexpr double RunTieShare = 0.02;
constexpr double MaxRunTieShare = 0.1;
// The remaining slots are for runs that other gateways have sent since their last message, as a
// wait for a slot delays the first token. With 0.9 twice as many runs waited
// (docs/design/work-left.md).
constexpr double SoonFullSlotShare = 0.75;

DecodeBacklog backlogOf(const PlacementCandidate &endpoint, const DecodeStepEstimator &steps,
                        double usualRemaining)
{
    return {{endpoint.running, endpoint.remainingTokens, endpoint.reported, endpoint.reportsWaiting,
             endpoint.slots},
            steps,
            usualRemaining,
            runFactor(endpoint)};
}

RunRoom roomOf(const PlacementCandidate &endpoint, const DecodeBacklog &backlog)
{
    if (backlog.full())
        return RunRoom::NoFreeSlot;
    return backlog.streams() >= endpoint.slots * SoonFullSlotShare ? RunRoom::LastSlots
                                                                   : RunRoom::Free;
}

} // namespace

// Half of the run if no endpoint states it, as streams are in all states between their first and
// their last token.
double usualRemainingTokens(const std::vector<PlacementCandidate> &endpoints, double outputTokens)
{
    double tokens = 0;
    double streams = 0;
    for (const PlacementCandidate &it : endpoints) {
        if (it.isPrefillEngine || it.remainingTokens <= 0)
            continue;
        tokens += it.remainingTokens;
        streams += it.running;
    }
    return streams > 0 ? tokens / streams : outputTokens / 2;
}

WorkScore scoreRunByWork(const PlacementCandidate &endpoint, double outputTokens,
                         double usualRemaining, std::string_view domain,
                         const DecodeStepEstimator &steps, const PlacementSettings &settings)
{
    const DecodeBacklog backlog = backlogOf(endpoint, steps, usualRemaining);
    WorkScore score;
    score.room = roomOf(endpoint, backlog);
    score.finishMs = backlog.finishMs(outputTokens);
    score.workLeftTokens = backlog.remainingTokens();
    score.ms =
        score.finishMs * (endpoint.domain == domain ? 1 : 1 + settings.crossDomainSlotPenalty);
    score.spread = score.ms
        * std::min(RunTieShare * std::sqrt(std::max(1U, settings.gateways)), MaxRunTieShare);
    return score;
}

RunChoice chooseRunner(const std::vector<PlacementCandidate> &endpoints, double outputTokens,
                       std::string_view domain, const DecodeStepEstimator &steps,
                       const PlacementSettings &settings, std::mt19937_64 &random)
{
    RunChoice choice;
    if (!settings.predictsByPace) {
        choice.index = chooseLeastLoadedEndpoint(endpoints, domain, settings, random);
        return choice;
    }
    const double usualRemaining = usualRemainingTokens(endpoints, outputTokens);
    const auto scoreOf = [&](const PlacementCandidate &it) {
        return scoreRunByWork(it, outputTokens, usualRemaining, domain, steps, settings);
    };
    RunRoom bestRoom = RunRoom::NoFreeSlot;
    double best = std::numeric_limits<double>::max();
    std::uniform_real_distribution<double> tie(0, 1);
    for (size_t i = 0; i < endpoints.size(); ++i) {
        if (!endpoints[i].usable)
            continue;
        const WorkScore figures = scoreOf(endpoints[i]);
        const double score = figures.ms + figures.spread * tie(random);
        if (figures.room < bestRoom || (figures.room == bestRoom && score < best)) {
            bestRoom = figures.room;
            best = score;
            choice.index = i;
        }
    }
    if (bestRoom == RunRoom::NoFreeSlot)
        choice.index = chooseLeastLoadedEndpoint(endpoints, domain, settings, random);
    if (!choice.index)
        return choice;
    const WorkScore chosen = scoreOf(endpoints[*choice.index]);
    choice.expectedTime = wholeMs(chosen.finishMs);
    choice.workLeftTokens = chosen.workLeftTokens;
    return choice;
}

void applyHolds(std::vector<PlacementCandidate> &endpoints)
{
    const bool othersHaveRoom =
        std::any_of(endpoints.begin(), endpoints.end(), [](const PlacementCandidate &it) {
            return it.usable && !it.held && !it.probe && !it.isPrefillEngine
                && it.running < it.slots;
        });
    if (!othersHaveRoom)
        return;
    for (PlacementCandidate &it : endpoints)
        it.usable = it.usable && !it.held;
}

} // namespace jujube::policy
