#include "serving/endpoints.h"

#include "core/eventlog.h"

#include <algorithm>
#include <xxhash.h>

namespace jujube::serving {

namespace {

// Weight of a new observation: a slow endpoint is recognized after a handful of requests.
constexpr double SlownessStep = 0.15;
constexpr double LeastSlowness = 0.7;
constexpr double MostSlowness = 8;
// Durations below this are dominated by the network and say nothing of the endpoint.
constexpr double LeastExpectedMs = 20;
// An endpoint that refuses is full or changing: others are asked for a moment, and for longer if it
// goes on; a change of stage takes three seconds and the time of what is running.
constexpr core::Milliseconds RefusalPause{150};
constexpr uint32_t MostRefusalDoublings = 3;
// Connections that break within this time broke for one reason, such as a reset of the network.
constexpr core::Milliseconds SameMoment{30};
// More incarnations than leave within a day of a large deployment; some hundred bytes each.
constexpr size_t MostDeparted = 1024;

// Entries of owners that are gone lapse after three reports, of more than a second each.
constexpr core::Milliseconds DoubtTime{6'000};

} // namespace

uint64_t endpointHash(std::string_view id)
{
    return XXH3_64bits(id.data(), id.size());
}

Endpoint::Endpoint(EndpointRecord entry, uint64_t cacheTokens)
    : record(std::move(entry)), hash(endpointHash(record.id)), parts(cacheTokens)
{
}

void Endpoint::pause(core::TimePoint now, core::Milliseconds time)
{
    pausedUntil = std::max(pausedUntil, now + time);
}

// A copy has one record of an endpoint, so a second one was written in the new era; and leaving is
// believed at once.
bool EndpointTable::mayBeFromOldCopy(const EndpointRecord &record) const
{
    const auto doubted = m_doubted.find(record.id);
    const bool second =
        doubted != m_doubted.end() && doubted->second.record.version.era == record.version.era;
    if (second || record.state == EndpointState::Draining)
        return false;
    if (const auto it = m_byId.find(record.id); it != m_byId.end()) {
        const EndpointRecord &known = it->second->record;
        const bool older = record.bornMs != known.bornMs ? record.bornMs < known.bornMs
                                                         : record.sequence <= known.sequence;
        return record.version.era > known.version.era && older;
    }
    const Departed *departed = findDeparted(record);
    return departed && record.version.era > departed->era && record.sequence <= departed->sequence;
}

void EndpointTable::update(const EndpointRecord &record, uint64_t cacheTokens)
{
    if (mayBeFromOldCopy(record)) {
        core::Event("endpoint.doubted")
            .with("endpoint", record.id)
            .with("era", record.version.era)
            .with("sequence", record.sequence);
        m_doubted.insert_or_assign(record.id, Doubted{record, cacheTokens, {}});
        return;
    }
    m_doubted.erase(record.id);
    apply(record, cacheTokens);
}

void EndpointTable::settle(core::TimePoint now)
{
    std::vector<Doubted> due;
    for (auto &[id, doubted] : m_doubted) {
        if (doubted.since == core::TimePoint{})
            doubted.since = now;
        if (now - doubted.since >= DoubtTime)
            due.push_back(doubted);
    }
    for (const Doubted &it : due) {
        m_doubted.erase(it.record.id);
        apply(it.record, it.cacheTokens);
    }
}

void EndpointTable::apply(const EndpointRecord &record, uint64_t cacheTokens)
{
    const auto it = m_byId.find(record.id);
    if (it != m_byId.end()) {
        const EndpointPtr &known = it->second;
        if (known->record.version >= record.version)
            return;
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
                known->pausedUntil = {};
            known->record = record;
            return;
        }
        remove(record.id, record.version.era);
    }
    const auto endpoint = std::make_shared<Endpoint>(record, cacheTokens);
    if (const Departed *departed = findDeparted(record)) {
        endpoint->leaving = departed->leaving;
        endpoint->backoffUntil = departed->backoffUntil;
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
}

void EndpointTable::remove(const std::string &id, uint64_t era)
{
    m_doubted.erase(id);
    const auto it = m_byId.find(id);
    if (it == m_byId.end())
        return;
    it->second->gone = true;
    keepDeparted(*it->second, era);
    core::Event("endpoint.removed").with("endpoint", id);
    m_byHash.erase(it->second->hash);
    unlist(*it->second);
    m_byId.erase(it);
}

void EndpointTable::unlist(const Endpoint &endpoint)
{
    std::erase_if(m_byService[endpoint.record.service],
                  [&](const EndpointPtr &it) { return it.get() == &endpoint; });
}

void EndpointTable::keepDeparted(const Endpoint &endpoint, uint64_t era)
{
    const EndpointRecord &record = endpoint.record;
    std::erase_if(m_departed, [&](const Departed &it) {
        return it.id == record.id && it.bornMs == record.bornMs && it.address == record.address;
    });
    m_departed.push_back({record.id, record.bornMs, record.address, record.sequence, era,
                          endpoint.leaving, endpoint.backoffUntil});
    if (m_departed.size() > MostDeparted)
        m_departed.pop_front();
}

const EndpointTable::Departed *EndpointTable::findDeparted(const EndpointRecord &record) const
{
    const auto it = std::find_if(m_departed.begin(), m_departed.end(), [&](const Departed &it) {
        return it.id == record.id && it.bornMs == record.bornMs && it.address == record.address;
    });
    return it == m_departed.end() ? nullptr : &*it;
}

std::optional<core::Milliseconds> EndpointTable::backoffLeft(const std::string &service,
                                                             core::TimePoint now) const
{
    std::optional<core::TimePoint> first;
    for (const EndpointPtr &it : ofService(service)) {
        if (!it->acceptsWork())
            continue;
        if (!it->backsOff(now))
            return std::nullopt;
        first = std::min(first.value_or(it->backoffUntil), it->backoffUntil);
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

void EndpointTable::setPeerShares(const std::vector<NewsShare> &shares)
{
    for (const auto &[id, endpoint] : m_byId)
        endpoint->peers = {};
    for (const NewsShare &share : shares) {
        if (const auto it = m_byHash.find(share.endpoint); it != m_byHash.end())
            it->second->peers = share.load;
    }
}

const std::vector<EndpointPtr> &EndpointTable::ofService(const std::string &service) const
{
    static const std::vector<EndpointPtr> none;
    const auto it = m_byService.find(service);
    return it == m_byService.end() ? none : it->second;
}

EndpointPtr bestHolder(const std::vector<EndpointPtr> &endpoints,
                       const std::vector<policy::PrefixBlock> &prompt)
{
    EndpointPtr best;
    uint32_t most = 0;
    uint64_t age = 0;
    for (const EndpointPtr &it : endpoints) {
        const uint32_t tokens = it->gone ? 0 : it->parts.cachedTokens(prompt);
        if (tokens == 0 || tokens < most)
            continue;
        // Among equal ones the part that was used last is least likely to have been evicted, and
        // the transfers spread over the endpoints.
        uint64_t oldest = 0;
        uint32_t sum = 0;
        for (const policy::PrefixBlock &link : prompt) {
            sum += link.tokens;
            if (sum <= tokens)
                oldest = it->parts.recordsSinceUse(link.hash);
        }
        if (tokens > most || oldest < age) {
            most = tokens;
            age = oldest;
            best = it;
        }
    }
    return best;
}

policy::PlacementCandidate viewOf(const Endpoint &endpoint,
                                  const std::vector<policy::PrefixBlock> &prompt,
                                  core::TimePoint now)
{
    policy::PlacementCandidate view;
    view.id = endpoint.record.id;
    view.domain = endpoint.record.domain;
    view.slots = endpoint.record.slots;
    view.running = endpoint.own.running + endpoint.peers.running;
    view.backlogTokens = endpoint.own.backlogTokens + endpoint.peers.backlogTokens;
    view.cachedTokens = endpoint.parts.cachedTokens(prompt);
    view.slowness = endpoint.slowness;
    view.isPrefillEngine = endpoint.prefills();
    const auto state = endpoint.health.state(now);
    view.probe = state == policy::OutlierDetector::State::ProbeDue;
    view.usable = endpoint.acceptsWork() && now >= endpoint.pausedUntil && !endpoint.backsOff(now)
        && (state == policy::OutlierDetector::State::Healthy || view.probe);
    return view;
}

namespace {

// Ejects an endpoint whose answers are evidence of a fault that the others of its kind do not have.
void weighAnswer(Endpoint &endpoint, const std::vector<EndpointPtr> &others, bool failed,
                 core::TimePoint now)
{
    std::vector<double> shares;
    size_t healthy = 0;
    for (const EndpointPtr &it : others) {
        if (it.get() == &endpoint || it->prefills() != endpoint.prefills())
            continue;
        shares.push_back(it->errors.errorShare());
        healthy += it->health.state(now) == policy::OutlierDetector::State::Healthy ? 1 : 0;
    }
    double usual = 1;
    if (!shares.empty()) {
        const auto middle = shares.begin() + static_cast<std::ptrdiff_t>((shares.size() - 1) / 2);
        std::nth_element(shares.begin(), middle, shares.end());
        usual = *middle;
    }
    const bool probed = endpoint.health.state(now) != policy::OutlierDetector::State::Healthy;
    const bool broken = endpoint.errors.note(failed, usual) || (probed && failed);
    // A fault of all endpoints is none of this one; the rest has to carry the load.
    if (!broken || healthy * 2 < shares.size())
        return;
    endpoint.health.eject(now);
    core::Event("endpoint.ejected")
        .with("endpoint", endpoint.record.id)
        .with("usual_errors", usual)
        .with("others_healthy", healthy);
}

} // namespace

void noteAnswer(Endpoint &endpoint, const std::vector<EndpointPtr> &others, bool failed,
                core::TimePoint now)
{
    endpoint.refusals = 0;
    const bool probedBefore = endpoint.health.state(now) != policy::OutlierDetector::State::Healthy;
    weighAnswer(endpoint, others, failed, now);
    const bool ejected = endpoint.health.state(now) == policy::OutlierDetector::State::Ejected;
    if (!ejected && !(probedBefore && failed))
        endpoint.health.noteSuccess();
}

void noteNotices(Endpoint &endpoint, const AnswerFacts &answer, core::TimePoint now)
{
    if (answer.leaving && !std::exchange(endpoint.leaving, true))
        core::Event("endpoint.leaving").with("endpoint", endpoint.record.id);
    if (!answer.retryAfter)
        return;
    // Answers may overtake each other, so a shorter back-off does not replace a longer one.
    endpoint.backoffUntil = std::max(endpoint.backoffUntil, now + *answer.retryAfter);
    core::Event("endpoint.backoff")
        .with("endpoint", endpoint.record.id)
        .with("for_ms", answer.retryAfter->count());
}

// Unlike errors, lost answers take their time: the endpoint does not draw requests, and while the
// fleet is full what it does answer is needed. So only failures in a row count.
void noteBroken(Endpoint &endpoint, core::TimePoint now)
{
    const bool again =
        endpoint.brokenAt != core::TimePoint{} && now - endpoint.brokenAt < SameMoment;
    endpoint.brokenAt = now;
    if (again)
        return;
    endpoint.health.noteFailure(now);
}

void noteRefusal(Endpoint &endpoint, core::TimePoint now)
{
    const auto doublings = std::min(endpoint.refusals++, MostRefusalDoublings);
    endpoint.pause(now, RefusalPause * (int64_t(1) << doublings));
}

void noteDuration(Endpoint &endpoint, core::Milliseconds observed, core::Milliseconds expected)
{
    if (static_cast<double>(expected.count()) < LeastExpectedMs)
        return;
    const double ratio =
        static_cast<double>(observed.count()) / static_cast<double>(expected.count());
    endpoint.slowness +=
        SlownessStep * (std::clamp(ratio, LeastSlowness, MostSlowness) - endpoint.slowness);
}

} // namespace jujube::serving
