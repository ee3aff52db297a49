#pragma once

/** \file
 * Defines the faults of a soak: drawn from a seed, and played on a deployment.
 */

#include "soak/site.h"

#include <boost/asio/steady_timer.hpp>

#include <string>
#include <vector>

namespace jujube::soak {

enum class FaultKind {
    Kill,    ///< A gateway gets SIGKILL and is started again.
    KillAll, ///< All of them do.
    Pause,   ///< A gateway is frozen and goes on.
    Stop,    ///< A planned stop and start.
    Reload,  ///< SIGHUP.
    StoreSilent,
    StoreBusy,
    StoreResets,
    StoreLosesResponses,
    StoreLink,          ///< The link to the store is cut one way, late or silent.
    StoreHistoryLoss,   ///< History is dropped, and leases lapse.
    EndpointLink,       ///< The link to a worker is cut one way, late, silent or reset.
    EndpointResets,     ///< All connections to a worker are reset once.
    EndpointSilences,   ///< All connections to a worker become silent for good.
    EndpointMisbehaves, ///< A worker misbehaves for a few requests.
    EndpointsRefuse,    ///< All workers of a service are full, and say so.
    EndpointDrains,     ///< A worker drains, is gone, and comes back.
    Config,             ///< A new version of the configuration.
    StoreRestored       ///< Away for a while, then back from an older copy. Drawn for drills only.
};
constexpr int FaultKinds = static_cast<int>(FaultKind::StoreRestored) + 1;

const char *kindName(FaultKind kind);

struct Fault
{
    FaultKind kind = FaultKind::Kill;
    core::Milliseconds at{}; ///< From the start of the soak.
    core::Milliseconds activeTime{};
    uint32_t target = 0;  ///< Picks a gateway or worker.
    uint32_t variant = 0; ///< Picks how.
};

/** Draws faults for a soak: single ones, overlapping ones, and calm times between. */
std::vector<Fault> drawFaults(uint64_t seed, core::Milliseconds length);

/** Adds restores of the store from older copies to drawn faults. */
std::vector<Fault> withRestores(std::vector<Fault> faults, uint64_t seed,
                                core::Milliseconds length);

/** Plays faults, and watches that no gateway ends by itself. */
class FaultInjector
{
public:
    FaultInjector(boost::asio::io_context &io, SoakDeployment &deployment,
                  std::vector<Fault> faults);

    void start();
    /** Whether all faults have been played and healed. */
    bool done() const;
    /** Gateways that ended by themselves or did not end when asked to. */
    const std::vector<std::string> &breaches() const { return m_breaches; }

private:
    struct GatewayState
    {
        bool exitExpected = false;
        bool stopping = false; ///< It was asked to end and has until killAt.
        core::TimePoint killAt{};
        core::TimePoint restartAt{};
        core::TimePoint addToRotationAt{};
        core::TimePoint removeFromRotationAt{};
        std::vector<size_t> disturbances; ///< Ended once it is listed again.
    };

    void tick();
    void superviseGateway(size_t gateway, core::TimePoint now);
    void inject(const Fault &fault);
    void killGateway(size_t gateway);
    void injectStoreLinkFault(const Fault &fault);
    void injectRestore(const Fault &fault);
    void injectEndpointFault(const Fault &fault);
    /** Calls back after a time; the soak is not done before. */
    void runAfter(core::Milliseconds delay, std::function<void()> then);

    boost::asio::io_context &m_io;
    SoakDeployment &m_deployment;
    std::vector<Fault> m_faults;
    bool m_hasRestores = false;
    size_t m_nextIndex = 0;
    size_t m_pendingActions = 0;
    core::TimePoint m_startedAt{};
    boost::asio::steady_timer m_timer;
    std::vector<GatewayState> m_gateways;
    std::vector<std::string> m_breaches;
};

} // namespace jujube::soak
