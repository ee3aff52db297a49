#include "support/quotafleet.h"

#include <algorithm>

namespace jujube::test {

namespace {

using core::Milliseconds;
using core::TimePoint;
using policy::QuotaMode;
using policy::QuotaRole;
using policy::QuotaVerdict;

constexpr uint64_t Team = 7;
constexpr Milliseconds Step{5};
constexpr Milliseconds HubInterval{25};
constexpr Milliseconds MeshInterval{20};
constexpr Milliseconds FullInterval{1'000};
constexpr Milliseconds MinDelay{1};
constexpr Milliseconds MaxDelay{30}; ///< Longer than the interval: messages overtake each other.

uint64_t nameOf(size_t gateway)
{
    return 1'000 + gateway;
}

} // namespace

QuotaFleet::QuotaFleet(Settings settings)
    : m_settings(settings), m_quota(settings.quota), m_random(settings.seed)
{
    m_gateways.resize(settings.gateways);
    m_cut.assign(settings.gateways, std::vector<bool>(settings.gateways, false));
    for (Gateway &it : m_gateways)
        start(it, true);
}

void QuotaFleet::start(Gateway &gateway, bool firstStart)
{
    gateway.run = ++m_runs;
    gateway.sequence = 0;
    gateway.up = true;
    gateway.waiting.clear();
    gateway.arrived.clear();
    gateway.ledger = std::make_unique<policy::QuotaLedger>(m_settings.terms, firstStart, m_now);
    gateway.ledger->setQuota(Team, m_quota, m_now);
    gateway.ledger->endOfConfiguration();
    gateway.gate = std::make_unique<policy::QuotaGate>(*gateway.ledger, m_now);
    for (size_t i = 0; i < m_gateways.size(); ++i) {
        if (&m_gateways[i] != &gateway)
            gateway.ledger->addGateway(nameOf(i), m_now);
    }
    gateway.exchangedAt = gateway.broadcastAt = m_now
        - Milliseconds(std::uniform_int_distribution<int64_t>(0, HubInterval.count())(m_random));
}

void QuotaFleet::restart(size_t gateway)
{
    start(m_gateways.at(gateway), false);
}

void QuotaFleet::add()
{
    const size_t hub = m_gateways.front().hub;
    for (auto &it : m_cut)
        it.push_back(false);
    m_cut.emplace_back(m_cut.size() + 1, false);
    start(m_gateways.emplace_back(), false);
    m_gateways.back().hub = hub;
    for (size_t i = 0; i + 1 < m_gateways.size(); ++i)
        m_gateways[i].ledger->addGateway(nameOf(m_gateways.size() - 1), m_now);
}

void QuotaFleet::cut(size_t from, size_t to, bool isCut)
{
    m_cut.at(from).at(to) = isCut;
}

void QuotaFleet::isolate(size_t gateway, bool isCut)
{
    for (size_t i = 0; i < m_gateways.size(); ++i) {
        cut(gateway, i, isCut);
        cut(i, gateway, isCut);
    }
}

void QuotaFleet::setHubOfAll(size_t hub)
{
    for (Gateway &it : m_gateways)
        it.hub = hub;
}

void QuotaFleet::setQuota(const std::optional<policy::QuotaRate> &quota)
{
    m_quota = quota;
    for (Gateway &it : m_gateways)
        it.ledger->setQuota(Team, quota, m_now);
}

void QuotaFleet::run(Milliseconds time, double requestsPerSecond, std::vector<double> weights)
{
    if (weights.empty())
        weights.assign(m_gateways.size(), 1);
    for (const TimePoint end = m_now + time; m_now < end;) {
        m_now += Step;
        step(requestsPerSecond, weights);
    }
}

void QuotaFleet::step(double requestsPerSecond, const std::vector<double> &weights)
{
    while (!m_messages.empty() && m_messages.top().at <= m_now) {
        const Message message = m_messages.top();
        m_messages.pop();
        Gateway &to = m_gateways[message.to];
        if (to.up && to.paused)
            to.arrived.push_back(message);
        else if (to.up)
            receive(message);
    }
    for (size_t i = 0; i < m_gateways.size(); ++i) {
        Gateway &it = m_gateways[i];
        if (!it.up || it.paused)
            continue;
        while (!it.arrived.empty()) {
            const Message message = std::move(it.arrived.front());
            it.arrived.pop_front();
            receive(message);
        }
        exchange(i);
        settle(it);
    }
    while (!m_retries.empty() && m_retries.top().at <= m_now) {
        const Retry retry = m_retries.top();
        m_retries.pop();
        arrive(pick(weights), retry.tokens, retry.bornAt);
    }
    const double mean = requestsPerSecond * std::chrono::duration<double>(Step).count();
    const int arrivals = mean > 0 ? std::poisson_distribution<int>(mean)(m_random) : 0;
    for (int i = 0; i < arrivals; ++i)
        arrive(pick(weights), m_settings.requestTokens, m_now);
}

size_t QuotaFleet::pick(const std::vector<double> &weights)
{
    for (;;) {
        std::discrete_distribution<size_t> which(weights.begin(), weights.end());
        const size_t i = which(m_random);
        if (m_gateways[i].up && !m_gateways[i].paused)
            return i;
    }
}

void QuotaFleet::exchange(size_t i)
{
    Gateway &it = m_gateways[i];
    const bool isHub = m_settings.hub && it.hub == i;
    const QuotaRole role = !m_settings.hub ? QuotaRole::Mesh
        : isHub                            ? QuotaRole::Hub
                                           : QuotaRole::Member;
    const bool fullDue = m_now - it.broadcastAt >= (m_settings.hub ? FullInterval : MeshInterval);
    const bool loadDue = m_settings.hub && m_now - it.exchangedAt >= HubInterval;
    if (!fullDue && !loadDue)
        return;
    it.gate->touch(m_now);
    it.gate->setRole(role, m_now);
    ++it.sequence;
    if (fullDue) {
        it.broadcastAt = m_now;
        it.gate->noteBroadcast(m_now);
    }
    if (loadDue)
        it.exchangedAt = m_now;
    for (size_t j = 0; j < m_gateways.size(); ++j) {
        if (j == i)
            continue;
        if (fullDue)
            send(i, j, Kind::Full);
        if (loadDue && isHub)
            send(i, j, Kind::Summary);
        if (loadDue && !isHub && it.hub == j)
            send(i, j, Kind::Load);
    }
}

void QuotaFleet::send(size_t from, size_t to, Kind kind)
{
    if (m_cut[from][to] || std::bernoulli_distribution(m_settings.loss)(m_random))
        return;
    Gateway &it = m_gateways[from];
    Message message;
    message.from = from;
    message.to = to;
    message.kind = kind;
    message.run = it.run;
    message.sequence = it.sequence;
    message.at = m_now
        + Milliseconds(std::uniform_int_distribution<int64_t>(MinDelay.count(),
                                                              MaxDelay.count())(m_random));
    if (kind == Kind::Summary) {
        message.levels = it.ledger->levelsFor(nameOf(to), m_now);
    } else {
        message.counts = it.gate->counts(m_now);
        message.levels = it.gate->levelsForNewPeers(m_now);
        if (!m_settings.hub)
            message.heard = it.ledger->connectedPeers(m_now);
    }
    m_messages.push(std::move(message));
}

void QuotaFleet::receive(const Message &message)
{
    Gateway &it = m_gateways[message.to];
    const uint64_t sender = nameOf(message.from);
    it.gate->touch(m_now);
    if (message.kind == Kind::Summary) {
        it.ledger->noteHeard(sender, message.run, m_now);
        if (it.hub == message.from)
            it.gate->applyStatement({sender, message.run, message.sequence, message.levels}, m_now);
        return;
    }
    it.ledger->apply({sender, message.run, message.sequence, message.counts, message.levels},
                     m_now);
    if (std::find(message.heard.begin(), message.heard.end(), nameOf(message.to))
        != message.heard.end())
        it.gate->noteListed(m_now);
}

void QuotaFleet::request(size_t gateway, double tokens)
{
    arrive(gateway, tokens, m_now);
}

void QuotaFleet::arrive(size_t i, double tokens, TimePoint bornAt)
{
    Gateway &it = m_gateways[i];
    const policy::QuotaDecision decision = it.gate->decide(Team, tokens, m_now);
    if (decision.verdict == QuotaVerdict::Refuse) {
        refuse(tokens, bornAt, decision.retryIn);
        return;
    }
    const policy::QuotaHold hold = it.gate->charge(Team, tokens, decision, m_now);
    if (decision.verdict == QuotaVerdict::Wait)
        it.waiting.emplace_back(hold, bornAt);
    else
        m_ran.emplace_back(m_now, tokens);
}

void QuotaFleet::settle(Gateway &gateway)
{
    for (size_t i = 0; i < gateway.waiting.size();) {
        auto &[hold, bornAt] = gateway.waiting[i];
        const QuotaVerdict verdict = gateway.gate->settle(hold, m_random, m_now);
        if (verdict == QuotaVerdict::Wait) {
            ++i;
            continue;
        }
        const double tokens = hold.tokens;
        const TimePoint born = bornAt;
        gateway.waiting.erase(gateway.waiting.begin() + static_cast<ptrdiff_t>(i));
        if (verdict == QuotaVerdict::Admit) {
            m_ran.emplace_back(m_now, tokens);
            continue;
        }
        gateway.gate->refund(Team, tokens, m_now);
        refuse(tokens, born, gateway.gate->decide(Team, tokens, m_now).retryIn);
    }
}

void QuotaFleet::refuse(double tokens, TimePoint bornAt, Milliseconds retryIn)
{
    ++m_refusals;
    const Milliseconds jitter(std::uniform_int_distribution<int64_t>(0, 500)(m_random));
    const TimePoint at = m_now + retryIn + jitter;
    if (at - bornAt < m_settings.patience)
        m_retries.push({at, bornAt, tokens});
}

double QuotaFleet::mostInWindow(TimePoint from) const
{
    double most = 0;
    double sum = 0;
    auto first = std::find_if(m_ran.begin(), m_ran.end(),
                              [from](const auto &it) { return it.first >= from; });
    for (auto last = first; last != m_ran.end(); ++last) {
        sum += last->second;
        for (; last->first - first->first > m_settings.terms.window; ++first)
            sum -= first->second;
        most = std::max(most, sum);
    }
    return most;
}

double QuotaFleet::tokensSince(TimePoint from) const
{
    double sum = 0;
    for (const auto &[at, tokens] : m_ran)
        sum += at >= from ? tokens : 0;
    return sum;
}

double QuotaFleet::allowed() const
{
    return m_quota->perSecond * std::chrono::duration<double>(m_settings.terms.window).count()
        + m_quota->burst + m_quota->margin(m_settings.terms);
}

} // namespace jujube::test
