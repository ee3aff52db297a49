#pragma once

/** \file
 * Defines the team-fair queue in front of one endpoint, with admission by deadline.
 */

#include "core/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace jujube::policy {

/** One unit of waiting work. */
struct QueuedWork
{
    std::string id;
    std::string team;
    double weight = 1.0;
    double cost = 1.0;         ///< Charged to the team when the work starts.
    uint32_t priority = 5;     ///< Higher starts first within a team.
    core::TimePoint dueAt{};   ///< Desired start time; decides the order within a priority.
    core::TimePoint startBy{}; ///< Latest start that still meets the deadline.
    core::TimePoint queuedAt{};
    bool late = false;   ///< Set once dueAt has passed; work that is not late goes first.
    bool urgent = false; ///< May use slots reserved for urgent work.
};

/** Result of offering work to the queue. */
struct Admission
{
    bool accepted = false;
    core::Milliseconds expectedWait{};
    core::Milliseconds retryAfter{}; ///< Time after which a refused request should be repeated.
};

/** Bounds of the queue. */
struct FairQueueSettings
{
    size_t maxQueued = 512;
    core::Milliseconds minRetryAfter{200};
    core::Milliseconds maxRetryAfter{10'000};
};

/** Shares an endpoint between teams by virtual token counters, and refuses work that cannot start
 * in time when it is offered.
 *
 * Each team has a counter of its served cost divided by its weight; the waiting team with the
 * smallest counter is served next. The counter of a team that was idle is raised to the smallest
 * counter of the waiting teams, so that idle time earns no credit. Within a team the order is by
 * priority, then by desired start time.
 *
 * Admission compares the predicted wait at the team's fair share with the latest start. The backlog
 * of a team therefore counts against that team alone: when one team floods the endpoint, only its
 * own requests are refused and the others' latencies do not change.
 */
class FairQueue
{
public:
    explicit FairQueue(FairQueueSettings settings);

    /** Queues the work or refuses it.
     *
     * \param costRate cost units per second that the endpoint completes at present.
     */
    Admission offer(const QueuedWork &work, core::TimePoint now, double costRate);
    /** Predicate on the work that may be taken; empty: all of it. */
    using Eligible = std::function<bool(const QueuedWork &)>;

    /** Dequeues the next eligible work and charges its team. */
    std::optional<QueuedWork> take(const Eligible &eligible = {});
    /** Removes the work of a cancelled request. Returns false if it is not queued. */
    bool remove(const std::string &id);
    /** Moves work whose desired start has passed behind work that can still start in time.
     *
     * Without this a backlog would make all work late, because the most overdue work would always
     * go first.
     *
     * \return the work that became late.
     */
    std::vector<QueuedWork> demoteLate(core::TimePoint now);
    /** Removes and returns work whose latest start has passed. */
    std::vector<QueuedWork> takeExpired(core::TimePoint now);
    /** Corrects a team's charge once the actual cost of its work is known. */
    void adjustCharge(const std::string &team, double weight, double estimated, double actual);

    size_t size() const { return m_count; }
    bool empty() const { return m_count == 0; }
    double queuedCost() const { return m_queuedCost; }
    std::optional<core::TimePoint> oldest() const;

private:
    struct Order
    {
        bool operator()(const QueuedWork &a, const QueuedWork &b) const;
    };
    struct TeamQueue
    {
        double counter = 0;
        double weight = 1.0;
        double queuedCost = 0;
        std::multiset<QueuedWork, Order> work;
    };

    struct Pick;
    Pick next(const Eligible &eligible) const;
    double smallestActiveCounter() const;
    core::Milliseconds expectedWait(const QueuedWork &work, double costRate) const;
    void noteErased(TeamQueue &team, double cost);

    FairQueueSettings m_settings;
    std::map<std::string, TeamQueue> m_teams;
    size_t m_count = 0;
    double m_queuedCost = 0;
    /** Counter of the team served last; the starting value for a team that enters an empty queue.
     */
    double m_lastServedCounter = 0;
};

} // namespace jujube::policy
