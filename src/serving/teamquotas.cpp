#include "serving/teamquotas.h"

#include "core/eventlog.h"
#include "core/metrics.h"
#include "core/text.h"

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;
using policy::QuotaDecision;
using policy::QuotaVerdict;
using ErrorCode = boost::system::error_code;

constexpr size_t MaxLabels = 100;
constexpr Milliseconds SettleInterval{10};
// Bounds of the random part of Retry-After. The larger the share of the team's requests that is
// refused, the longer: otherwise the refused clients of all gateways return at the same time.
constexpr double MinRetrySpread = 0.5;  // Seconds.
constexpr double MaxRetrySpread = 8;    // Seconds.
constexpr double SpreadPerExcess = 0.5; // Seconds, if as many tokens are refused as admitted.
constexpr Milliseconds DemandTime{5'000};

uint64_t hashOf(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

double tokensOf(const TeamQuota &quota, const RequestMetadata &request)
{
    if (!quota.countsTokens)
        return 1;
    const double stated =
        static_cast<double>(request.promptTokens) + static_cast<double>(request.maxOutputTokens);
    return std::ceil(stated > 0 ? stated : quota.plainTokens);
}

// Entry of a summary by which a hub states that it knows the levels of all teams. A hub without it
// has no configuration yet, or has just started: a team that it does not mention may be out of
// tokens.
constexpr uint64_t KeepsQuotas = 0;

} // namespace

TeamQuotas::TeamQuotas(boost::asio::io_context &io, const NodeSettings &settings,
                       std::mt19937_64 &random, std::function<void()> onCharged)
    : m_name(settings.name),
      m_self(hashOf(settings.name)),
      m_random(random),
      m_onCharged(std::move(onCharged)),
      m_ledger({settings.quotaWindow, settings.quotaOverrun, settings.quotaSlack},
               settings.firstStart, core::BootClock::now()),
      m_gate(m_ledger, core::BootClock::now()),
      m_timer(io)
{
}

void TeamQuotas::configure(const FleetConfig &config)
{
    const TimePoint now = core::BootClock::now();
    std::set<std::string> configured;
    for (const TeamConfig &team : config.teams) {
        if (!team.quota || team.quota->tokensPerSecond <= 0)
            continue;
        configured.insert(team.name);
        m_ledger.setQuota(hashOf(team.name),
                          policy::QuotaRate{team.quota->tokensPerSecond, team.quota->burstTokens},
                          now);
    }
    for (const std::string &name : m_configured) {
        if (!configured.contains(name))
            m_ledger.setQuota(hashOf(name), std::nullopt, now);
    }
    m_configured = std::move(configured);
    m_ledger.endOfConfiguration();
    if (!std::exchange(m_active, !m_ledger.empty()) && m_active)
        m_gate.restart(now);
}

void TeamQuotas::addGateway(const std::string &name)
{
    if (name != m_name)
        m_ledger.addGateway(hashOf(name), core::BootClock::now());
}

void TeamQuotas::removeGateway(const std::string &name)
{
    m_ledger.removeGateway(hashOf(name));
}

void TeamQuotas::setPosition(const MeshPosition &position, TimePoint now)
{
    m_gate.touch(now);
    m_gate.setRole(!position.large              ? policy::QuotaRole::Mesh
                       : position.hub == m_name ? policy::QuotaRole::Hub
                                                : policy::QuotaRole::Member,
                   now);
}

void TeamQuotas::addTo(GossipMessage &gossip, const MeshPosition &position)
{
    if (!active())
        return;
    const TimePoint now = core::BootClock::now();
    setPosition(position, now);
    logMode(now);
    gossip.quotaCounts = m_gate.counts(now);
    gossip.quotaLevels = m_gate.levelsForNewPeers(now);
    if (!position.large) {
        gossip.heardPeers = m_ledger.connectedPeers(now);
        m_gate.noteBroadcast(now);
    }
}

std::vector<policy::QuotaLevel> TeamQuotas::levelsFor(const std::string &peer)
{
    if (!active())
        return {};
    const TimePoint now = core::BootClock::now();
    if (m_ledger.awaitsAnyLevel(now))
        return {};
    auto levels = m_ledger.levelsFor(hashOf(peer), now);
    levels.push_back({KeepsQuotas, 0, 0});
    return levels;
}

void TeamQuotas::onGossip(const GossipMessage &gossip, const MeshPosition &position)
{
    if (!active() || gossip.kind == GossipKind::Counts)
        return;
    const TimePoint now = core::BootClock::now();
    setPosition(position, now);
    const uint64_t sender = hashOf(gossip.name);
    if (gossip.kind == GossipKind::Summary) {
        m_ledger.noteHeard(sender, gossip.run, now);
        const bool keepsQuotas =
            std::any_of(gossip.quotaLevels.begin(), gossip.quotaLevels.end(),
                        [](const policy::QuotaLevel &it) { return it.team == KeepsQuotas; });
        if (gossip.name == position.hub && keepsQuotas)
            m_gate.applyStatement({sender, gossip.run, gossip.sequence, gossip.quotaLevels}, now);
        return;
    }
    m_ledger.apply({sender, gossip.run, gossip.sequence, gossip.quotaCounts, gossip.quotaLevels},
                   now);
    if (std::find(gossip.heardPeers.begin(), gossip.heardPeers.end(), m_self)
        != gossip.heardPeers.end())
        m_gate.noteListed(now);
}

void TeamQuotas::logMode(TimePoint now)
{
    const policy::QuotaMode mode = m_gate.mode(now);
    const policy::QuotaMode before = std::exchange(m_mode, mode);
    if (policy::quotaModeName(mode) != policy::quotaModeName(before))
        core::Event("quota.mode")
            .with("mode", policy::quotaModeName(mode))
            .with("before", policy::quotaModeName(before))
            .with("gateways", m_ledger.memberCount(now));
}

void TeamQuotas::admit(const TeamConfig &team, const RequestMetadata &request, OnAnswer onAnswer)
{
    const uint64_t hash = hashOf(team.name);
    const double tokens = team.quota ? tokensOf(*team.quota, request) : 0;
    if (!team.quota || !m_ledger.quota(hash)) {
        onAnswer({true, {}, {}});
        return;
    }
    const TimePoint now = core::BootClock::now();
    const QuotaDecision decision = m_gate.decide(hash, tokens, now);
    if (decision.verdict == QuotaVerdict::Refuse) {
        onAnswer(refusal(hash, tokens, team.name, request.id, decision));
        return;
    }
    const policy::QuotaHold hold = m_gate.charge(hash, tokens, decision, now);
    m_onCharged();
    core::incrementCounter("jujube_quota_tokens_total", labelOf(team.name),
                           static_cast<uint64_t>(tokens));
    if (decision.verdict == QuotaVerdict::Admit) {
        onAnswer({true, {hash, tokens}, {}});
        return;
    }
    m_waiting.push_back({hold, team.name, request.id, std::move(onAnswer)});
    scheduleSettling();
}

void TeamQuotas::scheduleSettling()
{
    if (std::exchange(m_settling, true))
        return;
    m_timer.expires_after(SettleInterval);
    m_timer.async_wait([this](const ErrorCode &ec) {
        if (ec)
            return;
        m_settling = false;
        settleWaiting();
    });
}

void TeamQuotas::settleWaiting()
{
    const TimePoint now = core::BootClock::now();
    for (size_t i = 0; i < m_waiting.size();) {
        const QuotaVerdict verdict = m_gate.settle(m_waiting[i].hold, m_random, now);
        if (verdict == QuotaVerdict::Wait) {
            ++i;
            continue;
        }
        const Waiting it = std::move(m_waiting[i]);
        m_waiting.erase(m_waiting.begin() + static_cast<ptrdiff_t>(i));
        const QuotaCharge charge{it.hold.team, it.hold.tokens};
        if (verdict == QuotaVerdict::Admit) {
            it.onAnswer({true, charge, {}});
            continue;
        }
        refund(charge);
        QuotaDecision decision = m_gate.decide(charge.team, charge.tokens, now);
        it.onAnswer(refusal(charge.team, charge.tokens, it.team, it.request, decision));
    }
    if (!m_waiting.empty())
        scheduleSettling();
}

void TeamQuotas::refund(const QuotaCharge &charge)
{
    if (charge.tokens <= 0)
        return;
    m_gate.refund(charge.team, charge.tokens, core::BootClock::now());
}

TeamQuotas::Answer TeamQuotas::refusal(uint64_t team, double tokens, const std::string &name,
                                       const std::string &request, const QuotaDecision &decision)
{
    const Milliseconds retryAfter = retryDelay(team, tokens, decision);
    core::incrementCounter("jujube_quota_refusals_total", labelOf(name));
    core::Event("request.over_quota")
        .with("request", request)
        .with("team", name)
        .with("tokens", tokens)
        .with("level", decision.level)
        .with("unacknowledged", decision.unacknowledged)
        .with("age_ms", decision.age.count())
        .with("mode", policy::quotaModeName(decision.mode))
        .with("retry_after_ms", retryAfter.count());
    return {false, {}, retryAfter};
}

Milliseconds TeamQuotas::retryDelay(uint64_t team, double tokens, const QuotaDecision &decision)
{
    const TimePoint now = core::BootClock::now();
    policy::RateMeter &refused = m_refused.try_emplace(team, DemandTime).first->second;
    refused.note(tokens, now);
    std::uniform_real_distribution<double> random(0, retrySpread(team, refused, now));
    return decision.retryIn
        + std::chrono::ceil<Milliseconds>(std::chrono::duration<double>(random(m_random)));
}

double TeamQuotas::retrySpread(uint64_t team, const policy::RateMeter &refused, TimePoint now) const
{
    const policy::QuotaRate *quota = m_ledger.quota(team);
    const double excess =
        quota ? refused.rate(now) * m_ledger.memberCount(now) / quota->perSecond : 0;
    return std::clamp(excess * SpreadPerExcess, MinRetrySpread, MaxRetrySpread);
}

std::optional<TeamQuotas::Preview> TeamQuotas::preview(const TeamConfig &team,
                                                       const RequestMetadata &request) const
{
    const uint64_t hash = hashOf(team.name);
    const policy::QuotaRate *quota = team.quota ? m_ledger.quota(hash) : nullptr;
    if (!quota)
        return std::nullopt;
    const TimePoint now = core::BootClock::now();
    const double tokens = tokensOf(*team.quota, request);
    const auto known = m_refused.find(hash);
    policy::RateMeter refused =
        known == m_refused.end() ? policy::RateMeter(DemandTime) : known->second;
    refused.note(tokens, now);
    const std::chrono::duration<double> spread(retrySpread(hash, refused, now));
    return Preview{*quota, tokens, m_gate.preview(hash, tokens, now),
                   std::chrono::ceil<Milliseconds>(spread)};
}

std::string TeamQuotas::labelOf(const std::string &team)
{
    const bool known = m_labels.contains(team);
    if (!known && m_labels.size() >= MaxLabels)
        return "team=\"other\"";
    if (!known)
        m_labels.insert(team);
    return core::concat("team=\"", team, "\"");
}

} // namespace jujube::serving
