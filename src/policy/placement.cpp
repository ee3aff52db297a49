#include "policy/placement.h"

#include <algorithm>
#include <limits>
#include <xxhash.h>

namespace jujube::policy {

namespace {

core::Milliseconds wholeMs(double ms)
{
    return core::Milliseconds(static_cast<int64_t>(ms));
}

// Rendezvous hashing: every entry ranks engines alike, and a lost engine moves only its own parts.
std::optional<size_t> homeOf(const std::vector<PlacementView> &engines, uint64_t affinity)
{
    std::optional<size_t> home;
    uint64_t best = 0;
    for (size_t i = 0; i < engines.size(); ++i) {
        if (!engines[i].usable)
            continue;
        const uint64_t score
            = XXH3_64bits_withSeed(engines[i].id.data(), engines[i].id.size(), affinity);
        if (!home || score > best) {
            home = i;
            best = score;
        }
    }
    return home;
}

double uncached(const PlacementView &engine, const PromptSize &prompt)
{
    return prompt.tokens - static_cast<double>(std::min(engine.cachedTokens, prompt.tokens));
}

} // namespace

std::optional<PrefillChoice> choosePrefill(const std::vector<PlacementView> &engines,
                                           const PromptSize &prompt,
                                           const PlacementSettings &settings,
                                           std::mt19937_64 &random)
{
    const auto home = prompt.affinity != 0 ? homeOf(engines, prompt.affinity) : std::nullopt;
    std::optional<PrefillChoice> choice;
    double best = std::numeric_limits<double>::max();
    std::uniform_real_distribution<double> tie(0, 1);
    for (size_t i = 0; i < engines.size(); ++i) {
        const PlacementView &engine = engines[i];
        if (!engine.usable)
            continue;
        const double missing = uncached(engine, prompt);
        const double expected = home == i ? std::min(missing, prompt.tokens * settings.homeShare)
                                          : missing;
        const double ms = (engine.backlogTokens + expected) * engine.slowness
                / settings.prefillTokensPerMs
            + tie(random);
        if (ms < best) {
            best = ms;
            choice = PrefillChoice{i, static_cast<uint32_t>(missing), wholeMs(ms)};
        }
    }
    return choice;
}

std::optional<size_t> chooseRunner(const std::vector<PlacementView> &endpoints,
                                   std::string_view domain, const PlacementSettings &settings,
                                   std::mt19937_64 &random)
{
    constexpr double TieShare = 0.02; // Loads this close are equal within the age of the figures.
    std::optional<size_t> choice;
    double best = std::numeric_limits<double>::max();
    std::uniform_real_distribution<double> tie(0, TieShare);
    for (size_t i = 0; i < endpoints.size(); ++i) {
        const PlacementView &endpoint = endpoints[i];
        if (!endpoint.usable)
            continue;
        double share = (endpoint.running + 1) * endpoint.slowness / std::max(1U, endpoint.slots);
        if (endpoint.domain != domain)
            share += settings.crossDomainPenalty;
        share += tie(random);
        if (share < best) {
            best = share;
            choice = i;
        }
    }
    return choice;
}

core::Milliseconds predictSelfPrefill(const PlacementView &engine, const PromptSize &prompt,
                                      const PlacementSettings &settings)
{
    const double rate = settings.prefillTokensPerMs * settings.selfPrefillShare;
    return wholeMs((engine.backlogTokens + uncached(engine, prompt)) * engine.slowness / rate)
        + settings.firstToken;
}

} // namespace jujube::policy
