#include "serving/peermesh.h"

#include "core/eventlog.h"
#include "core/metrics.h"
#include "core/socketaddress.h"
#include "core/text.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>

namespace jujube::serving {

namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using core::Milliseconds;
using core::TimePoint;
using ErrorCode = boost::system::error_code;

// Without load changes, so that peers detect that this gateway is alive.
constexpr Milliseconds GossipInterval{100};
// Minimum interval of broadcasts of load changes, per peer, as the cost grows with the peers. With
// six gateways, load data 100 ms old doubled the 90th percentile of the time to prefill a prompt.
constexpr Milliseconds GossipDelayPerPeer{1};
// A peer that is silent for longer is stopped, partitioned or frozen; its load is not counted.
constexpr Milliseconds PeerTimeout{1'500};
// Datagrams arrive in bursts; summing the loads after each one would cost more than it improves.
constexpr Milliseconds ShareSumInterval{5};
// Up to this many peers, all gateways broadcast to all others: 3% of a core each with six gateways.
constexpr size_t MaxMeshPeers = 9;
// In large deployments: interval of summaries and changed load, unchanged load, full broadcasts.
constexpr Milliseconds LoadInterval{25};
constexpr Milliseconds IdleLoadInterval{120};
constexpr Milliseconds LargeGossipInterval{1'000};
constexpr Milliseconds LargePeerTimeout{3'500};
// Evidence on engine speeds has a half-life of ten seconds, uses by teams one of 3.5 s; small
// deployments broadcast far more often. Less than the interval of full broadcasts in large ones, so
// that each carries it.
constexpr Milliseconds SpeedInterval{800};
constexpr Milliseconds RelayDuration{70}; ///< Two or three rounds of the hub.
constexpr size_t MaxRelayedBlocks = 80;
// Relayed counts per broadcast, and the wait that they may impose on the next one.
constexpr int MaxRelayMessages = 3;
constexpr Milliseconds MaxRelayBacklog{40};

// Applies the sender's store version. A new incarnation starts from the version that it sends.
void updateStoreVersion(GossipMessage &stored, const GossipMessage &received)
{
    if (stored.run != received.run) {
        stored.run = received.run;
        stored.sequence = 0;
        stored.storeVersion = {};
    }
    stored.storeVersion = std::max(stored.storeVersion, received.storeVersion);
    stored.watchesStore = received.watchesStore;
}

} // namespace

PeerMesh::PeerMesh(asio::io_context &io, http::Client &httpClient, EndpointTable &endpoints,
                   Handler handler)
    : m_io(io),
      m_httpClient(httpClient),
      m_endpoints(endpoints),
      m_handler(std::move(handler)),
      m_socket(io),
      m_timer(io),
      m_loadTimer(io),
      m_stateServer(io, m_handler.state)
{
}

absl::Status PeerMesh::start(const NodeSettings &settings, uint64_t run)
{
    m_name = settings.name;
    m_run = run;
    m_startedAt = core::BootClock::now();
    m_processorShare = settings.processorShare;
    m_linkBytesPerSecond = settings.linkBytesPerSecond;
    m_pace = policy::LinkPace(settings.linkBytesPerSecond);
    m_address = core::concat(settings.ip, ":", settings.firstInternalPort);
    ErrorCode ec;
    const auto ip = asio::ip::make_address(settings.ip, ec);
    if (!ec)
        m_socket.open(udp::v4(), ec);
    if (!ec)
        m_socket.bind(udp::endpoint(ip, settings.firstInternalPort), ec);
    if (ec)
        return absl::UnavailableError(
            core::concat("cannot bind the gossip socket to ", m_address, ": ", ec.message()));
    if (absl::Status status = m_stateServer.listen(m_address); !status.ok())
        return status;
    receive();
    broadcast();
    exchangeLoad();
    return absl::OkStatus();
}

void PeerMesh::addPeer(const std::string &name, const std::string &address)
{
    if (name == m_name)
        return;
    Peer &peer = m_peers[name];
    if (peer.address == address)
        return;
    const auto parsed = core::parseSocketAddress(address);
    if (!parsed.ok() || parsed->port == 0) {
        core::Event("peer.ignored").with("peer", name).with("address", address);
        m_peers.erase(name);
        return;
    }
    peer.address = address;
    peer.target = udp::endpoint(asio::ip::address_v4(parsed->ip), parsed->port);
    core::Event("peer.known").with("peer", name).with("address", address);
}

void PeerMesh::removePeer(const std::string &name)
{
    m_peers.erase(name);
    m_countRelay.removePeer(name);
}

void PeerMesh::receive()
{
    m_socket.async_receive_from(asio::buffer(m_buf), m_sender,
                                [this](const ErrorCode &ec, size_t n) {
                                    if (ec == asio::error::operation_aborted)
                                        return;
                                    if (!ec)
                                        onDatagram({m_buf.data(), n});
                                    receive();
                                });
}

void PeerMesh::onDatagram(std::string_view bytes)
{
    auto gossip = decodeGossip(bytes);
    if (!gossip.ok()) {
        core::Event("peer.news.invalid").with("why", gossip.status().message());
        return;
    }
    if (gossip->name == m_name)
        return;
    const std::string sender = core::concat(m_sender.address().to_string(), ":", m_sender.port());
    // A process that has just started discovers its peers by their datagrams.
    addPeer(gossip->name, sender);
    const auto it = m_peers.find(gossip->name);
    if (it == m_peers.end())
        return;
    Peer &peer = it->second;
    const TimePoint now = core::BootClock::now();
    peer.receivedAt = now;
    noteHeard(gossip->name, peer, gossip->run);
    switch (gossip->kind) {
    case GossipKind::Full:
        applyFull(peer, std::move(*gossip), now);
        break;
    case GossipKind::Load:
        updateStoreVersion(peer.gossip, *gossip);
        for (const GossipPrefixBlock &block : gossip->prefixBlocks)
            m_relayed.push_back({block, now + RelayDuration});
        m_loadAggregator.apply(*gossip, now);
        m_handler.onGossip(*gossip);
        break;
    case GossipKind::Summary:
        applySummary(*gossip, now);
        break;
    case GossipKind::Counts:
        m_handler.onGossip(*gossip);
        break;
    }
}

void PeerMesh::noteHeard(const std::string &name, Peer &peer, uint64_t run)
{
    const bool wasAlive = std::exchange(peer.alive, true);
    if (!wasAlive)
        core::Event("peer.heard").with("peer", name).with("run", run);
    if (std::exchange(peer.run, run) != run || !wasAlive)
        m_countRelay.restart(name);
}

void PeerMesh::applyFull(Peer &peer, GossipMessage gossip, TimePoint now)
{
    if (peer.gossip.run == gossip.run && peer.gossip.sequence >= gossip.sequence)
        return;
    // In a large deployment a full message is composed up to one second before it is sent.
    if (peer.gossip.run == gossip.run)
        gossip.storeVersion = std::max(gossip.storeVersion, peer.gossip.storeVersion);
    peer.gossip = std::move(gossip);
    if (!isLarge() && now - m_sharesSummedAt >= ShareSumInterval)
        sumShares(now);
    m_handler.onGossip(peer.gossip);
}

void PeerMesh::applySummary(const GossipMessage &gossip, TimePoint now)
{
    m_hubSelector.noteResponse(gossip.name, now);
    if (m_summaryRun == gossip.run && m_summarySequence >= gossip.sequence)
        return;
    m_summaryRun = gossip.run;
    m_summarySequence = gossip.sequence;
    m_summaryRates = gossip.rates;
    if (const auto hub = m_peers.find(gossip.name); hub != m_peers.end())
        updateStoreVersion(hub->second.gossip, gossip);
    m_endpoints.setPeerLoads(gossip.shares);
    m_handler.onGossip(gossip);
}

// Recomputes the sums instead of updating them, as endpoints come and go between two datagrams.
void PeerMesh::sumShares(TimePoint now)
{
    m_sharesSummedAt = now;
    std::unordered_map<uint64_t, OutstandingLoad> sums;
    for (const auto &[name, peer] : m_peers) {
        if (!peer.alive)
            continue;
        for (const GossipLoadShare &share : peer.gossip.shares)
            sums[share.endpoint] += share.load;
    }
    std::vector<GossipLoadShare> shares;
    shares.reserve(sums.size());
    for (const auto &[endpoint, sum] : sums)
        shares.push_back({endpoint, sum});
    m_endpoints.setPeerLoads(shares);
}

bool PeerMesh::isLarge() const
{
    return m_peers.size() > MaxMeshPeers;
}

void PeerMesh::loadChanged()
{
    const TimePoint now = core::BootClock::now();
    if (isLarge()) {
        const bool isHub = m_hub == m_name; // Its next round is scheduled already.
        if (!isHub && !std::exchange(m_loadChanged, true)) {
            const TimePoint due = m_loadExchangedAt + LoadInterval;
            scheduleLoad(due > now ? std::chrono::ceil<Milliseconds>(due - now) : Milliseconds(0));
        }
        return;
    }
    if (std::exchange(m_earlyBroadcastPending, true))
        return;
    const Milliseconds delay = std::clamp(GossipDelayPerPeer * static_cast<int64_t>(m_peers.size()),
                                          GossipDelayPerPeer, GossipInterval);
    const TimePoint due = std::max(m_lastBroadcastAt + delay, now + m_pace.backlog(now));
    scheduleBroadcast(due > now ? std::chrono::ceil<Milliseconds>(due - now) : Milliseconds(0));
}

void PeerMesh::scheduleBroadcast(Milliseconds delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this](const ErrorCode &ec) {
        if (!ec)
            broadcast();
    });
}

void PeerMesh::send(const Peer &peer, GossipKind kind, const std::string &bytes)
{
    ErrorCode ec;
    m_socket.send_to(asio::buffer(bytes), peer.target, 0, ec);
    if (ec) {
        core::incrementCounter("jujube_peer_send_errors_total");
        m_traffic.noteRefused();
        return;
    }
    m_traffic.noteSent(kind, bytes.size());
    m_pace.noteSent(bytes.size(), core::BootClock::now());
}

void PeerMesh::broadcast()
{
    const TimePoint now = core::BootClock::now();
    m_stateServer.logServed();
    m_traffic.logIfDue(now, m_countRelay.windowCount(), m_linkBytesPerSecond);
    m_lastBroadcastAt = now;
    m_earlyBroadcastPending = false;
    const Milliseconds timeout = isLarge() ? LargePeerTimeout : PeerTimeout;
    for (auto &[name, peer] : m_peers) {
        if (peer.alive && now - peer.receivedAt > timeout) {
            core::Event("peer.silent").with("peer", name);
            peer.alive = false;
        }
    }
    if (!isLarge() && now - m_sharesSummedAt >= ShareSumInterval)
        sumShares(now);
    if (isLarge()) {
        broadcastToNextPeers();
        relayDepartedCounts(now);
        scheduleBroadcast(std::max(LargeGossipInterval / BroadcastRound::GroupsPerRound,
                                   m_pace.backlog(core::BootClock::now())));
        return;
    }
    const std::string bytes = composeFull(true);
    for (const auto &[name, peer] : m_peers)
        send(peer, GossipKind::Full, bytes);
    relayDepartedCounts(now);
    scheduleBroadcast(std::max(GossipInterval, m_pace.backlog(core::BootClock::now())));
}

std::string PeerMesh::composeFull(bool sentAtOnce)
{
    GossipMessage gossip = m_handler.compose();
    if (!sentAtOnce) { // These are relative to the time of sending.
        gossip.wallTime = {};
        gossip.limits.clear();
        for (GossipLoadShare &share : gossip.shares)
            share.report.reset();
    }
    const TimePoint now = core::BootClock::now();
    if (m_handler.engineSpeeds && now - m_speedsSentAt >= SpeedInterval) {
        gossip.engineSpeeds = m_handler.engineSpeeds();
        if (m_handler.teamUse)
            gossip.teamUse = m_handler.teamUse();
        m_speedsSentAt = now;
    }
    gossip.processorShare = m_processorShare;
    return encodeGossip(gossip);
}

void PeerMesh::broadcastToNextPeers()
{
    std::vector<std::string> names;
    names.reserve(m_peers.size());
    for (const auto &[name, peer] : m_peers)
        names.push_back(name);
    const BroadcastRound::PeerGroup group = m_round.next(names);
    if (group.startsRound)
        m_roundMessage = composeFull(false);
    for (const std::string &name : group.peers)
        send(m_peers.at(name), GossipKind::Full, m_roundMessage);
}

std::vector<UsageWindowId> PeerMesh::departedWindows(uint64_t oldest) const
{
    std::vector<UsageWindowId> departed;
    const auto &counts = m_handler.usage->peerCounts();
    for (auto it = counts.lower_bound(oldest); it != counts.end(); ++it) {
        for (const auto &[run, teams] : it->second) {
            if (!runAlive(run))
                departed.push_back({run, it->first});
        }
    }
    return departed;
}

// Sends counts of departed gateways while the link has room for them.
void PeerMesh::relayDepartedCounts(TimePoint now)
{
    if (!m_handler.usage || !relaysForDeparted(m_name, m_hub, candidates()))
        return;
    const uint64_t current = m_handler.usageWindow();
    const uint64_t oldest = current - std::min(current, PastWindowsSent);
    m_countRelay.update(departedWindows(oldest), oldest);
    const auto countsOf = [this](const UsageWindowId &id) {
        return m_handler.usage->peerCounts(id.window, id.run);
    };
    for (int i = 0; i < MaxRelayMessages && m_pace.backlog(now) < MaxRelayBacklog; ++i) {
        const CountRelay::Message message =
            m_countRelay.next([&](const UsageWindowId &id) { return countsOf(id).size(); });
        if (message.peers.empty())
            return;
        GossipMessage gossip;
        gossip.kind = GossipKind::Counts;
        gossip.name = m_name;
        gossip.run = m_run;
        for (const UsageWindowId &id : message.windows)
            gossip.windows.push_back({id.run, id.window, countsOf(id)});
        const std::string bytes = encodeGossip(gossip);
        for (const std::string &name : message.peers) {
            if (const auto it = m_peers.find(name); it != m_peers.end() && it->second.alive)
                send(it->second, GossipKind::Counts, bytes);
        }
    }
}

std::string PeerMesh::selectHub(TimePoint now)
{
    std::string hub = m_hubSelector.choose(candidates(), now);
    if (hub == m_name)
        m_hubSelector.noteResponse(hub, now);
    if (hub != m_hub) {
        core::Event("hub.changed").with("hub", hub).with("before", m_hub);
        m_hub = hub;
    }
    return hub;
}

void PeerMesh::scheduleLoad(Milliseconds delay)
{
    m_loadTimer.expires_after(delay);
    m_loadTimer.async_wait([this](const ErrorCode &ec) {
        if (!ec)
            exchangeLoad();
    });
}

// Sends this gateway's load to the hub of a large deployment or, as the hub, the sums to all peers.
void PeerMesh::exchangeLoad()
{
    const TimePoint now = core::BootClock::now();
    m_loadExchangedAt = now;
    m_loadChanged = false;
    if (!isLarge()) {
        scheduleLoad(IdleLoadInterval);
        return;
    }
    const std::string name = selectHub(now);
    if (name == m_name) {
        sendSummaries(now);
        scheduleLoad(std::max(LoadInterval, m_pace.backlog(core::BootClock::now())));
        return;
    }
    GossipMessage gossip = m_handler.compose();
    gossip.kind = GossipKind::Load;
    gossip.windows.clear();
    if (const auto it = m_peers.find(name); it != m_peers.end())
        send(it->second, GossipKind::Load, encodeGossip(gossip));
    scheduleLoad(IdleLoadInterval);
}

void PeerMesh::sendSummaries(TimePoint now)
{
    GossipMessage local = m_handler.compose();
    for (const GossipPrefixBlock &block : local.prefixBlocks)
        m_relayed.push_back({block, now + RelayDuration});
    m_loadAggregator.apply(local, now);
    m_loadAggregator.prune(now);
    GossipMessage summary;
    summary.kind = GossipKind::Summary;
    summary.name = m_name;
    summary.run = m_run;
    summary.sequence = local.sequence;
    summary.configVersion = local.configVersion;
    summary.storeVersion = local.storeVersion;
    summary.watchesStore = local.watchesStore;
    summary.processorShare = m_processorShare;
    summary.prefixBlocks = relayedBlocks(now);
    summary.blocks = local.blocks;
    if (m_handler.limits)
        summary.limits = m_handler.limits();
    for (const auto &[name, peer] : m_peers) {
        if (!peer.alive)
            continue;
        summary.shares = m_loadAggregator.loadExcept(name);
        summary.rates = m_loadAggregator.ratesExcept(name);
        if (m_handler.quotaLevels)
            summary.quotaLevels = m_handler.quotaLevels(name);
        send(peer, GossipKind::Summary, encodeGossip(summary));
    }
    m_endpoints.setPeerLoads(m_loadAggregator.loadExcept(m_name));
    m_summaryRates = m_loadAggregator.ratesExcept(m_name);
}

std::vector<GossipPrefixBlock> PeerMesh::relayedBlocks(TimePoint now)
{
    while (!m_relayed.empty() && m_relayed.front().until < now)
        m_relayed.pop_front();
    std::vector<GossipPrefixBlock> blocks;
    for (auto it = m_relayed.rbegin(); it != m_relayed.rend() && blocks.size() < MaxRelayedBlocks;
         ++it)
        blocks.push_back(it->block);
    return blocks;
}

} // namespace jujube::serving
