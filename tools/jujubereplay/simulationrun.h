#pragma once

/** \file
 * Defines the state of one simulation run: engines with their agents, entries and events.
 */

#include "jujubereplay/simulation.h"

#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>

namespace jujube::replay {

template <typename... Visitors> struct Overloaded : Visitors...
{
    using Visitors::operator()...;
};
template <typename... Visitors> Overloaded(Visitors...) -> Overloaded<Visitors...>;

/** Converts virtual time in milliseconds to the time point that the policy classes take. */
core::TimePoint virtualTime(double ms);

/** Time between two points of the plot. */
inline constexpr core::Milliseconds PlotInterval{15'000};

/** One engine with the dispatcher of its agent. */
struct Endpoint
{
    Endpoint(EngineParameters parameters, const policy::DispatcherSettings &settings)
        : engine(parameters), dispatcher(settings)
    {
    }

    EngineModel engine;
    policy::Dispatcher dispatcher;
    std::string vm;
    std::string domain;
    bool up = true;
    bool draining = false;
    bool changingRole = false;
    bool stepScheduled = false;
    bool withdrawn = false;
    std::optional<core::Role> targetRole; ///< Role to change to once the engine is idle.
    uint64_t epoch = 0; ///< Raised by a crash and a role change; steps of older epochs are ignored.

    bool acceptsRequests() const
    {
        return up && !draining && !changingRole && !targetRole && !withdrawn;
    }
};

/** State of one entry: its view of the endpoints and its routing state. */
struct Entry
{
    static constexpr size_t PrefixBlocks = 20'000;

    Entry() : prefixIndex(PrefixBlocks) { }

    std::vector<policy::EndpointView> views;
    policy::PrefixIndex prefixIndex;
    size_t nextEndpoint = 0; ///< For round robin.
};

/** An event of the simulation, handled at a point of virtual time. */
struct Event
{
    enum class Kind {
        Arrival,
        Submit,
        Step,
        Report,
        Plan,
        Expiry,
        FleetEventStart,
        FleetEventEnd,
        RoleChangeDone
    };
    double timeMs = 0;
    uint64_t sequence = 0; ///< Orders events at the same time.
    Kind kind = Kind::Arrival;
    size_t subjectIndex = 0; ///< Of the request, endpoint or fleet event.
    uint64_t epoch = 0;

    bool operator>(const Event &other) const
    {
        return std::tie(timeMs, sequence) > std::tie(other.timeMs, other.sequence);
    }
};

/** Discrete-event simulation of one workload under one policy. run() may be called once. */
class Simulation
{
public:
    Simulation(const Workload &workload, const Policy &policy, uint64_t seed);
    RunResult run();

private:
    struct RequestState
    {
        uint32_t attempts = 0;
        size_t endpoint = 0;
        size_t entry = 0;
        double firstTokenAtMs = 0;
        uint32_t producedTokens = 0;
        std::set<size_t> excludedEndpoints; ///< They refused the request or crashed while it ran.
    };

    void createEndpoints();
    void schedule(double timeMs, Event::Kind kind, size_t subjectIndex, uint64_t epoch = 0);
    void handle(const Event &event);

    // Decisions of the entries.
    double msUntilDeadline(size_t request) const;
    void route(size_t request);
    std::optional<size_t> chooseEndpoint(size_t request);
    static std::optional<size_t> chooseRoundRobin(Entry &entry);
    static std::optional<size_t> chooseLeastOutstanding(Entry &entry);
    std::optional<size_t> choosePredictedLatency(Entry &entry, size_t request, bool usePrefixes);
    static std::vector<uint64_t> prefixBlocksOf(const ReplayRequest &request, size_t number);
    void updateView(size_t entry, size_t endpoint);

    // Decisions of the agents.
    void submit(size_t request);
    void startQueuedRequests(size_t index);
    void stepEngine(size_t index, uint64_t epoch);
    void dropExpired();
    void finishRequest(size_t request, RequestResult::Outcome how);

    // Role changes.
    void recordInterval();
    void updateRoles();
    policy::RoleView roleView(size_t index) const;
    void applyPlannedRoles();
    void applyThresholdRoles(const ThresholdRoles &settings);
    void orderRole(size_t index, core::Role role);
    void changeRoleWhenIdle(size_t index);
    void finishRoleChange(size_t index, uint64_t epoch);

    // Crashes, drains and withdrawals.
    void startFleetEvent(size_t index);
    void crashEngine(size_t index);
    void endFleetEvent(size_t index);

    const Workload &m_workload;
    const Policy &m_policy;
    std::mt19937_64 m_random;
    policy::Router m_router;
    std::optional<policy::RolePlanner> m_planner;
    std::vector<std::unique_ptr<Endpoint>> m_endpoints;
    std::vector<RequestState> m_states;
    std::vector<Entry> m_entries;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    RunResult m_result;
    double m_nowMs = 0;
    uint64_t m_lastSequence = 0;
};

} // namespace jujube::replay
