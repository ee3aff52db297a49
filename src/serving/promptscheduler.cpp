#include "serving/promptscheduler.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;

// Time between dispatches without an external event: deadlines expire, and paused engines become
// usable again.
constexpr Milliseconds DispatchInterval{25};
constexpr Milliseconds CachedTokensMaxAge{100};
constexpr Milliseconds NeverDispatched{3'600'000}; ///< Longer than any deadline.

} // namespace

PromptScheduler::PromptScheduler(boost::asio::io_context &io, EndpointTable &endpoints,
                                 const policy::PlacementSettings &placement,
                                 std::mt19937_64 &random, std::function<uint32_t()> gatewayCount)
    : m_io(io),
      m_endpoints(endpoints),
      m_placement(placement),
      m_random(random),
      m_gatewayCount(std::move(gatewayCount)),
      m_timer(io)
{
}

PromptScheduler::ServiceQueue &PromptScheduler::queueOf(const std::string &service)
{
    return m_serviceQueues.try_emplace(service, m_queueSettings).first->second;
}

uint64_t PromptScheduler::add(const std::string &service, policy::WaitingPrompt prompt,
                              std::vector<policy::PrefixLink> chain, PromptCallbacks callbacks)
{
    ServiceQueue &serviceQueue = queueOf(service);
    prompt.id = ++m_nextId;
    serviceQueue.entries.emplace(
        prompt.id, Entry{std::move(chain), std::move(callbacks), core::BootClock::now(), {}, {}});
    serviceQueue.queue.add(std::move(prompt));
    scheduleDispatch();
    return m_nextId;
}

void PromptScheduler::remove(const std::string &service, uint64_t id)
{
    ServiceQueue &serviceQueue = queueOf(service);
    serviceQueue.queue.remove(id);
    serviceQueue.entries.erase(id);
}

void PromptScheduler::scheduleDispatch()
{
    if (std::exchange(m_dispatchPosted, true))
        return;
    boost::asio::post(m_io, [this]() {
        m_dispatchPosted = false;
        dispatchPrompts();
    });
}

PromptScheduler::Entry PromptScheduler::takeEntry(ServiceQueue &serviceQueue, uint64_t id)
{
    const auto it = serviceQueue.entries.find(id);
    Entry entry = std::move(it->second);
    serviceQueue.entries.erase(it);
    return entry;
}

void PromptScheduler::dispatchPrompts()
{
    const TimePoint now = core::BootClock::now();
    for (auto &[service, serviceQueue] : m_serviceQueues) {
        for (const uint64_t id : serviceQueue.queue.takeExpired(now))
            takeEntry(serviceQueue, id).callbacks.onDeadlineUnreachable();
        dispatchFrom(service, serviceQueue, now);
    }
    if (waitingCount() > 0)
        armTimer();
}

void PromptScheduler::dispatchFrom(const std::string &service, ServiceQueue &serviceQueue,
                                   TimePoint now)
{
    while (serviceQueue.queue.size() > 0 && dispatchOne(service, serviceQueue, now)) { }
    serviceQueue.queue.endRound();
}

// Looking up every prefix block at every engine is the largest cost on a small VM while prompts
// wait, so the results are kept for a short time.
std::vector<uint32_t>
PromptScheduler::cachedTokens(Entry &entry, const std::vector<EndpointPtr> &engines, TimePoint now)
{
    if (entry.cached.size() != engines.size() || now - entry.cachedAt > CachedTokensMaxAge) {
        entry.cachedAt = now;
        entry.cached.clear();
        for (const EndpointPtr &it : engines)
            entry.cached.push_back(it->prefixCache.cachedTokens(entry.chain));
    }
    std::vector<uint32_t> cached = entry.cached;
    for (size_t i = 0; i < engines.size(); ++i) {
        if (!engines[i]->isReachable())
            cached[i] = 0;
    }
    return cached;
}

// Dispatches one queued prompt. \return false if no engine can take a prompt now.
bool PromptScheduler::dispatchOne(const std::string &service, ServiceQueue &serviceQueue,
                                  TimePoint now)
{
    const auto &engines = m_endpoints.ofService(service);
    std::vector<policy::PlacementCandidate> views;
    views.reserve(engines.size());
    for (const EndpointPtr &it : engines)
        views.push_back(placementViewOf(*it, {}, now));
    policy::applyHolds(views);
    const bool noneUsable =
        std::none_of(views.begin(), views.end(), [](const auto &it) { return it.usable; });
    const bool limited = std::any_of(engines.begin(), engines.end(), [now](const EndpointPtr &it) {
        return it->acceptsWork() && !it->limit.admits(now);
    });
    if (noneUsable && limited)
        return false;
    if (noneUsable) {
        for (auto &[id, entry] : std::exchange(serviceQueue.entries, {})) {
            serviceQueue.queue.remove(id);
            entry.callbacks.onNoUsableEngine();
        }
        return false;
    }
    const auto cached = [&](const policy::WaitingPrompt &prompt) {
        return cachedTokens(serviceQueue.entries.at(prompt.id), engines, now);
    };
    auto dispatch = serviceQueue.queue.takeNext(views, cached, m_placement, now, m_random);
    if (!dispatch)
        return false;
    PrefillPlan plan;
    plan.engine = engines[dispatch->choice.index];
    plan.choice = dispatch->choice;
    plan.priority = dispatch->priority;
    plan.aheadTokens = views[dispatch->choice.index].backlogTokens;
    const Entry entry = takeEntry(serviceQueue, dispatch->prompt.id);
    if (m_fullStepMs) {
        chargeTeam(service, serviceQueue, *dispatch, views, now);
        plan.teamDelay = teamDelayToLog(dispatch->overuse, entry.queuedAt, now);
    }
    if (plan.choice.fetch) {
        if (const EndpointPtr holder = longestPrefixHolder(engines, entry.chain);
            holder && holder != plan.engine)
            plan.fetchAddress = holder->record.address;
    }
    if (views[dispatch->choice.index].probe)
        plan.engine->health.startProbe(now);
    entry.callbacks.onEngineAssigned(plan);
    return true;
}

void PromptScheduler::armTimer()
{
    if (std::exchange(m_timerArmed, true))
        return;
    m_timer.expires_after(DispatchInterval);
    m_timer.async_wait([this](const boost::system::error_code &ec) {
        m_timerArmed = false;
        if (!ec)
            scheduleDispatch();
    });
}

double PromptScheduler::prefillTokensPerMs() const
{
    return m_placement.predictsByPace ? m_placement.prefill.tokensPerMs
                                      : m_placement.disaggregatedPrefill.tokensPerMs;
}

Milliseconds PromptScheduler::expectedWait(const std::string &service,
                                           const policy::WaitingPrompt &prompt) const
{
    const auto serviceQueue = m_serviceQueues.find(service);
    if (serviceQueue == m_serviceQueues.end())
        return {};
    const auto &endpoints = m_endpoints.ofService(service);
    const auto limitWait = expectedLimitWait(endpoints, serviceQueue->second.entries.size());
    if (limitWait)
        return *limitWait;
    double engines = 0; // In engines of usual speed.
    for (const EndpointPtr &it : endpoints) {
        if (it->prefills() && it->acceptsWork())
            engines += m_placement.predictsByPace ? 1 / it->slowdown.factor().value_or(1) : 1;
    }
    constexpr double msPerSecond = 1000;
    const double rate = prefillTokensPerMs() * msPerSecond * (engines > 0 ? engines : 1)
        / std::max(1U, m_gatewayCount());
    return serviceQueue->second.queue.expectedWait(prompt, rate, core::BootClock::now());
}

// If all engines name limits, the queue moves at this gateway's shares of them.
std::optional<Milliseconds>
PromptScheduler::expectedLimitWait(const std::vector<EndpointPtr> &engines, size_t waiting)
{
    double rate = 0;
    bool limited = false;
    for (const EndpointPtr &it : engines) {
        if (!it->acceptsWork())
            continue;
        if (!it->limit.perSecond() || !it->limit.sharePerSecond())
            return std::nullopt;
        limited = true;
        rate += *it->limit.sharePerSecond();
    }
    if (!limited)
        return std::nullopt;
    if (rate <= 0)
        return NeverDispatched;
    return std::chrono::ceil<Milliseconds>(
        std::chrono::duration<double>(static_cast<double>(waiting) / rate));
}

size_t PromptScheduler::waitingCount() const
{
    size_t n = 0;
    for (const auto &[service, serviceQueue] : m_serviceQueues)
        n += serviceQueue.entries.size();
    return n;
}

} // namespace jujube::serving
