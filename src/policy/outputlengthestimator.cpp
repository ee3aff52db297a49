#include "policy/outputlengthestimator.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <xxhash.h>

namespace jujube::policy {

namespace {

constexpr size_t MaxKeys = 512;
constexpr double HalfLife = 200; ///< In observations of a key.
constexpr double MinWeight = 5;  ///< With fewer observations, a less specific key is used.
// Estimates of clients are often far off; a single one counts as at most this factor.
constexpr double MaxHintError = 16;
// Until the error of a route's hints is known, they count as correct within a factor of e.
constexpr double InitialHintVariance = 1;
// Equal answers do not prove that the next one is equal.
constexpr double MinVariance = 0.01;
constexpr double MaxVariance = 4;
constexpr double HighQuantileDeviations = 1.28; ///< Of a normal distribution at 0.9.
constexpr double UnknownShareOfMax = 0.5;       ///< Answers use about half of their token limit.

enum class KeyKind : uint64_t { Service, Route, RouteAndTeam, Hint };

uint64_t keyOf(KeyKind kind, std::string_view service, std::string_view route = {},
               std::string_view team = {})
{
    uint64_t hash =
        XXH3_64bits_withSeed(service.data(), service.size(), static_cast<uint64_t>(kind));
    if (kind != KeyKind::Service)
        hash = XXH3_64bits_withSeed(route.data(), route.size(), hash);
    if (kind == KeyKind::RouteAndTeam)
        hash = XXH3_64bits_withSeed(team.data(), team.size(), hash);
    return hash;
}

} // namespace

// Weights the new value as 1 and the earlier ones by their decayed sum.
void OutputLengthEstimator::Distribution::note(double value)
{
    weight = weight * std::exp2(-1 / HalfLife) + 1;
    const double difference = value - mean;
    mean += difference / weight;
    variance += (difference * (value - mean) - variance) / weight;
}

void OutputLengthEstimator::noteAt(uint64_t key, double value)
{
    const auto found = m_byKey.find(key);
    if (found != m_byKey.end()) {
        m_entries.splice(m_entries.begin(), m_entries, found->second);
    } else {
        if (m_entries.size() >= MaxKeys) {
            m_byKey.erase(m_entries.back().key);
            m_entries.pop_back();
        }
        m_entries.push_front({key, {}});
        m_byKey.emplace(key, m_entries.begin());
    }
    m_entries.front().value.note(value);
}

const OutputLengthEstimator::Distribution *OutputLengthEstimator::find(uint64_t key) const
{
    const auto it = m_byKey.find(key);
    return it == m_byKey.end() || it->second->value.weight < MinWeight ? nullptr
                                                                       : &it->second->value;
}

void OutputLengthEstimator::note(const OutputRequest &request, double outputTokens)
{
    if (!(outputTokens >= 1) || !std::isfinite(outputTokens))
        return;
    const double value = std::log(outputTokens);
    noteAt(keyOf(KeyKind::Service, request.service), value);
    noteAt(keyOf(KeyKind::Route, request.service, request.route), value);
    if (!request.team.empty())
        noteAt(keyOf(KeyKind::RouteAndTeam, request.service, request.route, request.team), value);
    if (request.hint.value_or(0) == 0)
        return;
    const double error = std::clamp(value - std::log(static_cast<double>(*request.hint)),
                                    -std::log(MaxHintError), std::log(MaxHintError));
    noteAt(keyOf(KeyKind::Hint, request.service, request.route), error);
}

OutputLength OutputLengthEstimator::estimate(const OutputRequest &request) const
{
    const Distribution *usual = nullptr;
    if (!request.team.empty())
        usual = find(keyOf(KeyKind::RouteAndTeam, request.service, request.route, request.team));
    if (!usual)
        usual = find(keyOf(KeyKind::Route, request.service, request.route));
    if (!usual)
        usual = find(keyOf(KeyKind::Service, request.service));
    double precision = 0;
    double weightedMean = 0;
    const auto add = [&](double mean, double variance) {
        const double limited = std::clamp(variance, MinVariance, MaxVariance);
        precision += 1 / limited;
        weightedMean += mean / limited;
    };
    if (usual)
        add(usual->mean, usual->variance);
    if (request.hint.value_or(0) > 0) {
        const Distribution *error = find(keyOf(KeyKind::Hint, request.service, request.route));
        const double hint = std::log(static_cast<double>(*request.hint));
        if (error)
            add(hint + error->mean, error->variance);
        else
            add(hint, InitialHintVariance);
    }
    const double limit =
        request.maxOutputTokens > 0 ? request.maxOutputTokens : std::numeric_limits<double>::max();
    if (precision == 0)
        return {request.maxOutputTokens * UnknownShareOfMax,
                static_cast<double>(request.maxOutputTokens)};
    const double mean = weightedMean / precision;
    const double deviation = std::sqrt(1 / precision);
    // The mean of a log-normal distribution.
    const double expected = std::exp(mean + deviation * deviation / 2);
    const double high = std::exp(mean + HighQuantileDeviations * deviation);
    return {std::min(expected, limit), std::min(std::max(high, expected), limit)};
}

} // namespace jujube::policy
