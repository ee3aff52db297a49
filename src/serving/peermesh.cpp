#include "serving/peermesh.h"

#include "core/eventlog.h"
#include "core/metrics.h"
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

// Without changes, so that peers know that this gateway lives.
constexpr Milliseconds NewsInterval{100};
// Changes of load are told this much later for each peer: at six gateways news that were 100 ms old
// doubled the time in which nine of ten prompts were read; the cost grows with the peers.
constexpr Milliseconds NewsDelayPerPeer{1};
// A peer that misses this many in a row is stopped, cut off or frozen: its load is not counted.
constexpr Milliseconds PeerSilence{1'500};
// Datagrams come in bunches; adding up the loads for each would cost more than it tells.
constexpr Milliseconds SumInterval{5};
// Up to this many peers each gateway tells every other: six gateways use 3% of a core each.
constexpr size_t MeshPeers = 9;
// In a large deployment: load to the hub and sums from it, when it has changed and at least.
constexpr Milliseconds LoadInterval{25};
constexpr Milliseconds IdleLoadInterval{120};
constexpr Milliseconds LargeNewsInterval{1'000};
constexpr Milliseconds LargePeerSilence{3'500};
// Parts that gateways sent are told by the hub in two or three rounds.
constexpr Milliseconds RelayFor{70};
constexpr size_t MostRelayedParts = 80;
// Longer than the window that budgets of repeated sends are judged over.
constexpr Milliseconds BudgetMemory{15'000};

// Every kind of news tells how much of the store's state its sender has. A new run of the sender
// starts from what it says itself.
void noteStore(News &known, const News &heard)
{
    if (known.run != heard.run) {
        known.run = heard.run;
        known.sequence = 0;
        known.storeVersion = {};
    }
    known.storeVersion = std::max(known.storeVersion, heard.storeVersion);
    known.watches = heard.watches;
}

} // namespace

PeerMesh::PeerMesh(asio::io_context &io, http::Caller &caller, EndpointTable &endpoints,
                   Handler handler)
    : m_io(io),
      m_caller(caller),
      m_endpoints(endpoints),
      m_handler(std::move(handler)),
      m_socket(io),
      m_timer(io),
      m_loadTimer(io)
{
}

absl::Status PeerMesh::start(const NodeSettings &settings, uint64_t run)
{
    m_name = settings.name;
    m_run = run;
    m_processorShare = settings.processorShare;
    m_address = core::concat(settings.ip, ":", settings.firstInternalPort);
    ErrorCode ec;
    const auto ip = asio::ip::make_address(settings.ip, ec);
    if (!ec)
        m_socket.open(udp::v4(), ec);
    if (!ec)
        m_socket.bind(udp::endpoint(ip, settings.firstInternalPort), ec);
    if (ec)
        return absl::UnavailableError(
            core::concat("cannot bind datagrams to ", m_address, ": ", ec.message()));
    m_server = std::make_unique<http::Server>(
        m_io, [this](const http::Request &request, const http::Responder &responder) {
            http::Head head;
            const auto after = StateFeed::askedVersion(request.head.target);
            head.status = after ? http::status::Ok : http::status::NotFound;
            const std::string state = after ? encodeState(m_handler.state(*after)) : std::string();
            ++m_served.requests;
            m_served.bytes += state.size();
            responder.send(head, state);
        });
    if (absl::Status status = m_server->listen(m_address); !status.ok())
        return status;
    receive();
    tell();
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
    const size_t colon = address.rfind(':');
    ErrorCode ec;
    const auto ip = asio::ip::make_address(address.substr(0, colon), ec);
    const int port = colon == std::string::npos ? 0 : std::atoi(address.c_str() + colon + 1);
    if (ec || port <= 0) {
        core::Event("peer.ignored").with("peer", name).with("address", address);
        m_peers.erase(name);
        return;
    }
    peer.address = address;
    peer.target = udp::endpoint(ip, static_cast<uint16_t>(port));
    core::Event("peer.known").with("peer", name).with("address", address);
}

void PeerMesh::removePeer(const std::string &name)
{
    m_peers.erase(name);
}

void PeerMesh::receive()
{
    m_socket.async_receive_from(asio::buffer(m_buf), m_sender,
                                [this](const ErrorCode &ec, size_t n) {
                                    if (ec == asio::error::operation_aborted)
                                        return;
                                    if (!ec)
                                        received({m_buf.data(), n});
                                    receive();
                                });
}

void PeerMesh::received(std::string_view bytes)
{
    auto news = decodeNews(bytes);
    if (!news.ok()) {
        core::Event("peer.news.invalid").with("why", news.status().message());
        return;
    }
    if (news->name == m_name)
        return;
    const std::string sender = core::concat(m_sender.address().to_string(), ":", m_sender.port());
    // A process that has just started is told of its peers by their datagrams.
    addPeer(news->name, sender);
    const auto it = m_peers.find(news->name);
    if (it == m_peers.end())
        return;
    Peer &peer = it->second;
    const TimePoint now = core::BootClock::now();
    peer.heardAt = now;
    if (!std::exchange(peer.alive, true))
        core::Event("peer.heard").with("peer", news->name).with("run", news->run);
    switch (news->kind) {
    case NewsKind::Whole:
        takeWhole(peer, std::move(*news), now);
        break;
    case NewsKind::Load:
        noteStore(peer.news, *news);
        for (const NewsPart &part : news->parts)
            m_relayed.push_back({part, now + RelayFor});
        m_books.note(*news, now);
        m_handler.onNews(*news);
        break;
    case NewsKind::Summary:
        takeSummary(*news, now);
        break;
    }
}

void PeerMesh::takeWhole(Peer &peer, News news, TimePoint now)
{
    if (peer.news.run == news.run && peer.news.sequence >= news.sequence)
        return;
    // Whole news of a large deployment are composed up to a second before they go out.
    if (peer.news.run == news.run)
        news.storeVersion = std::max(news.storeVersion, peer.news.storeVersion);
    peer.news = std::move(news);
    if (!large() && now - m_summedAt >= SumInterval)
        sumShares(now);
    m_handler.onNews(peer.news);
}

void PeerMesh::takeSummary(const News &news, TimePoint now)
{
    m_hubChoice.noteAnswer(news.name, now);
    if (m_summaryRun == news.run && m_summarySequence >= news.sequence)
        return;
    m_summaryRun = news.run;
    m_summarySequence = news.sequence;
    m_summaryRates = news.rates;
    if (const auto hub = m_peers.find(news.name); hub != m_peers.end())
        noteStore(hub->second.news, news);
    m_endpoints.setPeerShares(news.shares);
    m_handler.onNews(news);
}

// Sums are made anew rather than kept by difference: endpoints come and go between two datagrams.
void PeerMesh::sumShares(TimePoint now)
{
    m_summedAt = now;
    std::unordered_map<uint64_t, EndpointShare> sums;
    for (const auto &[name, peer] : m_peers) {
        if (!peer.alive)
            continue;
        for (const NewsShare &share : peer.news.shares) {
            EndpointShare &sum = sums[share.endpoint];
            sum.running += share.load.running;
            sum.backlogTokens += share.load.backlogTokens;
        }
    }
    std::vector<NewsShare> shares;
    shares.reserve(sums.size());
    for (const auto &[endpoint, sum] : sums)
        shares.push_back({endpoint, sum});
    m_endpoints.setPeerShares(shares);
}

bool PeerMesh::large() const
{
    return m_peers.size() > MeshPeers;
}

void PeerMesh::loadChanged()
{
    const TimePoint now = core::BootClock::now();
    if (large()) {
        if (!std::exchange(m_changed, true)) {
            const TimePoint due = m_exchangedAt + LoadInterval;
            scheduleLoad(due > now ? std::chrono::ceil<Milliseconds>(due - now) : Milliseconds(0));
        }
        return;
    }
    if (std::exchange(m_hurried, true))
        return;
    const Milliseconds delay = std::clamp(NewsDelayPerPeer * static_cast<int64_t>(m_peers.size()),
                                          NewsDelayPerPeer, NewsInterval);
    const TimePoint due = m_toldAt + delay;
    schedule(due > now ? std::chrono::ceil<Milliseconds>(due - now) : Milliseconds(0));
}

void PeerMesh::schedule(Milliseconds delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([this](const ErrorCode &ec) {
        if (!ec)
            tell();
    });
}

void PeerMesh::send(const Peer &peer, const std::string &bytes)
{
    ErrorCode ec;
    m_socket.send_to(asio::buffer(bytes), peer.target, 0, ec);
    if (ec)
        core::incrementCounter("jujube_peer_send_errors_total");
}

// One line for all that was asked since the last one: many peers ask at the same change.
void PeerMesh::logServed()
{
    const Served served = std::exchange(m_served, {});
    if (served.requests == 0)
        return;
    core::incrementCounter("jujube_state_served_total", {}, served.requests);
    core::incrementCounter("jujube_state_served_bytes_total", {}, served.bytes);
    core::Event("state.served").with("requests", served.requests).with("bytes", served.bytes);
}

void PeerMesh::tell()
{
    const TimePoint now = core::BootClock::now();
    logServed();
    m_toldAt = now;
    m_hurried = false;
    const Milliseconds silence = large() ? LargePeerSilence : PeerSilence;
    for (auto &[name, peer] : m_peers) {
        if (peer.alive && now - peer.heardAt > silence) {
            core::Event("peer.silent").with("peer", name);
            peer.alive = false;
        }
    }
    if (!large() && now - m_summedAt >= SumInterval)
        sumShares(now);
    if (large()) {
        tellSlice();
        schedule(LargeNewsInterval / NewsRound::Slices);
        return;
    }
    const std::string bytes = composeWhole(true);
    for (const auto &[name, peer] : m_peers)
        send(peer, bytes);
    schedule(NewsInterval);
}

std::string PeerMesh::composeWhole(bool sentAtOnce)
{
    News news = m_handler.compose();
    if (!sentAtOnce)
        news.wallTime = {};
    news.processorShare = m_processorShare;
    return encodeNews(news);
}

void PeerMesh::tellSlice()
{
    std::vector<std::string> names;
    names.reserve(m_peers.size());
    for (const auto &[name, peer] : m_peers)
        names.push_back(name);
    const NewsRound::Slice slice = m_round.next(names);
    if (slice.begins)
        m_roundBytes = composeWhole(false);
    for (const std::string &name : slice.peers)
        send(m_peers.at(name), m_roundBytes);
}

bool PeerMesh::tellsOfGone() const
{
    std::vector<std::string> names;
    for (const auto &[name, peer] : m_peers) {
        if (peer.alive)
            names.push_back(name);
    }
    return succeedsGone(m_name, names);
}

std::vector<HubCandidate> PeerMesh::candidates() const
{
    std::vector<HubCandidate> candidates{{m_name, m_processorShare, true}};
    for (const auto &[name, peer] : m_peers)
        candidates.push_back({name, peer.news.processorShare, peer.alive});
    return candidates;
}

std::string PeerMesh::hub(TimePoint now)
{
    std::string hub = m_hubChoice.choose(candidates(), now);
    if (hub == m_name)
        m_hubChoice.noteAnswer(hub, now);
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

// One round of a large deployment: this gateway's load goes to the hub, or the hub tells the sums.
void PeerMesh::exchangeLoad()
{
    const TimePoint now = core::BootClock::now();
    m_exchangedAt = now;
    m_changed = false;
    if (!large()) {
        scheduleLoad(IdleLoadInterval);
        return;
    }
    const std::string name = hub(now);
    if (name == m_name) {
        tellSummaries(now);
        scheduleLoad(LoadInterval);
        return;
    }
    News news = m_handler.compose();
    news.kind = NewsKind::Load;
    news.windows.clear();
    if (const auto it = m_peers.find(name); it != m_peers.end())
        send(it->second, encodeNews(news));
    scheduleLoad(IdleLoadInterval);
}

void PeerMesh::tellSummaries(TimePoint now)
{
    News own = m_handler.compose();
    for (const NewsPart &part : own.parts)
        m_relayed.push_back({part, now + RelayFor});
    m_books.note(own, now);
    m_books.prune(now);
    News summary;
    summary.kind = NewsKind::Summary;
    summary.name = m_name;
    summary.run = m_run;
    summary.sequence = own.sequence;
    summary.configVersion = own.configVersion;
    summary.storeVersion = own.storeVersion;
    summary.watches = own.watches;
    summary.processorShare = m_processorShare;
    summary.parts = relayedParts(now);
    for (const auto &[name, peer] : m_peers) {
        if (!peer.alive)
            continue;
        summary.shares = m_books.othersOf(name);
        summary.rates = m_books.ratesOfOthers(name);
        send(peer, encodeNews(summary));
    }
    m_endpoints.setPeerShares(m_books.othersOf(m_name));
    m_summaryRates = m_books.ratesOfOthers(m_name);
}

std::vector<NewsPart> PeerMesh::relayedParts(TimePoint now)
{
    while (!m_relayed.empty() && m_relayed.front().until < now)
        m_relayed.pop_front();
    std::vector<NewsPart> parts;
    for (auto it = m_relayed.rbegin(); it != m_relayed.rend() && parts.size() < MostRelayedParts;
         ++it)
        parts.push_back(it->part);
    return parts;
}

uint32_t PeerMesh::aliveCount() const
{
    return 1
        + static_cast<uint32_t>(std::count_if(m_peers.begin(), m_peers.end(),
                                              [](const auto &it) { return it.second.alive; }));
}

StoreVersion PeerMesh::newestVersion() const
{
    StoreVersion newest;
    for (const auto &[name, peer] : m_peers) {
        if (peer.alive)
            newest = std::max(newest, peer.news.storeVersion);
    }
    return newest;
}

TokenRates PeerMesh::peersRates() const
{
    if (large())
        return m_summaryRates;
    TokenRates sum;
    for (const auto &[name, peer] : m_peers) {
        if (peer.alive)
            sum += peer.news.rates;
    }
    return sum;
}

double PeerMesh::readPace(double own) const
{
    double sum = own;
    int n = own > 0 ? 1 : 0;
    for (const auto &[name, peer] : m_peers) {
        if (!peer.alive || peer.news.readPace <= 0)
            continue;
        sum += peer.news.readPace;
        ++n;
    }
    return n == 0 ? 0 : sum / n;
}

uint32_t PeerMesh::gatewayCount(TimePoint now) const
{
    return 1
        + static_cast<uint32_t>(std::count_if(
            m_peers.begin(), m_peers.end(), [now](const auto &it) {
                return it.second.heardAt != TimePoint{} && now - it.second.heardAt < BudgetMemory;
            }));
}

bool PeerMesh::runAlive(uint64_t run) const
{
    return std::any_of(m_peers.begin(), m_peers.end(), [run](const auto &it) {
        return it.second.alive && it.second.news.run == run;
    });
}

std::vector<FeedPeer> PeerMesh::statePeers() const
{
    std::vector<FeedPeer> peers;
    for (const auto &[name, peer] : m_peers) {
        if (peer.alive)
            peers.push_back({name, peer.address, peer.news.storeVersion, peer.news.watches});
    }
    return peers;
}

bool PeerMesh::watchesForOthers() const
{
    return !large() || serving::watchesForOthers(m_name, m_hub, candidates());
}

} // namespace jujube::serving
