#include "serving/gateway.h"

#include "core/eventlog.h"
#include "core/metrics.h"
#include "core/text.h"
#include "platform/fleetcodec.h"
#include "platform/requestcodec.h"

#include <algorithm>

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;
using ErrorCode = boost::system::error_code;

constexpr const char *GatewayPrefix = "jujube/gateway/";
constexpr Milliseconds TickInterval{200};
constexpr Milliseconds TokenRateWindow{2'000}; ///< Shorter than swings of the request mix.
// Limits all gateways together to about 2.5 watch calls per second.
constexpr Milliseconds WatchWaitPerGateway{400};
constexpr Milliseconds MinWatchWait{2'500};
// Minimum interval between two watch calls of one gateway: a tenth of the shortest time in which a
// change must be in force, which grows with the deployment; at most a quarter of that time in a
// deployment of hundreds of VMs.
constexpr Milliseconds MinWatchIntervalPerGateway{10};
constexpr Milliseconds SmallestMinWatchInterval{50};
constexpr Milliseconds LargestMinWatchInterval{1'000};
constexpr Milliseconds MaxWatchWait{12'000};
// From the end of a usage window until each gateway has sent its counts in three datagrams, which
// are a second apart in a large deployment. A short delay reduces the chance that the store becomes
// unavailable before the counts are committed.
constexpr Milliseconds UsageCountsDelay{1'200};
constexpr Milliseconds LargeUsageCountsDelay{3'200};
constexpr uint64_t DefaultKvCacheTokens = 500'000; ///< For engines without a configured size.
// Parts of the memory for request bodies, buffered answers and output. A body is held twice.
constexpr uint64_t RequestMemoryDivisor = 4;
constexpr uint64_t AnswerMemoryDivisor = 8;
constexpr uint64_t OutputMemoryDivisor = 16;
// Requests that wait for endpoints which read slowly take at most half of the memory for requests.
constexpr uint64_t SlowSendMemoryDivisor = 2 * RequestMemoryDivisor;
constexpr double PrefixCacheShare = 0.7; ///< Of the KV cache; running requests use the rest.

} // namespace

Gateway::Gateway(boost::asio::io_context &io, NodeSettings settings)
    : m_io(io),
      m_settings(std::move(settings)),
      m_random(std::random_device()()),
      m_run(m_random()),
      m_wallClock(core::BootClock::now(), core::wallTime()),
      m_httpClient(io),
      m_pool(
          io,
          std::make_shared<http::SlowSendBudget>(m_settings.memoryBytes / SlowSendMemoryDivisor)),
      m_store(m_httpClient, m_settings.storeAddress),
      m_quarantine(m_store, m_settings.name),
      m_usage(m_settings.usageWindow),
      m_quotas(io, m_settings, m_random, [this]() { m_peers.loadChanged(); }),
      m_disaggregatedPrefill(m_placement.disaggregatedPrefill),
      m_handOver(m_placement.handOver),
      m_colocatedPrefill(m_placement.colocatedPrefill),
      m_promptTokens(TokenRateWindow),
      m_outputTokens(TokenRateWindow),
      m_requestRate(TokenRateWindow),
      m_leadership(io, m_store, m_random, m_settings.name,
                   std::max(m_settings.leaseTime, m_settings.minLeaseTime)),
      m_peers(
          io, m_httpClient, m_endpoints,
          {[this]() { return composeGossip(); },
           {[this]() { return m_mirror->version(); },
            [this](const StoreVersion &newerThan) { return m_mirror->changesAfter(newerThan); }},
           [this](const GossipMessage &gossip) { onGossip(gossip); },
           &m_usage,
           [this]() { return m_usage.windowAt(m_wallClock.at(core::BootClock::now())); },
           [this]() { return knownLimits(); },
           [this](const std::string &peer) { return m_quotas.levelsFor(peer); },
           [this]() { return engineSpeeds(); },
           [this]() { return m_promptScheduler.teamUse(); }}),
      m_feed(m_httpClient, m_settings.name, [this](const StorePage &state) { onPeerState(state); }),
      m_promptScheduler(io, m_endpoints, m_placement, m_random,
                        [this]() { return m_peers.aliveCount(); }),
      m_dutyServices{
          io,
          m_httpClient,
          m_store,
          m_leadership,
          m_endpoints,
          m_usage,
          [this]() { return m_config.load(); },
          [this]() {
              TokenRates rates = localTokenRates(core::BootClock::now());
              return rates += m_peers.peersRates();
          },
          [this]() { return m_peers.meanPrefillTokensPerSecond(m_prefillRate.tokensPerSecond()); },
          [this](const std::string &service) -> const policy::DecodeStepEstimator & {
              return m_decodeSteps[service];
          },
          [this]() { return m_wallClock.at(core::BootClock::now()); },
          [this]() { return m_peers.isLarge() ? LargeUsageCountsDelay : UsageCountsDelay; },
          [this](const std::string &key) -> const StoreItem * {
              const auto it = m_mirror->items().find(key);
              return it == m_mirror->items().end() ? nullptr : &it->second;
          }},
      m_usageDuty(m_dutyServices, m_settings),
      m_stageDuty(m_dutyServices, m_settings),
      m_sessionServices{
          io,
          m_endpoints,
          m_pool,
          m_httpClient,
          m_promptScheduler,
          m_usage,
          m_random,
          m_placement,
          m_prefillDuration,
          m_disaggregatedPrefill,
          m_handOver,
          m_colocatedPrefill,
          m_prefillRate,
          m_outputLengths,
          m_settings.domain,
          [this](const std::string &service) -> policy::SendBudget & {
              policy::SendBudgetSettings budget{m_settings.retryRatio, m_settings.retryWindow,
                                                m_settings.retrySlack};
              if (!m_settings.firstStart)
                  budget.slackFrom = m_createdAt + m_settings.retryWindow;
              return m_retryBudgets.try_emplace(service, budget).first->second;
          },
          [this]() { return m_peers.budgetGateways(core::BootClock::now()); },
          [this]() { return m_wallClock.at(core::BootClock::now()); },
          [this](double tokens) { m_promptTokens.note(tokens, core::BootClock::now()); },
          [this](double tokens) { m_outputTokens.note(tokens, core::BootClock::now()); },
          [this]() { m_peers.loadChanged(); },
          m_sentBlocks,
          m_quarantine,
          [this](const std::string &service) -> policy::DecodeStepEstimator & {
              return m_decodeSteps[service];
          },
          [this](const std::string &service) -> policy::DecodeStepEstimator & {
              return m_runSteps[service];
          },
          std::make_shared<http::BufferBudget>(m_settings.memoryBytes / AnswerMemoryDivisor),
          [this](const QuotaCharge &charge) { m_quotas.refund(charge); }},
      m_config(nullptr),
      m_clientServer(io,
                     [this](http::Request request, http::Responder responder) {
                         onRequest(std::move(request), std::move(responder));
                     }),
      m_readyServer(io,
                    [this](const http::Request &request, const http::Responder &responder) {
                        http::Head head;
                        head.status = !platform::isReadinessProbe(request.head)
                            ? http::status::NotFound
                            : ready() ? http::status::Ok
                                      : http::status::ServiceUnavailable;
                        responder.send(head, {});
                    }),
      m_metricsServer(io,
                      [this](const http::Request &request, const http::Responder &responder) {
                          answerMetricsRequest(request, responder);
                      }),
      m_loadProber(
          io, m_httpClient, m_endpoints, [this]() { return m_config.load(); },
          [this]() { return !m_draining && m_peers.isCoordinator(); }),
      m_loopMonitor(io),
      m_tickTimer(io),
      m_drainTimer(io)
{
    m_placement.domain = m_settings.domain;
    m_placement.predictsByPace = false;
    m_placement.avoidsUnreachable = m_settings.contention;
    if (m_settings.contention)
        m_promptScheduler.shareByTeam([this](const std::string &service, uint32_t slots) {
            return m_decodeSteps[service].stepMs(slots);
        });
    http::ServerLimits withoutBody;
    withoutBody.maxBodyBytes = 0;
    m_readyServer.setLimits(withoutBody);
    m_metricsServer.setLimits(withoutBody);
    m_clientServer.setMemory(m_settings.memoryBytes / RequestMemoryDivisor,
                             m_settings.memoryBytes / OutputMemoryDivisor);
    m_mirror = StoreMirror::create(io, m_store, "",
                                   {[this](const StoreItem &item) { onItem(item); }, []() {}});
    m_store.onEra([this](uint64_t era) {
        m_usageDuty.startEra(era);
        m_registered = false;
    });
}

absl::Status Gateway::start()
{
    if (absl::Status status = m_peers.start(m_settings, m_run); !status.ok())
        return status;
    if (absl::Status status = m_readyServer.listen(m_settings.readyAddress); !status.ok())
        return status;
    if (absl::Status status = m_clientServer.listen(m_settings.clientAddress); !status.ok())
        return status;
    if (absl::Status status = m_metricsServer.listen(core::concat(m_settings.ip, ":", MetricsPort));
        !status.ok())
        return status;
    m_mirror->start();
    m_loadProber.start();
    m_loopMonitor.start();
    tick();
    core::Event("gateway.started")
        .with("run", m_run)
        .with("domain", m_settings.domain)
        .with("clients", m_settings.clientAddress)
        .with("store", m_settings.storeAddress);
    return absl::OkStatus();
}

void Gateway::reload(const NodeSettings &settings)
{
    m_settings.drainGrace = settings.drainGrace;
    m_settings.usageReportDeadline = settings.usageReportDeadline;
    m_settings.retryRatio = settings.retryRatio;
    m_settings.retrySlack = settings.retrySlack;
    for (auto &[service, budget] : m_retryBudgets)
        budget.setLimits(settings.retryRatio, settings.retrySlack);
    core::Event("gateway.reloaded").with("retry_slack", settings.retrySlack);
}

void Gateway::onItem(const StoreItem &item)
{
    if (item.key == platform::ConfigKey)
        onConfig(item);
    else if (item.key.starts_with(platform::EndpointPrefix))
        onEndpoint(item);
    else if (item.key.starts_with(GatewayPrefix))
        onPeer(item);
    else if (item.key.starts_with(UsageDuty::Prefix))
        m_usageDuty.onSealItem(item);
    else if (item.key.starts_with(QuarantineKeeper::Prefix))
        m_quarantine.onItem(item);
}

void Gateway::onConfig(const StoreItem &item)
{
    if (item.deleted)
        return;
    const auto config = platform::decodeConfig(item.value);
    if (!config.ok()) {
        core::Event("config.invalid")
            .with("revision", item.version.revision)
            .with("why", config.status().message());
        return;
    }
    const auto current = m_config.load();
    if (current && current->version >= (*config)->version)
        return;
    m_config.store(*config);
    m_quotas.configure(**config);
    const RequestLimits &limits = (*config)->limits;
    m_clientServer.setLimits(
        {limits.maxHeadBytes, limits.maxBodyBytes, limits.headTimeout, limits.idleTimeout});
    core::Event("config.applied")
        .with("version", (*config)->version)
        .with("era", item.version.era)
        .with("revision", item.version.revision)
        .with("before", current ? current->version : 0);
}

uint64_t Gateway::cacheTokens(const std::string &service) const
{
    const auto config = m_config.load();
    if (!config)
        return DefaultKvCacheTokens;
    const auto it = config->services.find(service);
    if (it == config->services.end() || !it->second.engine || it->second.engine->cacheTokens == 0)
        return DefaultKvCacheTokens;
    return static_cast<uint64_t>(PrefixCacheShare
                                 * static_cast<double>(it->second.engine->cacheTokens));
}

void Gateway::onEndpoint(const StoreItem &item)
{
    const std::string id = item.key.substr(std::string_view(platform::EndpointPrefix).size());
    if (item.deleted) {
        m_endpoints.remove(id, item.version.era);
        return;
    }
    const auto record = platform::decodeEndpoint(item.key, item.value, item.version);
    if (!record.ok()) {
        core::Event("endpoint.ignored")
            .with("key", item.key)
            .with("revision", item.version.revision)
            .with("why", record.status().message());
        m_endpoints.remove(id, item.version.era);
        return;
    }
    updateEndpoint(*record);
}

void Gateway::onPeer(const StoreItem &item)
{
    const std::string name = item.key.substr(std::string_view(GatewayPrefix).size());
    if (item.deleted) {
        m_peers.removePeer(name);
        m_quotas.removeGateway(name);
    } else {
        m_peers.addPeer(name, item.value);
        m_quotas.addGateway(name);
    }
}

void Gateway::registerSelf()
{
    const std::string key = GatewayPrefix + m_settings.name;
    const auto it = m_mirror->items().find(key);
    const bool present =
        it != m_mirror->items().end() && it->second.version.era == m_mirror->version().era;
    if (present && it->second.value == m_peers.address()) {
        m_registered = true;
        return;
    }
    m_registering = true;
    StoreCommit commit;
    commit.writes.push_back({key, m_peers.address(), 0});
    m_store.commit(commit, [this](const absl::StatusOr<StoreVersion> &version) {
        m_registering = false;
        m_registered = version.ok() && version->era == m_store.era();
        core::Event("gateway.registered")
            .with("ok", version.ok())
            .with("why", version.status().message());
    });
}

bool Gateway::ready() const
{
    return !m_draining && m_config.load() && !m_endpoints.all().empty();
}

void Gateway::tick()
{
    m_tickTimer.expires_after(TickInterval);
    m_tickTimer.async_wait([this](const ErrorCode &ec) {
        if (ec)
            return;
        const TimePoint now = core::BootClock::now();
        syncWithPeers(now);
        m_endpoints.applyHeldBack(now);
        m_endpoints.shareLimits(m_settings.name,
                                m_peers.activeGateways(m_requestRate.rate(now), now), now);
        if (const Milliseconds by = m_wallClock.adjust(core::wallTime(), now); by.count() != 0)
            core::Event("wallclock.set").with("by_ms", by.count());
        const auto gateways = static_cast<int64_t>(m_peers.gatewayCount(now));
        m_mirror->setWatchWait(
            std::clamp(WatchWaitPerGateway * gateways, MinWatchWait, MaxWatchWait));
        m_mirror->setMinWatchInterval(std::clamp(MinWatchIntervalPerGateway * gateways,
                                                 SmallestMinWatchInterval,
                                                 LargestMinWatchInterval));
        m_leadership.setContenders(static_cast<uint32_t>(gateways));
        m_placement.prefill = m_prefillDuration.model();
        m_placement.handOver = m_handOver.model();
        m_placement.disaggregatedPrefill = m_disaggregatedPrefill.model();
        m_placement.predictsByPace = m_endpoints.statesPace();
        m_placement.avoidsUnreachable = m_settings.contention || m_placement.predictsByPace;
        if (m_placement.predictsByPace)
            m_endpoints.updateSlowdowns(now);
        m_placement.gateways = m_peers.aliveCount();
        m_placement.colocatedPrefill = m_colocatedPrefill.model();
        logPredictions(now);
        m_promptScheduler.updateTeamGauges();
        if (m_mirror->complete() && m_mirror->reachable() && !m_draining) {
            if (!m_registered && !m_registering)
                registerSelf();
            const auto leader = m_mirror->items().find(Leadership::Key);
            m_leadership.follow(leader == m_mirror->items().end() ? nullptr : &leader->second,
                                m_mirror->version());
        }
        m_quarantine.tick(m_mirror->complete() && m_mirror->reachable() && !m_draining);
        m_usageDuty.tick();
        m_stageDuty.tick();
        core::flushEventLog();
        tick();
    });
}

} // namespace jujube::serving
