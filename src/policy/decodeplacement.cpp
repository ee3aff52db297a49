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
// While no engine has room, those within this share of the cache of the one with the most room
// count as equal, so that gateways with equal figures choose different ones.
constexpr double EqualCacheShare = 0.02;
// Maximum age of the other gateways' load figures.
constexpr double MaxFigureAgeMs = 100;
constexpr double MinUnseenStreams = 1; ///< Spreads the first streams of idle engines.
constexpr double EqualStreamMs = 1e-6; ///< Lower bound, to divide by.

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

/** An engine that may be chosen. */
struct Option
{
    DecodeChoice choice;
    double ms = 0;           ///< Expected time, with the cost of another failure domain.
    double freeSlots = 0;    ///< Streams that it can take before others have to wait.
    double msPerStream = 0;  ///< Increase of the time by each stream while slots are free.
    double msPerWaiting = 0; ///< The same after that.
    double capacity = 0;     ///< Streams like this one that its KV cache has room for.

    /** Streams after which its expected time reaches a level. */
    double streamsUpTo(double levelMs) const
    {
        const double untilFull = (levelMs - ms) / msPerStream;
        const double streams = untilFull <= freeSlots
            ? untilFull
            : freeSlots + (levelMs - ms - freeSlots * msPerStream) / msPerWaiting;
        return std::clamp(streams, 0.0, capacity);
    }
};

/** Predicts the time that engines take to produce the output of a request. */
class DecodeTimeModel
{
public:
    DecodeTimeModel(const std::vector<PlacementCandidate> &engines, const DecodeDemand &demand,
                    const DecodeStepEstimator &steps)
        : m_tokens(std::max<double>(MinRemainingTokens, demand.outputTokens)),
          m_all(streamsOfAll(engines, m_tokens)),
          m_usualOverlap(overlapShare(m_all.meanRemaining, m_tokens)),
          m_steps(steps)
    {
    }

    // The step time is linear in the number of streams, so the time of all steps follows from the
    // mean number of streams. The penalty adds streams that do not occupy slots.
    Option optionOf(const PlacementCandidate &engine, double penaltySlotShare) const
    {
        const double slots = std::max(1U, engine.slots);
        const Streams streams = streamsOf(engine, m_tokens);
        const double overlap = overlapShare(streams.meanRemaining, m_tokens);
        const double others = std::min(streams.count, slots - 1) * overlap
            + penaltySlotShare * slots * m_usualOverlap;
        const double waitMs = queueTokens(streams, slots) * m_steps.stepMs(slots);
        const auto increase = [&](double ms) {
            return std::max(EqualStreamMs, ms * engine.slowness);
        };
        Option option;
        option.ms = (waitMs + m_tokens * m_steps.stepMs(1 + others)) * engine.slowness;
        option.freeSlots = std::max(0.0, slots - 1 - streams.count);
        option.msPerStream =
            increase(m_tokens * (m_steps.stepMs(1) - m_steps.stepMs(0)) * m_usualOverlap);
        option.msPerWaiting =
            increase(2 * streams.meanRemaining / (slots + 1) * m_steps.stepMs(slots));
        return option;
    }

    /** Streams that all gateways are expected to start within the age of the load figures. What
     * streams have left is half of their length on average. */
    double unseenStreams(size_t engines) const
    {
        const double streamMs = 2 * m_all.meanRemaining
            * m_steps.stepMs(m_all.count / std::max(1.0, static_cast<double>(engines)));
        return std::max(MinUnseenStreams, m_all.count * MaxFigureAgeMs / streamMs);
    }

private:
    double m_tokens;
    Streams m_all;         ///< Of all engines.
    double m_usualOverlap; ///< Of the streams of all engines.
    const DecodeStepEstimator &m_steps;
};

// Time up to which the engines can be filled by a number of streams.
double levelAfter(const std::vector<Option> &options, double streams)
{
    constexpr int iterations = 25;
    const auto less = [](const Option &a, const Option &b) { return a.ms < b.ms; };
    const double least = std::min_element(options.begin(), options.end(), less)->ms;
    double low = least;
    double high = low;
    for (const Option &it : options)
        high = std::max(high, it.ms + streams * std::max(it.msPerStream, it.msPerWaiting));
    for (int i = 0; i < iterations; ++i) {
        const double level = (low + high) / 2;
        double sum = 0;
        for (const Option &it : options)
            sum += it.streamsUpTo(level);
        (sum < streams ? low : high) = level;
    }
    return high;
}

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
    return most >= demand.heldTokens ? demand.heldTokens
                                     : most - EqualCacheShare * demand.cacheTokens;
}

// Each gateway chooses an engine with a probability that evens out the expected times, once all
// gateways have done so for the streams that none of them knows of yet. If each chose the engine
// with the least time, all would choose the same one until the next figures.
std::optional<DecodeChoice> chooseDecodeEngine(const std::vector<PlacementCandidate> &engines,
                                               const DecodeDemand &demand, std::string_view domain,
                                               const PlacementSettings &settings,
                                               const DecodeStepEstimator &steps,
                                               std::mt19937_64 &random)
{
    const DecodeTimeModel model(engines, demand, steps);
    const double requiredRoom = requiredCacheRoom(engines, demand.cache);
    const double streamTokens = std::max<double>(CacheBlockTokens, demand.cache.heldTokens);
    std::vector<Option> options;
    for (size_t i = 0; i < engines.size(); ++i) {
        const PlacementCandidate &engine = engines[i];
        const double room = cacheRoom(engine, demand.cache);
        if (!engine.usable || engine.isPrefillEngine || room < requiredRoom)
            continue;
        const bool isNear = engine.domain == domain;
        Option option = model.optionOf(engine, isNear ? 0 : settings.crossDomainSlotPenalty);
        option.choice = {i, option.ms, room >= demand.cache.heldTokens};
        option.capacity = std::max(1.0, room / streamTokens);
        options.push_back(option);
    }
    if (options.empty())
        return std::nullopt;
    const double level = levelAfter(options, model.unseenStreams(options.size()));
    std::vector<double> weights;
    weights.reserve(options.size());
    for (const Option &it : options)
        weights.push_back(it.streamsUpTo(level));
    return options[std::discrete_distribution<size_t>(weights.begin(), weights.end())(random)]
        .choice;
}

} // namespace jujube::policy
