#pragma once

/** \file
 * Defines the gateway process, which routes client requests to the endpoints of the platform.
 */

#include "core/snapshot.h"
#include "http/server.h"
#include "policy/ratemeter.h"
#include "serving/catchup.h"
#include "serving/leaderduties.h"
#include "serving/loadprober.h"
#include "serving/loopmonitor.h"
#include "serving/peermesh.h"
#include "serving/session.h"
#include "serving/storemirror.h"
#include "serving/teamquotas.h"
#include "serving/wallclock.h"

#include <memory>

namespace jujube::serving {

/** Port of the metrics and of explanations. Has to match deploy/system.toml. */
inline constexpr uint16_t MetricsPort = 9464;

// Retry-After of refusals before a session.
inline constexpr core::Milliseconds NoConfigRetryAfter{1'000};
inline constexpr core::Milliseconds StoppingRetryAfter{200}; ///< Other gateways are ready.

/** Draws the service that a request of a route goes to, by the weights of its targets. */
std::string pickWeightedService(const Route &route, std::mt19937_64 &random);

/** Connects the components of a gateway process and runs them on one event loop. */
class Gateway
{
public:
    Gateway(boost::asio::io_context &io, NodeSettings settings);

    /** Opens all listening sockets and starts to mirror the store. */
    absl::Status start();
    /** Applies the drain, usage and retry settings. Other changes take effect at a restart. */
    void reload(const NodeSettings &settings);
    /** Completes the running requests, at most until the drain grace ends, then calls \a done. */
    void drain(std::function<void()> done);

private:
    void onItem(const StoreItem &item);
    void onConfig(const StoreItem &item);
    void onEndpoint(const StoreItem &item);
    void onPeer(const StoreItem &item);
    void registerSelf();

    void onRequest(http::Request request, http::Responder responder);
    void admitWithinQuota(const TeamConfig &team, AdmittedRequest admitted,
                          http::Responder responder);
    void startSession(AdmittedRequest admitted, http::Responder responder);
    void refuse(const http::Responder &responder, const http::Head &request, uint32_t status,
                const std::string &why, core::Milliseconds retryAfter = {});
    void answerMetricsRequest(const http::Request &request, const http::Responder &responder);

    GossipMessage composeGossip();
    std::vector<GossipLimit> knownLimits() const;
    std::vector<GossipEngineSpeed> engineSpeeds() const;
    TokenRates localTokenRates(core::TimePoint now) const;
    void addUsageWindows(GossipMessage &gossip);
    void onPeerState(const StorePage &state);
    void onGossip(const GossipMessage &gossip);
    void syncWithPeers(core::TimePoint now);
    void logLag(const StoreVersion &newest, bool follows, core::TimePoint now);
    void logPredictions(core::TimePoint now);
    void tick();
    void pollDrain();
    bool acceptsNoRequests(core::TimePoint now) const;
    void answerOpenRequests();
    bool ready() const;
    uint64_t cacheTokens(const std::string &service) const;
    void updateEndpoint(const EndpointRecord &record);

    boost::asio::io_context &m_io;
    NodeSettings m_settings;
    std::mt19937_64 m_random;
    uint64_t m_run = 0; ///< Random incarnation number of this process.
    core::TimePoint m_createdAt = core::BootClock::now();
    WallClock m_wallClock;
    http::Client m_httpClient;
    http::ConnectionPool m_pool;
    StoreClient m_store;
    EndpointTable m_endpoints;
    QuarantineKeeper m_quarantine;
    UsageCounts m_usage;
    TeamQuotas m_quotas;
    PrefixBlockGossip m_sentBlocks;
    policy::PlacementSettings m_placement;
    policy::PrefillDurationEstimator m_prefillDuration;
    policy::PrefillTimeEstimator m_disaggregatedPrefill;
    policy::PrefillTimeEstimator m_handOver;
    policy::PrefillTimeEstimator m_colocatedPrefill;
    policy::PrefillRateEstimator m_prefillRate;
    policy::OutputLengthEstimator m_outputLengths;
    std::map<std::string, policy::DecodeStepEstimator> m_decodeSteps; ///< By name of the service.
    std::map<std::string, policy::DecodeStepEstimator> m_runSteps;    ///< At usual speed; the same.
    policy::RateMeter m_promptTokens;
    policy::RateMeter m_outputTokens;
    policy::RateMeter m_requestRate; ///< Of clients' requests.
    std::map<std::string, policy::SendBudget> m_retryBudgets;
    Leadership m_leadership;
    PeerMesh m_peers;
    StateFeed m_feed;
    CatchUp m_catchUp;
    PromptScheduler m_promptScheduler;
    DutyServices m_dutyServices;
    UsageDuty m_usageDuty;
    StageDuty m_stageDuty;
    SessionServices m_sessionServices;
    std::shared_ptr<StoreMirror> m_mirror;
    core::Snapshot<FleetConfig> m_config;
    http::Server m_clientServer;
    http::Server m_readyServer;
    http::Server m_metricsServer;
    LoadProber m_loadProber;
    LoopMonitor m_loopMonitor;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::steady_timer m_drainTimer;
    std::function<void()> m_onDrained;
    core::TimePoint m_drainSince{};
    core::TimePoint m_lagSince{}; ///< When a newer store state was first observed at a peer.
    core::TimePoint m_lagLoggedAt{};
    core::TimePoint m_predictionsLoggedAt{};
    uint64_t m_gossipSequence = 0;
    bool m_draining = false;
    bool m_registered = false;
    bool m_registering = false;
};

} // namespace jujube::serving
