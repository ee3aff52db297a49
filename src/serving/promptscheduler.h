#pragma once

/** \file
 * Defines the waiting room for requests whose prompt is to be read by an engine of its own.
 */

#include "policy/promptqueue.h"
#include "serving/endpoints.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <random>

namespace jujube::serving {

/** Where a prompt is read, and from where its shared parts are fetched. */
struct ReadPlan
{
    EndpointPtr engine;
    policy::PrefillChoice choice;
    std::string fetchFrom;  ///< Address; empty: nothing is fetched.
    uint32_t priority = 0;  ///< At the engine.
    double aheadTokens = 0; ///< Prompt tokens before this one at the engine.
};

/** How a request learns what becomes of its wait. Called once, never from inside add(). */
struct PromptCallbacks
{
    std::function<void(const ReadPlan &plan)> onEngine;
    std::function<void()> onNoEngine; ///< No engine reads prompts: run it without.
    std::function<void()> onHopeless; ///< It cannot be answered in time any more.
};

/** Holds requests of each service until an engine has room, in the order of the prompt queue. */
class PromptScheduler
{
public:
    PromptScheduler(boost::asio::io_context &io, EndpointTable &endpoints,
                    const policy::PlacementSettings &placement, std::mt19937_64 &random,
                    std::function<uint32_t()> gateways);

    /** Queues a request. \return its id for remove(). */
    uint64_t add(const std::string &service, policy::WaitingPrompt prompt,
                 std::vector<policy::PrefixBlock> chain, PromptCallbacks callbacks);
    void remove(const std::string &service, uint64_t id);
    /** Looks again soon: an engine answered, or a neighbour told of its load. */
    void wake();
    /** Time a request that comes now would wait. */
    core::Milliseconds expectedWait(const std::string &service,
                                    const policy::WaitingPrompt &prompt) const;
    size_t waiting() const;

private:
    struct Entry
    {
        std::vector<policy::PrefixBlock> chain;
        PromptCallbacks callbacks;
        std::vector<uint32_t> cached; ///< Tokens that each engine holds, as of cachedAt.
        core::TimePoint cachedAt{};
    };
    struct Room
    {
        policy::PromptQueue queue{policy::PromptQueueSettings()};
        std::map<uint64_t, Entry> entries;
    };

    void pump();
    void pumpRoom(const std::string &service, Room &room, core::TimePoint now);
    bool dispatchOne(const std::string &service, Room &room, core::TimePoint now);
    void armTimer();
    static std::vector<uint32_t> cachedTokens(Entry &entry, const std::vector<EndpointPtr> &engines,
                                              core::TimePoint now);
    static Entry take(Room &room, uint64_t id);

    boost::asio::io_context &m_io;
    EndpointTable &m_endpoints;
    const policy::PlacementSettings &m_placement;
    std::mt19937_64 &m_random;
    std::function<uint32_t()> m_gateways;
    boost::asio::steady_timer m_timer;
    std::map<std::string, Room> m_rooms; ///< By service.
    uint64_t m_nextId = 0;
    bool m_pumping = false; ///< A pump is queued on the event loop.
    bool m_armed = false;
};

} // namespace jujube::serving
