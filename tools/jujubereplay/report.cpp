#include "jujubereplay/report.h"

#include "core/text.h"
#include "wire/json.h"

#include <algorithm>
#include <cstdio>

namespace jujube::replay {

namespace {

constexpr int PlotWidth = 900;
constexpr int PlotHeight = 260;
constexpr int Margin = 40;

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[values.size() / 2];
}

double minimum(const std::vector<double> &values)
{
    return values.empty() ? 0 : *std::min_element(values.begin(), values.end());
}

double maximum(const std::vector<double> &values)
{
    return values.empty() ? 0 : *std::max_element(values.begin(), values.end());
}

std::string polyline(const std::vector<double> &values, const char *colour, const char *name,
                     int row)
{
    std::string points;
    for (size_t i = 0; i < values.size(); ++i) {
        const double x = Margin
            + static_cast<double>(i) * PlotWidth
                / static_cast<double>(std::max<size_t>(values.size() - 1, 1));
        const double y = Margin + (1 - values[i]) * PlotHeight;
        core::append(points, x, ",", y, " ");
    }
    return core::concat("<polyline fill=\"none\" stroke=\"", colour,
                        "\" stroke-width=\"1.5\" points=\"", points, "\"/><text x=\"",
                        Margin + row * 220, "\" y=\"20\" fill=\"", colour, "\">", name,
                        "</text>\n");
}

} // namespace

void Report::addBound(uint64_t seed, double bound)
{
    m_bounds[seed] = bound;
}

void Report::addRun(uint64_t seed, const RunResult &result)
{
    if (!m_rows.contains(result.policyName))
        m_policyOrder.push_back(result.policyName);
    Row row;
    row.seed = seed;
    row.goodput = result.goodput;
    row.shareOfBound = result.goodput / m_bounds[seed];
    row.worstTeamGoodput = result.worstTeamGoodput;
    row.roleChanges = result.roleChanges;
    row.chatTimeToFirstTokenP95Ms = result.chatTimeToFirstTokenP95.count();
    row.chatTimeBetweenTokensP95Ms = result.chatTimeBetweenTokensP95.count();
    row.goodputByProfile = result.goodputByProfile;
    row.goodputByTeam = result.goodputByTeam;
    m_rows[result.policyName].push_back(std::move(row));
}

std::string Report::table() const
{
    char buf[256];
    std::snprintf(buf, sizeof(buf), "%-38s %8s %8s %9s %9s %7s %8s %8s\n",
                  "policy (median; worst seed)", "goodput", "worst", "of bound", "team", "changes",
                  "ttft95", "tbt95");
    std::string out = buf;
    for (const std::string &policy : m_policyOrder) {
        const auto column = [&](auto member) {
            std::vector<double> values;
            for (const Row &it : m_rows.at(policy))
                values.push_back(static_cast<double>(it.*member));
            return values;
        };
        const auto goodput = column(&Row::goodput);
        std::snprintf(buf, sizeof(buf), "%-38s %8.4f %8.4f %9.4f %9.4f %4.0f %3.0f %8.0f %8.0f\n",
                      policy.c_str(), median(goodput), minimum(goodput),
                      median(column(&Row::shareOfBound)), median(column(&Row::worstTeamGoodput)),
                      median(column(&Row::roleChanges)), maximum(column(&Row::roleChanges)),
                      median(column(&Row::chatTimeToFirstTokenP95Ms)),
                      median(column(&Row::chatTimeBetweenTokensP95Ms)));
        out += buf;
    }
    std::vector<double> bounds;
    for (const auto &[seed, bound] : m_bounds)
        bounds.push_back(bound);
    std::snprintf(buf, sizeof(buf), "%-38s %8.4f %8.4f\n", "clairvoyant bound", median(bounds),
                  minimum(bounds));
    return out + buf
        + "team: goodput of the worst-served team; changes: median and most of all seeds; "
          "ttft95 and tbt95: chat, in ms\n";
}

std::string Report::json() const
{
    QJsonArray runs;
    for (const std::string &policy : m_policyOrder) {
        for (const Row &it : m_rows.at(policy)) {
            QJsonObject profiles;
            for (const auto &[name, share] : it.goodputByProfile)
                profiles[wire::qstring(name)] = share;
            QJsonObject teams;
            for (const auto &[name, share] : it.goodputByTeam)
                teams[wire::qstring(name)] = share;
            runs.append(
                QJsonObject{{"policy", wire::qstring(policy)},
                            {"seed", wire::jsonNumber(it.seed)},
                            {"goodput", it.goodput},
                            {"of_bound", it.shareOfBound},
                            {"worst_team", it.worstTeamGoodput},
                            {"role_changes", it.roleChanges},
                            {"chat_first_token_95_ms", qint64(it.chatTimeToFirstTokenP95Ms)},
                            {"chat_between_tokens_95_ms", qint64(it.chatTimeBetweenTokensP95Ms)},
                            {"by_profile", profiles},
                            {"by_team", teams}});
        }
    }
    return wire::toJsonText(QJsonObject{{"runs", runs}}) + "\n";
}

std::string plot(const Workload &workload, const RunResult &result)
{
    std::vector<double> mix;
    std::vector<double> good;
    std::vector<double> roles;
    std::vector<double> worst;
    for (const IntervalState &it : result.intervals) {
        mix.push_back(it.promptTokenShare);
        good.push_back(it.arrivedRequests == 0 ? 1 : double(it.goodRequests) / it.arrivedRequests);
        roles.push_back(0.5 + (it.prefillEngines - it.decodeEngines) / (2.0 * workload.engines));
        worst.push_back(it.worstTeamGoodput);
    }
    return core::concat("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"",
                        PlotWidth + 2 * Margin, "\" height=\"", PlotHeight + 2 * Margin,
                        "\" font-family=\"sans-serif\" font-size=\"12\">\n",
                        polyline(mix, "#888888", "prompt tokens / all tokens", 0),
                        polyline(good, "#2266cc", "goodput", 1),
                        polyline(roles, "#cc6622", "prefill (1) to decode (0) roles", 2),
                        polyline(worst, "#22aa55", "worst team", 3), "<text x=\"", Margin,
                        "\" y=\"", PlotHeight + 2 * Margin - 10, "\">", result.policyName, ", ",
                        workload.name, ", ", workload.duration.count() / 60'000,
                        " minutes</text></svg>\n");
}

} // namespace jujube::replay
