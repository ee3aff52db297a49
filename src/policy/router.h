#pragma once

/** \file
 * Defines the router: which endpoint an attempt goes to.
 */

#include "core/work.h"
#include "policy/prefixindex.h"

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace jujube::policy {

/** What the router knows of one endpoint when it decides. */
struct EndpointView
{
    std::string vm;
    std::string domain;
    core::LoadReport load;
    core::TimePoint reportedAt{};   ///< When the load report arrived.
    uint64_t sentPrefillTokens = 0; ///< Prefill tokens this process sent since that report.
    uint64_t sentOutputTokens = 0;  ///< Output tokens it asked for since that report.
    uint32_t sentRequests = 0;      ///< Requests it sent since that report.
    bool usable = false;            ///< Connected, not drained, not ejected as an outlier.
    bool probeDue = false;          ///< Ejected, but due for a single probe request.
};

/** What the router knows of one request. */
struct RouteRequest
{
    core::WorkKind kind = core::WorkKind::Language;
    uint32_t promptTokens = 0;
    uint32_t outputTokens = 0; ///< Upper bound asked for by the caller.
    std::vector<uint64_t> prefixBlocks;
    core::Milliseconds firstTokenObjective{};
    core::Milliseconds timeLeft{};
};

/** The choice made and what it was based on, for the event log. */
struct RouteDecision
{
    size_t index = 0; ///< Into the candidates given.
    uint32_t cachedTokens = 0;
    core::Milliseconds predictedFirstToken{};
    core::Milliseconds predictedTotal{};
};

/** Settings of the router. */
struct RouterSettings
{
    double assumedPrefillRate = 4'000; ///< Tokens a second for an engine that was never seen.
    double assumedDecodeRate = 30;     ///< Tokens a second and stream, likewise.
    double expectedOutputShare = 0.6;  ///< Share of the asked output that is produced on average.
    double batchSlowdown = 2; ///< Slowdown of decode in a full batch relative to an empty one.
    core::Milliseconds serviceTime{20}; ///< Assumed time of one service call.
    core::Milliseconds tieMargin{3};    ///< Predictions this close count as equal.
};

/** Chooses the endpoint with the lowest predicted time to the first token.
 *
 * The prediction adds up the queue, the part of the prompt not expected in the endpoint's prefix
 * cache, and the decode batch. Load reports age: what this process sent since a report is added
 * to it. Endpoints whose predictions are close count as equal and one of them is drawn at random,
 * so that entries that decide on the same report do not all pick the same endpoint.
 *
 * The object does no I/O and reads no clock.
 */
class Router
{
public:
    explicit Router(RouterSettings settings);

    /** \return nothing when no candidate is usable. */
    std::optional<RouteDecision> choose(const std::vector<EndpointView> &candidates,
                                        const RouteRequest &request, const PrefixIndex &prefixes,
                                        std::mt19937_64 &random) const;

    /** Predicts the outcome at one endpoint. */
    RouteDecision predict(const EndpointView &endpoint, const RouteRequest &request,
                          uint32_t cachedTokens) const;

private:
    RouterSettings m_settings;
};

} // namespace jujube::policy
