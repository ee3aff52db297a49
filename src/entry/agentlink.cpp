#include "entry/agentlink.h"

#include "core/eventlog.h"

#include <algorithm>

namespace jujube::entry {

namespace {

// Longest age of the last load report before a heartbeat asks for a new one.
constexpr core::Milliseconds LoadReportInterval{500};
// Longest time between heartbeats on a busy link: plan numbers reach the agent only this way.
constexpr core::Milliseconds PlanHintInterval{1'000};
constexpr core::Milliseconds MaintainPollInterval{100};
// Idle links send fewer heartbeats, because most links of a large fleet are idle.
constexpr core::Milliseconds IdlePingInterval{1'500};
// If the entry's freshness token is older, its links send a heartbeat every LoadReportInterval, as
// the agents may relay a newer token from other entries.
constexpr core::Milliseconds MaxFreshnessTokenAge{1'500};
// Time without a request after which a link counts as idle.
constexpr core::Milliseconds IdleThreshold{10'000};
constexpr core::Milliseconds PingTimeout{1'000};
constexpr core::Milliseconds DialTimeout{1'000};
constexpr core::Milliseconds MinRedialDelay{50};
constexpr core::Milliseconds MaxRedialDelay{1'000};
constexpr core::Milliseconds ReconnectPollInterval{20};

} // namespace

AgentLink::AgentLink(wire::IoContext &io, wire::RpcIdentity identity, state::AgentRecord record,
                     std::function<wire::PingMessage()> makePing,
                     std::function<void(const core::FreshnessToken &)> onFreshnessToken)
    : m_io(io),
      m_identity(std::move(identity)),
      m_record(std::move(record)),
      m_makePing(std::move(makePing)),
      m_onFreshnessToken(std::move(onFreshnessToken))
{
    m_view.vm = m_record.vm;
    m_view.domain = m_record.domain;
}

void AgentLink::start()
{
    wire::coroutineTasks().add(maintainConnection());
}

void AgentLink::updateRecord(const state::AgentRecord &record)
{
    const bool moved = record.address != m_record.address;
    m_record = record;
    m_view.domain = record.domain;
    if (moved)
        m_connection = nullptr;
}

void AgentLink::dropConnection(const std::shared_ptr<AgentConnection> &connection)
{
    if (m_connection != connection || !connection)
        return;
    core::Event("link.suspected").with("vm", m_record.vm);
    m_connection = nullptr;
}

wire::Task<std::shared_ptr<AgentConnection>>
AgentLink::waitForNewConnection(std::shared_ptr<AgentConnection> old, core::Milliseconds limit)
{
    const auto self = shared_from_this();
    const core::TimePoint giveUp = core::BootClock::now() + limit;
    while (!self->m_connection || self->m_connection == old) {
        if (core::BootClock::now() >= giveUp)
            co_return nullptr;
        co_await self->m_io.sleep(ReconnectPollInterval);
    }
    co_return self->m_connection;
}

wire::Task<void> AgentLink::maintainConnection()
{
    const auto self = shared_from_this();
    core::Milliseconds redialDelay = MinRedialDelay;
    while (!m_closed) {
        if (!m_connection) {
            auto dialled = co_await wire::dial(m_io, m_record.address, m_identity, DialTimeout);
            auto connection = std::make_shared<AgentConnection>();
            if (dialled.ok())
                connection->rpc = *dialled;
            if (!dialled.ok() || !co_await ping(connection)) {
                co_await m_io.sleep(redialDelay);
                redialDelay = std::min(redialDelay * 2, MaxRedialDelay);
                continue;
            }
            redialDelay = MinRedialDelay;
            m_connection = connection;
            core::Event("link.up")
                .with("vm", m_record.vm)
                .with("incarnation", connection->incarnation);
        }
        const std::shared_ptr<AgentConnection> connection = m_connection;
        // Polls in short steps, so that a connection dropped by a request is soon replaced.
        while (m_connection == connection && !m_closed && !pingDue(core::BootClock::now()))
            co_await m_io.sleep(MaintainPollInterval);
        if (m_connection == connection && !m_closed && !co_await ping(connection)) {
            core::Event("link.down").with("vm", m_record.vm);
            if (m_connection == connection)
                m_connection = nullptr;
        }
    }
    m_connection = nullptr;
}

// Replies to requests carry load reports too, so a busy link needs heartbeats only for the entry's
// freshness token and plan number.
bool AgentLink::pingDue(core::TimePoint now) const
{
    if (m_freshnessTokenStale)
        return now - m_lastPingAt >= LoadReportInterval;
    if (now - m_lastRequestAt > IdleThreshold)
        return now - m_lastPingAt >= IdlePingInterval;
    return now - m_view.reportedAt >= LoadReportInterval || now - m_lastPingAt >= PlanHintInterval;
}

wire::Task<bool> AgentLink::ping(std::shared_ptr<AgentConnection> connection)
{
    m_lastPingAt = core::BootClock::now();
    try {
        auto request = connection->rpc->agent.pingRequest();
        const wire::PingMessage message = m_makePing();
        m_freshnessTokenStale = m_lastPingAt - message.evidence.confirmedAt > MaxFreshnessTokenAge;
        wire::write(request.initPing(), message);
        auto reply = co_await m_io.withTimeout(
            PingTimeout,
            kj::Promise<capnp::Response<wire::schema::AgentSession::PingResults>>(request.send()));
        const core::LoadReport load = wire::read(reply.getLoad());
        connection->incarnation = load.incarnation;
        updateLoad(load);
        co_return true;
    } catch (const kj::Exception &) {
        co_return false;
    }
}

void AgentLink::updateLoad(const core::LoadReport &load)
{
    m_view.load = load;
    m_view.reportedAt = core::BootClock::now();
    m_view.sentPrefillTokens = 0;
    m_view.sentOutputTokens = 0;
    m_view.sentRequests = 0;
    m_onFreshnessToken(load.freshnessToken);
}

void AgentLink::countSentRequest(uint32_t prefillTokens, uint32_t outputTokens)
{
    m_view.sentPrefillTokens += prefillTokens;
    m_view.sentOutputTokens += outputTokens;
    ++m_view.sentRequests;
    m_lastRequestAt = core::BootClock::now();
}

policy::EndpointView AgentLink::view(core::TimePoint now) const
{
    policy::EndpointView view = m_view;
    const auto state = m_outlierDetector.state(now);
    const bool open = m_connection && m_view.load.ready && !m_view.load.leaving;
    view.usable = open && state == policy::OutlierDetector::State::Healthy;
    view.probeDue = open && state == policy::OutlierDetector::State::ProbeDue;
    return view;
}

} // namespace jujube::entry
