#include "policy/router.h"

#include <algorithm>

namespace jujube::policy {

namespace {

core::Milliseconds boundedMs(double value)
{
    // Limited to a day, so that an endpoint with an infinite prediction stays comparable and the
    // conversion does not overflow.
    return core::Milliseconds(static_cast<int64_t>(std::clamp(value, 0.0, 86'400.0) * 1'000));
}

double secondsFor(double amount, double rate)
{
    return rate > 0 ? amount / rate : 86'400.0;
}

} // namespace

Router::Router(RouterSettings settings) : m_settings(settings)
{
}

RouteDecision Router::predict(const EndpointView &endpoint, const RouteRequest &request,
                              uint32_t cachedTokens) const
{
    RouteDecision decision;
    decision.cachedTokens = cachedTokens;
    const core::LoadReport &load = endpoint.load;
    const uint32_t slots = std::max(load.slots, 1U);
    const double inFlight = load.running + load.queuedRequests + endpoint.sentRequests;
    if (request.kind == core::WorkKind::Service) {
        const double rounds = inFlight / slots;
        decision.predictedFirstToken = boundedMs(rounds * m_settings.serviceTime.count() / 1'000.0);
        decision.predictedTotal = decision.predictedFirstToken + m_settings.serviceTime;
        return decision;
    }

    const double prefillRate = load.prefillTokensPerSecond > 0 ? load.prefillTokensPerSecond
                                                               : m_settings.assumedPrefillRate;
    const double decodeRate =
        load.decodeTokensPerSecond > 0 ? load.decodeTokensPerSecond : m_settings.assumedDecodeRate;
    const double ownPrefill = request.promptTokens - std::min(cachedTokens, request.promptTokens);
    const double waitingPrefill = static_cast<double>(load.queuedPrefillTokens)
        + static_cast<double>(endpoint.sentPrefillTokens);

    // A request waits for a slot if all are in use; slots become free as outputs complete.
    double slotWaitSeconds = 0;
    if (inFlight >= slots) {
        const double excess = inFlight - slots + 1;
        const double outstanding = static_cast<double>(load.outstandingOutputTokens)
            + static_cast<double>(endpoint.sentOutputTokens);
        const double meanOutput =
            outstanding * m_settings.expectedOutputShare / std::max(inFlight, 1.0);
        slotWaitSeconds = secondsFor(excess * meanOutput, decodeRate * slots);
    }

    // An engine with too little free KV memory must finish other requests before it can admit this
    // one.
    const double neededPieces =
        std::max(1.0, (request.promptTokens + request.outputTokens) / double(core::KvPieceTokens));
    double memoryWaitSeconds = 0;
    if (load.running > 0 && load.freeKvPieces < neededPieces) {
        const double missing = neededPieces - load.freeKvPieces;
        memoryWaitSeconds = secondsFor(
            missing * core::KvPieceTokens * m_settings.expectedOutputShare, decodeRate * slots);
    }

    const double firstTokenSeconds =
        slotWaitSeconds + memoryWaitSeconds + secondsFor(waitingPrefill + ownPrefill, prefillRate);
    // The step time grows with the batch size, and later requests find fewer free slots.
    const double slowdown = 1 + m_settings.batchSlowdown * inFlight / slots;
    const double decodeSeconds =
        secondsFor(request.outputTokens * m_settings.expectedOutputShare, decodeRate) * slowdown;
    decision.predictedFirstToken = boundedMs(firstTokenSeconds);
    decision.predictedTotal = boundedMs(firstTokenSeconds + decodeSeconds);
    return decision;
}

std::optional<RouteDecision> Router::choose(const std::vector<EndpointView> &candidates,
                                            const RouteRequest &request,
                                            const PrefixIndex &prefixes,
                                            std::mt19937_64 &random) const
{
    std::vector<RouteDecision> usable;
    for (size_t i = 0; i < candidates.size(); ++i) {
        const EndpointView &endpoint = candidates[i];
        if (endpoint.probeDue) {
            // A single request shows whether an ejected endpoint has recovered.
            RouteDecision probe = predict(endpoint, request, 0);
            probe.index = i;
            return probe;
        }
        if (!endpoint.usable)
            continue;
        const uint32_t cached = prefixes.cachedTokens(endpoint.vm, request.prefixBlocks);
        RouteDecision decision = predict(endpoint, request, cached);
        decision.index = i;
        usable.push_back(decision);
    }
    if (usable.empty())
        return std::nullopt;

    // Time beyond the first-token objective is added twice to the total time. Among endpoints that
    // meet the objective, the one with the shortest total time wins, which keeps long outputs off
    // engines that decode slowly.
    const auto cost = [&request](const RouteDecision &it) {
        const auto late =
            std::max(it.predictedFirstToken - request.firstTokenObjective, core::Milliseconds(0));
        return it.predictedTotal + late * 2;
    };
    const auto best =
        *std::min_element(usable.begin(), usable.end(),
                          [&cost](const auto &a, const auto &b) { return cost(a) < cost(b); });
    std::vector<RouteDecision> ties;
    for (const RouteDecision &it : usable) {
        if (cost(it) <= cost(best) + m_settings.tieMargin)
            ties.push_back(it);
    }
    std::uniform_int_distribution<size_t> pick(0, ties.size() - 1);
    return ties[pick(random)];
}

} // namespace jujube::policy
