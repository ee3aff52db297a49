#include "serving/statefeed.h"

#include "core/eventlog.h"
#include "serving/stateserver.h"

#include <algorithm>
#include <xxhash.h>

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;

// A watcher that is silent is replaced by the next gateway in the order.
constexpr size_t MaxWatchersBesidesHub = 5;
constexpr size_t MinFeeders = 2;
constexpr Milliseconds FetchInterval{400};
constexpr Milliseconds FetchTimeout{800};
// Limits how late postponed removals arrive: a peer that applies one after an outage does not raise
// its revision, so nothing announces it.
constexpr Milliseconds RefreshInterval{2'000};
// Slightly longer than two missed refreshes.
constexpr Milliseconds FeedTimeout{5'000};

} // namespace

bool watchesForOthers(const std::string &name, const std::string &hub,
                      const std::vector<HubCandidate> &candidates)
{
    return name == hub || isBestEquipped(name, hub, candidates, MaxWatchersBesidesHub);
}

std::optional<size_t> chooseFeeder(const std::vector<FeedPeer> &peers,
                                   const StoreVersion &newerThan, size_t turn)
{
    const auto select = [&](const std::function<bool(const FeedPeer &)> &fits) {
        std::vector<size_t> result;
        for (size_t i = 0; i < peers.size(); ++i) {
            if (fits(peers[i]))
                result.push_back(i);
        }
        return result;
    };
    const auto newer = [&](const FeedPeer &it) { return it.storeVersion > newerThan; };
    auto sources = select([&](const FeedPeer &it) { return it.watchesStore && newer(it); });
    if (sources.empty())
        sources = select(newer);
    if (sources.empty())
        sources = select([](const FeedPeer &it) { return it.watchesStore; });
    if (sources.empty())
        return std::nullopt;
    return sources[turn % sources.size()];
}

size_t initialTurn(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

StateFeed::StateFeed(http::Client &httpClient, std::string_view name,
                     std::function<void(const StorePage &)> onState)
    : m_httpClient(httpClient), m_onState(std::move(onState)), m_turn(initialTurn(name))
{
}

bool StateFeed::refreshDue(TimePoint now) const
{
    return now - m_requestedAt >= RefreshInterval;
}

bool StateFeed::isFed(const std::vector<FeedPeer> &peers, TimePoint now) const
{
    const auto feeders = std::count_if(peers.begin(), peers.end(),
                                       [](const FeedPeer &it) { return it.watchesStore; });
    return static_cast<size_t>(feeders) >= MinFeeders && m_lastStateAt != TimePoint{}
    && now - m_lastStateAt < FeedTimeout;
}

void StateFeed::fetch(const std::vector<FeedPeer> &peers, const StoreVersion &newerThan,
                      TimePoint now)
{
    if (m_requestedAt != TimePoint{} && now - m_requestedAt < FetchInterval)
        return;
    // A second transfer would take half of the link from one that makes progress.
    if (m_inProgress > 0 && now - m_receivedAt < FetchInterval)
        return;
    const auto chosen = chooseFeeder(peers, newerThan, m_turn++);
    if (!chosen)
        return;
    const FeedPeer *peer = &peers[*chosen];
    m_requestedAt = now;
    ++m_inProgress;
    m_httpClient.call(
        peer->address, stateRequest(newerThan), FetchTimeout,
        [this, name = peer->name, now](const http::CallResult &result) {
            --m_inProgress;
            handleResponse(name, now, result);
        },
        http::ConnectionMode::Pooled, [this]() { m_receivedAt = core::BootClock::now(); },
        http::StoreBodyBytes);
}

void StateFeed::handleResponse(const std::string &peer, TimePoint requestedAt,
                               const http::CallResult &result)
{
    if (!result.response.ok()) {
        const auto elapsed =
            std::chrono::duration_cast<Milliseconds>(core::BootClock::now() - requestedAt);
        core::Event("peer.state.failed")
            .with("peer", peer)
            .with("why", result.response.status().message())
            .with("received_bytes", result.receivedBytes)
            .with("after_ms", elapsed.count())
            .with("others_in_progress", m_inProgress);
        return;
    }
    const auto state = decodeStateResponse(*result.response);
    if (!state.ok()) {
        core::Event("peer.state.invalid").with("peer", peer).with("why", state.status().message());
        return;
    }
    m_lastStateAt = core::BootClock::now();
    if (!state->items.empty())
        core::Event("peer.state.taken")
            .with("peer", peer)
            .with("era", state->version.era)
            .with("revision", state->version.revision)
            .with("changes_after", state->baseRevision)
            .with("items", state->items.size());
    m_onState(*state);
}

} // namespace jujube::serving
