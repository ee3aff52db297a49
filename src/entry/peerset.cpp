#include "entry/peerset.h"

#include "core/eventlog.h"
#include "core/hybridclock.h"
#include "wire/messages.h"

namespace jujube::entry {

namespace {

constexpr core::Milliseconds ExchangeInterval{500};
constexpr core::Milliseconds ExchangeTimeout{1'000};
constexpr core::Milliseconds DialTimeout{1'000};
constexpr core::Milliseconds RedialDelay{300};
constexpr size_t MaxChangesPerExchange = 500;

using ExchangeReply = capnp::Response<wire::schema::PeerSession::ExchangeResults>;

std::vector<state::KvEntry> readChanges(capnp::List<wire::schema::Change>::Reader reader)
{
    std::vector<state::KvEntry> changes;
    for (const auto it : reader)
        changes.push_back(
            {it.getKey().cStr(), it.getValue().cStr(), it.getRevision(), it.getDeleted()});
    return changes;
}

} // namespace

PeerSet::PeerSet(wire::IoContext &io, wire::RpcIdentity identity, KvMirror &mirror,
                 LocalEntryState localEntry)
    : m_io(io),
      m_identity(std::move(identity)),
      m_mirror(mirror),
      m_localEntry(std::move(localEntry))
{
}

void PeerSet::addSeeds(const std::vector<std::string> &addresses)
{
    for (const std::string &address : addresses) {
        auto peer = std::make_shared<Peer>();
        peer->record.name = "seed " + address;
        peer->record.address = address;
        peer->isSeed = true;
        peer->addedAt = core::BootClock::now();
        m_peers[peer->record.name] = peer;
        wire::coroutineTasks().add(maintainConnection(peer));
    }
}

void PeerSet::setEntries(const std::vector<state::EntryRecord> &entries)
{
    std::map<std::string, std::shared_ptr<Peer>> next;
    for (const state::EntryRecord &record : entries) {
        if (record.name == m_localEntry.process)
            continue;
        const auto known = m_peers.find(record.name);
        if (known != m_peers.end() && known->second->record.address == record.address) {
            known->second->record = record;
            next[record.name] = known->second;
            continue;
        }
        auto peer = std::make_shared<Peer>();
        peer->record = record;
        peer->addedAt = core::BootClock::now();
        next[record.name] = peer;
        wire::coroutineTasks().add(maintainConnection(peer));
    }
    // Seeds are kept only while no other entry is registered.
    const bool othersRegistered = !next.empty();
    for (const auto &[name, peer] : m_peers) {
        if (peer->isSeed && !othersRegistered)
            next[name] = peer;
    }
    for (const auto &[name, peer] : m_peers) {
        const auto kept = next.find(name);
        if (kept == next.end() || kept->second != peer)
            peer->removed = true;
    }
    m_peers = std::move(next);
}

std::vector<policy::PeerView> PeerSet::views() const
{
    std::vector<policy::PeerView> result;
    for (const auto &[name, peer] : m_peers)
        result.push_back({name, peer->lastReceivedAt, peer->connectionRefused});
    return result;
}

std::vector<std::shared_ptr<wire::RpcConnection>> PeerSet::connections() const
{
    std::vector<std::shared_ptr<wire::RpcConnection>> result;
    for (const auto &[name, peer] : m_peers) {
        if (peer->connection)
            result.push_back(peer->connection);
    }
    return result;
}

std::vector<std::string> PeerSet::unreachableSince(core::TimePoint since) const
{
    std::vector<std::string> result;
    for (const auto &[name, peer] : m_peers) {
        if (peer->connectionRefused && peer->lastReceivedAt < since && peer->addedAt < since)
            result.push_back(name);
    }
    return result;
}

wire::Task<void> PeerSet::maintainConnection(std::shared_ptr<Peer> peer)
{
    while (!peer->removed) {
        if (!peer->connection) {
            auto dialled = co_await wire::dial(m_io, peer->record.address, m_identity, DialTimeout);
            peer->connectionRefused = !dialled.ok() && wire::isConnectionRefused(dialled.status());
            if (!dialled.ok()) {
                co_await m_io.sleep(RedialDelay);
                continue;
            }
            peer->connection = *dialled;
            core::Event("peer.up").with("peer", peer->record.name);
        }
        if (!co_await exchangeState(peer)) {
            core::Event("peer.down").with("peer", peer->record.name);
            peer->connection = nullptr;
            continue;
        }
        co_await m_io.sleep(ExchangeInterval);
    }
    peer->connection = nullptr;
}

wire::Task<bool> PeerSet::exchangeState(std::shared_ptr<Peer> peer)
{
    try {
        const core::TimePoint before = core::BootClock::now();
        auto request = peer->connection->peer.exchangeRequest();
        writeState(request.initState());
        auto reply =
            co_await m_io.withTimeout(ExchangeTimeout, kj::Promise<ExchangeReply>(request.send()));
        const core::TimePoint now = core::BootClock::now();
        const auto state = reply.getState();
        core::processClock().observe(state.getHybridTime());
        m_mirror.apply(readChanges(reply.getChanges()));
        // The reply may have been in transit for the whole round trip, so the token counts as older
        // by that.
        core::FreshnessToken token = wire::read(state.getEvidence());
        token.confirmedAt -= now - before;
        m_mirror.applyFreshnessToken(token);
        peer->lastReceivedAt = before;
        co_return true;
    } catch (const kj::Exception &) {
        co_return false;
    }
}

void PeerSet::handleExchange(wire::schema::PeerState::Reader state,
                             wire::schema::PeerSession::ExchangeResults::Builder results) const
{
    core::processClock().observe(state.getHybridTime());
    writeState(results.initState());
    const auto changes = m_mirror.changesAfter(state.getVersion(), MaxChangesPerExchange);
    auto list = results.initChanges(static_cast<uint>(changes.size()));
    for (uint i = 0; i < list.size(); ++i) {
        list[i].setKey(changes[i].key.c_str());
        list[i].setValue(changes[i].value.c_str());
        list[i].setRevision(changes[i].revision);
        list[i].setDeleted(changes[i].deleted);
    }
}

void PeerSet::writeState(wire::schema::PeerState::Builder builder) const
{
    builder.setHybridTime(core::processClock().tick());
    builder.setProcess(m_localEntry.process.c_str());
    builder.setIncarnation(m_localEntry.incarnation);
    wire::write(builder.initEvidence(), m_mirror.freshnessToken());
    builder.setVersion(m_mirror.version());
    builder.setStopping(m_localEntry.stopping);
}

} // namespace jujube::entry
