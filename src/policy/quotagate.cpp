#include "policy/quotagate.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace jujube::policy {

namespace {

using core::Milliseconds;
using core::TimePoint;

constexpr Milliseconds ContactTimeout{500};
// A gateway that hears nothing for longer has perhaps lost contact, and spends less.
constexpr Milliseconds FreshTime{150};
// The ledger of a gateway that is not the hub hears each peer only once per second.
constexpr Milliseconds StandbyConnectionTimeout{2'500};
// The others count a silent gateway for 20 s.
constexpr Milliseconds MaxTimeAlone{15'000};
// Datagrams that arrived while the process was suspended are read within this time.
constexpr Milliseconds DistrustTime{300};
constexpr Milliseconds MaxTouchInterval{500};
constexpr Milliseconds ReconnectTime{300};
// Three times the delay of a message in a mesh.
constexpr Milliseconds MeshDelay{30};
constexpr Milliseconds ActiveTime{20'000};
constexpr size_t MaxReported = 64; ///< Those of the last second or two.
// A peer that starts hears every other one within about three seconds.
constexpr Milliseconds NewPeerTime{6'000};
// Longer than the hub takes to count a charge that was reported to it.
constexpr Milliseconds CountDelay{1'500};
// Several rounds of the hub, also if it is slow.
constexpr Milliseconds MaxHoldTime{500};
// Spending that the others do not know of: of the level, and of the margin.
constexpr double UnknownLevelShare = 3;
constexpr double UnknownMarginShare = 0.4;
// If a bucket holds this many requests of a size, the gateways rarely overdraw it by more than a
// part of the margin with one each at the same time: that takes 14 within 75 ms for requests of
// 12,000 tokens and a quota of 36,000 per second.
constexpr double PlentyRequests = 3;
// Requests of several gateways that were charged at the same time may overdraw it by this.
constexpr double OverdraftShare = 0.2;

double seconds(TimePoint::duration time)
{
    return std::chrono::duration<double>(time).count();
}

Milliseconds timeToFill(double tokens, double perSecond)
{
    constexpr double most = 60;
    const double time = perSecond > 0 ? tokens / perSecond : most;
    return std::chrono::ceil<Milliseconds>(
        std::chrono::duration<double>(std::clamp(time, 0.0, most)));
}

} // namespace

std::string_view quotaModeName(QuotaMode mode)
{
    switch (mode) {
    case QuotaMode::Hub:
    case QuotaMode::Member:
        return "hub";
    case QuotaMode::Mesh:
        return "mesh";
    case QuotaMode::Alone:
        break;
    }
    return "alone";
}

QuotaGate::QuotaGate(QuotaLedger &ledger, TimePoint now)
    : m_ledger(&ledger), m_statedAt(now), m_listedAt(now), m_markedAt(now), m_touchedAt(now)
{
}

void QuotaGate::touch(TimePoint now)
{
    const auto since = now - std::exchange(m_touchedAt, std::max(now, m_touchedAt));
    if (since > MaxTouchInterval)
        m_distrustUntil = now + DistrustTime;
    else
        m_activeSeconds += std::max(0.0, seconds(since));
    m_ledger->advance(now);
    if (!lostContact(now))
        m_alone = false;
    else if (!std::exchange(m_alone, true))
        enterAlone(now);
}

void QuotaGate::setRole(QuotaRole role, TimePoint now)
{
    m_ledger->setConnectionTimeout(
        role == QuotaRole::Member ? StandbyConnectionTimeout : ContactTimeout, now);
    if (role == m_role)
        return;
    // The new role decides by other figures, which may not have arrived yet.
    if (role == QuotaRole::Mesh)
        m_listedAt = now;
    if (role == QuotaRole::Member) {
        m_statedAt = now;
        forgetStatements();
    }
    m_role = role;
}

void QuotaGate::restart(TimePoint now)
{
    m_statedAt = m_listedAt = m_markedAt = m_touchedAt = now;
    m_distrustUntil = {};
    forgetStatements();
    m_alone = false;
}

// Requests wait for the first statement, which is numbered from 1 again.
void QuotaGate::forgetStatements()
{
    m_round = 0;
    for (auto &[name, team] : m_teams)
        team.round = 0;
}

bool QuotaGate::lostContact(TimePoint now) const
{
    if (now < m_distrustUntil)
        return m_ledger->hasPeers();
    switch (m_role) {
    case QuotaRole::Hub:
        return m_ledger->hasPeers() && !m_ledger->anyConnected(now);
    case QuotaRole::Member:
        return now - m_statedAt > ContactTimeout;
    case QuotaRole::Mesh:
        break;
    }
    return m_ledger->hasPeers() && now - m_listedAt > ContactTimeout;
}

TimePoint QuotaGate::lastContact(TimePoint now) const
{
    switch (m_role) {
    case QuotaRole::Member:
        return m_statedAt;
    case QuotaRole::Mesh:
        return m_listedAt;
    case QuotaRole::Hub:
        break;
    }
    return now;
}

// Starts the buckets with this gateway's part of the levels at the loss of contact.
void QuotaGate::enterAlone(TimePoint now)
{
    const TimePoint contact = lastContact(now);
    m_aloneGateways = m_ledger->memberCount(contact);
    m_aloneSince = now;
    m_aloneEnd = contact + ContactTimeout + MaxTimeAlone;
    for (const QuotaLevel &it : m_ledger->allLevels(now)) {
        Team &own = m_teams[it.team];
        const double level =
            view(it.team, own, *m_ledger->quota(it.team), std::min(now, contact + ContactTimeout));
        const double unknown = unacknowledged(own);
        own.aloneLevel = (level + unknown) / m_aloneGateways - unknown;
        own.aloneFilledTo = m_activeSeconds;
    }
}

void QuotaGate::applyStatement(const QuotaStatement &statement, TimePoint now)
{
    touch(now);
    const bool isOld = statement.run != m_ledger->runOf(statement.hub)
        || (statement.run == m_latest.run && statement.sequence <= m_latest.sequence);
    if (now < m_distrustUntil || isOld)
        return;
    m_latest = {statement.hub, statement.run, statement.sequence, {}};
    m_statedAt = now;
    ++m_round;
    for (const QuotaLevel &it : statement.levels) {
        Team &own = m_teams[it.team];
        own.stated = static_cast<double>(it.level);
        own.round = m_round;
        own.included = static_cast<double>(it.includedTokens);
        noteIncluded(own, own.included);
        // The hub has started since, and has not heard the counts of idle teams yet.
        if (it.includedTokens == 0 && now - own.chargedAt > CountDelay)
            own.included = own.count;
    }
    touch(now);
    std::vector<QuotaLevel> first;
    for (const QuotaLevel &it : m_ledger->allLevels(now)) {
        if (m_ledger->awaitsLevel(it.team, now))
            first.push_back({it.team,
                             static_cast<int64_t>(
                                 view(it.team, m_teams[it.team], *m_ledger->quota(it.team), now)),
                             0});
    }
    m_ledger->adopt(first, now);
}

// A refund may bring the count back to an earlier value, so the earliest report that matches
// counts.
void QuotaGate::noteIncluded(Team &own, double tokens)
{
    const auto match = std::find_if(own.reported.begin(), own.reported.end(),
                                    [tokens](const auto &it) { return it.second == tokens; });
    if (match == own.reported.end())
        return;
    own.knownUntil = match->first;
    own.reported.erase(own.reported.begin(), match);
}

void QuotaGate::noteListed(TimePoint now)
{
    touch(now);
    if (now >= m_distrustUntil)
        m_listedAt = now;
}

void QuotaGate::noteBroadcast(TimePoint now)
{
    if (m_role != QuotaRole::Mesh || now - m_markedAt < MeshDelay)
        return;
    // Without contact the peers have probably not received the last messages either.
    if (m_ledger->hasPeers() && m_listedAt < m_markedAt)
        return;
    m_knownUntil = std::exchange(m_markedAt, now);
    ++m_round;
    for (auto &[name, team] : m_teams)
        team.known = std::exchange(team.marked, team.count);
}

QuotaMode QuotaGate::mode(TimePoint now)
{
    touch(now);
    if (m_alone)
        return QuotaMode::Alone;
    switch (m_role) {
    case QuotaRole::Hub:
        return QuotaMode::Hub;
    case QuotaRole::Member:
        return QuotaMode::Member;
    case QuotaRole::Mesh:
        break;
    }
    return QuotaMode::Mesh;
}

// A refund may make the count lower than the part that the others know of.
double QuotaGate::unacknowledged(const Team &own) const
{
    switch (m_role) {
    case QuotaRole::Hub:
        return 0;
    case QuotaRole::Member:
        return own.count - own.included;
    case QuotaRole::Mesh:
        break;
    }
    return std::max(0.0, own.count - std::min(own.known, own.marked));
}

double QuotaGate::view(uint64_t team, const Team &own, const QuotaRate &quota, TimePoint now)
{
    if (m_role != QuotaRole::Member || m_round == 0)
        return m_ledger->level(team, now);
    const double capacity = quota.capacity(m_ledger->terms());
    const double stated = own.round == m_round ? own.stated : QuotaLedger::UnstatedShare * capacity;
    const double age = std::max(0.0, seconds(now - m_statedAt));
    return std::min(stated + quota.perSecond * age - unacknowledged(own), capacity);
}

QuotaDecision QuotaGate::decide(uint64_t team, double tokens, TimePoint now)
{
    const QuotaRate *quota = m_ledger->quota(team);
    if (!quota)
        return {};
    Team &own = m_teams[team];
    QuotaDecision decision;
    decision.mode = mode(now);
    if (decision.mode == QuotaMode::Alone)
        return decideAlone(own, team, tokens, now);
    const double capacity = quota->capacity(m_ledger->terms());
    decision.level = view(team, own, *quota, now);
    // Such a request exceeds the quota of a whole window by itself.
    if (tokens > quota->mostInWindow(m_ledger->terms())) {
        decision.verdict = QuotaVerdict::Refuse;
        decision.retryIn = timeToFill(tokens, quota->perSecond);
        return decision;
    }
    decision.unacknowledged = unacknowledged(own);
    if (decision.mode == QuotaMode::Member)
        decision.age = std::chrono::duration_cast<Milliseconds>(now - m_statedAt);
    // A request that is larger than the bucket is covered by a full one, which is not stated.
    const double needed = std::min(tokens, QuotaLedger::UnstatedShare * capacity);
    const bool unknown =
        m_ledger->awaitsLevel(team, now) || (decision.mode == QuotaMode::Member && m_round == 0);
    if (unknown) {
        decision.verdict = QuotaVerdict::Wait;
        return decision;
    }
    if (decision.level < needed) {
        decision.verdict = QuotaVerdict::Refuse;
        decision.retryIn = timeToFill(needed - decision.level, quota->perSecond);
        return decision;
    }
    const double members = m_ledger->memberCount(now);
    const double known = decision.level + decision.unacknowledged;
    const double levelShare = now - lastContact(now) <= FreshTime ? UnknownLevelShare : 1;
    const double most =
        std::max(levelShare * known, UnknownMarginShare * quota->margin(m_ledger->terms()))
        / members;
    const bool little = decision.unacknowledged + tokens <= most;
    const bool plenty = decision.unacknowledged <= 0 && decision.level >= PlentyRequests * tokens;
    const bool exact = decision.mode == QuotaMode::Hub || members == 1;
    if (!exact && !little && !plenty)
        decision.verdict = QuotaVerdict::Wait;
    return decision;
}

QuotaDecision QuotaGate::preview(uint64_t team, double tokens, TimePoint now) const
{
    QuotaLedger ledger = *m_ledger;
    QuotaGate gate = *this;
    gate.m_ledger = &ledger;
    return gate.decide(team, tokens, now);
}

double QuotaGate::aloneLevel(Team &own, const QuotaRate &quota) const
{
    const double time = m_activeSeconds - std::exchange(own.aloneFilledTo, m_activeSeconds);
    own.aloneLevel = std::min(own.aloneLevel + time * quota.perSecond / m_aloneGateways,
                              quota.capacity(m_ledger->terms()) / m_aloneGateways);
    return own.aloneLevel;
}

QuotaDecision QuotaGate::decideAlone(Team &own, uint64_t team, double tokens, TimePoint now)
{
    const QuotaRate &quota = *m_ledger->quota(team);
    QuotaDecision decision;
    decision.mode = QuotaMode::Alone;
    decision.level = aloneLevel(own, quota);
    decision.unacknowledged = unacknowledged(own);
    decision.age = std::chrono::duration_cast<Milliseconds>(now - m_statedAt);
    const double overdraft =
        UnknownLevelShare * UnknownMarginShare * quota.margin(m_ledger->terms()) / m_aloneGateways;
    if (now < m_aloneEnd && decision.level + overdraft >= tokens)
        return decision;
    // Contact is usually regained soon, such as when the hub changes.
    const bool recent = now < m_distrustUntil || now - m_aloneSince < ReconnectTime;
    const bool covered = view(team, own, quota, now)
        >= std::min(tokens, QuotaLedger::UnstatedShare * quota.capacity(m_ledger->terms()));
    decision.verdict =
        recent && covered && now < m_aloneEnd ? QuotaVerdict::Wait : QuotaVerdict::Refuse;
    decision.retryIn = timeToFill(tokens - decision.level, quota.perSecond / m_aloneGateways);
    return decision;
}

QuotaHold QuotaGate::charge(uint64_t team, double tokens, const QuotaDecision &decision,
                            TimePoint now)
{
    Team &own = m_teams[team];
    // A refund does not raise this level: it may be of a request that was charged before.
    if (decision.mode == QuotaMode::Alone && decision.verdict == QuotaVerdict::Admit)
        own.aloneLevel -= tokens;
    own.count += tokens;
    own.chargedAt = now;
    m_ledger->charge(team, tokens, now);
    return {team, tokens, now, m_round};
}

void QuotaGate::refund(uint64_t team, double tokens, TimePoint now)
{
    Team &own = m_teams[team];
    own.count -= tokens;
    own.chargedAt = now;
    m_ledger->charge(team, -tokens, now);
}

bool QuotaGate::isKnown(const QuotaHold &hold, QuotaMode mode) const
{
    switch (mode) {
    case QuotaMode::Hub:
        return true;
    case QuotaMode::Member:
        return hold.since < m_teams.at(hold.team).knownUntil;
    case QuotaMode::Mesh:
        return hold.since < m_knownUntil;
    case QuotaMode::Alone:
        break;
    }
    return false;
}

QuotaVerdict QuotaGate::settle(QuotaHold &hold, std::mt19937_64 &random, TimePoint now)
{
    const QuotaRate *quota = m_ledger->quota(hold.team);
    if (!quota)
        return QuotaVerdict::Admit;
    const bool late = now - hold.since > MaxHoldTime;
    const QuotaVerdict otherwise = late ? QuotaVerdict::Refuse : QuotaVerdict::Wait;
    const QuotaMode by = mode(now);
    const Team &own = m_teams[hold.team];
    if (!isKnown(hold, by) || m_ledger->awaitsLevel(hold.team, now))
        return otherwise;
    const double overdraft = OverdraftShare * quota->margin(m_ledger->terms());
    const double excess = std::max(
        0.0, hold.tokens - QuotaLedger::UnstatedShare * quota->capacity(m_ledger->terms()));
    if (view(hold.team, own, *quota, now) >= -overdraft - excess)
        return QuotaVerdict::Admit;
    if (by == QuotaMode::Hub)
        return QuotaVerdict::Refuse;
    // Several gateways have charged the same tokens. In each round, half of them give up.
    if (std::exchange(hold.round, m_round) != m_round && std::bernoulli_distribution(0.5)(random))
        return QuotaVerdict::Refuse;
    return otherwise;
}

std::vector<QuotaCount> QuotaGate::counts(TimePoint now)
{
    const bool all =
        m_ledger->newPeerAt() != TimePoint{} && now - m_ledger->newPeerAt() < NewPeerTime;
    std::vector<QuotaCount> counts;
    for (auto &[name, team] : m_teams) {
        if (team.chargedAt == TimePoint{} || (!all && now - team.chargedAt >= ActiveTime))
            continue;
        counts.push_back({name, std::llround(team.count)});
        if (m_role != QuotaRole::Member)
            continue;
        if (team.reported.empty() || team.reported.back().second != team.count)
            team.reported.emplace_back(now, team.count);
        if (team.reported.size() > MaxReported)
            team.reported.pop_front();
    }
    return counts;
}

std::vector<QuotaLevel> QuotaGate::levelsForNewPeers(TimePoint now)
{
    const bool isDue =
        m_ledger->newPeerAt() != TimePoint{} && now - m_ledger->newPeerAt() < NewPeerTime;
    if (!isDue || mode(now) == QuotaMode::Alone)
        return {};
    std::vector<QuotaLevel> levels = m_ledger->allLevels(now);
    std::erase_if(levels,
                  [&](const QuotaLevel &it) { return m_ledger->awaitsLevel(it.team, now); });
    for (QuotaLevel &it : levels) {
        const double level = view(it.team, m_teams[it.team], *m_ledger->quota(it.team), now);
        it.level = static_cast<int64_t>(std::floor(level));
    }
    return levels;
}

} // namespace jujube::policy
