#include "policy/requestcost.h"

#include <algorithm>
#include <cmath>

namespace jujube::policy {

namespace {

constexpr uint64_t BlockTokens = 16; ///< Engines allocate their KV cache in blocks of this size.
constexpr double MaxOutputTokens = 1e9;
// The rest of the memory is left for outputs that are longer than expected.
constexpr double UsableMemoryShare = 0.95;

} // namespace

RequestCost RequestCost::of(uint32_t promptTokens, uint32_t cachedTokens,
                            double expectedOutputTokens)
{
    RequestCost cost;
    cost.prefillTokens = promptTokens - std::min(promptTokens, cachedTokens);
    cost.outputTokens =
        expectedOutputTokens > 0 ? std::min(expectedOutputTokens, MaxOutputTokens) : 0;
    const uint64_t tokens = promptTokens + static_cast<uint64_t>(std::ceil(cost.outputTokens));
    cost.memoryTokens = (tokens + BlockTokens - 1) / BlockTokens * BlockTokens;
    return cost;
}

double RequestCost::engineTime(double prefillTokensPerMs, double fullStepMs, uint32_t slots) const
{
    const double prefillMs = prefillTokensPerMs > 0 ? prefillTokens / prefillTokensPerMs : 0;
    const double decodeMs = slots > 0 ? outputTokens * std::max(0.0, fullStepMs) / slots : 0;
    return prefillMs + decodeMs;
}

std::optional<uint64_t> usableMemoryTokens(uint64_t cacheTokens)
{
    if (cacheTokens == 0)
        return std::nullopt;
    return static_cast<uint64_t>(UsableMemoryShare * static_cast<double>(cacheTokens));
}

bool exceedsEngineMemory(const RequestCost &cost, uint64_t cacheTokens)
{
    const auto usable = usableMemoryTokens(cacheTokens);
    return usable && cost.memoryTokens > *usable;
}

} // namespace jujube::policy
