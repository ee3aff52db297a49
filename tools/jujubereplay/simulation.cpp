#include "jujubereplay/simulation.h"

#include "core/text.h"
#include "jujubereplay/simulationrun.h"
#include "jujubereplay/summary.h"

#include <algorithm>

namespace jujube::replay {

namespace {

using namespace std::chrono_literals;

constexpr size_t Entries = 3;
constexpr core::Milliseconds ReportInterval = 250ms; ///< Heartbeats; replies bring more reports.
constexpr core::Milliseconds PlanInterval = 250ms;
constexpr core::Milliseconds SweepInterval = 50ms;
constexpr core::Milliseconds LinkDelay = 1ms; ///< Entry to agent, one way.
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
      m_entries(Entries)
{
    m_result.policy = policy.name;
    m_result.requests.resize(workload.requests.size());
    if (const auto *planned = std::get_if<PlannedRoles>(&policy.roles))
        m_planner.emplace(planned->settings);
    createEndpoints();
}

RunResult Simulation::run()
{
    for (size_t i = 0; i < m_workload.requests.size(); ++i)
        push(m_workload.requests[i].at.count(), Event::Kind::Arrival, i);
    for (size_t i = 0; i < m_workload.events.size(); ++i)
        push(m_workload.events[i].at.count(), Event::Kind::Fleet, i);
    push(0, Event::Kind::Report, 0);
    push(0, Event::Kind::Plan, 0);
    push(0, Event::Kind::Sweep, 0);
    // Requests that arrive at the end get the time to finish.
    const double end = static_cast<double>((m_workload.length + 90s).count());
    while (!m_events.empty() && m_events.top().ms <= end) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = event.ms;
        handle(event);
    }
    summarise(m_workload, PlotInterval, m_result);
    return std::move(m_result);
}

void Simulation::createEndpoints()
{
    for (uint32_t i = 0; i < m_workload.engines; ++i) {
        EngineSpeed speed;
        // Stock differs: every third engine is older and slower.
        if (i % 3 == 2) {
            speed.prefillRate = 13'000;
            speed.stepMs = 16;
            speed.kvPieces = 200;
        }
        auto endpoint = std::make_unique<Endpoint>(speed, m_policy.dispatcher);
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

void Simulation::push(double ms, Event::Kind kind, size_t subject, uint64_t epoch)
{
    m_events.push({ms, ++m_order, kind, subject, epoch});
}

void Simulation::handle(const Event &event)
{
    switch (event.kind) {
    case Event::Kind::Arrival:
        m_states[event.subject].entry = event.subject % Entries;
        route(event.subject);
        return;
    case Event::Kind::Submit:
        submit(event.subject);
        return;
    case Event::Kind::Step:
        step(event.subject, event.epoch);
        return;
    case Event::Kind::Report:
        for (size_t i = 0; i < m_endpoints.size(); ++i) {
            for (size_t e = 0; e < m_entries.size(); ++e)
                report(e, i);
        }
        push(m_now + static_cast<double>(ReportInterval.count()), Event::Kind::Report, 0);
        return;
    case Event::Kind::Plan:
        noteRoles();
        planRoles();
        push(m_now + static_cast<double>(PlanInterval.count()), Event::Kind::Plan, 0);
        return;
    case Event::Kind::Sweep:
        sweep();
        push(m_now + static_cast<double>(SweepInterval.count()), Event::Kind::Sweep, 0);
        return;
    case Event::Kind::Fleet:
        fleetEvent(event.subject);
        return;
    case Event::Kind::FleetEnd:
        fleetEventEnds(event.subject);
        return;
    case Event::Kind::RoleDone:
        roleDone(event.subject, event.epoch);
        return;
    }
}

double Simulation::timeLeft(size_t request) const
{
    const ReplayRequest &it = m_workload.requests[request];
    return static_cast<double>((it.at + objectivesOf(it.profile).deadline).count()) - m_now;
}

void Simulation::route(size_t request)
{
    State &state = m_states[request];
    if (state.attempts >= MaxAttempts || timeLeft(request) <= 0) {
        end(request, RequestResult::End::Refused);
        return;
    }
    const auto chosen = choose(request);
    if (!chosen) {
        end(request, RequestResult::End::Refused);
        return;
    }
    ++state.attempts;
    state.endpoint = *chosen;
    push(m_now + static_cast<double>(LinkDelay.count()), Event::Kind::Submit, request);
}

std::optional<size_t> Simulation::choose(size_t request)
{
    Entry &entry = m_entries[m_states[request].entry];
    for (size_t i = 0; i < m_endpoints.size(); ++i) {
        entry.views[i].usable =
            entry.views[i].load.ready && !m_states[request].refusedBy.contains(i);
    }
    return std::visit(
        Overloaded{[&](RoundRobin) { return inTurn(entry); },
                   [&](LeastOutstanding) { return leastOutstanding(entry); },
                   [&](const Predicted &it) { return predicted(entry, request, it.prefixes); }},
        m_policy.routing);
}

std::optional<size_t> Simulation::inTurn(Entry &entry)
{
    for (size_t i = 0; i < entry.views.size(); ++i) {
        const size_t candidate = entry.next++ % entry.views.size();
        if (entry.views[candidate].usable)
            return candidate;
    }
    return std::nullopt;
}

std::optional<size_t> Simulation::leastOutstanding(Entry &entry)
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

std::optional<size_t> Simulation::predicted(Entry &entry, size_t request, bool usePrefixes)
{
    const ReplayRequest &it = m_workload.requests[request];
    policy::RouteRequest route;
    route.promptTokens = it.promptTokens;
    route.outputTokens = it.outputTokens;
    if (usePrefixes)
        route.prefixBlocks = blocksOf(it, request);
    route.firstTokenObjective = objectivesOf(it.profile).firstToken;
    route.timeLeft = core::Milliseconds(static_cast<int64_t>(timeLeft(request)));
    const auto decision = m_router.choose(entry.views, route, entry.prefixes, m_random);
    if (!decision)
        return std::nullopt;
    policy::EndpointView &view = entry.views[decision->index];
    view.sentPrefillTokens += it.promptTokens - std::min(decision->cachedTokens, it.promptTokens);
    view.sentOutputTokens += it.outputTokens;
    ++view.sentRequests;
    entry.prefixes.record(view.vm, route.prefixBlocks);
    return decision->index;
}

// Nine tenths of a prompt are its document; the rest is the request's own.
std::vector<uint64_t> Simulation::blocksOf(const ReplayRequest &request, size_t number)
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

void Simulation::report(size_t entry, size_t endpoint)
{
    const Endpoint &it = *m_endpoints[endpoint];
    policy::EndpointView &view = m_entries[entry].views[endpoint];
    view.load = core::LoadReport();
    it.dispatcher.fillReport(view.load, virtualTime(m_now));
    view.load.slots = it.engine.speed().slots;
    view.load.freeKvPieces = it.engine.freePieces();
    view.load.role = it.engine.role();
    view.load.ready = it.open();
    view.sentPrefillTokens = 0;
    view.sentOutputTokens = 0;
    view.sentRequests = 0;
}

void Simulation::submit(size_t request)
{
    State &state = m_states[request];
    Endpoint &endpoint = *m_endpoints[state.endpoint];
    report(state.entry, state.endpoint);
    if (!endpoint.open()) {
        state.refusedBy.insert(state.endpoint);
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
    shape.prefixBlocks = blocksOf(it, request);
    shape.timeLeft = core::Milliseconds(static_cast<int64_t>(timeLeft(request)));
    shape.firstTokenObjective = objectives.firstToken;
    if (!endpoint.dispatcher.offer(shape, virtualTime(m_now)).accepted) {
        state.refusedBy.insert(state.endpoint);
        route(request);
        return;
    }
    pump(state.endpoint);
    report(state.entry, state.endpoint);
}

void Simulation::pump(size_t index)
{
    Endpoint &endpoint = *m_endpoints[index];
    if (!endpoint.up || endpoint.changing)
        return;
    while (const auto id =
               endpoint.dispatcher.startNext(virtualTime(m_now), endpoint.engine.speed().slots)) {
        const size_t request = std::stoul(*id);
        const ReplayRequest &it = m_workload.requests[request];
        EngineJob job;
        job.request = request;
        job.promptTokens = it.promptTokens;
        job.outputTokens = it.outputTokens;
        job.priority = objectivesOf(it.profile).priority;
        job.blocks = blocksOf(it, request);
        endpoint.engine.start(std::move(job));
    }
    if (!endpoint.stepping && endpoint.engine.running() > 0) {
        endpoint.stepping = true;
        push(m_now, Event::Kind::Step, index, endpoint.epoch);
    }
    changeRoleWhenIdle(index);
}

void Simulation::step(size_t index, uint64_t epoch)
{
    Endpoint &endpoint = *m_endpoints[index];
    if (epoch != endpoint.epoch)
        return;
    bool prefillEnded = false;
    std::vector<size_t> ended;
    const double ms = endpoint.engine.stepMs(
        [&](size_t request) {
            State &state = m_states[request];
            if (state.produced++ == 0) {
                state.firstTokenMs = m_now;
                prefillEnded = true;
            }
            endpoint.dispatcher.noteTokens(core::concat(request), 1, virtualTime(m_now));
        },
        [&](size_t request) { ended.push_back(request); });
    for (const size_t request : ended) {
        endpoint.dispatcher.noteEnd(core::concat(request), true, virtualTime(m_now));
        end(request, RequestResult::End::Whole);
    }
    if (ms > 0) {
        push(m_now + ms, Event::Kind::Step, index, endpoint.epoch);
    } else {
        endpoint.stepping = false;
    }
    if (prefillEnded || !ended.empty() || ms == 0)
        pump(index);
}

void Simulation::sweep()
{
    for (const auto &endpoint : m_endpoints) {
        for (const std::string &id : endpoint->dispatcher.takeExpired(virtualTime(m_now)))
            end(std::stoul(id), RequestResult::End::Expired);
    }
}

void Simulation::end(size_t request, RequestResult::End how)
{
    RequestResult &result = m_result.requests[request];
    const ReplayRequest &it = m_workload.requests[request];
    const State &state = m_states[request];
    result.end = how;
    if (how != RequestResult::End::Whole)
        return;
    const double begun = static_cast<double>(it.at.count());
    result.firstToken = core::Milliseconds(static_cast<int64_t>(state.firstTokenMs - begun));
    result.total = core::Milliseconds(static_cast<int64_t>(m_now - begun));
    if (it.outputTokens > 1)
        result.betweenTokens = core::Milliseconds(
            static_cast<int64_t>((m_now - state.firstTokenMs) / (it.outputTokens - 1)));
    const ProfileObjectives &objectives = objectivesOf(it.profile);
    result.good = result.firstToken <= objectives.firstToken && result.total <= objectives.deadline;
}

RunResult simulate(const Workload &workload, const Policy &policy, uint64_t seed)
{
    return Simulation(workload, policy, seed).run();
}

} // namespace jujube::replay
