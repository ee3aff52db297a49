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
    double cost = 1.0;         ///< Token cost charged to the team when the work starts.
    uint32_t priority = 5;     ///< Higher starts first within a team.
    core::TimePoint dueAt{};   ///< Wanted start; decides the order within a priority.
    core::TimePoint startBy{}; ///< Latest start that still meets the deadline.
    core::TimePoint queuedAt{};
    bool late =
        false; ///< The wanted start has passed; work that can still make its own goes first.
    bool urgent = false; ///< May use what is reserved for urgent work.
};

/** Answer to an offer. */
struct Admission
{
    bool accepted = false;
    core::Milliseconds expectedWait{};
    core::Milliseconds retryAfter{}; ///< When a refused caller should come back.
};

/** Bounds of the queue. */
struct FairQueueSettings
{
    size_t maxQueued = 512;
    core::Milliseconds minRetryAfter{200};
    core::Milliseconds maxRetryAfter{10'000};
};

/** Serves teams by virtual token counters and refuses early what cannot start in time.
 *
 * Each team has a counter of the weighted cost it was served; the waiting team with the smallest
 * counter goes next. A team that returns after a pause is lifted to the smallest counter of the
 * teams at work, so that idle time earns no credit. Within a team the order is priority, then the
 * wanted start.
 *
 * Admission compares the predicted wait at the team's own fair share with the latest start. A
 * team's backlog therefore counts against that team alone: a flood of one team is refused to that
 * team and leaves the others' answers as they were.
 */
class FairQueue
{
public:
    explicit FairQueue(FairQueueSettings settings);

    /** Queues the work or refuses it.
     *
     * \param costRate cost units a second that the endpoint works off at present.
     */
    Admission offer(const QueuedWork &work, core::TimePoint now, double costRate);
    /** Restricts what may be taken; empty: everything. */
    using Eligible = std::function<bool(const QueuedWork &)>;

    /** Takes the next work and charges its team. */
    std::optional<QueuedWork> take(const Eligible &eligible = {});
    /** Removes one unit, for a cancelled request. */
    bool remove(const std::string &id);
    /** Puts work whose wanted start has passed behind work that can still make its own.
     *
     * Without this a backlog makes everything late: the most overdue work would always go first.
     *
     * \return the work that became late.
     */
    std::vector<QueuedWork> demoteLate(core::TimePoint now);
    /** Removes and returns what can no longer start in time. */
    std::vector<QueuedWork> takeExpired(core::TimePoint now);
    /** Corrects a team's charge once the real cost of a unit is known. */
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
    double m_lastServedCounter =
        0; ///< Counter of the team served last; the lift for an empty queue.
};

} // namespace jujube::policy
