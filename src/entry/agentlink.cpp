#include "entry/agentlink.h"

#include "core/eventlog.h"

#include <algorithm>

namespace jujube::entry {

namespace {

constexpr core::Milliseconds LoadInterval{500};
constexpr core::Milliseconds HintInterval{1'000};
constexpr core::Milliseconds MaintainPoll{100};
// A link without requests is asked less often: most links of a large fleet are idle.
constexpr core::Milliseconds IdlePingInterval{1'500};
// Evidence older than this makes an entry ask its agents more often: they may relay newer.
constexpr core::Milliseconds EvidenceWanted{1'500};
constexpr core::Milliseconds IdleAfter{10'000};
constexpr core::Milliseconds PingTimeout{1'000};
constexpr core::Milliseconds DialTimeout{1'000};
constexpr core::Milliseconds FirstRedial{50};
constexpr core::Milliseconds LongestRedial{1'000};
constexpr core::Milliseconds ReconnectPoll{20};

} // namespace

AgentLink::AgentLink(wire::IoContext &io, wire::RpcIdentity identity, state::AgentRecord record,
                     std::function<wire::PingMessage()> ping,
                     std::function<void(const core::Evidence &)> onEvidence)
    : m_io(io),
      m_identity(std::move(identity)),
      m_record(std::move(record)),
      m_ping(std::move(ping)),
      m_onEvidence(std::move(onEvidence))
{
    m_view.vm = m_record.vm;
    m_view.domain = m_record.domain;
}

void AgentLink::start()
{
    wire::coroutineTasks().add(maintain());
}

void AgentLink::updateRecord(const state::AgentRecord &record)
{
    const bool moved = record.address != m_record.address;
    m_record = record;
    m_view.domain = record.domain;
    if (moved)
        m_connection = nullptr;
}

void AgentLink::suspect(const std::shared_ptr<AgentConnection> &connection)
{
    if (m_connection != connection || !connection)
        return;
    core::Event("link.suspected").with("vm", m_record.vm);
    m_connection = nullptr;
}

wire::Task<std::shared_ptr<AgentConnection>>
AgentLink::freshConnection(std::shared_ptr<AgentConnection> old, core::Milliseconds limit)
{
    const auto self = shared_from_this();
    const core::TimePoint giveUp = core::BootClock::now() + limit;
    while (!self->m_connection || self->m_connection == old) {
        if (core::BootClock::now() >= giveUp)
            co_return nullptr;
        co_await self->m_io.sleep(ReconnectPoll);
    }
    co_return self->m_connection;
}

wire::Task<void> AgentLink::maintain()
{
    const auto self = shared_from_this();
    core::Milliseconds redial = FirstRedial;
    while (!m_closed) {
        if (!m_connection) {
            auto dialled = co_await wire::dial(m_io, m_record.address, m_identity, DialTimeout);
            auto connection = std::make_shared<AgentConnection>();
            if (dialled.ok())
                connection->rpc = *dialled;
            if (!dialled.ok() || !co_await ping(connection)) {
                co_await m_io.sleep(redial);
                redial = std::min(redial * 2, LongestRedial);
                continue;
            }
            redial = FirstRedial;
            m_connection = connection;
            core::Event("link.up")
                .with("vm", m_record.vm)
                .with("incarnation", connection->incarnation);
        }
        const std::shared_ptr<AgentConnection> connection = m_connection;
        // Short steps, so that a connection dropped by a request is replaced at once.
        while (m_connection == connection && !m_closed && !pingDue(core::BootClock::now()))
            co_await m_io.sleep(MaintainPoll);
        if (m_connection == connection && !m_closed && !co_await ping(connection)) {
            core::Event("link.down").with("vm", m_record.vm);
            if (m_connection == connection)
                m_connection = nullptr;
        }
    }
    m_connection = nullptr;
}

// Replies to requests carry load reports too, so a busy link needs heartbeats only for what they
// alone carry: evidence and plan hints.
bool AgentLink::pingDue(core::TimePoint now) const
{
    if (m_wantsEvidence)
        return now - m_pingedAt >= LoadInterval;
    if (now - m_usedAt > IdleAfter)
        return now - m_pingedAt >= IdlePingInterval;
    return now - m_view.reportedAt >= LoadInterval || now - m_pingedAt >= HintInterval;
}

wire::Task<bool> AgentLink::ping(std::shared_ptr<AgentConnection> connection)
{
    m_pingedAt = core::BootClock::now();
    try {
        auto request = connection->rpc->agent.pingRequest();
        const wire::PingMessage message = m_ping();
        m_wantsEvidence = m_pingedAt - message.evidence.confirmedAt > EvidenceWanted;
        wire::write(request.initPing(), message);
        auto reply = co_await m_io.within(
            PingTimeout,
            kj::Promise<capnp::Response<wire::schema::AgentSession::PingResults>>(request.send()));
        const core::LoadReport load = wire::read(reply.getLoad());
        connection->incarnation = load.incarnation;
        noteLoad(load);
        co_return true;
    } catch (const kj::Exception &) {
        co_return false;
    }
}

void AgentLink::noteLoad(const core::LoadReport &load)
{
    m_view.load = load;
    m_view.reportedAt = core::BootClock::now();
    m_view.sentPrefillTokens = 0;
    m_view.sentOutputTokens = 0;
    m_view.sentRequests = 0;
    m_onEvidence(load.evidence);
}

void AgentLink::noteSent(uint32_t prefillTokens, uint32_t outputTokens)
{
    m_view.sentPrefillTokens += prefillTokens;
    m_view.sentOutputTokens += outputTokens;
    ++m_view.sentRequests;
    m_usedAt = core::BootClock::now();
}

policy::EndpointView AgentLink::view(core::TimePoint now) const
{
    policy::EndpointView view = m_view;
    const auto state = m_health.state(now);
    const bool open = m_connection && m_view.load.ready && !m_view.load.leaving;
    view.usable = open && state == policy::OutlierDetector::State::Healthy;
    view.probeDue = open && state == policy::OutlierDetector::State::ProbeDue;
    return view;
}

} // namespace jujube::entry
