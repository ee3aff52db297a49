/** \file
 * The part of a gateway that tells its neighbours what it knows and learns from them.
 */

#include "core/eventlog.h"
#include "core/metrics.h"
#include "serving/gateway.h"

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;

constexpr uint64_t WindowsTold = 2; ///< Usage windows in each datagram, besides the current one.
// Followers are a second behind while a change spreads; twice that is logged, and each second more.
constexpr Milliseconds LoggedLag{2'000};
constexpr Milliseconds LagLogInterval{1'000};
// An endpoint that the leader keeps work away from is left out until its next news.
constexpr Milliseconds ToldPause{200};

} // namespace

News Gateway::composeNews()
{
    const TimePoint now = core::BootClock::now();
    News news;
    news.name = m_settings.name;
    news.run = m_run;
    news.sequence = ++m_newsSequence;
    const auto config = m_config.load();
    news.configVersion = config ? config->version : 0;
    news.storeVersion = m_mirror->version();
    news.wallTime = m_wallClock.at(now);
    news.watches = m_mirror->watching() && m_mirror->reachable();
    news.rates = ownRates(now);
    news.readPace = m_reading.tokensPerSecond();
    for (const auto &[id, endpoint] : m_endpoints.all()) {
        const bool changing = now < endpoint->pausedUntil && m_leadership.held();
        const bool failing = endpoint->health.state(now) != policy::OutlierDetector::State::Healthy;
        if (endpoint->own.running > 0 || changing || failing || endpoint->leaving)
            news.shares.push_back(
                {endpoint->hash, endpoint->own, changing, failing, endpoint->leaving});
    }
    addWindows(news);
    news.parts = m_partNews.take(now);
    return news;
}

TokenRates Gateway::ownRates(TimePoint now) const
{
    return {m_promptTokens.rate(now), m_outputTokens.rate(now)};
}

void Gateway::addWindows(News &news)
{
    const uint64_t current = m_usage.windowAt(m_wallClock.at(core::BootClock::now()));
    for (const auto &[window, counts] : m_usage.own()) {
        if (window + WindowsTold >= current)
            news.windows.push_back({m_run, window, counts});
    }
    // What a gateway that is gone had told lives on in the news of some of those that heard it.
    const bool tellsOfGone = m_peers.tellsOfGone();
    for (const auto &[window, runs] : m_usage.others()) {
        if (!tellsOfGone || window + WindowsTold < current)
            continue;
        for (const auto &[run, counts] : runs) {
            if (!m_peers.runAlive(run))
                news.windows.push_back({run, window, counts});
        }
    }
    constexpr uint64_t windowsRemembered = 6; // More than the leader looks back.
    m_usage.forgetBefore(current - windowsRemembered);
}

void Gateway::onPeerState(const StorePage &state)
{
    m_mirror->absorb(state);
}

void Gateway::onNews(const News &news)
{
    m_prompts.wake();
    if (news.wallTime.count() > 0)
        m_wallClock.hear(news.name, news.wallTime, core::BootClock::now());
    for (const NewsWindow &it : news.windows) {
        if (it.run != m_run)
            m_usage.merge(it.run, it.window, it.counts);
    }
    for (const NewsPart &it : news.parts) {
        if (const EndpointPtr endpoint = m_endpoints.findByHash(it.endpoint))
            endpoint->parts.record({it.link});
    }
    for (const NewsShare &share : news.shares) {
        if (!share.changing && !share.failing && !share.leaving)
            continue;
        const EndpointPtr endpoint = m_endpoints.findByHash(share.endpoint);
        // News identify an endpoint by its id, which a new incarnation may have by now, so a hint
        // expires unless it is repeated.
        if (endpoint && (share.changing || share.leaving))
            endpoint->pause(core::BootClock::now(), ToldPause);
        if (endpoint && share.failing)
            endpoint->errors.noteRemoteSuspicion();
    }
}

// A gateway that the store does not serve, or that leaves watching to others, learns from its
// neighbours what it missed.
void Gateway::followPeers(TimePoint now)
{
    const std::vector<FeedPeer> peers = m_peers.statePeers();
    const bool follows = !m_peers.watchesForOthers() && m_feed.fed(peers, now);
    m_mirror->setFollowing(follows);
    if (!m_peers.watchesForOthers() && m_feed.refreshDue(now))
        m_feed.fetch(peers, m_mirror->version(), now);
    const StoreVersion newest = m_peers.newestVersion();
    // A holder that the store does not answer hears of a restore here first.
    m_store.learnEra(newest.era);
    logLag(newest, follows, now);
    const bool behind = newest > m_mirror->version();
    const CatchUp::Action action =
        m_catchUp.decide({behind, follows, m_mirror->reachable(), m_mirror->watchPace()}, now);
    if (action.list)
        m_mirror->hurry();
    if (action.fetch)
        m_feed.fetch(peers, m_mirror->version(), now);
}

// Says how long a newer state has been known to exist that this gateway does not have.
void Gateway::logLag(const StoreVersion &newest, bool follows, TimePoint now)
{
    if (newest <= m_mirror->version()) {
        m_lagSince = {};
        return;
    }
    if (m_lagSince == TimePoint{})
        m_lagSince = m_lagLogged = now;
    if (now - m_lagSince < LoggedLag || now - m_lagLogged < LagLogInterval)
        return;
    m_lagLogged = now;
    core::countMetric("jujube_state_behind_total");
    core::Event("state.behind")
        .with("for_ms", std::chrono::duration_cast<Milliseconds>(now - m_lagSince).count())
        .with("revision", m_mirror->version().revision)
        .with("newest", newest.revision)
        .with("follows", follows)
        .with("reachable", m_mirror->reachable());
}

} // namespace jujube::serving
