#pragma once

/** \file
 * Defines the router, which chooses the endpoint for an attempt of a request.
 */

#include "core/work.h"
#include "policy/prefixindex.h"

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace jujube::policy {

/** State of one endpoint that a routing decision is based on. */
struct EndpointView
{
    std::string vm;
    std::string domain;
    core::LoadReport load;
    core::TimePoint reportedAt{};   ///< When the load report was received.
    uint64_t sentPrefillTokens = 0; ///< Prefill tokens sent by this process since that report.
    uint64_t sentOutputTokens = 0;  ///< Output tokens requested by this process since that report.
    uint32_t sentRequests = 0;      ///< Requests sent by this process since that report.
    bool usable = false;            ///< Connected, not drained, not ejected as an outlier.
    bool probeDue = false;          ///< Ejected and due for a single probe request.
};

/** Properties of a request that routing depends on. */
struct RouteRequest
{
    core::WorkKind kind = core::WorkKind::Language;
    uint32_t promptTokens = 0;
    uint32_t outputTokens = 0; ///< Upper bound requested by the caller.
    std::vector<uint64_t> prefixBlocks;
    core::Milliseconds firstTokenObjective{};
    core::Milliseconds timeLeft{};
};

/** The chosen endpoint and the predictions it is based on. */
struct RouteDecision
{
    size_t index = 0; ///< Index of the candidate.
    uint32_t cachedTokens = 0;
    core::Milliseconds predictedFirstToken{};
    core::Milliseconds predictedTotal{};
};

/** Settings of the router. */
struct RouterSettings
{
    double assumedPrefillRate = 4'000; ///< Tokens per second for an engine without a measured rate.
    double assumedDecodeRate = 30;     ///< Tokens per second and stream, likewise.
    /** Share of the requested output that is produced on average. */
    double expectedOutputShare = 0.6;
    /** Additional relative decode time in a full batch compared with an empty one. */
    double batchSlowdown = 2;
    core::Milliseconds serviceTime{20}; ///< Assumed time of one service call.
    core::Milliseconds tieMargin{3};    ///< Predictions that differ by at most this count as equal.
};

/** Chooses the endpoint with the lowest predicted total time, with a penalty for a first token
 * later than its objective.
 *
 * The predicted time to the first token is the sum of the times for the queue, for the part of the
 * prompt that is not expected in the endpoint's prefix cache, and for a free decode slot and free
 * KV memory; the total adds the time to decode the output in the present batch. Load reports become
 * outdated, so the work sent by this process since a report is added to it. Endpoints with close
 * predictions count as equal and one of them is chosen at random, so that entries that decide on
 * the same report do not all choose the same endpoint.
 *
 * Does no I/O and reads no clock.
 */
class Router
{
public:
    explicit Router(RouterSettings settings);

    /** Chooses a candidate, first of all one that is due for a probe.
     * \return nothing if no candidate is usable. */
    std::optional<RouteDecision> choose(const std::vector<EndpointView> &candidates,
                                        const RouteRequest &request, const PrefixIndex &prefixes,
                                        std::mt19937_64 &random) const;

    /** Predicts the times to the first token and to the end of the answer at one endpoint. */
    RouteDecision predict(const EndpointView &endpoint, const RouteRequest &request,
                          uint32_t cachedTokens) const;

private:
    RouterSettings m_settings;
};

} // namespace jujube::policy
