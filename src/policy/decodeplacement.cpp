#include "policy/decodeplacement.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jujube::policy {

namespace {

// Engines allocate their KV cache in blocks of this size.
constexpr uint64_t CacheBlockTokens = 16;
// The rest is left for answers that are longer than expected and for figures that are late.
constexpr double MaxCacheUse = 0.95;
// Streams that other gateways may have sent to an engine since they stated its load, as a share of
// its slots. Each choice adds a random number up to this, so that gateways with equal figures
// choose different engines. In a simulation of 30 gateways, 20 engines of 64 slots and figures 100
// ms old, 3 streams left 7% of the streams queued at nine tenths of the slots in use, and 10
// streams 1%.
constexpr double MaxUnseenSlotShare = 0.15;
// The same for the choice between failure domains, where more would weaken crossDomainSlotPenalty.
constexpr double MaxUnseenDomainSlotShare = 0.02;

/** Streams of an engine other than the request to be placed. */
struct Streams
{
    double count = 0;
    double meanRemaining = 0; ///< Output tokens that each has left on average.
};

// Streams that peers do not state are assumed to last as long as the request to be placed.
Streams streamsOf(const PlacementCandidate &engine, double outputTokens)
{
    if (engine.running <= 0)
        return {0, outputTokens};
    const double remaining = engine.remainingTokens + engine.unstatedRunning * outputTokens;
    return {engine.running, std::max<double>(MinRemainingTokens, remaining / engine.running)};
}

// Mean share of a request's steps in which one other stream still runs. What streams have left is
// taken as distributed evenly between 0 and twice the mean, as for streams begun at any time.
double overlapShare(double meanRemaining, double outputTokens)
{
    const double longest = 2 * meanRemaining;
    if (outputTokens >= longest)
        return meanRemaining / outputTokens;
    return 1 - outputTokens / (2 * longest);
}

// Output tokens per stream until a slot is free.
double queueTokens(const Streams &streams, double slots)
{
    const double ahead = streams.count + 1 - slots;
    return ahead <= 0 ? 0 : 2 * streams.meanRemaining * ahead / (slots + 1);
}

Streams streamsOfAll(const std::vector<PlacementCandidate> &engines, double outputTokens)
{
    Streams all;
    double remaining = 0;
    for (const PlacementCandidate &it : engines) {
        if (!it.usable || it.isPrefillEngine)
            continue;
        const Streams streams = streamsOf(it, outputTokens);
        all.count += streams.count;
        remaining += streams.count * streams.meanRemaining;
    }
    all.meanRemaining = all.count > 0 ? remaining / all.count : outputTokens;
    return all;
}

/** Predicts the time that an engine takes to produce the output of a request. */
class DecodeTimeModel
{
public:
    DecodeTimeModel(const std::vector<PlacementCandidate> &engines, const DecodeDemand &demand,
                    const DecodeStepEstimator &steps)
        : m_tokens(std::max<double>(MinRemainingTokens, demand.outputTokens)),
          m_usualOverlap(overlapShare(streamsOfAll(engines, m_tokens).meanRemaining, m_tokens)),
          m_steps(steps)
    {
    }

    // The step time is linear in the number of streams, so the time of all steps follows from the
    // mean number of streams. Unseen streams may fill the slots; those of the penalty do not, as
    // they stand for the cost of traffic between failure domains.
    double expectedMs(const PlacementCandidate &engine, double unseenSlotShare,
                      double penaltySlotShare) const
    {
        const double slots = std::max(1U, engine.slots);
        Streams streams = streamsOf(engine, m_tokens);
        streams.count += unseenSlotShare * slots;
        const double others =
            std::min(streams.count, slots - 1) * overlapShare(streams.meanRemaining, m_tokens)
            + penaltySlotShare * slots * m_usualOverlap;
        const double waitMs = queueTokens(streams, slots) * m_steps.stepMs(slots);
        return (waitMs + m_tokens * m_steps.stepMs(1 + others)) * engine.slowness;
    }

private:
    double m_tokens;
    double m_usualOverlap; ///< Of the streams of all engines.
    const DecodeStepEstimator &m_steps;
};

/** The preferred engine of some failure domains. */
struct Favorite
{
    std::optional<DecodeChoice> choice;
    double leastMs = std::numeric_limits<double>::max(); ///< Of the choice, with unseen streams.
    /** Least time of any engine, to compare domains by. */
    double leastDomainMs = std::numeric_limits<double>::max();

    void consider(const DecodeChoice &candidate, double unseenMs, double domainMs)
    {
        leastDomainMs = std::min(leastDomainMs, domainMs);
        if (unseenMs >= leastMs)
            return;
        leastMs = unseenMs;
        choice = candidate;
    }
};

uint32_t limited(uint64_t tokens)
{
    return static_cast<uint32_t>(std::min<uint64_t>(tokens, std::numeric_limits<uint32_t>::max()));
}

} // namespace

DecodeLoad decodeLoadOf(uint32_t promptTokens, double expectedOutputTokens, uint64_t producedTokens)
{
    const auto expected = static_cast<uint64_t>(std::max(0.0, std::ceil(expectedOutputTokens)));
    const uint64_t output = std::max(expected, producedTokens + MinRemainingTokens);
    return {limited(output - producedTokens), wholeCacheBlocks(promptTokens + output)};
}

uint32_t wholeCacheBlocks(uint64_t tokens)
{
    return limited((tokens + CacheBlockTokens - 1) / CacheBlockTokens * CacheBlockTokens);
}

bool exceedsCache(uint32_t promptTokens, uint64_t cacheTokens)
{
    return cacheTokens > 0 && promptTokens >= cacheTokens;
}

double cacheRoom(const PlacementCandidate &engine, const CacheDemand &demand)
{
    if (demand.cacheTokens <= 0)
        return std::numeric_limits<double>::infinity();
    return MaxCacheUse * demand.cacheTokens - engine.heldTokens;
}

double requiredCacheRoom(const std::vector<PlacementCandidate> &engines, const CacheDemand &demand)
{
    double most = -std::numeric_limits<double>::infinity();
    for (const PlacementCandidate &it : engines) {
        if (it.usable && !it.isPrefillEngine)
            most = std::max(most, cacheRoom(it, demand));
    }
    return std::min(demand.heldTokens, most);
}

std::optional<DecodeChoice> chooseDecodeEngine(const std::vector<PlacementCandidate> &engines,
                                               const DecodeDemand &demand, std::string_view domain,
                                               const PlacementSettings &settings,
                                               const DecodeStepEstimator &steps,
                                               std::mt19937_64 &random)
{
    const DecodeTimeModel model(engines, demand, steps);
    const double requiredRoom = requiredCacheRoom(engines, demand.cache);
    std::uniform_real_distribution<double> uniform(0, 1);
    Favorite near;
    Favorite far;
    for (size_t i = 0; i < engines.size(); ++i) {
        const PlacementCandidate &engine = engines[i];
        const double room = cacheRoom(engine, demand.cache);
        if (!engine.usable || engine.isPrefillEngine || room < requiredRoom)
            continue;
        const bool isNear = engine.domain == domain;
        const double penalty = (isNear ? 0 : settings.crossDomainSlotPenalty)
            + MaxUnseenDomainSlotShare * uniform(random);
        (isNear ? near : far)
            .consider({i, model.expectedMs(engine, 0, 0), room >= demand.cache.heldTokens},
                      model.expectedMs(engine, MaxUnseenSlotShare * uniform(random), 0),
                      model.expectedMs(engine, 0, penalty));
    }
    return far.leastDomainMs < near.leastDomainMs ? far.choice : near.choice;
}

} // namespace jujube::policy
