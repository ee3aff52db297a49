#pragma once

/** \file
 * Defines the gateway: the process in the path of requests on the users' platform.
 */

#include "core/snapshot.h"
#include "http/server.h"
#include "policy/ratemeter.h"
#include "serving/catchup.h"
#include "serving/duties.h"
#include "serving/loopmonitor.h"
#include "serving/peermesh.h"
#include "serving/session.h"
#include "serving/storemirror.h"
#include "serving/wallclock.h"

#include <memory>

namespace jujube::serving {

/** Puts the parts of a gateway together and runs them on one event loop. */
class Gateway
{
public:
    Gateway(boost::asio::io_context &io, NodeSettings settings);

    /** Opens all addresses and starts to follow the store. */
    absl::Status start();
    /** Takes over settings that changed; addresses stay until the next start. */
    void reload(const NodeSettings &settings);
    /** Stops serving without dropping a request, then calls back. */
    void drain(std::function<void()> done);

private:
    void onItem(const StoreItem &item);
    void onConfig(const StoreItem &item);
    void onEndpoint(const StoreItem &item);
    void onPeer(const StoreItem &item);
    void registerSelf();

    void onRequest(http::Request request, http::Responder responder);
    void refuse(const http::Responder &responder, const http::Head &request, uint32_t status,
                const std::string &why, core::Milliseconds retryAfter = {});
    std::string drawService(const Route &route);

    News composeNews();
    TokenRates ownRates(core::TimePoint now) const;
    void addWindows(News &news);
    void onPeerState(const StorePage &state);
    void onNews(const News &news);
    void followPeers(core::TimePoint now);
    void logLag(const StoreVersion &newest, bool follows, core::TimePoint now);
    void logPredictions(core::TimePoint now);
    void tick();
    void drainStep();
    bool ready() const;
    uint64_t cacheTokens(const std::string &service) const;

    boost::asio::io_context &m_io;
    NodeSettings m_settings;
    std::mt19937_64 m_random;
    uint64_t m_run = 0; ///< Incarnation of this process.
    WallClock m_wallClock;
    http::Caller m_caller;
    http::ConnectionPool m_pool;
    StoreClient m_store;
    EndpointTable m_endpoints;
    UsageCounts m_usage;
    PartNews m_partNews;
    policy::PlacementSettings m_placement;
    policy::PrefillTimeEstimator m_apart;
    policy::PrefillTimeEstimator m_itself;
    policy::PrefillRateEstimator m_reading;
    std::map<std::string, policy::DecodeStepEstimator> m_paces; ///< By service.
    policy::RateMeter m_promptTokens;
    policy::RateMeter m_outputTokens;
    std::map<std::string, policy::SendBudget> m_budgets;
    Leadership m_leadership;
    PeerMesh m_peers;
    StateFeed m_feed;
    CatchUp m_catchUp;
    PromptScheduler m_prompts;
    DutyServices m_dutyServices;
    UsageDuty m_usageDuty;
    StageDuty m_stageDuty;
    SessionServices m_sessionServices;
    std::shared_ptr<StoreMirror> m_mirror;
    core::Snapshot<FleetConfig> m_config;
    http::Server m_clientServer;
    http::Server m_readyServer;
    http::Server m_metricsServer;
    LoopMonitor m_loop;
    boost::asio::steady_timer m_tickTimer;
    boost::asio::steady_timer m_drainTimer;
    std::function<void()> m_drained;
    core::TimePoint m_drainSince{};
    core::TimePoint m_lagSince{}; ///< A newer state than the own one is known since then.
    core::TimePoint m_lagLogged{};
    core::TimePoint m_predictionsLogged{};
    uint64_t m_newsSequence = 0;
    bool m_draining = false;
    bool m_registered = false;
    bool m_registering = false;
};

} // namespace jujube::serving
