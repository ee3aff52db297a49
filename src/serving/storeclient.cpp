#include "serving/storeclient.h"

#include "core/eventlog.h"
#include "platform/storecodec.h"

#include <algorithm>

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;

// The store answers in some 4 ms, and 60 times as slowly on bad days.
constexpr Milliseconds CallTimeout{1'000};
constexpr Milliseconds WatchSlack{600};
constexpr Milliseconds RetryDelay{150};
// Silence that counts as an outage, in which leases may have lapsed through no fault of the owner.
constexpr Milliseconds OutageAfter{1'000};
// Owners that live have renewed their items by then (the platform states about two seconds).
constexpr Milliseconds RemovalGrace{2'000};
// A follower asks every two seconds; what was removed in the last ones is told again, as a removal
// that was held back bears an older revision.
constexpr Milliseconds RemovalRetold{10'000};
constexpr size_t RemovalsKept = 1'024; // More than are removed while a gateway is out of touch.

template <typename T, typename Decode>
std::function<void(http::CallResult)> decoding(StoreClient::Callback<T> done, Decode decode)
{
    return [done = std::move(done), decode](const http::CallResult &result) {
        if (!result.response.ok())
            done(result.response.status());
        else
            done(decode(*result.response));
    };
}

} // namespace

StoreClient::StoreClient(http::Caller &caller, std::string address)
    : m_caller(caller), m_address(std::move(address))
{
}

void StoreClient::get(const std::string &key, Callback<StoreItem> done)
{
    m_caller.call(m_address, platform::getCall(key), CallTimeout,
                  decoding<StoreItem>(std::move(done), platform::decodeItem));
}

void StoreClient::list(const std::string &prefix, const std::string &afterKey,
                       Callback<StorePage> done)
{
    m_caller.call(m_address, platform::listCall(prefix, afterKey, false), CallTimeout,
                  decoding<StorePage>(std::move(done), platform::decodeListing));
}

void StoreClient::watch(const std::string &prefix, uint64_t afterRevision, Milliseconds wait,
                        Callback<StorePage> done)
{
    m_caller.call(m_address, platform::watchCall(prefix, afterRevision, wait), wait + WatchSlack,
                  decoding<StorePage>(std::move(done), platform::decodeEvents));
}

void StoreClient::commit(const StoreCommit &commit, Callback<uint64_t> done)
{
    m_caller.call(m_address, platform::commitCall(commit), CallTimeout,
                  decoding<uint64_t>(std::move(done), platform::decodeCommit));
}

void StoreClient::grantLease(Milliseconds lifetime, Callback<uint64_t> done)
{
    m_caller.call(m_address, platform::grantLeaseCall(lifetime), CallTimeout,
                  decoding<uint64_t>(std::move(done), platform::decodeLease));
}

void StoreClient::renewLease(uint64_t lease, std::function<void(absl::Status)> done)
{
    m_caller.call(m_address, platform::renewLeaseCall(lease), CallTimeout,
                  [done = std::move(done)](const http::CallResult &result) {
                      done(result.response.ok() ? platform::decodeRenewal(*result.response)
                                                : result.response.status());
                  });
}

std::shared_ptr<StoreMirror> StoreMirror::create(boost::asio::io_context &io, StoreClient &client,
                                                 std::string prefix, Handler handler)
{
    return std::shared_ptr<StoreMirror>(
        new StoreMirror(io, client, std::move(prefix), std::move(handler)));
}

StoreMirror::StoreMirror(boost::asio::io_context &io, StoreClient &client, std::string prefix,
                         Handler handler)
    : m_timer(io),
      m_removal(io),
      m_client(client),
      m_prefix(std::move(prefix)),
      m_handler(std::move(handler))
{
}

void StoreMirror::start()
{
    list({});
}

void StoreMirror::hurry()
{
    if (m_watching && m_complete)
        list({});
}

void StoreMirror::list(const std::string &afterKey)
{
    m_watching = false;
    if (afterKey.empty()) {
        m_seen.clear();
        m_listRevision = 0;
    }
    const uint64_t round = ++m_round;
    const auto self = shared_from_this();
    m_client.list(m_prefix, afterKey, [self, round](const absl::StatusOr<StorePage> &page) {
        if (round != self->m_round)
            return;
        if (!page.ok())
            self->failed(page.status());
        else
            self->listed(*page);
    });
}

void StoreMirror::listed(const StorePage &page)
{
    answered();
    // Pages are no snapshot: watching starts at the first one's revision, so that nothing written
    // between two pages is missed.
    if (m_listRevision == 0)
        m_listRevision = page.revision;
    for (const StoreItem &item : page.items) {
        m_seen.insert(item.key);
        apply(item);
    }
    if (page.more && !page.items.empty()) {
        list(page.items.back().key);
        return;
    }
    if (!m_complete)
        m_removalsFrom = std::max(m_removalsFrom, m_listRevision);
    removeMissing(m_seen, m_listRevision);
    m_revision = std::max(m_revision, m_listRevision);
    m_complete = true;
    m_handler.onComplete();
    watch();
}

void StoreMirror::absorb(const StorePage &state)
{
    if (state.base != 0) {
        // Changes that begin after what is known here would leave a gap.
        if (state.base > m_revision)
            return;
        for (const StoreItem &item : state.items)
            apply(item);
        m_revision = std::max(m_revision, state.revision);
        return;
    }
    if (state.revision <= m_revision)
        return;
    m_removalsFrom = std::max(m_removalsFrom, m_complete ? 0 : state.revision);
    std::set<std::string> present;
    for (const StoreItem &item : state.items) {
        present.insert(item.key);
        apply(item);
    }
    removeMissing(present, state.revision);
    m_revision = state.revision;
}

StorePage StoreMirror::changesAfter(uint64_t revision) const
{
    StorePage page;
    page.revision = m_revision;
    page.base = revision >= m_removalsFrom ? revision : 0;
    for (const auto &[key, item] : m_items) {
        if (page.base == 0 || item.revision > revision)
            page.items.push_back(item);
    }
    const TimePoint now = core::BootClock::now();
    for (const Removal &it : m_removals) {
        const bool told = it.revision > revision || now - it.at < RemovalRetold;
        if (page.base != 0 && told && !m_items.contains(it.key))
            page.items.push_back({it.key, {}, it.revision, true});
    }
    return page;
}

void StoreMirror::setFollowing(bool following)
{
    m_following = following;
    if (!following && std::exchange(m_parked, false))
        watch();
}

void StoreMirror::watch()
{
    m_parked = m_following;
    if (m_parked) {
        m_watching = false;
        ++m_round;
        return;
    }
    m_watching = true;
    const uint64_t round = ++m_round;
    const TimePoint now = core::BootClock::now();
    if (now - m_watchedAt >= m_watchPace) {
        watchNow(round);
        return;
    }
    // Changes come in bunches, as at a start or while configurations follow each other.
    const auto self = shared_from_this();
    m_timer.expires_after(m_watchedAt + m_watchPace - now);
    m_timer.async_wait([self, round](const boost::system::error_code &ec) {
        if (!ec && round == self->m_round)
            self->watchNow(round);
    });
}

void StoreMirror::watchNow(uint64_t round)
{
    m_watchedAt = core::BootClock::now();
    const auto self = shared_from_this();
    m_client.watch(m_prefix, m_revision, m_watchWait,
                   [self, round](const absl::StatusOr<StorePage> &page) {
                       if (round != self->m_round)
                           return;
                       if (!page.ok()) {
                           self->failed(page.status());
                           return;
                       }
                       self->answered();
                       for (const StoreItem &item : page->items)
                           self->apply(item);
                       self->m_revision = std::max(self->m_revision, page->revision);
                       self->watch();
                   });
}

void StoreMirror::failed(const absl::Status &status)
{
    m_watching = false;
    if (absl::IsOutOfRange(status)) {
        core::Event("store.history.gone").with("prefix", m_prefix).with("revision", m_revision);
        list({});
        return;
    }
    if (m_failingSince == TimePoint{})
        m_failingSince = core::BootClock::now();
    if (std::exchange(m_reachable, false))
        core::Event("store.lost").with("prefix", m_prefix).with("why", status.message());
    const uint64_t round = ++m_round;
    const auto self = shared_from_this();
    m_timer.expires_after(RetryDelay);
    m_timer.async_wait([self, round](const boost::system::error_code &ec) {
        if (ec || round != self->m_round)
            return;
        // What was missed is read afresh: a watch may have lost events with its connection.
        self->list({});
    });
}

void StoreMirror::answered()
{
    const TimePoint now = core::BootClock::now();
    if (!m_reachable) {
        if (m_complete && m_failingSince != TimePoint{} && now - m_failingSince > OutageAfter)
            m_outageEnd = now;
        m_failingSince = {};
        core::Event("store.reached").with("prefix", m_prefix).with("revision", m_revision);
    }
    m_reachable = true;
}

void StoreMirror::apply(const StoreItem &item)
{
    const auto it = m_items.find(item.key);
    if (it != m_items.end() && it->second.revision >= item.revision)
        return;
    if (item.deleted) {
        remove(item.key, item.revision);
        return;
    }
    m_pending.erase(item.key);
    m_items.insert_or_assign(item.key, item);
    m_handler.onItem(item);
}

void StoreMirror::removeMissing(const std::set<std::string> &present, uint64_t revision)
{
    std::vector<std::string> missing;
    for (const auto &[key, item] : m_items) {
        if (!present.contains(key) && item.revision <= revision)
            missing.push_back(key);
    }
    for (const std::string &key : missing)
        remove(key, revision);
}

void StoreMirror::remove(const std::string &key, uint64_t revision)
{
    const auto it = m_items.find(key);
    if (it == m_items.end())
        return;
    const TimePoint now = core::BootClock::now();
    if (m_outageEnd != TimePoint{} && now < m_outageEnd + RemovalGrace) {
        // The item may have lapsed with the store: its owner gets the time to be back.
        m_pending.insert_or_assign(key, revision);
        const auto self = shared_from_this();
        m_removal.expires_after(m_outageEnd + RemovalGrace - now);
        m_removal.async_wait([self](const boost::system::error_code &ec) {
            if (!ec)
                self->removeAfterOutage();
        });
        return;
    }
    StoreItem gone = it->second;
    gone.deleted = true;
    gone.revision = revision;
    noteRemoval(key, revision);
    m_items.erase(it);
    m_handler.onItem(gone);
}

void StoreMirror::noteRemoval(const std::string &key, uint64_t revision)
{
    m_removals.push_back({key, revision, core::BootClock::now()});
    if (m_removals.size() <= RemovalsKept)
        return;
    m_removalsFrom = std::max(m_removalsFrom, m_removals.front().revision);
    m_removals.pop_front();
}

void StoreMirror::removeAfterOutage()
{
    m_outageEnd = {};
    for (const auto &[key, revision] : std::exchange(m_pending, {})) {
        const auto it = m_items.find(key);
        if (it != m_items.end() && it->second.revision <= revision)
            remove(key, revision);
    }
}

} // namespace jujube::serving
