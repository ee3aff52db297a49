#pragma once

/** \file
 * Defines an entry's copy of the fleet's keys in the KV, updated by a watch and by peers.
 */

#include "core/work.h"
#include "state/kvclient.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace jujube::entry {

/** Mirrors all keys under one prefix.
 *
 * Changes come from the KV's watch or from another entry's mirror. Both are applied by revision, so
 * a key never returns to an older revision, whatever the order of arrival. Deletions are kept as
 * entries, because they have to reach the peers as well.
 */
class KvMirror
{
public:
    using OnChange = std::function<void(const state::KvEntry &)>;

    /** \param prefix the mirrored keys.
     * \param freshnessPrefix the mirrored keys that freshness tokens cover. */
    KvMirror(wire::IoContext &io, state::KvClient &kv, std::string prefix,
             std::string freshnessPrefix);

    /** Sets the callback for each applied change. */
    void onChange(OnChange callback) { m_onChange = std::move(callback); }
    /** Starts the watch of the KV. */
    void start();
    void stop() { m_stopping = true; }

    /** Applies changes received from a peer or written by this process. */
    void apply(const std::vector<state::KvEntry> &changes);
    /** Changes newer than \a version, oldest first.
     *
     * Returns at most \a limit changes, plus the rest of the last revision among them. */
    std::vector<state::KvEntry> changesAfter(uint64_t version, size_t limit) const;

    /** Applies a freshness token of another process, if this mirror has all changes it covers.
     *
     * Tokens cover the configuration only, because changes of the plan or the register do not
     * affect the validity of an API key. */
    void applyFreshnessToken(const core::FreshnessToken &token);
    /** Latest proof that the mirrored configuration was the newest in the KV. */
    const core::FreshnessToken &freshnessToken() const { return m_freshnessToken; }
    /** Highest revision applied. */
    uint64_t version() const { return m_version; }
    /** Whether the KV or another process ever confirmed the mirrored configuration. */
    bool everConfirmed() const { return m_freshnessToken.confirmedAt != core::TimePoint{}; }

    /** The entry of a key; nullptr if it does not exist or was deleted. */
    const state::KvEntry *find(const std::string &key) const;
    /** Entries under \a prefix without the deleted ones. */
    std::vector<state::KvEntry> list(const std::string &prefix) const;

private:
    wire::Task<void> watchLoop();
    void applyListing(const state::KvListing &listing);
    void applyEntry(const state::KvEntry &entry);

    wire::IoContext &m_io;
    state::KvClient &m_kv;
    std::string m_prefix;
    std::string m_freshnessPrefix;
    OnChange m_onChange;
    std::map<std::string, state::KvEntry> m_entries;
    std::multimap<uint64_t, std::string> m_byRevision;
    uint64_t m_version = 0;
    uint64_t m_freshnessVersion = 0; ///< Highest revision under m_freshnessPrefix.
    uint64_t m_watchedRevision = 0;
    core::FreshnessToken m_freshnessToken;
    bool m_stopping = false;
};

} // namespace jujube::entry
