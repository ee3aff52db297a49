#include "jujubereplay/simulation.h"

#include "core/text.h"
#include "jujubereplay/simulationrun.h"
#include "jujubereplay/summary.h"

#include <algorithm>

namespace jujube::replay {

namespace {

using namespace std::chrono_literals;

constexpr size_t EntryCount = 3;
constexpr core::Milliseconds ReportInterval = 250ms; ///< Heartbeats; replies carry reports too.
constexpr core::Milliseconds PlanInterval = 250ms;
constexpr core::Milliseconds ExpiryInterval = 50ms;
constexpr core::Milliseconds LinkDelay = 1ms; ///< One way, from an entry to an agent.
constexpr uint32_t MaxAttempts = 3;

} // namespace

core::TimePoint virtualTime(double ms)
{
    return core::TimePoint(std::chrono::nanoseconds(static_cast<int64_t>(ms * 1e6)));
}

Simulation::Simulation(const Workload &workload, const Policy &policy, uint64_t seed)
    : m_workload(workload),
      m_policy(policy),
      m_random(seed),
      m_router(policy::RouterSettings{}),
      m_states(workload.requests.size()),
      m_entries(EntryCount)
{
    m_result.policyName = policy.name;
    m_result.requests.resize(workload.requests.size());
    if (const auto *planned = std::get_if<PlannedRoles>(&policy.roles))
        m_planner.emplace(planned->settings);
    createEndpoints();
}

RunResult Simulation::run()
{
    for (size_t i = 0; i < m_workload.requests.size(); ++i)
        schedule(m_workload.requests[i].at.count(), Event::Kind::Arrival, i);
    for (size_t i = 0; i < m_workload.events.size(); ++i)
        schedule(m_workload.events[i].at.count(), Event::Kind::FleetEventStart, i);
    schedule(0, Event::Kind::Report, 0);
    schedule(0, Event::Kind::Plan, 0);
    schedule(0, Event::Kind::Expiry, 0);
    // Requests that arrive at the end of the workload have 90 s to finish.
    const double end = static_cast<double>((m_workload.duration + 90s).count());
    while (!m_events.empty() && m_events.top().timeMs <= end) {
        const Event event = m_events.top();
        m_events.pop();
        m_nowMs = event.timeMs;
        handle(event);
    }
    summarise(m_workload, PlotInterval, m_result);
    return std::move(m_result);
}

void Simulation::createEndpoints()
{
    for (uint32_t i = 0; i < m_workload.engines; ++i) {
        EngineParameters parameters;
        // A heterogeneous fleet: every third engine is older and slower.
        if (i % 3 == 2) {
            parameters.prefillTokensPerSecond = 13'000;
            parameters.decodeStepMs = 16;
            parameters.kvPieces = 200;
        }
        auto endpoint = std::make_unique<Endpoint>(parameters, m_policy.dispatcher);
        endpoint->vm = core::concat("vm", i);
        endpoint->domain = core::concat("domain", i % m_workload.domains);
        if (std::holds_alternative<StaticRoles>(m_policy.roles))
            endpoint->engine.setRole(static_cast<core::Role>(i % 3));
        m_endpoints.push_back(std::move(endpoint));
    }
    for (Entry &entry : m_entries) {
        entry.views.resize(m_endpoints.size());
        for (size_t i = 0; i < m_endpoints.size(); ++i) {
            entry.views[i].vm = m_endpoints[i]->vm;
            entry.views[i].domain = m_endpoints[i]->domain;
        }
    }
}

void Simulation::schedule(double timeMs, Event::Kind kind, size_t subjectIndex, uint64_t epoch)
{
    m_events.push({timeMs, ++m_lastSequence, kind, subjectIndex, epoch});
}

void Simulation::handle(const Event &event)
{
    switch (event.kind) {
    case Event::Kind::Arrival:
        m_states[event.subjectIndex].entry = event.subjectIndex % EntryCount;
        route(event.subjectIndex);
        return;
    case Event::Kind::Submit:
        submit(event.subjectIndex);
        return;
    case Event::Kind::Step:
        stepEngine(event.subjectIndex, event.epoch);
        return;
    case Event::Kind::Report:
        for (size_t i = 0; i < m_endpoints.size(); ++i) {
            for (size_t e = 0; e < m_entries.size(); ++e)
                updateView(e, i);
        }
        schedule(m_nowMs + static_cast<double>(ReportInterval.count()), Event::Kind::Report, 0);
        return;
    case Event::Kind::Plan:
        recordInterval();
        updateRoles();
        schedule(m_nowMs + static_cast<double>(PlanInterval.count()), Event::Kind::Plan, 0);
        return;
    case Event::Kind::Expiry:
        dropExpired();
        schedule(m_nowMs + static_cast<double>(ExpiryInterval.count()), Event::Kind::Expiry, 0);
        return;
    case Event::Kind::FleetEventStart:
        startFleetEvent(event.subjectIndex);
        return;
    case Event::Kind::FleetEventEnd:
        endFleetEvent(event.subjectIndex);
        return;
    case Event::Kind::RoleChangeDone:
        finishRoleChange(event.subjectIndex, event.epoch);
        return;
    }
}

double Simulation::msUntilDeadline(size_t request) const
{
    const ReplayRequest &it = m_workload.requests[request];
    return static_cast<double>((it.at + objectivesOf(it.profile).deadline).count()) - m_nowMs;
}

void Simulation::route(size_t request)
{
    RequestState &state = m_states[request];
    if (state.attempts >= MaxAttempts || msUntilDeadline(request) <= 0) {
        finishRequest(request, RequestResult::Outcome::Refused);
        return;
    }
    const auto chosen = chooseEndpoint(request);
    if (!chosen) {
        finishRequest(request, RequestResult::Outcome::Refused);
        return;
    }
    ++state.attempts;
    state.endpoint = *chosen;
    schedule(m_nowMs + static_cast<double>(LinkDelay.count()), Event::Kind::Submit, request);
}

std::optional<size_t> Simulation::chooseEndpoint(size_t request)
{
    Entry &entry = m_entries[m_states[request].entry];
    for (size_t i = 0; i < m_endpoints.size(); ++i) {
        entry.views[i].usable =
            entry.views[i].load.ready && !m_states[request].excludedEndpoints.contains(i);
    }
    return std::visit(Overloaded{[&](RoundRobin) { return chooseRoundRobin(entry); },
                                 [&](LeastOutstanding) { return chooseLeastOutstanding(entry); },
                                 [&](const PredictedLatency &it) {
                                     return choosePredictedLatency(entry, request,
                                                                   it.prefixAffinity);
                                 }},
                      m_policy.routing);
}

std::optional<size_t> Simulation::chooseRoundRobin(Entry &entry)
{
    for (size_t i = 0; i < entry.views.size(); ++i) {
        const size_t candidate = entry.nextEndpoint++ % entry.views.size();
        if (entry.views[candidate].usable)
            return candidate;
    }
    return std::nullopt;
}

std::optional<size_t> Simulation::chooseLeastOutstanding(Entry &entry)
{
    std::optional<size_t> best;
    const auto outstanding = [](const policy::EndpointView &it) {
        return it.load.running + it.load.queuedRequests + it.sentRequests;
    };
    for (size_t i = 0; i < entry.views.size(); ++i) {
        if (entry.views[i].usable
            && (!best || outstanding(entry.views[i]) < outstanding(entry.views[*best])))
            best = i;
    }
    if (best)
        ++entry.views[*best].sentRequests;
    return best;
}

std::optional<size_t> Simulation::choosePredictedLatency(Entry &entry, size_t request,
                                                         bool usePrefixes)
{
    const ReplayRequest &it = m_workload.requests[request];
    policy::RouteRequest route;
    route.promptTokens = it.promptTokens;
    route.outputTokens = it.outputTokens;
    if (usePrefixes)
        route.prefixBlocks = prefixBlocksOf(it, request);
    route.firstTokenObjective = objectivesOf(it.profile).timeToFirstToken;
    route.timeLeft = core::Milliseconds(static_cast<int64_t>(msUntilDeadline(request)));
    const auto decision = m_router.choose(entry.views, route, entry.prefixIndex, m_random);
    if (!decision)
        return std::nullopt;
    policy::EndpointView &view = entry.views[decision->index];
    view.sentPrefillTokens += it.promptTokens - std::min(decision->cachedTokens, it.promptTokens);
    view.sentOutputTokens += it.outputTokens;
    ++view.sentRequests;
    entry.prefixIndex.record(view.vm, route.prefixBlocks);
    return decision->index;
}

// The first nine tenths of a prompt are shared by the requests on one document; the rest is unique
// to the request.
std::vector<uint64_t> Simulation::prefixBlocksOf(const ReplayRequest &request, size_t number)
{
    std::vector<uint64_t> blocks;
    const uint32_t count = request.promptTokens / core::PrefixBlockTokens;
    for (uint32_t i = 0; i < count; ++i) {
        const bool shared = i < count * 9 / 10;
        const uint64_t owner = shared ? request.document : (uint64_t(1) << 40U) + number;
        blocks.push_back((owner << 16U) + i);
    }
    return blocks;
}

void Simulation::updateView(size_t entry, size_t endpoint)
{
    const Endpoint &it = *m_endpoints[endpoint];
    policy::EndpointView &view = m_entries[entry].views[endpoint];
    view.load = core::LoadReport();
    it.dispatcher.fillReport(view.load, virtualTime(m_nowMs));
    view.load.slots = it.engine.parameters().slots;
    view.load.freeKvPieces = it.engine.freePieces();
    view.load.role = it.engine.role();
    view.load.ready = it.acceptsRequests();
    view.sentPrefillTokens = 0;
    view.sentOutputTokens = 0;
    view.sentRequests = 0;
}

void Simulation::submit(size_t request)
{
    RequestState &state = m_states[request];
    Endpoint &endpoint = *m_endpoints[state.endpoint];
    updateView(state.entry, state.endpoint);
    if (!endpoint.acceptsRequests()) {
        state.excludedEndpoints.insert(state.endpoint);
        route(request);
        return;
    }
    const ReplayRequest &it = m_workload.requests[request];
    const ProfileObjectives &objectives = objectivesOf(it.profile);
    policy::WorkDescription shape;
    shape.id = core::concat(request);
    shape.team = it.team;
    shape.priority = objectives.priority;
    shape.promptTokens = it.promptTokens;
    shape.outputTokens = it.outputTokens;
    shape.prefixBlocks = prefixBlocksOf(it, request);
    shape.timeLeft = core::Milliseconds(static_cast<int64_t>(msUntilDeadline(request)));
    shape.firstTokenObjective = objectives.timeToFirstToken;
    if (!endpoint.dispatcher.offer(shape, virtualTime(m_nowMs)).accepted) {
        state.excludedEndpoints.insert(state.endpoint);
        route(request);
        return;
    }
    startQueuedRequests(state.endpoint);
    updateView(state.entry, state.endpoint);
}

void Simulation::startQueuedRequests(size_t index)
{
    Endpoint &endpoint = *m_endpoints[index];
    if (!endpoint.up || endpoint.changingRole)
        return;
    while (const auto id = endpoint.dispatcher.startNext(virtualTime(m_nowMs),
                                                         endpoint.engine.parameters().slots)) {
        const size_t request = std::stoul(*id);
        const ReplayRequest &it = m_workload.requests[request];
        EngineJob job;
        job.requestIndex = request;
        job.promptTokens = it.promptTokens;
        job.outputTokens = it.outputTokens;
        job.priority = objectivesOf(it.profile).priority;
        job.promptBlocks = prefixBlocksOf(it, request);
        endpoint.engine.start(std::move(job));
    }
    if (!endpoint.stepScheduled && endpoint.engine.runningRequests() > 0) {
        endpoint.stepScheduled = true;
        schedule(m_nowMs, Event::Kind::Step, index, endpoint.epoch);
    }
    changeRoleWhenIdle(index);
}

void Simulation::stepEngine(size_t index, uint64_t epoch)
{
    Endpoint &endpoint = *m_endpoints[index];
    if (epoch != endpoint.epoch)
        return;
    bool prefillEnded = false;
    std::vector<size_t> ended;
    const double durationMs = endpoint.engine.runStep(
        [&](size_t request) {
            RequestState &state = m_states[request];
            if (state.producedTokens++ == 0) {
                state.firstTokenAtMs = m_nowMs;
                prefillEnded = true;
            }
            endpoint.dispatcher.noteTokens(core::concat(request), 1, virtualTime(m_nowMs));
        },
        [&](size_t request) { ended.push_back(request); });
    for (const size_t request : ended) {
        endpoint.dispatcher.noteEnd(core::concat(request), true, virtualTime(m_nowMs));
        finishRequest(request, RequestResult::Outcome::Completed);
    }
    if (durationMs > 0) {
        schedule(m_nowMs + durationMs, Event::Kind::Step, index, endpoint.epoch);
    } else {
        endpoint.stepScheduled = false;
    }
    if (prefillEnded || !ended.empty() || durationMs == 0)
        startQueuedRequests(index);
}

void Simulation::dropExpired()
{
    for (const auto &endpoint : m_endpoints) {
        for (const std::string &id : endpoint->dispatcher.takeExpired(virtualTime(m_nowMs)))
            finishRequest(std::stoul(id), RequestResult::Outcome::Expired);
    }
}

void Simulation::finishRequest(size_t request, RequestResult::Outcome how)
{
    RequestResult &result = m_result.requests[request];
    const ReplayRequest &it = m_workload.requests[request];
    const RequestState &state = m_states[request];
    result.outcome = how;
    if (how != RequestResult::Outcome::Completed)
        return;
    const double arrivalMs = static_cast<double>(it.at.count());
    result.timeToFirstToken =
        core::Milliseconds(static_cast<int64_t>(state.firstTokenAtMs - arrivalMs));
    result.totalTime = core::Milliseconds(static_cast<int64_t>(m_nowMs - arrivalMs));
    if (it.outputTokens > 1)
        result.timeBetweenTokens = core::Milliseconds(
            static_cast<int64_t>((m_nowMs - state.firstTokenAtMs) / (it.outputTokens - 1)));
    const ProfileObjectives &objectives = objectivesOf(it.profile);
    result.metObjectives = result.timeToFirstToken <= objectives.timeToFirstToken
        && result.totalTime <= objectives.deadline;
}

RunResult simulate(const Workload &workload, const Policy &policy, uint64_t seed)
{
    return Simulation(workload, policy, seed).run();
}

} // namespace jujube::replay
