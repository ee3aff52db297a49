#include "serving/endpoints.h"

#include "core/eventlog.h"

#include <algorithm>
#include <xxhash.h>

namespace jujube::serving {

namespace {

// More than the incarnations that end within a day of a large deployment; a few hundred bytes each.
constexpr size_t MaxPastIncarnations = 1024;

// Until a client that is refused returns, as other gateways have the shares of the limits.
constexpr core::Milliseconds NoShareWait{1'000};

// An entry expires when its owner has missed three reports, which are more than a second apart.
constexpr core::Milliseconds HoldBackTime{6'000};

// Covers the leader's tick (200 ms), two exchanges with the engine and one round of gossip (100
// ms).
constexpr core::Milliseconds NewEngineHold{400};
// Long enough for one repeated order (StagePlannerSettings::retryInterval).
constexpr core::Milliseconds NewEngineTime{10'000};

} // namespace

// A negative limit has ended.
void logLimit(const Endpoint &endpoint, std::string_view source)
{
    core::Event("endpoint.limit")
        .with("endpoint", endpoint.record.id)
        .with("per_second", endpoint.limit.perSecond().value_or(-1))
        .with("source", source);
}

uint64_t endpointHash(std::string_view id)
{
    return XXH3_64bits(id.data(), id.size());
}

Endpoint::Endpoint(EndpointRecord entry, uint64_t cacheTokens)
    : record(std::move(entry)), hash(endpointHash(record.id)), prefixCache(cacheTokens)
{
}

void Endpoint::pauseFor(core::TimePoint now, core::Milliseconds time)
{
    pausedUntil = std::max(pausedUntil, now + time);
}

void Endpoint::noteReport(const ReportedLoad &load, core::TimePoint now, bool own)
{
    const core::TimePoint at = now - load.age;
    // Answers to prefills state no pace; they must not keep the pace of a probe from the peers.
    const bool hidesPace = load.pacePercent == 0 && ownReport.pacePercent > 0
        && at - ownReportAt < policy::LoadReportLifetime;
    if (own && !hidesPace) {
        ownReport = load;
        ownReportAt = at;
    }
    // An own answer without a pace may be newer than a peer's report of the pace.
    pace.note(load.pacePercent, at);
    if (at <= reportedAt)
        return;
    report = load;
    reportedAt = at;
}

// Peers need a report if it states the pace, or more requests than the gateways know of. Reports
// that others have received are not passed on, as they would seem newer with each step.
std::optional<ReportedLoad> Endpoint::reportToShare(core::TimePoint now) const
{
    if (ownReportAt == core::TimePoint{} || now - ownReportAt >= policy::LoadReportLifetime)
        return std::nullopt;
    const bool otherClients =
        ownReport.running + ownReport.waiting > ownLoad.running + peerLoad.running;
    if (ownReport.pacePercent == 0 && !otherClients)
        return std::nullopt;
    ReportedLoad shared = ownReport;
    shared.age = std::chrono::floor<core::Milliseconds>(now - ownReportAt);
    return shared;
}

bool Endpoint::isUnused(core::TimePoint now) const
{
    return registeredAt != core::TimePoint{} && now - registeredAt < NewEngineTime && !hadRequests;
}

// The copy has one record of each endpoint, so a second record was written in the new era. A record
// of a draining endpoint is applied at once.
bool EndpointTable::mayPredateRestore(const EndpointRecord &record) const
{
    const auto heldBack = m_heldBack.find(record.id);
    const bool second =
        heldBack != m_heldBack.end() && heldBack->second.record.version.era == record.version.era;
    if (second || record.state == EndpointState::Draining)
        return false;
    if (const auto it = m_byId.find(record.id); it != m_byId.end()) {
        const EndpointRecord &known = it->second->record;
        const bool older = record.bornMs != known.bornMs ? record.bornMs < known.bornMs
                                                         : record.sequence <= known.sequence;
        return record.version.era > known.version.era && older;
    }
    const PastIncarnation *past = findPastIncarnation(record);
    return past && record.version.era > past->era && record.sequence <= past->sequence;
}

bool EndpointTable::update(const EndpointRecord &record, uint64_t cacheTokens,
                           RecordArrival arrival)
{
    if (mayPredateRestore(record)) {
        core::Event("endpoint.doubted")
            .with("endpoint", record.id)
            .with("era", record.version.era)
            .with("sequence", record.sequence);
        m_heldBack.insert_or_assign(record.id, HeldBackRecord{record, cacheTokens, {}});
        return false;
    }
    m_heldBack.erase(record.id);
    return apply(record, cacheTokens, arrival);
}

void EndpointTable::applyHeldBack(core::TimePoint now)
{
    std::vector<HeldBackRecord> due;
    for (auto &[id, heldBack] : m_heldBack) {
        if (heldBack.heldSince == core::TimePoint{})
            heldBack.heldSince = now;
        if (now - heldBack.heldSince >= HoldBackTime)
            due.push_back(heldBack);
    }
    for (const HeldBackRecord &it : due) {
        m_heldBack.erase(it.record.id);
        apply(it.record, it.cacheTokens, {});
    }
}

bool EndpointTable::apply(const EndpointRecord &record, uint64_t cacheTokens, RecordArrival arrival)
{
    const auto it = m_byId.find(record.id);
    if (it != m_byId.end()) {
        const EndpointPtr &known = it->second;
        if (known->record.version >= record.version)
            return false;
        const bool same = known->record.bornMs == record.bornMs
            && known->record.address == record.address && known->record.service == record.service;
        if (same) {
            if (known->record.state != record.state || known->record.stage != record.stage) {
                core::Event("endpoint.changed")
                    .with("endpoint", record.id)
                    .with("draining", record.state == EndpointState::Draining)
                    .with("stage", stageName(record.stage))
                    .with("revision", record.version.revision);
            }
            if (known->record.stage != record.stage)
                known->pausedUntil = known->registeredAt = {};
            known->record = record;
            return false;
        }
        remove(record.id, record.version.era);
    }
    const auto endpoint = std::make_shared<Endpoint>(record, cacheTokens);
    if (const PastIncarnation *past = findPastIncarnation(record)) {
        endpoint->leaving = past->leaving;
        endpoint->backoffUntil = past->backoffUntil;
    } else if (record.stage != Stage::None) {
        endpoint->registeredAt = arrival.at;
        if (arrival.leaderKnown && !endpoint->prefills())
            endpoint->heldUntil = arrival.at + NewEngineHold;
    }
    m_byId.emplace(record.id, endpoint);
    m_byHash.insert_or_assign(endpoint->hash, endpoint);
    m_byService[record.service].push_back(endpoint);
    core::Event("endpoint.added")
        .with("endpoint", record.id)
        .with("service", record.service)
        .with("address", record.address)
        .with("stage", stageName(record.stage))
        .with("revision", record.version.revision);
    return endpoint->registeredAt != core::TimePoint{};
}

void EndpointTable::remove(const std::string &id, uint64_t era)
{
    m_heldBack.erase(id);
    const auto it = m_byId.find(id);
    if (it == m_byId.end())
        return;
    it->second->removed = true;
    rememberIncarnation(*it->second, era);
    core::Event("endpoint.removed").with("endpoint", id);
    m_byHash.erase(it->second->hash);
    removeFromService(*it->second);
    m_byId.erase(it);
}

void EndpointTable::removeFromService(const Endpoint &endpoint)
{
    std::erase_if(m_byService[endpoint.record.service],
                  [&](const EndpointPtr &it) { return it.get() == &endpoint; });
}

void EndpointTable::rememberIncarnation(const Endpoint &endpoint, uint64_t era)
{
    const EndpointRecord &record = endpoint.record;
    std::erase_if(m_pastIncarnations, [&](const PastIncarnation &it) {
        return it.id == record.id && it.bornMs == record.bornMs && it.address == record.address;
    });
    m_pastIncarnations.push_back({record.id, record.bornMs, record.address, record.sequence, era,
                                  endpoint.leaving, endpoint.backoffUntil});
    if (m_pastIncarnations.size() > MaxPastIncarnations)
        m_pastIncarnations.pop_front();
}

const EndpointTable::PastIncarnation *
EndpointTable::findPastIncarnation(const EndpointRecord &record) const
{
    const auto it = std::find_if(
        m_pastIncarnations.begin(), m_pastIncarnations.end(), [&](const PastIncarnation &it) {
            return it.id == record.id && it.bornMs == record.bornMs && it.address == record.address;
        });
    return it == m_pastIncarnations.end() ? nullptr : &*it;
}

std::optional<core::Milliseconds> EndpointTable::remainingBackoff(const std::string &service,
                                                                  core::TimePoint now) const
{
    std::optional<core::TimePoint> first;
    for (const EndpointPtr &it : ofService(service)) {
        if (!it->acceptsWork())
            continue;
        if (!it->inBackoff(now) && it->limit.admits(now))
            return std::nullopt;
        const auto limited = it->limit.timeUntilAdmitted(now).value_or(NoShareWait);
        const core::TimePoint at = std::max(it->backoffUntil, now + limited);
        first = std::min(first.value_or(at), at);
    }
    if (!first)
        return std::nullopt;
    return std::chrono::ceil<core::Milliseconds>(*first - now);
}

EndpointPtr EndpointTable::find(const std::string &id) const
{
    const auto it = m_byId.find(id);
    return it == m_byId.end() ? nullptr : it->second;
}

EndpointPtr EndpointTable::findByHash(uint64_t hash) const
{
    const auto it = m_byHash.find(hash);
    return it == m_byHash.end() ? nullptr : it->second;
}

void EndpointTable::shareLimits(const std::string &self, const std::vector<std::string> &members,
                                core::TimePoint now)
{
    for (const auto &[id, endpoint] : m_byId) {
        const auto limit = endpoint->limit.perSecond();
        if (!limit)
            continue;
        const double share = policy::shareOfLimit(*limit, endpoint->hash, self, members);
        if (endpoint->limit.update(share, now))
            logLimit(*endpoint, "expired");
    }
}

void EndpointTable::mergeLimit(uint64_t hash, const policy::LimitObservation &observation)
{
    const EndpointPtr endpoint = findByHash(hash);
    if (endpoint && endpoint->limit.merge(observation))
        logLimit(*endpoint, "peer");
}

void EndpointTable::setPeerLoads(const std::vector<GossipLoadShare> &shares)
{
    for (const auto &[id, endpoint] : m_byId)
        endpoint->peerLoad = {};
    for (const GossipLoadShare &share : shares) {
        const auto it = m_byHash.find(share.endpoint);
        if (it == m_byHash.end())
            continue;
        it->second->peerLoad = share.load;
        it->second->hadRequests = it->second->hadRequests || share.load.running > 0;
    }
}

void EndpointTable::updateSlowdowns(core::TimePoint now)
{
    std::vector<policy::EngineSlowdown *> engines;
    for (const auto &[service, endpoints] : m_byService) {
        engines.clear();
        for (const EndpointPtr &it : endpoints) {
            if (it->prefills())
                engines.push_back(&it->slowdown);
        }
        policy::normalizeSlowdowns(engines, now);
    }
}

bool EndpointTable::statesPace() const
{
    return std::any_of(m_byId.begin(), m_byId.end(), [](const auto &it) {
        return it.second->pace.reportedAt() != core::TimePoint{};
    });
}

const std::vector<EndpointPtr> &EndpointTable::ofService(const std::string &service) const
{
    static const std::vector<EndpointPtr> none;
    const auto it = m_byService.find(service);
    return it == m_byService.end() ? none : it->second;
}

EndpointPtr longestPrefixHolder(const std::vector<EndpointPtr> &endpoints,
                                const std::vector<policy::PrefixLink> &prompt)
{
    EndpointPtr best;
    uint32_t most = 0;
    uint64_t age = 0;
    for (const EndpointPtr &it : endpoints) {
        const uint32_t tokens = !it->isReachable() ? 0 : it->prefixCache.cachedTokens(prompt);
        if (tokens == 0 || tokens < most)
            continue;
        // Among equal holders, the blocks that were used most recently are the least likely to have
        // been evicted; the choice also spreads transfers over the endpoints.
        uint64_t oldest = 0;
        uint32_t sum = 0;
        for (const policy::PrefixLink &link : prompt) {
            sum += link.tokens;
            if (sum <= tokens)
                oldest = it->prefixCache.recordsSinceUse(link.hash);
        }
        if (tokens > most || oldest < age) {
            most = tokens;
            age = oldest;
            best = it;
        }
    }
    return best;
}

policy::PlacementCandidate placementViewOf(const Endpoint &endpoint,
                                           const std::vector<policy::PrefixLink> &prompt,
                                           core::TimePoint now)
{
    policy::PlacementCandidate view;
    view.id = endpoint.record.id;
    view.domain = endpoint.record.domain;
    view.slots = endpoint.record.slots;
    OutstandingLoad load = endpoint.ownLoad;
    load += endpoint.peerLoad;
    view.running = load.running;
    view.backlogTokens = load.backlogTokens;
    view.remainingTokens = load.remainingTokens;
    addReportedLoad(view, endpoint, now);
    view.cachedTokens = endpoint.prefixCache.cachedTokens(prompt);
    view.slowness = endpoint.slowness;
    view.slowdown = endpoint.slowdown.factor();
    view.pace = endpoint.pace.factor(now);
    view.usualPace = endpoint.pace.usual(now);
    view.isPrefillEngine = endpoint.prefills();
    view.held = endpoint.isHeld(now);
    view.probe = endpoint.health.state(now) == policy::OutlierDetector::State::ProbeDue;
    view.usable = !obstaclesOf(endpoint, now).any();
    return view;
}

} // namespace jujube::serving
