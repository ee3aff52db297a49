#include "serving/loadprober.h"

#include "core/eventlog.h"
#include "core/metrics.h"
#include "core/text.h"
#include "platform/requestcodec.h"
#include "serving/endpointhealth.h"

#include <algorithm>

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;
using ErrorCode = boost::system::error_code;

// A fifth of the interval between two probes of a busy engine, so that they are hardly late.
constexpr Milliseconds TickInterval{25};
// While this gateway does not probe, or no service states a pace.
constexpr Milliseconds IdleTickInterval{200};
// An answer that takes longer describes the past.
constexpr Milliseconds ProbeTimeout = policy::LoadReportLifetime;
// Changes of the usual pace are logged if they exceed a quarter, for each engine once per interval.
constexpr double MinLoggedChange = 1.25;
constexpr Milliseconds PaceLogInterval{10'000};
constexpr Milliseconds PaceCheckInterval{500};
constexpr int MaxPaceEvents = 10; ///< For each check.

void countProbe(std::string_view result)
{
    core::incrementCounter("jujube_load_probes_total", core::concat("result=\"", result, "\""));
}

} // namespace

LoadProber::LoadProber(boost::asio::io_context &io, http::Client &httpClient,
                       EndpointTable &endpoints,
                       std::function<std::shared_ptr<const FleetConfig>()> config,
                       std::function<bool()> probes)
    : m_httpClient(httpClient),
      m_endpoints(endpoints),
      m_config(std::move(config)),
      m_probes(std::move(probes)),
      m_timer(io)
{
}

void LoadProber::start()
{
    tick();
}

void LoadProber::tick()
{
    const bool probes = m_probes();
    if (probes)
        probeDueEngines(core::BootClock::now());
    m_timer.expires_after(probes && m_schedule.anyPaced() ? TickInterval : IdleTickInterval);
    m_timer.async_wait([this](const ErrorCode &ec) {
        if (!ec)
            tick();
    });
}

void LoadProber::probeDueEngines(TimePoint now)
{
    const auto config = m_config();
    if (!config)
        return;
    std::vector<policy::ProbeCandidate> candidates;
    std::vector<EndpointPtr> engines;
    for (const auto &[name, service] : config->services) {
        if (!service.engine || service.healthPath.empty())
            continue;
        for (const EndpointPtr &it : m_endpoints.ofService(name)) {
            if (!it->acceptsWork())
                continue;
            policy::ProbeCandidate candidate{name, it->hash, it->record.bornMs};
            if (const TimePoint at = it->pace.reportedAt(); at != TimePoint{})
                candidate.reportAge = now - at;
            candidate.paceKnown = it->pace.known();
            candidate.prefills = it->prefills();
            candidate.hasPrompts = it->ownLoad.running + it->peerLoad.running
                    + it->ownLoad.backlogTokens + it->peerLoad.backlogTokens
                > 0;
            candidates.push_back(candidate);
            engines.push_back(it);
        }
    }
    for (const size_t i : m_schedule.choose(candidates, now))
        probe(engines[i], config->services.find(engines[i]->record.service)->second.healthPath);
    for (const policy::DiscoveredService &it : m_schedule.takeDiscovered())
        core::Event("service.pace").with("service", it.name).with("stated", it.statesPace);
    logPaces(engines, now);
}

void LoadProber::probe(const EndpointPtr &endpoint, const std::string &healthPath)
{
    // The pool of this client holds connections to engines for probes only, so an answer to another
    // request cannot arrive on them.
    m_httpClient.call(
        endpoint->record.address, platform::encodeLoadProbe(healthPath, endpoint->record.id),
        ProbeTimeout, [this, endpoint](const http::CallResult &result) {
            const policy::ProbeResult outcome = applyAnswer(*endpoint, result);
            m_schedule.noteResult(endpoint->record.service, endpoint->hash, endpoint->record.bornMs,
                                  outcome, core::BootClock::now());
        });
}

// A probe that failed is no evidence against the endpoint, so nothing else is recorded of it.
policy::ProbeResult LoadProber::applyAnswer(Endpoint &endpoint, const http::CallResult &result)
{
    if (!result.response.ok()) {
        countProbe("failed");
        return policy::ProbeResult::Failed;
    }
    const auto answer = platform::decodeLoadProbe(result.response->head, endpoint.record.id);
    if (!answer.ok()) {
        countProbe("refused");
        return policy::ProbeResult::Failed;
    }
    applyAnswerNotices(endpoint, *answer, core::BootClock::now());
    const bool stated = answer->load && answer->load->pacePercent;
    countProbe(stated ? "pace" : "no_pace");
    return stated ? policy::ProbeResult::Pace : policy::ProbeResult::NoPace;
}

void LoadProber::logPaces(const std::vector<EndpointPtr> &engines, TimePoint now)
{
    if (now - m_pacesLoggedAt < PaceCheckInterval)
        return;
    m_pacesLoggedAt = now;
    if (m_logged.size() > engines.size())
        std::erase_if(m_logged, [&](const auto &it) { return !m_endpoints.findByHash(it.first); });
    int events = 0;
    for (const EndpointPtr &it : engines) {
        if (!it->pace.known() || events == MaxPaceEvents)
            continue;
        const double usual = it->pace.usual(now);
        LoggedPace &logged = m_logged[it->hash];
        const bool first = logged.endpoint != it.get();
        const bool changed =
            usual > logged.usual * MinLoggedChange || usual < logged.usual / MinLoggedChange;
        if (!first && (!changed || now - logged.at < PaceLogInterval))
            continue;
        core::Event("endpoint.pace")
            .with("endpoint", it->record.id)
            .with("usual", usual)
            .with("before", first ? 0 : logged.usual);
        logged = {it.get(), usual, now};
        ++events;
    }
}

} // namespace jujube::serving
