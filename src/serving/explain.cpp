#include "serving/explain.h"

#include "core/text.h"
#include "serving/gateway.h"

#include <algorithm>

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;

constexpr Milliseconds DefaultTimeLimit{60'000}; // Has to match Session::Session().

std::vector<std::string_view> obstacleNames(const Endpoint &endpoint, bool held, bool full,
                                            TimePoint now)
{
    const Obstacles obstacles = obstaclesOf(endpoint, now);
    std::vector<std::string_view> names;
    const auto add = [&](bool applies, std::string_view name) {
        if (applies)
            names.push_back(name);
    };
    add(obstacles.draining, "draining");
    add(obstacles.paused, "paused");
    add(obstacles.backoff, "back-off");
    add(obstacles.limit, "limit");
    add(obstacles.ejected, "ejected");
    add(held, "held");
    add(full, "full");
    return names;
}

ExplainedCandidate describeCandidate(const Endpoint &endpoint,
                                     const policy::PlacementCandidate &view, bool full,
                                     TimePoint now)
{
    ExplainedCandidate it;
    it.id = endpoint.record.id;
    it.domain = endpoint.record.domain;
    it.stage = endpoint.record.stage;
    // applyHolds() has marked it unusable only if others have room.
    const bool held = view.held && !view.usable && !obstaclesOf(endpoint, now).any();
    it.obstacles = obstacleNames(endpoint, held, full, now);
    it.probe = view.probe;
    it.running = view.running;
    it.slots = view.slots;
    it.backlogTokens = view.backlogTokens;
    it.cachedTokens = view.cachedTokens;
    it.slowness = view.slowness;
    it.slowdown = view.slowdown.value_or(1);
    it.pace = view.pace;
    if (endpoint.reportedAt != TimePoint{})
        it.reportAge = std::chrono::floor<Milliseconds>(now - endpoint.reportedAt);
    return it;
}

policy::WaitingPrompt waitingPrompt(const Explanation &explanation, const Route &route,
                                    const policy::PromptInfo &info, TimePoint now)
{
    const Milliseconds limit = route.timeout.count() > 0 ? route.timeout : DefaultTimeLimit;
    const bool bounded = route.eventTimeout.count() > 0;
    policy::WaitingPrompt prompt;
    prompt.routeName = route.name;
    prompt.rank = explanation.rank;
    prompt.team = explanation.team;
    prompt.expectedOutputTokens = explanation.cost.outputTokens;
    prompt.info = info;
    prompt.arrivedAt = now;
    prompt.firstTokenDueAt = now + route.latencyObjective;
    prompt.deadlineAt = now + (bounded ? std::min(limit, route.eventTimeout) : limit);
    return prompt;
}

// Number of candidates that the random part of the scores could have chosen instead.
template <typename Predicate>
size_t countOthers(const Explanation &explanation, size_t chosen, Predicate predicate)
{
    size_t n = 0;
    for (size_t i = 0; i < explanation.candidates.size(); ++i)
        n += i != chosen && predicate(explanation.candidates[i].figures) ? 1 : 0;
    return n;
}

std::string amongEqual(size_t others)
{
    return others == 0 ? std::string()
                       : core::concat("; drawn among it and ", others, " nearly equal");
}

std::string prefillReason(const Explanation &explanation, const PromptPreview &preview)
{
    if (preview.noUsableEngine)
        return "no engine is usable, so the request is run without a separate prefill";
    if (!explanation.prefill)
        return preview.limited ? "waits: all usable engines are at their limits"
                               : "waits: no engine may be sent the prompt";
    const size_t index = explanation.prefill->index;
    const policy::CandidateFigures &figures = explanation.candidates[index].figures;
    if (!preview.choice)
        return preview.hasRoom[index]
            ? "waits: the decode slots in use or prompts ahead in the queue leave it no room; at "
              "present it would go here"
            : "waits: the engine with the lowest predicted time has no room";
    if (!figures.mayPrefill)
        return "the engine with the lowest predicted time has no room, and this one prefills the "
               "prompt sooner than after waiting for it, or the load changes by prompts ahead";
    const size_t others =
        countOthers(explanation, index, [](const auto &it) { return it.mayPrefill; });
    std::string reason = "lowest predicted time to the first token" + amongEqual(others);
    if (figures.isPreferred)
        reason += "; preferred for this prefix";
    return reason;
}

std::string runReason(const Explanation &explanation)
{
    if (!explanation.run)
        return "no endpoint for the run is usable";
    const size_t index = *explanation.run;
    if (explanation.prefill && explanation.prefill->index == index)
        return "prefills the prompt itself";
    const size_t others = countOthers(explanation, index, [](const auto &it) { return it.mayRun; });
    if (explanation.runByWork)
        return "shortest expected time to the end of the run, among the engines with the most room"
            + amongEqual(others);
    const bool allFull = explanation.candidates[index].figures.work.has_value();
    return std::string(allFull ? "all decode slots are in use; " : "")
        + "smallest share of slots in use, weighted by its slowness and failure domain"
        + amongEqual(others);
}

ExplainedRefusal lackOfRoom(const ExplainServices &services, const std::string &service,
                            std::string why, TimePoint now)
{
    const RetryAfterRange range = retryAfterRange(services.endpoints, service, now);
    return {http::status::ServiceUnavailable, std::move(why), range.least, range.spread};
}

void explainQuota(Explanation &explanation, const ExplainServices &services, const TeamConfig *team,
                  const RequestMetadata &request)
{
    explanation.quota = team ? services.quotas.preview(*team, request) : std::nullopt;
    if (explanation.quota && explanation.quota->decision.verdict == policy::QuotaVerdict::Refuse)
        explanation.refusal = {http::status::TooManyRequests, "over the quota of the team",
                               explanation.quota->decision.retryIn, explanation.quota->retrySpread};
}

// Describes the endpoints of the service and places the request.
void explainChoices(Explanation &explanation, const ExplainServices &services,
                    const RequestMetadata &request, const Route &route, double plannedTokens,
                    TimePoint now, std::mt19937_64 &random)
{
    const auto &endpoints = services.endpoints.ofService(explanation.service);
    const auto chain = prefixChain(request);
    policy::PromptInfo info = promptInfo(request, chain);
    const policy::WaitingPrompt prompt = waitingPrompt(explanation, route, info, now);
    std::mt19937_64 draws = random;
    const PromptPreview preview =
        services.promptScheduler.preview(explanation.service, prompt, chain, now, draws);
    // A request without a prefill draws nothing for the queue.
    if (explanation.needsPrefill)
        random = draws;
    info.priority = preview.priority;
    std::vector<policy::PlacementCandidate> views;
    for (const EndpointPtr &it : endpoints) {
        views.push_back(placementViewOf(*it, chain, now));
        if (it->isReachable())
            info.fetchableTokens = std::max(info.fetchableTokens, views.back().cachedTokens);
    }
    policy::applyHolds(views);
    policy::PlacementQuery query{info, explanation.needsPrefill && !preview.noUsableEngine,
                                 preview.choice, plannedTokens};
    if (const auto it = services.runSteps.find(explanation.service); it != services.runSteps.end())
        query.steps = it->second;
    if (!explanation.needsPrefill)
        query.prefill.reset();
    const auto placement = policy::explainPlacement(views, query, services.placement, random);
    for (size_t i = 0; i < endpoints.size(); ++i) {
        const bool full =
            views[i].isPrefillEngine ? !preview.hasRoom[i] : views[i].running >= views[i].slots;
        explanation.candidates.push_back(describeCandidate(*endpoints[i], views[i], full, now));
        explanation.candidates.back().figures = placement.candidates[i];
    }
    explanation.waiting = preview.waiting;
    explanation.expectedWait = explanation.needsPrefill ? preview.expectedWait : Milliseconds(0);
    explanation.fetchableTokens = info.fetchableTokens;
    explanation.prefill = placement.prefill;
    explanation.waits = explanation.needsPrefill && !preview.choice && !preview.noUsableEngine;
    explanation.run = placement.run;
    explanation.runByWork = placement.runByWork;
    explanation.prefillReason =
        explanation.needsPrefill ? prefillReason(explanation, preview) : "not needed";
    explanation.runReason = runReason(explanation);
    if (explanation.refusal)
        return;
    if (explanation.needsPrefill && now + preview.expectedWait > prompt.deadlineAt)
        explanation.refusal =
            lackOfRoom(services, explanation.service,
                       "the expected wait for an engine exceeds the deadline", now);
    else if (!explanation.run && !explanation.prefill && !explanation.waits)
        explanation.refusal =
            lackOfRoom(services, explanation.service, "no endpoint is available", now);
}

} // namespace

absl::StatusOr<Explanation> explain(const ExplainServices &services, const RequestMetadata &request,
                                    std::mt19937_64 random)
{
    const TimePoint now = core::BootClock::now();
    Explanation explanation;
    explanation.gateway = services.gateway;
    explanation.domain = services.placement.domain;
    if (services.stopping)
        explanation.refusal = {
            http::status::ServiceUnavailable, "the gateway stops", StoppingRetryAfter, {}};
    if (!services.config) {
        explanation.refusal = {
            http::status::ServiceUnavailable, "no configuration yet", NoConfigRetryAfter, {}};
        return explanation;
    }
    explanation.configVersion = services.config->version;
    const RequestClass found =
        services.config->classify(request.host, request.path, request.apiKey);
    if (!found.route)
        return absl::NotFoundError("no route for " + request.host + request.path);
    if (found.keyRefused)
        return absl::UnauthenticatedError(request.apiKey.empty()
                                              ? "the route " + found.route->name + " needs a key"
                                              : "unknown key");
    explanation.route = found.route->name;
    explanation.targets = found.route->targets;
    explanation.team = found.team ? found.team->name : "";
    explanation.rank = found.rank;
    explanation.promptTokens = request.promptTokens;
    explanation.needsPrefill = found.route->statesPromptBlocks && request.promptTokens > 0;
    explanation.byPace = services.placement.predictsByPace;
    explanation.service = pickWeightedService(*found.route, random);
    if (!explanation.refusal)
        explainQuota(explanation, services, found.team, request);
    const auto blocks = QuarantineKeeper::sharedBlocks(explanation.service, request.prefixBlocks);
    if (const auto left = services.quarantine.timeLeft(blocks); left && !explanation.refusal)
        explanation.refusal = {
            http::status::ServiceUnavailable, "the prompt crashes engines", *left, {}};
    const policy::OutputRequest output{explanation.service, explanation.route, explanation.team,
                                       request.expectedOutputTokens, request.maxOutputTokens};
    explanation.cost.outputTokens =
        expectedOutputTokens(output, services.placement, services.outputLengths);
    const StreamWork work = streamWork(*services.config, *found.route, request.promptTokens, output,
                                       services.placement, services.outputLengths);
    if (work.tooLarge && !explanation.refusal)
        explanation.refusal = lackOfRoom(services, explanation.service, TooLargeForEngines, now);
    explainChoices(explanation, services, request, *found.route, work.outputTokens, now, random);
    const uint32_t reusable = explanation.prefill
        ? request.promptTokens - std::min(request.promptTokens, explanation.prefill->uncachedTokens)
        : explanation.fetchableTokens;
    explanation.cost =
        policy::RequestCost::of(request.promptTokens, reusable, explanation.cost.outputTokens);
    return explanation;
}

} // namespace jujube::serving
