#include "serving/storemirror.h"

#include "core/eventlog.h"
#include "core/metrics.h"

#include <algorithm>

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;

constexpr Milliseconds RetryDelay{150};
// Failing calls for longer than this count as an outage, in which leases of live owners may lapse.
constexpr Milliseconds OutageThreshold{1'000};
// Live owners have written their items again by then; the platform states about two seconds.
constexpr Milliseconds RemovalGrace{2'000};
// Deltas always include recent removals: a postponed one has a revision that followers may have
// passed already. Followers request a delta every two seconds.
constexpr Milliseconds RemovalRepeatTime{10'000};
// More than occur while a gateway is cut off from its peers.
constexpr size_t MaxRecentRemovals = 1'024;

} // namespace

std::shared_ptr<StoreMirror> StoreMirror::create(boost::asio::io_context &io, StoreClient &client,
                                                 std::string prefix, Handler handler)
{
    auto mirror = std::shared_ptr<StoreMirror>(
        new StoreMirror(io, client, std::move(prefix), std::move(handler)));
    client.onEra([weak = mirror->weak_from_this()](uint64_t era) {
        if (const auto self = weak.lock())
            self->startEra(era);
    });
    return mirror;
}

StoreMirror::StoreMirror(boost::asio::io_context &io, StoreClient &client, std::string prefix,
                         Handler handler)
    : m_timer(io),
      m_removalTimer(io),
      m_client(client),
      m_prefix(std::move(prefix)),
      m_handler(std::move(handler))
{
}

void StoreMirror::start()
{
    list({});
}

// All known items belong to an earlier era now; answers to calls in progress are ignored.
void StoreMirror::startEra(uint64_t era)
{
    if (era <= m_version.era)
        return;
    m_version = {era, 0};
    m_listVersion = {};
    if (m_items.empty() && !m_complete)
        return; // The first listing is in progress; its answer states the era.
    m_complete = false;
    m_outageEndedAt = core::BootClock::now();
    ++m_callId;
    // A follower receives the new state from its peers.
    if (!m_watchSuspended)
        list({});
}

void StoreMirror::relist()
{
    if (m_watching && m_complete)
        list({});
}

void StoreMirror::list(const std::string &afterKey)
{
    m_watching = false;
    if (afterKey.empty()) {
        m_listedKeys.clear();
        m_listVersion = {};
    }
    const uint64_t callId = ++m_callId;
    const auto self = shared_from_this();
    m_client.list(m_prefix, afterKey, [self, callId](const absl::StatusOr<StorePage> &page) {
        if (callId != self->m_callId)
            return;
        if (!page.ok())
            self->onFailure(page.status());
        else
            self->onPage(*page);
    });
}

void StoreMirror::onPage(const StorePage &page)
{
    onSuccess();
    // The pages of a listing are not a snapshot. Watching from the revision of the first page
    // includes the changes that were made between two pages.
    if (m_listVersion.revision == 0)
        m_listVersion = page.version;
    for (const StoreItem &item : page.items)
        m_listedKeys.insert(item.key);
    applyAll(page, page.version, "listing");
    if (page.hasMore && !page.items.empty()) {
        list(page.items.back().key);
        return;
    }
    if (!m_complete)
        m_removalsCompleteSince = std::max(m_removalsCompleteSince, m_listVersion);
    removeMissing(m_listedKeys, m_listVersion);
    m_version = std::max(m_version, m_listVersion);
    m_complete = true;
    m_handler.onComplete();
    watch();
}

void StoreMirror::applyPeerState(const StorePage &state)
{
    m_client.observeEra(state.version.era);
    if (state.version.era < m_version.era)
        return;
    if (state.baseRevision != 0) {
        // A delta from a later revision would leave a gap.
        if (state.baseRevision > m_version.revision)
            return;
        applyAll(state, state.version, "peer");
        m_version = std::max(m_version, state.version);
        return;
    }
    if (state.version <= m_version)
        return;
    m_removalsCompleteSince =
        std::max(m_removalsCompleteSince, m_complete ? StoreVersion{} : state.version);
    std::set<std::string> present;
    for (const StoreItem &item : state.items)
        present.insert(item.key);
    applyAll(state, state.version, "peer");
    removeMissing(present, state.version);
    m_version = state.version;
    m_complete = true;
}

StorePage StoreMirror::changesAfter(const StoreVersion &version) const
{
    StorePage page;
    page.version = m_version;
    page.baseRevision = m_complete && version >= m_removalsCompleteSince ? version.revision : 0;
    for (const auto &[key, item] : m_items) {
        if (page.baseRevision == 0 || item.version > version)
            page.items.push_back(item);
    }
    const TimePoint now = core::BootClock::now();
    for (const Removal &it : m_recentRemovals) {
        const bool included = it.version > version || now - it.removedAt < RemovalRepeatTime;
        if (page.baseRevision != 0 && included && !m_items.contains(it.key))
            page.items.push_back({it.key, {}, it.version, true});
    }
    return page;
}

void StoreMirror::setFollowing(bool following)
{
    m_following = following;
    if (following || !std::exchange(m_watchSuspended, false))
        return;
    if (m_complete)
        watch();
    else
        list({});
}

void StoreMirror::watch()
{
    m_watchSuspended = m_following;
    if (m_watchSuspended) {
        m_watching = false;
        ++m_callId;
        return;
    }
    m_watching = true;
    const uint64_t callId = ++m_callId;
    const TimePoint now = core::BootClock::now();
    if (now - m_lastWatchAt >= m_minWatchInterval) {
        watchNow(callId);
        return;
    }
    // Changes come in bursts, for instance at startup or with several configurations in a row.
    const auto self = shared_from_this();
    m_timer.expires_after(m_lastWatchAt + m_minWatchInterval - now);
    m_timer.async_wait([self, callId](const boost::system::error_code &ec) {
        if (!ec && callId == self->m_callId)
            self->watchNow(callId);
    });
}

void StoreMirror::watchNow(uint64_t callId)
{
    m_lastWatchAt = core::BootClock::now();
    const auto self = shared_from_this();
    m_client.watch(m_prefix, m_version.revision, m_watchWait,
                   [self, callId](const absl::StatusOr<StorePage> &page) {
                       if (callId != self->m_callId)
                           return;
                       if (!page.ok()) {
                           self->onFailure(page.status());
                           return;
                       }
                       self->onSuccess();
                       self->applyAll(*page, std::nullopt, "watch");
                       self->m_version = std::max(self->m_version, page->version);
                       self->watch();
                   });
}

void StoreMirror::onFailure(const absl::Status &status)
{
    m_watching = false;
    if (absl::IsOutOfRange(status)) {
        core::Event("store.history.gone")
            .with("prefix", m_prefix)
            .with("revision", m_version.revision);
        list({});
        return;
    }
    if (m_failingSince == TimePoint{})
        m_failingSince = core::BootClock::now();
    if (std::exchange(m_reachable, false))
        core::Event("store.lost").with("prefix", m_prefix).with("why", status.message());
    const uint64_t callId = ++m_callId;
    const auto self = shared_from_this();
    m_timer.expires_after(RetryDelay);
    m_timer.async_wait([self, callId](const boost::system::error_code &ec) {
        if (ec || callId != self->m_callId)
            return;
        // Lists all items again, as a watch may lose events with its connection.
        self->list({});
    });
}

void StoreMirror::onSuccess()
{
    const TimePoint now = core::BootClock::now();
    if (!m_reachable) {
        if (m_complete && m_failingSince != TimePoint{} && now - m_failingSince > OutageThreshold)
            m_outageEndedAt = now;
        m_failingSince = {};
        core::Event("store.reached")
            .with("prefix", m_prefix)
            .with("era", m_version.era)
            .with("revision", m_version.revision);
    }
    m_reachable = true;
}

void StoreMirror::applyAll(const StorePage &page, std::optional<StoreVersion> asOf,
                           std::string_view source)
{
    size_t outdated = 0;
    for (const StoreItem &item : page.items)
        outdated += apply(item, asOf.value_or(item.version)) ? 0 : 1;
    if (outdated == 0)
        return;
    core::incrementCounter("jujube_store_outdated_items_total", {}, outdated);
    core::Event("store.items.outdated")
        .with("source", source)
        .with("items", outdated)
        .with("of", page.items.size())
        .with("as_of", page.version.revision)
        .with("era", m_version.era)
        .with("revision", m_version.revision);
}

bool StoreMirror::apply(const StoreItem &item, const StoreVersion &asOf)
{
    const auto it = m_items.find(item.key);
    if (it != m_items.end() && it->second.version >= item.version)
        return true;
    if (item.deleted) {
        remove(item.key, item.version);
        return true;
    }
    if (removedSince(item, asOf))
        return false;
    m_postponedRemovals.erase(item.key);
    m_items.insert_or_assign(item.key, item);
    m_handler.onItem(item);
    return true;
}

// Sources overtake each other: a listing over a slow link arrives after a newer state of a peer. A
// removal that this mirror has applied or postponed is remembered. One that it has not seen, as the
// newer state did not have the item any more, follows from the versions: the mirror has all items
// up to its own version, so an older source that has another one is outdated.
bool StoreMirror::removedSince(const StoreItem &item, const StoreVersion &asOf) const
{
    for (const auto *removals : {&m_removedAt, &m_postponedRemovals}) {
        const auto it = removals->find(item.key);
        if (it != removals->end() && item.version <= it->second)
            return true;
    }
    return m_complete && asOf < m_version && item.version <= m_version;
}

void StoreMirror::removeMissing(const std::set<std::string> &present, const StoreVersion &version)
{
    std::vector<std::string> missing;
    for (const auto &[key, item] : m_items) {
        if (!present.contains(key) && item.version <= version)
            missing.push_back(key);
    }
    for (const std::string &key : missing)
        remove(key, version);
}

void StoreMirror::remove(const std::string &key, const StoreVersion &version)
{
    const auto it = m_items.find(key);
    if (it == m_items.end())
        return;
    const TimePoint now = core::BootClock::now();
    if (m_outageEndedAt != TimePoint{} && now < m_outageEndedAt + RemovalGrace) {
        // The item may have lapsed during the outage: its owner gets time to write it again.
        m_postponedRemovals.insert_or_assign(key, version);
        const auto self = shared_from_this();
        m_removalTimer.expires_after(m_outageEndedAt + RemovalGrace - now);
        m_removalTimer.async_wait([self](const boost::system::error_code &ec) {
            if (!ec)
                self->applyPostponedRemovals();
        });
        return;
    }
    StoreItem removed = it->second;
    removed.deleted = true;
    removed.version = version;
    recordRemoval(key, version);
    m_items.erase(it);
    m_handler.onItem(removed);
}

void StoreMirror::recordRemoval(const std::string &key, const StoreVersion &version)
{
    m_recentRemovals.push_back({key, version, core::BootClock::now()});
    m_removedAt.insert_or_assign(key, version);
    if (m_recentRemovals.size() <= MaxRecentRemovals)
        return;
    const Removal &oldest = m_recentRemovals.front();
    m_removalsCompleteSince = std::max(m_removalsCompleteSince, oldest.version);
    const auto it = m_removedAt.find(oldest.key);
    if (it != m_removedAt.end() && it->second == oldest.version)
        m_removedAt.erase(it);
    m_recentRemovals.pop_front();
}

void StoreMirror::applyPostponedRemovals()
{
    m_outageEndedAt = {};
    for (const auto &[key, version] : std::exchange(m_postponedRemovals, {})) {
        const auto it = m_items.find(key);
        if (it != m_items.end() && it->second.version <= version)
            remove(key, version);
    }
}

} // namespace jujube::serving
