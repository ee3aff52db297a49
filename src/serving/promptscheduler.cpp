#include "serving/promptscheduler.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;

// Waiting requests are looked at this often even if nothing is heard: deadlines pass, and engines
// that were paused come back.
constexpr Milliseconds LookInterval{25};
constexpr Milliseconds CachedTokensLife{100};

} // namespace

PromptScheduler::PromptScheduler(boost::asio::io_context &io, EndpointTable &endpoints,
                                 const policy::PlacementSettings &placement,
                                 std::mt19937_64 &random, std::function<uint32_t()> gateways)
    : m_io(io),
      m_endpoints(endpoints),
      m_placement(placement),
      m_random(random),
      m_gateways(std::move(gateways)),
      m_timer(io)
{
}

uint64_t PromptScheduler::add(const std::string &service, policy::WaitingPrompt prompt,
                              std::vector<policy::PrefixBlock> chain, PromptCallbacks callbacks)
{
    Room &room = m_rooms[service];
    prompt.id = ++m_nextId;
    room.entries.emplace(prompt.id, Entry{std::move(chain), std::move(callbacks), {}, {}});
    room.queue.add(std::move(prompt));
    wake();
    return m_nextId;
}

void PromptScheduler::remove(const std::string &service, uint64_t id)
{
    Room &room = m_rooms[service];
    room.queue.remove(id);
    room.entries.erase(id);
}

void PromptScheduler::wake()
{
    if (std::exchange(m_pumping, true))
        return;
    boost::asio::post(m_io, [this]() {
        m_pumping = false;
        pump();
    });
}

PromptScheduler::Entry PromptScheduler::take(Room &room, uint64_t id)
{
    const auto it = room.entries.find(id);
    Entry entry = std::move(it->second);
    room.entries.erase(it);
    return entry;
}

void PromptScheduler::pump()
{
    const TimePoint now = core::BootClock::now();
    for (auto &[service, room] : m_rooms) {
        for (const uint64_t id : room.queue.takeExpired(now))
            take(room, id).callbacks.onHopeless();
        pumpRoom(service, room, now);
    }
    if (waiting() > 0)
        armTimer();
}

void PromptScheduler::pumpRoom(const std::string &service, Room &room, TimePoint now)
{
    while (room.queue.size() > 0 && dispatchOne(service, room, now)) { }
}

// Looking up every part at every engine is what a small VM spends most on while prompts wait, so
// the figures are kept for a moment.
std::vector<uint32_t>
PromptScheduler::cachedTokens(Entry &entry, const std::vector<EndpointPtr> &engines, TimePoint now)
{
    if (entry.cached.size() != engines.size() || now - entry.cachedAt > CachedTokensLife) {
        entry.cachedAt = now;
        entry.cached.clear();
        for (const EndpointPtr &it : engines)
            entry.cached.push_back(it->parts.cachedTokens(entry.chain));
    }
    return entry.cached;
}

// Gives one waiting prompt to an engine. \return false if none can take one now.
bool PromptScheduler::dispatchOne(const std::string &service, Room &room, TimePoint now)
{
    const auto &engines = m_endpoints.ofService(service);
    std::vector<policy::PlacementCandidate> views;
    views.reserve(engines.size());
    for (const EndpointPtr &it : engines)
        views.push_back(viewOf(*it, {}, now));
    if (std::none_of(views.begin(), views.end(), [](const auto &it) { return it.usable; })) {
        for (auto &[id, entry] : std::exchange(room.entries, {})) {
            room.queue.remove(id);
            entry.callbacks.onNoEngine();
        }
        return false;
    }
    const auto cached = [&](const policy::WaitingPrompt &prompt) {
        return cachedTokens(room.entries.at(prompt.id), engines, now);
    };
    auto dispatch = room.queue.takeNext(views, cached, m_placement, now, m_random);
    if (!dispatch)
        return false;
    ReadPlan plan;
    plan.engine = engines[dispatch->choice.index];
    plan.choice = dispatch->choice;
    plan.priority = dispatch->priority;
    plan.aheadTokens = views[dispatch->choice.index].backlogTokens;
    const Entry entry = take(room, dispatch->prompt.id);
    if (plan.choice.fetch) {
        if (const EndpointPtr holder = bestHolder(engines, entry.chain);
            holder && holder != plan.engine)
            plan.fetchFrom = holder->record.address;
    }
    if (views[dispatch->choice.index].probe)
        plan.engine->health.startProbe(now);
    entry.callbacks.onEngine(plan);
    return true;
}

void PromptScheduler::armTimer()
{
    if (std::exchange(m_armed, true))
        return;
    m_timer.expires_after(LookInterval);
    m_timer.async_wait([this](const boost::system::error_code &ec) {
        m_armed = false;
        if (!ec)
            wake();
    });
}

Milliseconds PromptScheduler::expectedWait(const std::string &service,
                                           const policy::WaitingPrompt &prompt) const
{
    const auto room = m_rooms.find(service);
    if (room == m_rooms.end())
        return {};
    const auto &endpoints = m_endpoints.ofService(service);
    const auto engines = std::count_if(endpoints.begin(), endpoints.end(), [](const auto &it) {
        return it->prefills() && it->acceptsWork();
    });
    constexpr double msPerSecond = 1000;
    const double rate = m_placement.disaggregatedPrefill.tokensPerMs * msPerSecond
        * static_cast<double>(std::max<int64_t>(1, engines)) / std::max(1U, m_gateways());
    return room->second.queue.expectedWait(prompt, rate, core::BootClock::now());
}

size_t PromptScheduler::waiting() const
{
    size_t n = 0;
    for (const auto &[service, room] : m_rooms)
        n += room.entries.size();
    return n;
}

} // namespace jujube::serving
