#pragma once

/** \file
 * Defines the scheduler that queues prompts until an engine has capacity to prefill them.
 */

#include "policy/promptqueue.h"
#include "serving/endpoints.h"
#include "serving/gossip.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <random>
#include <set>
#include <span>

namespace jujube::serving {

/** Wait of a prompt whose team is beyond its share of engine time. */
struct TeamDelay
{
    double overuse = 1;
    core::Milliseconds waited{};
};

/** Engine that prefills a prompt, and the endpoint from which it fetches cached prefix blocks. */
struct PrefillPlan
{
    EndpointPtr engine;
    policy::PrefillChoice choice;
    std::string fetchAddress; ///< Endpoint that holds prefix blocks; empty: none are fetched.
    uint32_t priority = 0;    ///< Priority at the engine; 0 is served first.
    double aheadTokens = 0;   ///< Prompt tokens queued at the engine before this prompt.
    std::optional<TeamDelay> teamDelay{}; ///< Set if it is to be logged.
};

/** Callbacks for a queued request. Exactly one is called, once, and never from within add(); none
 * is called after remove(). */
struct PromptCallbacks
{
    std::function<void(const PrefillPlan &plan)> onEngineAssigned;
    std::function<void()> onNoUsableEngine;      ///< No engine is usable; run without a plan.
    std::function<void()> onDeadlineUnreachable; ///< The request can no longer meet its deadline.
};

/** What would happen to a prompt that arrives now. */
struct PromptPreview
{
    size_t waiting = 0; ///< Prompts of the service that wait at this gateway.
    core::Milliseconds expectedWait{};
    uint32_t priority = 0;                       ///< At the engine.
    std::optional<policy::PrefillChoice> choice; ///< Nothing: it would wait.
    bool noUsableEngine = false;                 ///< It would be run without a prefill.
    bool limited = false;                        ///< It would wait as engines are at their limits.
    /** Whether each endpoint of the service may be sent further prompts. */
    std::vector<bool> hasRoom;
};

/** Queues the requests of each service and dispatches them to engines that have capacity, in the
 * order of the prompt queue. */
class PromptScheduler
{
public:
    PromptScheduler(boost::asio::io_context &io, EndpointTable &endpoints,
                    const policy::PlacementSettings &placement, std::mt19937_64 &random,
                    std::function<uint32_t()> gatewayCount);

    /** Duration in ms of a decode step of a service's engine if all its slots are in use. */
    using FullStepMs = std::function<double(const std::string &service, uint32_t slots)>;
    /** Gives teams equal shares of engine time while prompts wait. Called before the first
     * request. */
    void shareByTeam(FullStepMs fullStepMs);

    /** Queues a request. \return its id for remove(). */
    uint64_t add(const std::string &service, policy::WaitingPrompt prompt,
                 std::vector<policy::PrefixLink> chain, PromptCallbacks callbacks);
    void remove(const std::string &service, uint64_t id);
    /** Schedules a dispatch on the event loop, once an engine's load or what is known of it has
     * changed. */
    void scheduleDispatch();
    /** Time that a request which arrives now is expected to wait. */
    core::Milliseconds expectedWait(const std::string &service,
                                    const policy::WaitingPrompt &prompt) const;
    size_t waitingCount() const;
    /** Returns what would happen to a request that arrives now, and changes nothing: it places the
     * waiting prompts and this one on copies.
     * \param random copy of the generator, which the real dispatch would use. */
    PromptPreview preview(const std::string &service, policy::WaitingPrompt prompt,
                          const std::vector<policy::PrefixLink> &chain, core::TimePoint now,
                          std::mt19937_64 &random) const;

    /** Whether a team is beyond its equal share of a service's engine time while prompts wait. */
    bool overuses(const std::string &service, const std::string &team) const;
    /** The largest uses by teams at this gateway, for its peers. */
    std::vector<GossipTeamUse> teamUse() const;
    /** Applies the uses that a peer has stated. \param peer hash of the peer's name. */
    void mergeTeamUse(uint64_t peer, std::span<const GossipTeamUse> uses);
    /** Updates the gauges of the teams with the largest use, at most once per second. */
    void updateTeamGauges();

private:
    struct Entry
    {
        std::vector<policy::PrefixLink> chain;
        PromptCallbacks callbacks;
        core::TimePoint queuedAt{};
        std::vector<uint32_t> cached; ///< Cached tokens by engine, as of cachedAt.
        core::TimePoint cachedAt{};
    };
    struct ServiceQueue
    {
        explicit ServiceQueue(const policy::PromptQueueSettings &settings) : queue(settings) { }

        policy::PromptQueue queue;
        std::map<uint64_t, Entry> entries;
    };

    ServiceQueue &queueOf(const std::string &service);
    double prefillTokensPerMs() const;
    void chargeTeam(const std::string &service, ServiceQueue &serviceQueue,
                    const policy::PromptDispatch &dispatch,
                    std::span<const policy::PlacementCandidate> engines, core::TimePoint now) const;
    std::optional<TeamDelay> teamDelayToLog(double overuse, core::TimePoint queuedAt,
                                            core::TimePoint now);
    void dispatchPrompts();
    void dispatchFrom(const std::string &service, ServiceQueue &serviceQueue, core::TimePoint now);
    bool dispatchOne(const std::string &service, ServiceQueue &serviceQueue, core::TimePoint now);
    void armTimer();
    static std::optional<core::Milliseconds>
    expectedLimitWait(const std::vector<EndpointPtr> &engines, size_t waiting);
    static std::vector<uint32_t> cachedTokens(Entry &entry, const std::vector<EndpointPtr> &engines,
                                              core::TimePoint now);
    static Entry takeEntry(ServiceQueue &serviceQueue, uint64_t id);

    boost::asio::io_context &m_io;
    EndpointTable &m_endpoints;
    const policy::PlacementSettings &m_placement;
    std::mt19937_64 &m_random;
    std::function<uint32_t()> m_gatewayCount;
    boost::asio::steady_timer m_timer;
    policy::PromptQueueSettings m_queueSettings;
    std::map<std::string, ServiceQueue> m_serviceQueues; ///< By service.
    FullStepMs m_fullStepMs;                             ///< Set if teams have shares.
    std::set<std::string> m_gaugedTeams;                 ///< Teams with a gauge.
    core::TimePoint m_gaugesUpdatedAt{};
    core::TimePoint m_delaysSince{}; ///< Start of the second in which m_loggedDelays counts.
    uint32_t m_loggedDelays = 0;
    uint64_t m_nextId = 0;
    bool m_dispatchPosted = false; ///< A dispatch is queued on the event loop.
    bool m_timerArmed = false;
};

} // namespace jujube::serving
