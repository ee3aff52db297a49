/** \file
 * Composes the gossip messages of a gateway and applies those of its peers.
 */

#include "serving/gateway.h"

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;

// Keeps requests away from an endpoint that a peer reports as changing or leaving. The peer's next
// gossip message renews the pause.
constexpr Milliseconds GossipPause{200};
constexpr Milliseconds LimitRepeatTime{30'000};
constexpr Milliseconds LimitEndRepeatTime{2'000};

// Limits are repeated while they last; the end of one only until all gateways know of it.
bool isRepeated(const policy::LimitObservation &observation, TimePoint now)
{
    return observation.at != TimePoint{}
    && now - observation.at < (observation.perSecond ? LimitRepeatTime : LimitEndRepeatTime);
}

GossipLimit gossipOf(const Endpoint &endpoint, const policy::LimitObservation &observation,
                     TimePoint now)
{
    return {endpoint.hash, observation.perSecond,
            std::chrono::duration_cast<Milliseconds>(now - observation.at)};
}

} // namespace

void Gateway::updateEndpoint(const EndpointRecord &record)
{
    // Only where endpoints state their pace: elsewhere the earlier rules measured better.
    const bool observed = m_mirror->complete() && m_endpoints.statesPace();
    const RecordArrival arrival{observed ? core::BootClock::now() : TimePoint{},
                                m_mirror->items().contains(Leadership::Key)};
    if (m_endpoints.update(record, cacheTokens(record.service), arrival))
        m_stageDuty.planSoon();
}

GossipMessage Gateway::composeGossip()
{
    const TimePoint now = core::BootClock::now();
    GossipMessage gossip;
    gossip.name = m_settings.name;
    gossip.run = m_run;
    gossip.sequence = ++m_gossipSequence;
    const auto config = m_config.load();
    gossip.configVersion = config ? config->version : 0;
    gossip.storeVersion = m_mirror->version();
    gossip.wallTime = m_wallClock.at(now);
    gossip.watchesStore = m_mirror->watching() && m_mirror->reachable();
    gossip.rates = localTokenRates(now);
    gossip.prefillTokensPerSecond = m_prefillRate.tokensPerSecond();
    for (const auto &[id, endpoint] : m_endpoints.all()) {
        const bool changing = now < endpoint->pausedUntil && m_leadership.held();
        const bool failing = endpoint->health.state(now) != policy::OutlierDetector::State::Healthy;
        const auto report = endpoint->reportToShare(now);
        if (endpoint->ownLoad.running > 0 || changing || failing || endpoint->leaving || report)
            gossip.shares.push_back(
                {endpoint->hash, endpoint->ownLoad, changing, failing, endpoint->leaving, report});
    }
    addUsageWindows(gossip);
    gossip.prefixBlocks = m_sentBlocks.blocksToSend(now);
    gossip.blocks = m_quarantine.report();
    gossip.requestsPerSecond = m_requestRate.rate(now);
    for (const auto &[id, endpoint] : m_endpoints.all()) {
        if (const auto &own = endpoint->limit.own(); isRepeated(own, now))
            gossip.limits.push_back(gossipOf(*endpoint, own, now));
    }
    m_quotas.addTo(gossip, {m_peers.isLarge(), m_peers.hub()});
    return gossip;
}

// The hub relays what it knows of all limits; the others state only what they have observed, as an
// observation that is passed around would seem newer with each step.
std::vector<GossipLimit> Gateway::knownLimits() const
{
    const TimePoint now = core::BootClock::now();
    std::vector<GossipLimit> limits;
    for (const auto &[id, endpoint] : m_endpoints.all()) {
        if (const auto &latest = endpoint->limit.latest(); isRepeated(latest, now))
            limits.push_back(gossipOf(*endpoint, latest, now));
    }
    return limits;
}

std::vector<GossipEngineSpeed> Gateway::engineSpeeds() const
{
    const TimePoint now = core::BootClock::now();
    std::vector<GossipEngineSpeed> speeds;
    if (!m_placement.predictsByPace)
        return speeds;
    for (const auto &[id, endpoint] : m_endpoints.all()) {
        if (const auto evidence = endpoint->slowdown.own(now); evidence && endpoint->prefills())
            speeds.push_back({endpoint->hash, *evidence});
    }
    return speeds;
}

TokenRates Gateway::localTokenRates(TimePoint now) const
{
    return {m_promptTokens.rate(now), m_outputTokens.rate(now)};
}

void Gateway::addUsageWindows(GossipMessage &gossip)
{
    const uint64_t current = m_usage.windowAt(m_wallClock.at(core::BootClock::now()));
    for (const auto &[window, counts] : m_usage.ownCounts()) {
        if (window + PastWindowsSent >= current)
            gossip.windows.push_back({m_run, window, counts});
    }
    constexpr uint64_t retainedWindows = 6; // More than the leader reports.
    m_usage.eraseBefore(current - retainedWindows);
}

void Gateway::onPeerState(const StorePage &state)
{
    m_mirror->applyPeerState(state);
}

void Gateway::onGossip(const GossipMessage &gossip)
{
    m_promptScheduler.scheduleDispatch();
    m_quotas.onGossip(gossip, {m_peers.isLarge(), m_peers.hub()});
    m_quarantine.merge(gossip.blocks);
    if (gossip.wallTime.count() > 0)
        m_wallClock.recordPeerTime(gossip.name, gossip.wallTime, core::BootClock::now());
    for (const GossipUsageWindow &it : gossip.windows) {
        if (it.run != m_run)
            m_usage.merge(it.run, it.window, it.counts);
    }
    for (const GossipPrefixBlock &it : gossip.prefixBlocks) {
        if (const EndpointPtr endpoint = m_endpoints.findByHash(it.endpoint)) {
            endpoint->prefixCache.record({it.link});
            endpoint->hadRequests = true;
        }
    }
    const TimePoint now = core::BootClock::now();
    for (const GossipLimit &it : gossip.limits)
        m_endpoints.mergeLimit(it.endpoint, {it.perSecond, now - it.age});
    if (!gossip.teamUse.empty())
        m_promptScheduler.mergeTeamUse(endpointHash(gossip.name), gossip.teamUse);
    const uint64_t sender = gossip.engineSpeeds.empty() ? 0 : endpointHash(gossip.name);
    for (const GossipEngineSpeed &it : gossip.engineSpeeds) {
        if (const EndpointPtr endpoint = m_endpoints.findByHash(it.endpoint))
            endpoint->slowdown.merge(sender, it.evidence, now);
    }
    for (const GossipLoadShare &share : gossip.shares) {
        if (!share.changing && !share.failing && !share.leaving && !share.report)
            continue;
        const EndpointPtr endpoint = m_endpoints.findByHash(share.endpoint);
        if (endpoint && share.report)
            endpoint->noteReport(*share.report, now, false);
        // Gossip identifies an endpoint by the hash of its id, which a new incarnation may have
        // taken over, so a pause expires unless a later message repeats it.
        if (endpoint && (share.changing || share.leaving))
            endpoint->pauseFor(core::BootClock::now(), GossipPause);
        if (endpoint && share.failing)
            endpoint->errors.noteRemoteSuspicion();
    }
}

// Fetches store changes from peers if this gateway cannot reach the store or leaves watching to
// others.
void Gateway::syncWithPeers(TimePoint now)
{
    const std::vector<FeedPeer> peers = m_peers.statePeers();
    const bool follows = !m_peers.watchesForOthers() && m_feed.isFed(peers, now);
    m_mirror->setFollowing(follows);
    if (!m_peers.watchesForOthers() && m_feed.refreshDue(now))
        m_feed.fetch(peers, m_mirror->version(), now);
    const StoreVersion newest = m_peers.newestVersion();
    // A lease holder that cannot reach the store learns of a restore from its peers.
    m_store.observeEra(newest.era);
    logLag(newest, follows, now);
    const bool behind = newest > m_mirror->version();
    const CatchUp::Action action = m_catchUp.decide(
        {behind, follows, m_mirror->reachable(), m_mirror->minWatchInterval()}, now);
    if (action.list)
        m_mirror->relist();
    if (action.fetch)
        m_feed.fetch(peers, m_mirror->version(), now);
}

} // namespace jujube::serving
