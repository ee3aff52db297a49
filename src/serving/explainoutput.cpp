/** \file
 * Renders explanations as text and as JSON.
 */

#include "core/text.h"
#include "serving/explain.h"
#include "wire/json.h"

#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>

namespace jujube::serving {

namespace {

using core::Milliseconds;
using wire::qstring;

std::string_view verdictName(policy::QuotaVerdict verdict)
{
    switch (verdict) {
    case policy::QuotaVerdict::Admit:
        return "admit";
    case policy::QuotaVerdict::Wait:
        return "wait";
    case policy::QuotaVerdict::Refuse:
        break;
    }
    return "refuse";
}

QJsonValue json(Milliseconds time)
{
    return static_cast<qint64>(time.count());
}

QJsonValue json(uint32_t value)
{
    return static_cast<qint64>(value);
}

QJsonValue jsonOf(const std::optional<TeamQuotas::Preview> &quota)
{
    if (!quota)
        return QJsonValue::Null;
    const policy::QuotaDecision &decision = quota->decision;
    return QJsonObject{{"verdict", qstring(verdictName(decision.verdict))},
                       {"mode", qstring(policy::quotaModeName(decision.mode))},
                       {"tokens", quota->tokens},
                       {"level", decision.level},
                       {"per_second", quota->quota.perSecond},
                       {"burst", quota->quota.burst}};
}

QJsonValue jsonOf(const std::optional<policy::PrefillScore> &score)
{
    if (!score)
        return QJsonValue::Null;
    return QJsonObject{{"uncached_tokens", score->missingTokens},
                       {"expected_tokens", score->expectedTokens},
                       {"fetch", score->fetch},
                       {"prefill_ms", score->prefillMs},
                       {"rest_ms", score->restMs},
                       {"cross_domain_ms", score->crossDomainMs},
                       {"score", score->ms()},
                       {"spread", score->spread}};
}

std::string_view roomName(policy::RunRoom room)
{
    switch (room) {
    case policy::RunRoom::Free:
        return "free";
    case policy::RunRoom::LastSlots:
        return "last-slots";
    case policy::RunRoom::NoFreeSlot:
        break;
    }
    return "none";
}

QJsonValue jsonOf(const std::optional<policy::WorkScore> &score)
{
    if (!score)
        return QJsonValue::Null;
    return QJsonObject{{"room", qstring(roomName(score->room))},
                       {"finish_ms", score->finishMs},
                       {"work_left_tokens", score->workLeftTokens},
                       {"score", score->ms},
                       {"spread", score->spread}};
}

QJsonObject jsonOf(const ExplainedCandidate &it)
{
    QJsonArray obstacles;
    for (const std::string_view name : it.obstacles)
        obstacles.append(qstring(name));
    QJsonValue run = QJsonValue::Null;
    if (it.figures.run)
        run = QJsonObject{{"score", it.figures.run->share}, {"spread", it.figures.run->spread}};
    return {{"endpoint", qstring(it.id)},
            {"stage", qstring(stageName(it.stage))},
            {"domain", qstring(it.domain)},
            {"usable", it.obstacles.empty()},
            {"why_not", obstacles},
            {"probe", it.probe},
            {"running", it.running},
            {"slots", json(it.slots)},
            {"backlog_tokens", it.backlogTokens},
            {"cached_tokens", json(it.cachedTokens)},
            {"slowness", it.slowness},
            {"slowdown", it.slowdown},
            {"pace", it.pace},
            {"report_age_ms", it.reportAge ? json(*it.reportAge) : QJsonValue::Null},
            {"prefill", jsonOf(it.figures.prefill)},
            {"may_prefill", it.figures.mayPrefill},
            {"run", run},
            {"run_by_work", jsonOf(it.figures.work)},
            {"may_run", it.figures.mayRun}};
}

QJsonValue jsonOf(const std::optional<ExplainedRefusal> &refusal)
{
    if (!refusal)
        return QJsonValue::Null;
    return QJsonObject{{"status", json(refusal->status)},
                       {"why", qstring(refusal->why)},
                       {"retry_after_ms", json(refusal->retryAfter)},
                       {"retry_after_spread_ms", json(refusal->retrySpread)}};
}

QJsonValue endpointName(const Explanation &explanation, const std::optional<size_t> &index)
{
    return index ? QJsonValue(qstring(explanation.candidates[*index].id)) : QJsonValue::Null;
}

std::optional<size_t> prefillIndex(const Explanation &explanation)
{
    return explanation.prefill ? std::optional(explanation.prefill->index) : std::nullopt;
}

// Whether the choice is by random among several services.
bool splits(const Explanation &explanation)
{
    return explanation.targets.size() > 1;
}

void renderRefusal(std::string &text, const ExplainedRefusal &refusal)
{
    absl::StrAppendFormat(&text, "refused     %u: %s", refusal.status, refusal.why);
    if (refusal.retryAfter.count() > 0 || refusal.retrySpread.count() > 0)
        absl::StrAppendFormat(&text, "; Retry-After %d to %d ms", refusal.retryAfter.count(),
                              (refusal.retryAfter + refusal.retrySpread).count());
    text += '\n';
}

void renderQuota(std::string &text, const std::optional<TeamQuotas::Preview> &quota)
{
    if (!quota) {
        text += "quota       none\n";
        return;
    }
    const policy::QuotaDecision &decision = quota->decision;
    absl::StrAppendFormat(
        &text,
        "quota       %s: %.0f tokens left of %.0f, request %.0f, %.0f per s, decided by %s\n",
        std::string(verdictName(decision.verdict)), decision.level, quota->quota.burst,
        quota->tokens, quota->quota.perSecond, std::string(policy::quotaModeName(decision.mode)));
}

void renderCandidate(std::string &text, const ExplainedCandidate &it)
{
    std::string state = it.probe ? "probe" : "usable";
    if (!it.obstacles.empty())
        state = absl::StrJoin(it.obstacles, ",",
                              [](std::string *text, std::string_view name) { *text += name; });
    absl::StrAppendFormat(&text, "  %s stage=%s domain=%s %s running=%.0f slots=%u backlog=%.0f",
                          it.id, std::string(stageName(it.stage)), it.domain, state, it.running,
                          it.slots, it.backlogTokens);
    absl::StrAppendFormat(&text, " cached=%u slowness=%.2f slowdown=%.2f pace=%.2f report=%s\n",
                          it.cachedTokens, it.slowness, it.slowdown, it.pace,
                          it.reportAge ? core::concat(it.reportAge->count(), "ms") : "none");
    if (const auto &score = it.figures.prefill)
        absl::StrAppendFormat(
            &text,
            "    prefill: tokens=%.0f prefill=%.1fms rest=%.1fms domain=%.0fms score=%.1fms "
            "spread=%.1fms%s%s\n",
            score->expectedTokens, score->prefillMs, score->restMs, score->crossDomainMs,
            score->ms(), score->spread, score->fetch ? " fetches" : "",
            it.figures.isPreferred ? " preferred" : "");
    if (const auto &score = it.figures.work)
        absl::StrAppendFormat(
            &text, "    run: room=%s finish=%.1fms work-left=%.0f score=%.1fms spread=%.1fms\n",
            std::string(roomName(score->room)), score->finishMs, score->workLeftTokens, score->ms,
            score->spread);
    if (const auto &score = it.figures.run)
        absl::StrAppendFormat(&text, "    run: score=%.3f spread=%.3f\n", score->share,
                              score->spread);
}

} // namespace

std::string renderExplanationJson(const Explanation &it)
{
    QJsonArray candidates;
    for (const ExplainedCandidate &candidate : it.candidates)
        candidates.append(jsonOf(candidate));
    QJsonArray targets;
    for (const SplitTarget &target : it.targets)
        targets.append(
            QJsonObject{{"service", qstring(target.service)}, {"weight", target.weight}});
    QJsonObject prefill{{"needed", it.needsPrefill},
                        {"endpoint", endpointName(it, prefillIndex(it))},
                        {"waits", it.waits},
                        {"reason", qstring(it.prefillReason)}};
    if (it.prefill)
        prefill["predicted_first_token_ms"] = json(it.prefill->predictedFirstToken);
    const QJsonObject object{
        {"gateway", qstring(it.gateway)},
        {"domain", qstring(it.domain)},
        {"config", wire::jsonNumber(it.configVersion)},
        {"route", qstring(it.route)},
        {"service", qstring(it.service)},
        {"targets", targets},
        {"team", qstring(it.team)},
        {"rank", json(it.rank)},
        {"by_pace", it.byPace},
        {"quota", jsonOf(it.quota)},
        {"queue",
         QJsonObject{{"waiting", static_cast<qint64>(it.waiting)},
                     {"expected_wait_ms", json(it.expectedWait)}}},
        {"cost",
         QJsonObject{{"prompt_tokens", json(it.promptTokens)},
                     {"cached_or_fetchable_tokens", json(it.promptTokens - it.cost.prefillTokens)},
                     {"prefill_tokens", json(it.cost.prefillTokens)},
                     {"expected_output_tokens", it.cost.outputTokens},
                     {"memory_tokens", wire::jsonNumber(it.cost.memoryTokens)}}},
        {"candidates", candidates},
        {"prefill", prefill},
        {"run",
         QJsonObject{{"endpoint", endpointName(it, it.run)}, {"reason", qstring(it.runReason)}}},
        {"refusal", jsonOf(it.refusal)}};
    return wire::toJsonText(object) + "\n";
}

std::string renderExplanationText(const Explanation &it)
{
    std::string text;
    absl::StrAppendFormat(&text, "gateway     %s, failure domain %s, configuration %d\n",
                          it.gateway, it.domain, it.configVersion);
    absl::StrAppendFormat(&text, "request     route %s, service %s%s, team %s, rank %u\n", it.route,
                          it.service, splits(it) ? " (drawn by weight)" : "",
                          it.team.empty() ? "none" : it.team, it.rank);
    renderQuota(text, it.quota);
    absl::StrAppendFormat(&text, "queue       %d prompts waiting, expected wait %d ms\n",
                          it.waiting, it.expectedWait.count());
    absl::StrAppendFormat(
        &text,
        "cost        %u prompt tokens, %u of them cached or fetchable, %.0f output tokens "
        "expected, memory for %d tokens\n",
        it.promptTokens, it.promptTokens - it.cost.prefillTokens, it.cost.outputTokens,
        it.cost.memoryTokens);
    absl::StrAppendFormat(&text, "candidates  %d, times by %s\n", it.candidates.size(),
                          it.byPace ? "slowdown and pace" : "slowness");
    for (const ExplainedCandidate &candidate : it.candidates)
        renderCandidate(text, candidate);
    const auto nameOf = [&it](const std::optional<size_t> &index) {
        return index ? it.candidates[*index].id : std::string("none");
    };
    absl::StrAppendFormat(&text, "prefill     %s: %s", nameOf(prefillIndex(it)), it.prefillReason);
    if (it.prefill)
        absl::StrAppendFormat(&text, "; first token expected %d ms after the dispatch",
                              it.prefill->predictedFirstToken.count());
    absl::StrAppendFormat(&text, "\nrun         %s: %s\n", nameOf(it.run), it.runReason);
    if (it.refusal)
        renderRefusal(text, *it.refusal);
    return text;
}

} // namespace jujube::serving
