#include "policy/dispatcher.h"

#include <algorithm>

namespace jujube::policy {

namespace {

// Costs are in engine-milliseconds. These rates determine the cost of tokens until the engine's own
// are learned.
constexpr double AssumedPrefillRate = 5'000; // Tokens per second.
constexpr double AssumedOutputRate = 600;    // Tokens per second for the whole batch.
constexpr double ServiceCallCost = 20;
// Stands in for the cost rate until one was measured under backlog, so that no request is refused
// for its predicted wait before.
constexpr double UnknownCostRate = 1e9;
constexpr core::Milliseconds RateWindow{1'000};
// Key of the single endpoint in the dispatcher's prefix index.
const std::string OwnEndpoint;

core::Milliseconds between(core::TimePoint from, core::TimePoint to)
{
    return std::chrono::duration_cast<core::Milliseconds>(to - from);
}

} // namespace

Dispatcher::Dispatcher(DispatcherSettings settings)
    : m_settings(settings), m_queue(settings.queue), m_cache(settings.cacheBlocks)
{
}

Admission Dispatcher::offer(const WorkDescription &work, core::TimePoint now)
{
    const uint32_t uncached = uncachedTokens(work);
    QueuedWork queued;
    queued.id = work.id;
    queued.team = m_settings.fairTeams ? work.team : std::string("all");
    queued.weight = m_settings.fairTeams ? work.weight : 1.0;
    queued.cost = costOf(work, uncached);
    queued.queuedAt = now;
    queued.startBy = now + work.timeLeft - decodeTime(work);
    queued.urgent =
        work.kind == core::WorkKind::Service || work.firstTokenObjective <= m_settings.urgentBelow;
    if (m_settings.deadlineOrder) {
        queued.priority = work.priority;
        queued.dueAt = now + work.firstTokenObjective;
    } else {
        queued.priority = 0;
        queued.dueAt = now;
    }
    const double rate =
        m_settings.admission && m_rates.costRate() > 0 ? m_rates.costRate() : UnknownCostRate;
    const Admission admission = m_queue.offer(queued, now, rate);
    if (!admission.accepted) {
        ++m_unmetDeadlines;
        return admission;
    }
    m_waiting[work.id] = {work, queued.cost};
    m_queuedTokens += uncached;
    m_outstandingOutput += work.outputTokens;
    return admission;
}

std::optional<std::string> Dispatcher::startNext(core::TimePoint now, uint32_t slots)
{
    if (m_started.size() >= slots)
        return std::nullopt;
    const bool onlyUrgent = m_started.size() >= usableSlots(slots);
    const auto next =
        m_queue.take([onlyUrgent](const QueuedWork &work) { return work.urgent || !onlyUrgent; });
    if (!next)
        return std::nullopt;
    const auto it = m_waiting.find(next->id);
    Started started;
    started.request = std::move(it->second.request);
    started.cost = it->second.cost;
    started.uncached = uncachedTokens(started.request);
    started.at = now;
    m_waiting.erase(it);
    m_queuedTokens -= std::min<uint64_t>(m_queuedTokens, started.uncached);
    m_prefillInFlight += started.uncached;
    m_cache.record(OwnEndpoint, started.request.prefixBlocks);
    m_started[next->id] = std::move(started);
    if (m_queue.empty())
        m_windowBusy = false;
    return next->id;
}

void Dispatcher::noteTokens(const std::string &id, uint32_t tokens, core::TimePoint now)
{
    const auto it = m_started.find(id);
    if (it == m_started.end() || tokens == 0)
        return;
    Started &work = it->second;
    if (work.produced == 0) {
        work.firstTokenAt = now;
        m_prefillInFlight -= std::min<uint64_t>(m_prefillInFlight, work.uncached);
        m_rates.notePrefill(work.uncached, between(work.at, now));
    }
    work.produced += tokens;
    m_windowOutput += tokens;
    m_outstandingOutput -= std::min<uint64_t>(m_outstandingOutput, tokens);
}

void Dispatcher::noteEnd(const std::string &id, bool complete, core::TimePoint now)
{
    const auto it = m_started.find(id);
    if (it == m_started.end())
        return;
    const Started &work = it->second;
    if (work.produced == 0)
        m_prefillInFlight -= std::min<uint64_t>(m_prefillInFlight, work.uncached);
    else if (complete)
        m_rates.noteDecode(work.produced - 1, between(work.firstTokenAt, now));
    const uint32_t unproduced =
        work.request.outputTokens - std::min(work.request.outputTokens, work.produced);
    m_outstandingOutput -= std::min<uint64_t>(m_outstandingOutput, unproduced);
    // Charge the team for the tokens used instead of the upper bound charged at the start.
    const double actual = work.request.kind == core::WorkKind::Service
        ? work.cost
        : tokenCost(work.uncached, work.produced);
    m_queue.adjustCharge(m_settings.fairTeams ? work.request.team : std::string("all"),
                         work.request.weight, work.cost, actual);
    m_windowCost += actual;
    m_started.erase(it);
    closeMeasuringWindow(now);
}

bool Dispatcher::cancelQueued(const std::string &id)
{
    if (!m_queue.remove(id))
        return false;
    dropWaiting(id);
    return true;
}

std::vector<std::string> Dispatcher::takeExpired(core::TimePoint now)
{
    if (m_settings.demoteLate && m_settings.deadlineOrder)
        adaptReserve(m_queue.demoteLate(now), now);
    closeMeasuringWindow(now);
    std::vector<std::string> ids;
    for (const QueuedWork &it : m_queue.takeExpired(now)) {
        ids.push_back(it.id);
        dropWaiting(it.id);
        ++m_unmetDeadlines;
    }
    return ids;
}

void Dispatcher::engineChanged()
{
    m_rates = RateEstimator();
    m_cache.forget(OwnEndpoint);
}

void Dispatcher::fillReport(core::LoadReport &report, core::TimePoint now) const
{
    report.queuedRequests = static_cast<uint32_t>(m_queue.size());
    report.queuedPrefillTokens = m_queuedTokens + m_prefillInFlight;
    report.running = running();
    report.outstandingOutputTokens = m_outstandingOutput;
    report.prefillTokensPerSecond = m_rates.prefillRate();
    report.decodeTokensPerSecond = m_rates.decodeRate();
    report.unmetDeadlines = m_unmetDeadlines;
    if (const auto oldest = m_queue.oldest())
        report.oldestQueuedAge = between(*oldest, now);
}

uint32_t Dispatcher::uncachedTokens(const WorkDescription &work) const
{
    const uint32_t cached = m_cache.cachedTokens(OwnEndpoint, work.prefixBlocks);
    return work.promptTokens - std::min(cached, work.promptTokens);
}

double Dispatcher::costOf(const WorkDescription &work, uint32_t uncached) const
{
    if (work.kind == core::WorkKind::Service)
        return ServiceCallCost;
    return tokenCost(uncached, work.outputTokens);
}

double Dispatcher::tokenCost(uint32_t uncached, uint32_t output) const
{
    const double prefillRate =
        m_rates.prefillRate() > 0 ? m_rates.prefillRate() : AssumedPrefillRate;
    const double outputRate = m_rates.outputRate() > 0 ? m_rates.outputRate() : AssumedOutputRate;
    return (uncached / prefillRate + output / outputRate) * 1'000;
}

core::Milliseconds Dispatcher::decodeTime(const WorkDescription &work) const
{
    if (m_rates.decodeRate() <= 0)
        return core::Milliseconds(0);
    const core::Milliseconds fullOutputTime(
        static_cast<int64_t>(work.outputTokens * 1'000.0 / m_rates.decodeRate()));
    // The requested output is an upper bound, so a tenth of the time is always left for waiting.
    return std::min(fullOutputTime, work.timeLeft * 9 / 10);
}

size_t Dispatcher::usableSlots(uint32_t slots) const
{
    if (!m_settings.deadlineOrder)
        return slots;
    return slots - static_cast<uint32_t>(slots * m_urgentReserve);
}

void Dispatcher::adaptReserve(const std::vector<QueuedWork> &late, core::TimePoint now)
{
    const bool grows =
        std::any_of(late.begin(), late.end(), [](const QueuedWork &it) { return it.urgent; });
    if (grows) {
        m_urgentReserve =
            std::min(m_settings.urgentReserve, m_urgentReserve + m_settings.reserveStep);
        m_reserveChangedAt = now;
    } else if (now - m_reserveChangedAt > m_settings.reserveDecay) {
        m_urgentReserve = std::max(0.0, m_urgentReserve - m_settings.reserveStep);
        m_reserveChangedAt = now;
    }
}

// Rates of the whole engine are learned only in windows in which work was waiting throughout:
// without waiting work, the completed work is limited by the demand and not by the engine.
void Dispatcher::closeMeasuringWindow(core::TimePoint now)
{
    const auto elapsed = between(m_windowSince, now);
    if (elapsed < RateWindow)
        return;
    if (m_windowBusy && m_windowCost > 0) {
        m_rates.noteOutput(m_windowOutput, elapsed);
        m_rates.noteCost(m_windowCost, elapsed);
    }
    m_windowSince = now;
    m_windowOutput = 0;
    m_windowCost = 0;
    m_windowBusy = !m_queue.empty();
}

void Dispatcher::dropWaiting(const std::string &id)
{
    const auto it = m_waiting.find(id);
    if (it == m_waiting.end())
        return;
    m_queuedTokens -= std::min<uint64_t>(m_queuedTokens, uncachedTokens(it->second.request));
    m_outstandingOutput -= std::min<uint64_t>(m_outstandingOutput, it->second.request.outputTokens);
    m_waiting.erase(it);
    if (m_queue.empty())
        m_windowBusy = false;
}

} // namespace jujube::policy
