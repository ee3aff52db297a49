#pragma once

/** \file
 * Defines the state of one replay in virtual time: engines with their agents, entries, events.
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

/** A moment of virtual time as the decision objects take it. */
core::TimePoint virtualTime(double ms);

/** Time between two states of the fleet in the plot. */
inline constexpr core::Milliseconds PlotInterval{15'000};

/** One engine with its agent's decisions. */
struct Endpoint
{
    Endpoint(EngineSpeed speed, const policy::DispatcherSettings &settings)
        : engine(speed), dispatcher(settings)
    {
    }

    EngineModel engine;
    policy::Dispatcher dispatcher;
    std::string vm;
    std::string domain;
    bool up = true;
    bool draining = false;
    bool changing = false;
    bool stepping = false;
    bool gone = false;
    std::optional<core::Role> wanted; ///< Role to change to once idle.
    uint64_t epoch = 0;               ///< Steps of an earlier life are ignored.

    bool open() const { return up && !draining && !changing && !wanted && !gone; }
};

/** What one entry knows and decides with. */
struct Entry
{
    static constexpr size_t PrefixBlocks = 20'000;

    Entry() : prefixes(PrefixBlocks) { }

    std::vector<policy::EndpointView> views;
    policy::PrefixIndex prefixes;
    size_t next = 0;
};

/** Something that happens at a moment of virtual time. */
struct Event
{
    enum class Kind { Arrival, Submit, Step, Report, Plan, Sweep, Fleet, FleetEnd, RoleDone };
    double ms = 0;
    uint64_t order = 0;
    Kind kind = Kind::Arrival;
    size_t subject = 0; ///< Request, endpoint or fleet event.
    uint64_t epoch = 0;

    bool operator>(const Event &other) const
    {
        return std::tie(ms, order) > std::tie(other.ms, other.order);
    }
};

/** One run of a workload under a policy. */
class Simulation
{
public:
    Simulation(const Workload &workload, const Policy &policy, uint64_t seed);
    RunResult run();

private:
    struct State
    {
        uint32_t attempts = 0;
        size_t endpoint = 0;
        size_t entry = 0;
        double firstTokenMs = 0;
        uint32_t produced = 0;
        std::set<size_t> refusedBy;
    };

    void createEndpoints();
    void push(double ms, Event::Kind kind, size_t subject, uint64_t epoch = 0);
    void handle(const Event &event);

    // Entry side.
    double timeLeft(size_t request) const;
    void route(size_t request);
    std::optional<size_t> choose(size_t request);
    static std::optional<size_t> inTurn(Entry &entry);
    static std::optional<size_t> leastOutstanding(Entry &entry);
    std::optional<size_t> predicted(Entry &entry, size_t request, bool usePrefixes);
    static std::vector<uint64_t> blocksOf(const ReplayRequest &request, size_t number);
    void report(size_t entry, size_t endpoint);

    // Agent side.
    void submit(size_t request);
    void pump(size_t index);
    void step(size_t index, uint64_t epoch);
    void sweep();
    void end(size_t request, RequestResult::End how);

    // Roles.
    void noteRoles();
    void planRoles();
    policy::RoleView roleView(size_t index) const;
    void plannedRoles();
    void thresholdRoles(const ThresholdRoles &settings);
    void orderRole(size_t index, core::Role role);
    void changeRoleWhenIdle(size_t index);
    void roleDone(size_t index, uint64_t epoch);

    // Fleet.
    void fleetEvent(size_t index);
    void crash(size_t index);
    void fleetEventEnds(size_t index);

    const Workload &m_workload;
    const Policy &m_policy;
    std::mt19937_64 m_random;
    policy::Router m_router;
    std::optional<policy::RolePlanner> m_planner;
    std::vector<std::unique_ptr<Endpoint>> m_endpoints;
    std::vector<State> m_states;
    std::vector<Entry> m_entries;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    RunResult m_result;
    double m_now = 0;
    uint64_t m_order = 0;
};

} // namespace jujube::replay
