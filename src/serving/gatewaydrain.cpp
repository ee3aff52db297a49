/** \file
 * Stops a gateway: completes the running requests while the load balancer removes it.
 */

#include "core/eventlog.h"
#include "serving/gateway.h"

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;
using ErrorCode = boost::system::error_code;

// The load balancer removes a process after two failed readiness probes, one second apart. A
// request accepted later than three seconds after SIGTERM could not be aborted before the grace
// time ends.
constexpr Milliseconds BalancerRemovalTime{2'700};
constexpr Milliseconds DrainPollInterval{100};
constexpr Milliseconds MarginBeforeKill{500}; ///< Time kept free before the platform sends SIGKILL.
constexpr Milliseconds LastAnswersTime{100};  ///< For the last answers to leave the process.

} // namespace

// A request that arrives later could not be answered before the process ends.
bool Gateway::acceptsNoRequests(TimePoint now) const
{
    return m_draining && now - m_drainSince >= BalancerRemovalTime;
}

void Gateway::drain(std::function<void()> done)
{
    if (std::exchange(m_draining, true))
        return;
    core::Event("gateway.draining").with("busy", m_clientServer.activeRequestCount());
    m_drainSince = core::BootClock::now();
    m_onDrained = std::move(done);
    m_clientServer.closeAfterResponses();
    pollDrain();
}

// New connections arrive until the load balancer has removed this process. After that the process
// ends as soon as the last request is answered.
void Gateway::pollDrain()
{
    m_drainTimer.expires_after(DrainPollInterval);
    m_drainTimer.async_wait([this](const ErrorCode &ec) {
        if (ec)
            return;
        const auto since = core::BootClock::now() - m_drainSince;
        if (since >= BalancerRemovalTime) {
            m_clientServer.stopListening();
            m_clientServer.closeIdleConnections();
        }
        // The process must not end before the kernel has taken the last answers: a client on a slow
        // link would lose the end of its answer.
        const bool empty = since >= BalancerRemovalTime && m_clientServer.activeRequestCount() == 0
            && m_clientServer.unsentBytes() == 0;
        if (!empty && since < m_settings.drainGrace - MarginBeforeKill) {
            pollDrain();
            return;
        }
        core::Event("gateway.stopped").with("busy", m_clientServer.activeRequestCount());
        m_leadership.stop();
        answerOpenRequests();
    });
}

void Gateway::answerOpenRequests()
{
    const auto open = std::exchange(m_sessionServices.open, {});
    for (const auto &it : open)
        it->giveUp("the gateway stops");
    m_drainTimer.expires_after(open.empty() ? Milliseconds(0) : LastAnswersTime);
    m_drainTimer.async_wait([this](const ErrorCode &ec) {
        if (!ec)
            m_onDrained();
    });
}

} // namespace jujube::serving
