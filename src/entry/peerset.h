#pragma once

/** \file
 * Defines the exchange of state between an entry and the other entries.
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

/** State of this entry that it sends to its peers. */
struct LocalEntryState
{
    std::string process;
    uint64_t incarnation = 0;
    bool stopping = false;
};

/** Exchanges freshness tokens and KV changes with every other registered entry.
 *
 * An entry that cannot reach the KV thus receives configuration changes from its peers, and the
 * freshness rule can tell an outage of the KV from a partition.
 */
class PeerSet
{
public:
    PeerSet(wire::IoContext &io, wire::RpcIdentity identity, KvMirror &mirror,
            LocalEntryState localEntry);

    /** Adds peers by address, for use while no other entry is registered.
     *
     * An entry that starts while the KV is down has no register to read. */
    void addSeeds(const std::vector<std::string> &addresses);
    /** Replaces the peers by the registered entries; this entry's own record is skipped. */
    void setEntries(const std::vector<state::EntryRecord> &entries);
    void setStopping() { m_localEntry.stopping = true; }

    /** Contact state of each peer, as input of the freshness rule. */
    std::vector<policy::PeerView> views() const;
    /** Open connections to peers. */
    std::vector<std::shared_ptr<wire::RpcConnection>> connections() const;
    /** Names of peers that refuse connections and have been silent since \a since. */
    std::vector<std::string> unreachableSince(core::TimePoint since) const;

    /** Replies to a peer's exchange call with this entry's state and the changes the peer lacks. */
    void handleExchange(wire::schema::PeerState::Reader state,
                        wire::schema::PeerSession::ExchangeResults::Builder results) const;

private:
    struct Peer
    {
        state::EntryRecord record;
        std::shared_ptr<wire::RpcConnection> connection;
        core::TimePoint lastReceivedAt{}; ///< Start of the last successful exchange.
        core::TimePoint addedAt{};
        bool connectionRefused = false;
        bool removed = false;
        bool isSeed = false; ///< Added by addSeeds(), not registered.
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
