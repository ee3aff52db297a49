#include "entry/entryprocess.h"

#include "core/eventlog.h"
#include "core/keyhash.h"
#include "core/metrics.h"
#include "core/text.h"
#include "wire/events.h"
#include "wire/json.h"

#include <algorithm>

namespace jujube::entry {

namespace {

constexpr core::Milliseconds ConnectionIdleTimeout{8'000};
constexpr core::Milliseconds RetryDelay{500};
constexpr core::Milliseconds ViewInterval{100};
constexpr core::Milliseconds StatusInterval{1'000};
constexpr core::Milliseconds PruneInterval{5'000};
// An entry whose host refuses connections for this long is removed from the register.
constexpr core::Milliseconds PruneAfter{30'000};
constexpr core::Milliseconds DrainPollInterval{20};
constexpr core::Milliseconds FinalFlushTimeout{10'000};
constexpr core::Milliseconds TimelineTimeout{2'000};
constexpr size_t PrefixBlocksPerEndpoint = 50'000;

control::ControllerSettings controllerSettings(const EntrySettings &settings, uint64_t incarnation)
{
    return {settings.name, settings.scope, incarnation, settings.controllerLeaseTtl,
            settings.planRoles};
}

control::ReporterSettings reporterSettings(const EntrySettings &settings)
{
    control::ReporterSettings result;
    result.scope = settings.scope;
    result.window = settings.usageWindow;
    result.grace = settings.usageGracePeriod;
    return result;
}

} // namespace

// RPC interface that another entry receives after its login.
class EntryProcess::PeerServer : public wire::schema::PeerSession::Server
{
public:
    PeerServer(EntryProcess &process, std::function<void()> onMessage)
        : m_process(process), m_onMessage(std::move(onMessage))
    {
    }

    kj::Promise<void> exchange(ExchangeContext context) override
    {
        m_onMessage();
        m_process.m_peers.handleExchange(context.getParams().getState(), context.getResults());
        return kj::READY_NOW;
    }

    kj::Promise<void> events(EventsContext context) override
    {
        m_onMessage();
        wire::writeEvents(context.getParams().getAfter(), context.getResults());
        context.getResults().setProcess(m_process.m_settings.name.c_str());
        return kj::READY_NOW;
    }

private:
    EntryProcess &m_process;
    std::function<void()> m_onMessage;
};

EntryProcess::EntryProcess(wire::IoContext &io, EntrySettings settings, EntryView &view)
    : m_io(io),
      m_settings(std::move(settings)),
      m_view(view),
      m_incarnation(core::randomIncarnation()),
      m_identity{m_settings.name, m_settings.fleetSecret},
      m_httpClient(io),
      m_kv(m_httpClient, m_settings.platformAddress, m_settings.platformTimeout),
      m_fleetClient(m_httpClient, m_settings.platformAddress, m_settings.platformTimeout),
      m_mirror(io, m_kv, state::FleetPrefix, core::ConfigPrefix),
      m_peers(io, m_identity, m_mirror, {m_settings.name, m_incarnation, false}),
      m_fleet(
          io, m_identity, m_settings.maxCandidates, [this]() { return pingMessage(); },
          [this](const core::FreshnessToken &token) { m_mirror.applyFreshnessToken(token); }),
      m_router(policy::RouterSettings{}),
      m_prefixIndex(PrefixBlocksPerEndpoint),
      m_retryBudget(policy::RetrySettings{}),
      m_usageLedger(m_kv, m_settings.scope, state::UsageSide::Entry, m_incarnation),
      m_claimStore(io, m_kv, m_settings.scope, m_settings.claimShards, m_settings.claimRetention),
      m_random(core::randomIncarnation()),
      m_usageReporter(m_kv, m_fleetClient, reporterSettings(m_settings),
                      [this](uint64_t entry) {
                          return entry == m_incarnation || m_liveEntries.contains(entry);
                      }),
      m_controller(io, m_kv, m_fleetClient, m_mirror, m_fleet, m_usageReporter,
                   controllerSettings(m_settings, m_incarnation)),
      m_rpcServer(
          io, m_identity,
          [this](std::function<void()> onMessage) {
              wire::RpcServer::Sessions sessions;
              sessions.peer = kj::heap<PeerServer>(*this, std::move(onMessage));
              return sessions;
          },
          ConnectionIdleTimeout)
{
    m_mirror.onChange([this](const state::KvEntry &entry) { onMirrorChange(entry); });
}

EntryProcess::~EntryProcess() = default;

void EntryProcess::start(std::function<void(absl::Status)> failed)
{
    wire::coroutineTasks().add(startup(std::move(failed)));
}

void EntryProcess::stop(std::function<void()> stopped)
{
    if (std::exchange(m_stopping, true))
        return;
    m_peers.setStopping();
    wire::coroutineTasks().add(shutdown(std::move(stopped)));
}

wire::Task<void> EntryProcess::startup(std::function<void(absl::Status)> failed)
{
    const absl::Status listening = co_await m_rpcServer.listen(m_settings.rpcListen);
    if (!listening.ok()) {
        failed(listening);
        co_return;
    }
    core::Event("entry.started")
        .with("name", m_settings.name)
        .with("incarnation", m_incarnation)
        .with("address", m_settings.httpListen);
    m_mirror.start();
    m_peers.addSeeds(m_settings.peerAddresses);
    m_controller.start();
    wire::coroutineTasks().add(publishViewLoop());
    wire::coroutineTasks().add(usageFlushLoop());
    wire::coroutineTasks().add(pruneEntriesLoop());
    co_await registerLoop();
}

wire::Task<void> EntryProcess::registerLoop()
{
    const state::EntryRecord record{m_settings.name, m_settings.rpcAddress,
                                    m_settings.failureDomain, m_incarnation};
    while (!m_stopping) {
        const auto entry = co_await m_kv.update(
            state::entryKey(m_settings.name),
            [text = record.serialize()](const state::KvEntry &) { return text; });
        if (entry.ok()) {
            m_mirror.apply({*entry});
            core::Event("entry.registered").with("name", m_settings.name);
            co_return;
        }
        co_await m_io.sleep(RetryDelay);
    }
}

wire::Task<void> EntryProcess::usageFlushLoop()
{
    while (true) {
        co_await m_io.sleep(m_settings.usageFlushInterval);
        const absl::Status status = co_await m_usageLedger.flush();
        if (!status.ok())
            core::Event("usage.flush.failed").with("why", status.message());
    }
}

// Updates the view that the request threads read, and the metrics.
wire::Task<void> EntryProcess::publishViewLoop()
{
    core::TimePoint statusDue{};
    auto last = policy::Freshness::Confirmed;
    while (true) {
        co_await m_io.sleep(ViewInterval);
        const core::TimePoint now = core::BootClock::now();
        const auto freshness = policy::judgeFreshness(m_mirror.freshnessToken(), m_peers.views(),
                                                      now, policy::FreshnessSettings{});
        if (freshness != last) {
            core::Event("configuration.freshness")
                .with("verdict",
                      freshness == policy::Freshness::Confirmed    ? "confirmed"
                          : freshness == policy::Freshness::Outage ? "kv-outage"
                                                                   : "cut-off")
                .with("version", m_mirror.version());
            last = freshness;
        }
        m_view.freshness = freshness;
        m_view.everConfirmed = m_mirror.everConfirmed();
        if (now < statusDue)
            continue;
        statusDue = now + StatusInterval;
        m_view.status.store(std::make_shared<const std::string>(statusText()));
        core::setGauge("jujube_kv_calls", {}, static_cast<double>(m_kv.callCount()));
        core::setGauge("jujube_configuration_version", {}, static_cast<double>(m_mirror.version()));
        core::setGauge("jujube_sessions", {}, static_cast<double>(m_sessions.size()));
    }
}

wire::Task<void> EntryProcess::pruneEntriesLoop()
{
    while (true) {
        co_await m_io.sleep(PruneInterval);
        if (!m_controller.isLeader())
            continue;
        for (const std::string &name :
             m_peers.unreachableSince(core::BootClock::now() - PruneAfter)) {
            const state::KvEntry *entry = m_mirror.find(state::entryKey(name));
            if (!entry)
                continue;
            core::Event("entry.pruned").with("name", name);
            co_await m_kv.remove(entry->key, entry->revision);
        }
    }
}

void EntryProcess::onMirrorChange(const state::KvEntry &entry)
{
    const bool scheduled = m_configurationChanged || m_membershipChanged;
    if (entry.key.starts_with(core::ConfigPrefix))
        m_configurationChanged = true;
    else
        m_membershipChanged = true;
    // The engines shard holds the operators' drains, which affect membership too.
    if (entry.key == core::shardKvKey(core::shards::Engines))
        m_membershipChanged = true;
    if (!scheduled) {
        // Deferred, so that changes that arrive together cause one rebuild.
        wire::coroutineTasks().add(kj::evalLater([this]() { rebuildChanged(); }));
    }
}

void EntryProcess::rebuildChanged()
{
    if (std::exchange(m_configurationChanged, false))
        rebuildConfiguration();
    if (std::exchange(m_membershipChanged, false))
        rebuildMembership();
}

void EntryProcess::rebuildConfiguration()
{
    std::map<std::string, core::ShardValue> shards;
    for (const state::KvEntry &it : m_mirror.list(core::ConfigPrefix)) {
        const std::string name = it.key.substr(std::string_view(core::ConfigPrefix).size());
        shards[name] = {it.revision, it.value};
    }
    const auto previous = m_view.configuration.load();
    auto config = core::Configuration::create(shards, previous.get());
    if (!config.ok()) {
        // A shard was written without the operators' checks; the last valid configuration stays.
        core::Event("configuration.invalid").with("why", config.status().message());
        return;
    }
    m_view.configuration.store(*config);
    core::Event("configuration.applied").with("version", (*config)->version());
    stopSessionsOfWithdrawnKeys(**config);
}

void EntryProcess::stopSessionsOfWithdrawnKeys(const core::Configuration &config)
{
    for (const auto &session : m_sessions) {
        if (!session->keyId().empty() && !config.key(session->keyId()))
            session->onKeyWithdrawn();
    }
}

void EntryProcess::rebuildMembership()
{
    std::vector<state::AgentRecord> agents;
    for (const state::KvEntry &it : m_mirror.list(state::AgentPrefix)) {
        const auto record = state::AgentRecord::parse(it.value);
        if (record.ok())
            agents.push_back(*record);
    }
    std::vector<state::EntryRecord> entries;
    m_liveEntries.clear();
    for (const state::KvEntry &it : m_mirror.list(state::EntryPrefix)) {
        const auto record = state::EntryRecord::parse(it.value);
        if (!record.ok())
            continue;
        entries.push_back(*record);
        m_liveEntries.insert(record->incarnation);
    }
    std::set<std::string> leaving;
    if (const state::KvEntry *entry = m_mirror.find(state::planKey(m_settings.scope))) {
        const auto plan = state::Plan::parse(entry->value);
        if (plan.ok()) {
            // Idle links send few heartbeats, so a new plan number is sent to the agents at once.
            if (std::exchange(m_planNumber, plan->number()) != plan->number()) {
                for (const auto &link : m_fleet.links())
                    link->schedulePing();
            }
            for (const auto &[vm, endpoint] : plan->endpoints) {
                if (endpoint.intent != core::EngineIntent::Active)
                    leaving.insert(vm);
            }
        }
    }
    // The operators' intents apply at once, before the controller has copied them into the plan.
    for (const auto &[vm, desired] : m_view.configuration.load()->engines()) {
        if (desired.intent != core::EngineIntent::Active)
            leaving.insert(vm);
    }
    m_fleet.setAgents(agents);
    m_fleet.setLeavingVms(std::move(leaving));
    m_peers.setEntries(entries);
}

wire::PingMessage EntryProcess::pingMessage() const
{
    return {m_mirror.freshnessToken(), m_planNumber.term, m_planNumber.sequence};
}

std::shared_ptr<RequestSession> EntryProcess::runSession(CallerRequest request, AnswerSink sink)
{
    request.work.entryIncarnation = m_incarnation;
    const SessionServices services{m_io,          m_fleet,       m_router,
                                   m_prefixIndex, m_retryBudget, m_usageLedger,
                                   m_claimStore,  m_random,      m_incarnation};
    auto session = std::make_shared<RequestSession>(services, std::move(request), std::move(sink));
    m_sessions.insert(session);
    wire::coroutineTasks().add(runAndRemoveSession(session));
    return session;
}

wire::Task<void> EntryProcess::runAndRemoveSession(std::shared_ptr<RequestSession> session)
{
    co_await session->run();
    m_sessions.erase(session);
}

void EntryProcess::publish(const std::string &shard, uint64_t fromRevision,
                           const std::string &value, OperatorCallback done)
{
    wire::coroutineTasks().add(publishShard(shard, fromRevision, value, std::move(done)));
}

wire::Task<void> EntryProcess::publishShard(std::string shard, uint64_t fromRevision,
                                            std::string value, OperatorCallback done)
{
    const std::string key = core::shardKvKey(shard);
    auto revision = co_await m_kv.compareAndSwap(key, fromRevision, value);
    if (!revision.ok()) {
        const auto current = co_await m_kv.get(key);
        const bool wasWritten = state::isOutcomeUnknown(revision.status()) && current.ok()
            && current->value == value && current->revision > fromRevision;
        if (wasWritten) {
            revision = current->revision;
        } else if (current.ok()) {
            const std::string message =
                core::concat("shard '", shard, "' is at revision ", current->revision,
                             ", the change was made from revision ", fromRevision,
                             ": look at the newer one and make the change again");
            done(
                {409,
                 wire::toJsonText(QJsonObject{{"error", wire::qstring(message)},
                                              {"revision", wire::jsonNumber(current->revision)}})});
            co_return;
        } else {
            done({503,
                  wire::toJsonText(QJsonObject{{"error",
                                                "the platform's key-value service does not answer; "
                                                "the change may or may not have been accepted"}})});
            co_return;
        }
    }
    m_mirror.apply({{key, value, *revision, false}});
    core::Event("configuration.published").with("shard", shard).with("revision", *revision);
    done({200, wire::toJsonText(QJsonObject{{"revision", wire::jsonNumber(*revision)}})});
}

void EntryProcess::timeline(uint64_t after, OperatorCallback done)
{
    wire::coroutineTasks().add(collectTimeline(after, std::move(done)));
}

wire::Task<void> EntryProcess::collectTimeline(uint64_t after, OperatorCallback done)
{
    using AgentEvents = capnp::Response<wire::schema::AgentSession::EventsResults>;
    using PeerEvents = capnp::Response<wire::schema::PeerSession::EventsResults>;
    std::vector<core::LoggedEvent> events = core::eventsAfter(after);
    const auto add = [&events](const std::vector<core::LoggedEvent> &more) {
        events.insert(events.end(), more.begin(), more.end());
    };
    for (const auto &link : m_fleet.links()) {
        const auto connection = link->connection();
        if (!connection)
            continue;
        try {
            auto request = connection->rpc->agent.eventsRequest();
            request.setAfter(after);
            auto reply = co_await m_io.withTimeout(TimelineTimeout,
                                                   kj::Promise<AgentEvents>(request.send()));
            add(wire::readEvents<AgentEvents &>(reply));
        } catch (const kj::Exception &) {
            core::Event("timeline.gap").with("process", link->record().vm);
        }
    }
    for (const auto &connection : m_peers.connections()) {
        try {
            auto request = connection->peer.eventsRequest();
            request.setAfter(after);
            auto reply =
                co_await m_io.withTimeout(TimelineTimeout, kj::Promise<PeerEvents>(request.send()));
            add(wire::readEvents<PeerEvents &>(reply));
        } catch (const kj::Exception &) {
            core::Event("timeline.gap").with("process", "peer");
        }
    }
    std::stable_sort(events.begin(), events.end(),
                     [](const auto &a, const auto &b) { return a.hybridTime < b.hybridTime; });
    QJsonArray lines;
    for (const core::LoggedEvent &it : events)
        lines.append(wire::qstring(it.line));
    done({200, wire::toJsonText(QJsonObject{{"events", lines}})});
}

std::string EntryProcess::statusText() const
{
    QJsonArray engines;
    for (const auto &link : m_fleet.links()) {
        const core::LoadReport &load = link->load();
        QJsonObject it;
        it["vm"] = wire::qstring(link->record().vm);
        it["failure_domain"] = wire::qstring(link->record().domain);
        it["kind"] = link->record().kind == core::WorkKind::Language ? "language" : "service";
        it["serves"] = wire::qstring(link->record().model);
        it["up"] = link->isConnected();
        it["ready"] = load.ready;
        it["leaving"] = load.leaving || m_fleet.isLeaving(link->record().vm);
        it["role"] = wire::qstring(core::roleName(load.role));
        it["running"] = static_cast<int>(load.running);
        it["slots"] = static_cast<int>(load.slots);
        it["queued"] = static_cast<int>(load.queuedRequests);
        it["prefill_rate"] = load.prefillTokensPerSecond;
        it["decode_rate"] = load.decodeTokensPerSecond;
        it["free_kv_pieces"] = static_cast<int>(load.freeKvPieces);
        it["applied"] =
            QString::fromStdString(core::concat(load.appliedTerm, ".", load.appliedSequence));
        engines.append(it);
    }
    QJsonArray peers;
    const core::TimePoint now = core::BootClock::now();
    for (const policy::PeerView &peer : m_peers.views()) {
        QJsonObject it;
        it["name"] = wire::qstring(peer.name);
        it["refused"] = peer.refused;
        it["heard_ms_ago"] = static_cast<qint64>(core::toMessageMs(now - peer.lastReceivedAt));
        peers.append(it);
    }
    QJsonObject status;
    status["entry"] = wire::qstring(m_settings.name);
    status["version"] = wire::jsonNumber(m_mirror.version());
    status["confirmed_ms_ago"] =
        static_cast<qint64>(core::toMessageMs(now - m_mirror.freshnessToken().confirmedAt));
    status["controller"] = m_controller.isLeader();
    status["term"] = wire::jsonNumber(m_planNumber.term);
    status["sequence"] = wire::jsonNumber(m_planNumber.sequence);
    status["sessions"] = static_cast<qint64>(m_sessions.size());
    status["kv_calls"] = wire::jsonNumber(m_kv.callCount());
    status["known_agents"] = static_cast<qint64>(m_fleet.registeredAgentCount());
    status["engines"] = engines;
    status["peers"] = peers;
    return wire::toJsonText(status);
}

wire::Task<void> EntryProcess::shutdown(std::function<void()> stopped)
{
    core::Event("entry.stopping").with("name", m_settings.name).with("sessions", m_sessions.size());
    co_await m_controller.stop();
    const core::TimePoint limit = core::BootClock::now() + m_settings.stopTimeout;
    while (!m_sessions.empty() && core::BootClock::now() < limit)
        co_await m_io.sleep(DrainPollInterval);
    const core::TimePoint flushLimit = core::BootClock::now() + FinalFlushTimeout;
    while ((!m_usageLedger.allWritten() || !m_claimStore.allWritten())
           && core::BootClock::now() < flushLimit) {
        const absl::Status status = co_await m_usageLedger.flush();
        if (!status.ok() || !m_claimStore.allWritten())
            co_await m_io.sleep(DrainPollInterval);
    }
    const auto entry = co_await m_kv.get(state::entryKey(m_settings.name));
    if (entry.ok()) {
        const auto record = state::EntryRecord::parse(entry->value);
        if (record.ok() && record->incarnation == m_incarnation)
            co_await m_kv.remove(entry->key, entry->revision);
    }
    m_mirror.stop();
    core::Event("entry.stopped").with("name", m_settings.name);
    stopped();
}

} // namespace jujube::entry
