#include "entry/kvmirror.h"

#include "core/eventlog.h"

#include <algorithm>
#include <set>

namespace jujube::entry {

namespace {

// The age of the freshness token counts from the start of a watch call, so this bounds the age
// while the KV is reachable.
constexpr core::Milliseconds WatchWait{1'000};
constexpr core::Milliseconds RetryDelay{200};

} // namespace

KvMirror::KvMirror(wire::IoContext &io, state::KvClient &kv, std::string prefix,
                   std::string freshnessPrefix)
    : m_io(io), m_kv(kv), m_prefix(std::move(prefix)), m_freshnessPrefix(std::move(freshnessPrefix))
{
}

void KvMirror::start()
{
    wire::coroutineTasks().add(watchLoop());
}

wire::Task<void> KvMirror::watchLoop()
{
    bool listed = false;
    bool reachable = true;
    while (!m_stopping) {
        const core::TimePoint before = core::BootClock::now();
        auto listing = listed ? co_await m_kv.watch(m_prefix, m_watchedRevision, WatchWait)
                              : co_await m_kv.list(m_prefix);
        if (!listing.ok()) {
            if (std::exchange(reachable, false))
                core::Event("kv.unreachable").with("why", listing.status().message());
            co_await m_io.sleep(RetryDelay);
            continue;
        }
        if (!std::exchange(reachable, true))
            core::Event("kv.reachable").with("revision", listing->revision);
        if (listed)
            apply(listing->entries);
        else
            applyListing(*listing);
        listed = true;
        m_watchedRevision = std::max(m_watchedRevision, listing->revision);
        m_freshnessToken = {m_freshnessVersion, before};
    }
}

void KvMirror::applyListing(const state::KvListing &listing)
{
    std::set<std::string> present;
    for (const state::KvEntry &it : listing.entries) {
        present.insert(it.key);
        applyEntry(it);
    }
    // Keys received from a peer earlier that the KV no longer has were deleted in between.
    std::vector<state::KvEntry> gone;
    for (const auto &[key, entry] : m_entries) {
        if (!entry.deleted && entry.revision <= listing.revision && !present.contains(key))
            gone.push_back({key, {}, listing.revision, true});
    }
    apply(gone);
}

void KvMirror::apply(const std::vector<state::KvEntry> &changes)
{
    for (const state::KvEntry &it : changes)
        applyEntry(it);
}

void KvMirror::applyEntry(const state::KvEntry &entry)
{
    auto [it, isNew] = m_entries.try_emplace(entry.key, entry);
    if (!isNew) {
        if (entry.revision <= it->second.revision)
            return;
        const auto range = m_byRevision.equal_range(it->second.revision);
        for (auto index = range.first; index != range.second; ++index) {
            if (index->second == entry.key) {
                m_byRevision.erase(index);
                break;
            }
        }
        it->second = entry;
    }
    m_byRevision.emplace(entry.revision, entry.key);
    m_version = std::max(m_version, entry.revision);
    if (entry.key.starts_with(m_freshnessPrefix))
        m_freshnessVersion = std::max(m_freshnessVersion, entry.revision);
    if (m_onChange)
        m_onChange(it->second);
}

std::vector<state::KvEntry> KvMirror::changesAfter(uint64_t version, size_t limit) const
{
    std::vector<state::KvEntry> result;
    for (auto it = m_byRevision.upper_bound(version); it != m_byRevision.end(); ++it) {
        if (result.size() >= limit && it->first != result.back().revision)
            break;
        result.push_back(m_entries.at(it->second));
    }
    return result;
}

void KvMirror::applyFreshnessToken(const core::FreshnessToken &token)
{
    if (token.version <= m_freshnessVersion && token.confirmedAt > m_freshnessToken.confirmedAt)
        m_freshnessToken = {m_freshnessVersion, token.confirmedAt};
}

const state::KvEntry *KvMirror::find(const std::string &key) const
{
    const auto it = m_entries.find(key);
    return it == m_entries.end() || it->second.deleted ? nullptr : &it->second;
}

std::vector<state::KvEntry> KvMirror::list(const std::string &prefix) const
{
    std::vector<state::KvEntry> result;
    for (auto it = m_entries.lower_bound(prefix); it != m_entries.end(); ++it) {
        if (it->first.compare(0, prefix.size(), prefix) != 0)
            break;
        if (!it->second.deleted)
            result.push_back(it->second);
    }
    return result;
}

} // namespace jujube::entry
