#include "policy/placement.h"

#include "policy/decodeplacement.h"

#include <algorithm>
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
std::optional<size_t> preferredEngine(const std::vector<PlacementCandidate> &engines,
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

} // namespace

std::optional<PrefillChoice> choosePrefillEngine(const std::vector<PlacementCandidate> &engines,
                                                 const PromptInfo &prompt,
                                                 const PlacementSettings &settings,
                                                 std::mt19937_64 &random)
{
    // The preferred engine matters only for the first prefill of a prefix; afterwards it can be
    // fetched from the endpoints that hold it.
    const bool uncachedPrefix = prompt.prefixHash != 0 && prompt.fetchableTokens == 0;
    const auto preferred =
        uncachedPrefix ? preferredEngine(engines, prompt.prefixHash) : std::nullopt;
    std::optional<PrefillChoice> choice;
    const double requiredRoom = requiredCacheRoom(engines, prompt.cache);
    double best = std::numeric_limits<double>::max();
    std::uniform_real_distribution<double> tie(0, 1);
    for (size_t i = 0; i < engines.size(); ++i) {
        const PlacementCandidate &engine = engines[i];
        if (!engine.usable
            || (!engine.isPrefillEngine
                && (engine.running >= engine.slots * settings.maxColocatedSlotUse
                    || cacheRoom(engine, prompt.cache) < requiredRoom)))
            continue;
        const PrefillTimeModel &model =
            engine.isPrefillEngine ? settings.disaggregatedPrefill : settings.colocatedPrefill;
        const bool fetch = prompt.fetchableTokens > engine.cachedTokens + settings.minFetchTokens;
        const uint32_t reusableTokens = fetch ? prompt.fetchableTokens : engine.cachedTokens;
        const double missingTokens = prompt.tokens - std::min(reusableTokens, prompt.tokens);
        const double expectedTokens = preferred == i
            ? std::min(missingTokens, prompt.tokens * (1 - settings.preferredCachedShare))
            : missingTokens;
        const double crossDomainMs =
            engine.domain == settings.domain ? 0 : settings.crossDomainPrefillMs;
        const double ms = model.fixedMs + crossDomainMs + (fetch ? settings.prefixFetchMs : 0)
            + (engine.backlogTokens + expectedTokens) * engine.slowness / model.tokensPerMs
            + tie(random);
        if (ms < best) {
            best = ms;
            choice = PrefillChoice{i, static_cast<uint32_t>(missingTokens), fetch, wholeMs(ms)};
        }
    }
    return choice;
}

std::optional<size_t> chooseLeastLoadedEndpoint(const std::vector<PlacementCandidate> &endpoints,
                                                std::string_view domain,
                                                const PlacementSettings &settings,
                                                std::mt19937_64 &random)
{
    // Load figures are not recent enough to tell smaller differences.
    constexpr double tieShare = 0.02;
    std::optional<size_t> choice;
    double best = std::numeric_limits<double>::max();
    std::uniform_real_distribution<double> tie(0, tieShare);
    for (size_t i = 0; i < endpoints.size(); ++i) {
        const PlacementCandidate &endpoint = endpoints[i];
        if (!endpoint.usable)
            continue;
        double share = (endpoint.running + 1) * endpoint.slowness / std::max(1U, endpoint.slots);
        if (endpoint.domain != domain)
            share += settings.crossDomainSlotPenalty;
        share += tie(random);
        if (share < best) {
            best = share;
            choice = i;
        }
    }
    return choice;
}

} // namespace jujube::policy
