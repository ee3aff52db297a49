#pragma once

/** \file
 * Defines an entry's copy of the fleet's part of the KV, kept current by watch and by peers.
 */

#include "core/work.h"
#include "state/kvclient.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace jujube::entry {

/** Mirrors every key under one prefix.
 *
 * Changes come from the KV's watch or from another entry's mirror; both are applied by revision,
 * so a key never goes back whatever order they arrive in. Deletions are kept as entries, for they
 * have to reach the peers as well.
 */
class KvMirror
{
public:
    using OnChange = std::function<void(const state::KvEntry &)>;

    /** \param evidencePrefix the keys that evidence speaks of, a part of those mirrored. */
    KvMirror(wire::IoContext &io, state::KvClient &kv, std::string prefix,
             std::string evidencePrefix);

    /** Called for every applied change. */
    void onChange(OnChange callback) { m_onChange = std::move(callback); }
    /** Starts watching the KV. */
    void start();
    void stop() { m_stopping = true; }

    /** Applies changes of a peer, or of a write of this process. */
    void apply(const std::vector<state::KvEntry> &changes);
    /** Changes newer than a version, oldest first, at most \a limit of them. */
    std::vector<state::KvEntry> changesAfter(uint64_t version, size_t limit) const;

    /** Takes evidence from elsewhere. It counts only if this mirror has all it speaks of.
     *
     * Evidence speaks of the configuration alone: the plan and the register change without making
     * a key any less valid. */
    void noteEvidence(const core::FreshnessToken &evidence);
    /** Newest evidence that this mirror's content was the newest in the KV. */
    const core::FreshnessToken &evidence() const { return m_evidence; }
    /** Revision of the newest change applied. */
    uint64_t version() const { return m_version; }
    bool everConfirmed() const { return m_evidence.confirmedAt != core::TimePoint{}; }

    const state::KvEntry *find(const std::string &key) const;
    /** Entries that exist under a prefix. */
    std::vector<state::KvEntry> list(const std::string &prefix) const;

private:
    wire::Task<void> watchLoop();
    void applyListing(const state::KvListing &listing);
    void applyOne(const state::KvEntry &entry);

    wire::IoContext &m_io;
    state::KvClient &m_kv;
    std::string m_prefix;
    std::string m_evidencePrefix;
    OnChange m_onChange;
    std::map<std::string, state::KvEntry> m_entries;
    std::multimap<uint64_t, std::string> m_byRevision;
    uint64_t m_version = 0;
    uint64_t m_evidenceVersion = 0; ///< Newest change under the evidence prefix.
    uint64_t m_watchedRevision = 0;
    core::FreshnessToken m_evidence;
    bool m_stopping = false;
};

} // namespace jujube::entry
