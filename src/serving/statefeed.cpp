#include "serving/statefeed.h"

#include "core/eventlog.h"
#include "core/text.h"
#include "serving/news.h"

#include <algorithm>
#include <charconv>
#include <xxhash.h>

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;

// Besides the hub. As many again may be lost at once, with a failure domain, before others take
// over.
constexpr size_t Watchers = 5;
constexpr size_t LeastFeeders = 2;
constexpr Milliseconds FetchInterval{400};
constexpr Milliseconds FetchTimeout{800};
// Removals that peers held back after an outage come without a new revision.
constexpr Milliseconds RefreshInterval{2'000};
// Two refreshes that were not answered.
constexpr Milliseconds FeedSilence{5'000};
constexpr std::string_view AfterParameter = "?after=";

} // namespace

bool watchesForOthers(const std::string &name, const std::string &hub,
                      const std::vector<HubCandidate> &candidates)
{
    if (name == hub)
        return true;
    const auto self = std::find_if(candidates.begin(), candidates.end(),
                                   [&](const HubCandidate &it) { return it.name == name; });
    if (self == candidates.end())
        return true;
    const auto hash = [](const std::string &it) { return XXH3_64bits(it.data(), it.size()); };
    const auto before =
        std::count_if(candidates.begin(), candidates.end(), [&](const HubCandidate &it) {
            if (!it.alive || it.name == name || it.name == hub)
                return false;
            return it.processorShare != self->processorShare
                ? it.processorShare > self->processorShare
                : hash(it.name) < hash(name);
        });
    return static_cast<size_t>(before) < Watchers;
}

StateFeed::StateFeed(http::Caller &caller, std::function<void(const StorePage &)> onState)
    : m_caller(caller), m_onState(std::move(onState))
{
}

http::Request StateFeed::request(uint64_t newerThan)
{
    http::Request request;
    request.head.method = "GET";
    request.head.target = core::concat(Path, AfterParameter, newerThan);
    return request;
}

std::optional<uint64_t> StateFeed::askedRevision(std::string_view target)
{
    if (!target.starts_with(Path))
        return std::nullopt;
    target.remove_prefix(std::string_view(Path).size());
    if (target.empty())
        return 0;
    if (!target.starts_with(AfterParameter))
        return std::nullopt;
    target.remove_prefix(AfterParameter.size());
    uint64_t revision = 0;
    const auto [end, ec] = std::from_chars(target.data(), target.data() + target.size(), revision);
    if (ec != std::errc() || end != target.data() + target.size())
        return std::nullopt;
    return revision;
}

bool StateFeed::refreshDue(TimePoint now) const
{
    return now - m_askedAt >= RefreshInterval;
}

bool StateFeed::fed(const std::vector<FeedPeer> &peers, TimePoint now) const
{
    const auto feeders =
        std::count_if(peers.begin(), peers.end(), [](const FeedPeer &it) { return it.watches; });
    return static_cast<size_t>(feeders) >= LeastFeeders && m_fedAt != TimePoint{}
    && now - m_fedAt < FeedSilence;
}

// Who knows more goes first, then whoever watches.
const FeedPeer *StateFeed::choose(const std::vector<FeedPeer> &peers, uint64_t newerThan)
{
    std::vector<const FeedPeer *> sources;
    for (const FeedPeer &it : peers) {
        if (it.storeRevision > newerThan)
            sources.push_back(&it);
    }
    if (sources.empty()) {
        for (const FeedPeer &it : peers) {
            if (it.watches)
                sources.push_back(&it);
        }
    }
    return sources.empty() ? nullptr : sources[m_turn++ % sources.size()];
}

void StateFeed::fetch(const std::vector<FeedPeer> &peers, uint64_t newerThan, TimePoint now)
{
    if (m_askedAt != TimePoint{} && now - m_askedAt < FetchInterval)
        return;
    const FeedPeer *peer = choose(peers, newerThan);
    if (!peer)
        return;
    m_askedAt = now;
    m_caller.call(peer->address, request(newerThan), FetchTimeout,
                  [this, name = peer->name](const http::CallResult &result) {
                      if (!result.response.ok()) {
                          core::Event("peer.state.failed")
                              .with("peer", name)
                              .with("why", result.response.status().message());
                          return;
                      }
                      const auto state = decodeState(result.response->body);
                      if (!state.ok()) {
                          core::Event("peer.state.invalid")
                              .with("peer", name)
                              .with("why", state.status().message());
                          return;
                      }
                      m_fedAt = core::BootClock::now();
                      if (!state->items.empty())
                          core::Event("peer.state.taken")
                              .with("peer", name)
                              .with("revision", state->revision)
                              .with("changes_after", state->base)
                              .with("items", state->items.size());
                      m_onState(*state);
                  });
}

} // namespace jujube::serving
