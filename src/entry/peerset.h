#pragma once

/** \file
 * Defines an entry's exchange with the other entries.
 */

#include "entry/kvmirror.h"
#include "policy/freshness.h"
#include "state/registry.h"
#include "wire/rpc.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jujube::entry {

/** What an entry tells its peers about itself. */
struct LocalEntryState
{
    std::string process;
    uint64_t incarnation = 0;
    bool stopping = false;
};

/** Exchanges evidence and changes with every other entry that is registered.
 *
 * A configuration change therefore reaches an entry from its peers when it cannot reach the KV,
 * and the freshness rule can tell an outage of the KV from a partition.
 */
class PeerSet
{
public:
    PeerSet(wire::IoContext &io, wire::RpcIdentity identity, KvMirror &mirror,
            LocalEntryState localEntry);

    /** Entries to ask while none is registered: without the KV a starting entry knows nobody. */
    void addSeeds(const std::vector<std::string> &addresses);
    /** Takes the registered entries; this entry's own record is passed over. */
    void setEntries(const std::vector<state::EntryRecord> &entries);
    void setStopping() { m_localEntry.stopping = true; }

    /** The last known members as the freshness rule wants them. */
    std::vector<policy::PeerView> views() const;
    /** Connections to the peers that are reached. */
    std::vector<std::shared_ptr<wire::RpcConnection>> connections() const;
    /** Names of entries that refuse connections and have been silent since \a since. */
    std::vector<std::string> unreachableSince(core::TimePoint since) const;

    /** Answers a peer's exchange. */
    void handleExchange(wire::schema::PeerState::Reader state,
                        wire::schema::PeerSession::ExchangeResults::Builder results) const;

private:
    struct Peer
    {
        state::EntryRecord record;
        std::shared_ptr<wire::RpcConnection> connection;
        core::TimePoint lastReceivedAt{};
        core::TimePoint addedAt{};
        bool connectionRefused = false;
        bool removed = false;
        bool isSeed = false; ///< From the settings, not from the register.
    };

    wire::Task<void> maintainConnection(std::shared_ptr<Peer> peer);
    wire::Task<bool> exchangeState(std::shared_ptr<Peer> peer);
    void writeState(wire::schema::PeerState::Builder builder) const;

    wire::IoContext &m_io;
    wire::RpcIdentity m_identity;
    KvMirror &m_mirror;
    LocalEntryState m_localEntry;
    std::map<std::string, std::shared_ptr<Peer>> m_peers;
};

} // namespace jujube::entry
