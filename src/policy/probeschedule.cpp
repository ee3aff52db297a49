#include "policy/probeschedule.h"

#include <algorithm>

namespace jujube::policy {

namespace {

using core::Milliseconds;
using core::TimePoint;

// Between the probes that learn the usual pace of a new engine. Four of them span 0.75 s, longer
// than most spells of slow work (0.3 to 1 s).
constexpr Milliseconds StartProbeInterval{250};
// Probes that learn the usual pace, including failed ones.
constexpr uint32_t MaxStartProbes = 12;
// Shows the shortest spells (0.3 s) with more than half of their time left.
constexpr Milliseconds BusyProbeInterval{120};
// A prefill engine is probed for this long after its last prompt.
constexpr Milliseconds BusyTime{1'000};
// Each failure in a row doubles the interval of an engine or a discovery up to this.
constexpr Milliseconds MaxRetryInterval{30'000};
constexpr Milliseconds FirstDiscoveryRetry{1'000};
// Engines without a pace may be replaced by a version that states one.
constexpr Milliseconds UnpacedTime{600'000};
// Together these admit at most 250 probes in any second.
constexpr double ProbesPerSecond = 225;
constexpr double ProbeBurst = 25;

Milliseconds doubled(Milliseconds interval, uint32_t times)
{
    constexpr uint32_t maxDoublings = 10; // Exceeds MaxRetryInterval.
    return std::min(interval * (int64_t(1) << std::min(times, maxDoublings)), MaxRetryInterval);
}

} // namespace

void ProbeSchedule::endDiscovery(const std::string &name, Service &service, Discovery result)
{
    if (service.discovery == result)
        return;
    service.discovery = result;
    service.failures = 0;
    m_discovered.push_back({name, result == Discovery::Paced});
}

void ProbeSchedule::observe(const std::vector<ProbeCandidate> &engines, TimePoint now)
{
    for (auto &[name, service] : m_services)
        service.present = false;
    for (auto &[endpoint, engine] : m_engines)
        engine.present = false;
    for (const ProbeCandidate &it : engines) {
        auto known = m_services.find(it.service);
        if (known == m_services.end())
            known = m_services.emplace(std::string(it.service), Service()).first;
        known->second.present = true;
        if (it.reportAge)
            endDiscovery(known->first, known->second, Discovery::Paced);
        Engine &engine = m_engines[it.endpoint];
        if (engine.incarnation != it.incarnation || engine.service != it.service) {
            engine = Engine();
            engine.service = it.service;
            engine.incarnation = it.incarnation;
        }
        engine.present = true;
        if (it.hasPrompts)
            engine.lastPromptAt = now;
    }
    std::erase_if(m_engines, [](const auto &it) { return !it.second.present; });
    // A service whose engines are all replaced at once keeps its state.
    std::erase_if(m_services, [now](const auto &it) {
        return !it.second.present && it.second.discovery != Discovery::Paced
            && now >= it.second.nextAt;
    });
}

bool ProbeSchedule::takeToken(TimePoint now)
{
    if (m_refilledAt == TimePoint{})
        m_tokens = ProbeBurst;
    else
        m_tokens = std::min(
            ProbeBurst,
            m_tokens + ProbesPerSecond * std::chrono::duration<double>(now - m_refilledAt).count());
    m_refilledAt = now;
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

// Each probe of a discovery goes to the engine after the last one, as that may not answer.
std::optional<size_t> ProbeSchedule::chooseForDiscovery(const std::vector<ProbeCandidate> &engines,
                                                        const std::string &name,
                                                        const Service &service) const
{
    std::optional<size_t> first;
    std::optional<size_t> next;
    for (size_t i = 0; i < engines.size(); ++i) {
        const ProbeCandidate &it = engines[i];
        if (it.service != name)
            continue;
        if (!first || it.endpoint < engines[*first].endpoint)
            first = i;
        if (it.endpoint > service.lastProbed && (!next || it.endpoint < engines[*next].endpoint))
            next = i;
    }
    return next ? next : first;
}

bool ProbeSchedule::due(const ProbeCandidate &candidate, const Engine &engine, TimePoint now) const
{
    if (engine.probing)
        return false;
    const auto since = engine.probedAt == TimePoint{} ? core::BootClock::duration(MaxRetryInterval)
                                                      : now - engine.probedAt;
    if (!candidate.paceKnown && engine.startProbes < MaxStartProbes
        && since >= doubled(StartProbeInterval, engine.failures))
        return true;
    const bool busy = engine.lastPromptAt != TimePoint{} && now - engine.lastPromptAt <= BusyTime;
    const bool stale = !candidate.reportAge || *candidate.reportAge > BusyProbeInterval;
    return candidate.prefills && busy && stale
        && since >= doubled(BusyProbeInterval, engine.failures);
}

void ProbeSchedule::send(const ProbeCandidate &candidate, TimePoint now)
{
    Engine &engine = m_engines[candidate.endpoint];
    engine.probing = true;
    engine.probedAt = now;
    if (!candidate.paceKnown)
        ++engine.startProbes;
}

std::vector<size_t> ProbeSchedule::choose(const std::vector<ProbeCandidate> &engines, TimePoint now)
{
    observe(engines, now);
    std::vector<size_t> chosen;
    for (auto &[name, service] : m_services) {
        if (service.discovery == Discovery::Paced || now < service.nextAt)
            continue;
        service.discovery = Discovery::Open;
        const auto index = chooseForDiscovery(engines, name, service);
        if (!index || m_engines[engines[*index].endpoint].probing || !takeToken(now))
            continue;
        service.nextAt = now + doubled(FirstDiscoveryRetry, service.failures);
        service.lastProbed = engines[*index].endpoint;
        send(engines[*index], now);
        chosen.push_back(*index);
    }
    std::vector<size_t> waiting;
    for (size_t i = 0; i < engines.size(); ++i) {
        const auto service = m_services.find(engines[i].service);
        if (service->second.discovery == Discovery::Paced
            && due(engines[i], m_engines[engines[i].endpoint], now))
            waiting.push_back(i);
    }
    // The one that was probed the longest time ago is first, so that each has its turn.
    std::sort(waiting.begin(), waiting.end(), [&](size_t a, size_t b) {
        const TimePoint at = m_engines[engines[a].endpoint].probedAt;
        const TimePoint bt = m_engines[engines[b].endpoint].probedAt;
        return at != bt ? at < bt : a < b;
    });
    for (const size_t i : waiting) {
        if (!takeToken(now))
            break;
        send(engines[i], now);
        chosen.push_back(i);
    }
    return chosen;
}

void ProbeSchedule::noteResult(std::string_view service, uint64_t endpoint, int64_t incarnation,
                               ProbeResult result, TimePoint now)
{
    if (const auto it = m_engines.find(endpoint);
        it != m_engines.end() && it->second.incarnation == incarnation) {
        it->second.probing = false;
        it->second.failures = result == ProbeResult::Pace ? 0 : it->second.failures + 1;
    }
    const auto it = m_services.find(service);
    if (it == m_services.end() || it->second.discovery != Discovery::Open)
        return;
    if (result == ProbeResult::Failed) {
        ++it->second.failures;
        return;
    }
    const bool paced = result == ProbeResult::Pace;
    if (!paced)
        it->second.nextAt = now + UnpacedTime;
    endDiscovery(it->first, it->second, paced ? Discovery::Paced : Discovery::Unpaced);
}

bool ProbeSchedule::anyPaced() const
{
    return std::any_of(m_services.begin(), m_services.end(),
                       [](const auto &it) { return it.second.discovery == Discovery::Paced; });
}

} // namespace jujube::policy
