#include "serving/leaderduties.h"

#include "core/eventlog.h"
#include "core/metrics.h"
#include "core/text.h"
#include "platform/dutycodec.h"
#include "platform/requestcodec.h"
#include "serving/endpointhealth.h"
#include "wire/json.h"

#include <algorithm>
#include <charconv>

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;

// Past windows that may still be reported; a report is due within two windows after the end.
constexpr uint64_t ReportableWindows = 3;
// Windows for which sealed counts are kept, for a successor that has to repeat a report.
constexpr uint64_t RetainedWindows = 8;
constexpr Milliseconds ReportTimeout{1'500};
constexpr Milliseconds OrderTimeout{1'000};
// Engines that register at almost the same time are planned together.
constexpr Milliseconds NewEngineDelay{20};
// An engine that accepted a stage order gets no work until its entry shows the new stage, or until
// the configured change time plus this margin has passed.
constexpr Milliseconds StageChangeMargin{1'500};

std::string windowKey(uint64_t window)
{
    return core::concat(UsageDuty::Prefix, window);
}

std::optional<uint64_t> windowOf(std::string_view key)
{
    key.remove_prefix(std::string_view(UsageDuty::Prefix).size());
    uint64_t window = 0;
    const auto [end, ec] = std::from_chars(key.data(), key.data() + key.size(), window);
    if (ec != std::errc() || end != key.data() + key.size())
        return std::nullopt;
    return window;
}

// Before traffic the initial split waits for the paces of the engines, as slow ones should decode.
// The probes that tell them take about a second.
constexpr Milliseconds AllPacesTime{2'500};

} // namespace

std::string encodeCounts(const TeamCounts &counts)
{
    QJsonObject object;
    for (const auto &[team, n] : counts)
        object.insert(wire::qstring(team), static_cast<qint64>(n));
    return wire::toJsonText(object);
}

absl::StatusOr<TeamCounts> decodeCounts(const std::string &text)
{
    const auto object = wire::parseObject(text);
    if (!object.ok())
        return object.status();
    TeamCounts counts;
    for (auto it = object->begin(); it != object->end(); ++it)
        counts[it.key().toStdString()] = static_cast<uint64_t>(it.value().toDouble());
    return counts;
}

UsageDuty::UsageDuty(DutyServices &services, const NodeSettings &settings)
    : m_services(services), m_settings(settings)
{
}

void UsageDuty::tick()
{
    if (!m_settings.reportsUsage || !m_services.leadership.held())
        return;
    recordEra();
    const Milliseconds wall = m_services.wallTime();
    const Milliseconds delay = m_services.usageCountsDelay();
    const uint64_t current = m_services.usage.windowAt(wall);
    const auto waiting = static_cast<uint64_t>(delay / m_settings.usageWindow);
    for (uint64_t window = current - ReportableWindows - waiting; window < current; ++window) {
        if (wall < m_services.usage.windowEnd(window) + delay || m_reported.contains(window)
            || m_inProgress.contains(window))
            continue;
        m_inProgress.insert(window);
        sealOrReport(window);
    }
    m_reported.erase(m_reported.begin(), m_reported.lower_bound(current - RetainedWindows));
    m_seals.eraseBefore(current - RetainedWindows);
}

void UsageDuty::startEra(uint64_t era)
{
    const TimePoint now = core::BootClock::now();
    m_era = era;
    m_eraRecorded = m_recordingEra = false;
    m_eraObservedAt = m_services.wallTime();
    std::optional<Milliseconds> leaderSince;
    if (const auto since = m_services.leadership.leaderSinceBeforeEra())
        leaderSince = m_eraObservedAt - std::chrono::duration_cast<Milliseconds>(now - *since);
    m_seals.startEra(m_eraObservedAt, leaderSince);
}

void UsageDuty::onSealItem(const StoreItem &item)
{
    const auto window = windowOf(item.key);
    if (item.deleted || !window)
        return;
    const auto counts = decodeCounts(item.value);
    if (!counts.ok())
        core::Event("usage.seal.invalid").with("window", *window);
    else if (!m_seals.addSeal(*window, *counts))
        core::Event("usage.seal.conflict").with("window", *window).with("era", item.version.era);
    // Followers receive every seal as well; without this their memory would grow.
    m_seals.eraseBefore(*window - std::min(*window, RetainedWindows));
}

const StoreItem *UsageDuty::itemOfEra(const std::string &key) const
{
    const StoreItem *item = m_services.mirroredItem(key);
    return item && item->version.era == m_era ? item : nullptr;
}

// Records in the store when the current era was first observed, for gateways that start later.
void UsageDuty::recordEra()
{
    if (m_era == 0 || m_eraRecorded)
        return;
    const StoreItem *recorded = itemOfEra(EraKey);
    if (recorded) {
        uint64_t era = 0;
        int64_t observedMs = 0;
        const char *end = recorded->value.data() + recorded->value.size();
        const auto first = std::from_chars(recorded->value.data(), end, era);
        const bool readable = first.ec == std::errc() && first.ptr != end
            && std::from_chars(first.ptr + 1, end, observedMs).ec == std::errc();
        if (readable && era == m_era) {
            m_seals.limitEraStart(Milliseconds(observedMs));
            m_eraRecorded = true;
            return;
        }
    }
    if (std::exchange(m_recordingEra, true))
        return;
    StoreCommit commit;
    commit.expected.emplace_back(EraKey, recorded ? recorded->version.revision : 0);
    commit.writes.push_back({EraKey, core::concat(m_era, " ", m_eraObservedAt.count()), 0});
    m_services.store.commit(commit, [this](const absl::StatusOr<StoreVersion> &version) {
        m_recordingEra = false;
        if (!version.ok())
            core::Event("usage.era.failed").with("why", version.status().message());
    });
}

void UsageDuty::sealOrReport(uint64_t window)
{
    const TeamCounts *recorded = m_seals.find(window);
    if (const StoreItem *sealed = itemOfEra(windowKey(window))) {
        const auto counts = decodeCounts(sealed->value);
        if (counts.ok() && (!recorded || *recorded == *counts)) {
            report(window, *counts);
        } else {
            core::Event("usage.seal.unusable").with("window", window).with("readable", counts.ok());
            finish(window);
        }
        return;
    }
    if (recorded) {
        sealThenReport(window, TeamCounts(*recorded));
        return;
    }
    const TeamCounts counts = m_services.usage.total(window);
    if (counts.empty()) {
        finish(window); // No request started in this window, so there is no usage to report.
        return;
    }
    const Milliseconds dueAt = m_services.usage.windowEnd(window) + m_services.usageCountsDelay();
    if (!m_seals.maySeal(dueAt)) {
        core::Event("usage.skipped").with("window", window).with("era", m_era);
        finish(window);
        return;
    }
    sealThenReport(window, counts);
}

void UsageDuty::sealThenReport(uint64_t window, const TeamCounts &counts)
{
    StoreCommit commit;
    commit.expected.emplace_back(windowKey(window), 0);
    commit.writes.push_back({windowKey(window), encodeCounts(counts), 0});
    commit.deletes.push_back(windowKey(window - RetainedWindows));
    m_services.store.commit(commit,
                            [this, window, counts](const absl::StatusOr<StoreVersion> &version) {
                                if (version.ok()) {
                                    m_seals.addSeal(window, counts);
                                    report(window, counts);
                                    return;
                                }
                                // Another seal exists, or the outcome is unknown: the next attempt
                                // reads the seal from the mirror.
                                core::Event("usage.seal.failed")
                                    .with("window", window)
                                    .with("why", version.status().message());
                                m_inProgress.erase(window);
                            });
}

void UsageDuty::report(uint64_t window, const TeamCounts &counts)
{
    if (!m_services.leadership.held()) {
        m_inProgress.erase(window);
        return;
    }
    const platform::LeaderIdentity holder{m_settings.name, m_services.leadership.fencingToken()};
    m_services.httpClient.call(
        m_settings.platformAddress, platform::encodeUsageReport(holder, window, counts),
        ReportTimeout, [this, window](const http::CallResult &result) {
            const uint32_t status = result.response.ok() ? result.response->head.status : 0;
            core::Event("usage.reported")
                .with("window", window)
                .with("token", m_services.leadership.fencingToken())
                .with("status", status);
            if (status == http::status::Ok || status == http::status::Conflict)
                finish(window);
            else
                m_inProgress.erase(window);
        });
}

void UsageDuty::finish(uint64_t window)
{
    m_inProgress.erase(window);
    m_reported.insert(window);
}

StageDuty::StageDuty(DutyServices &services, const NodeSettings &settings)
    : m_services(services), m_settings(settings), m_planTimer(services.io)
{
}

void StageDuty::planSoon()
{
    if (!m_services.leadership.held() || std::exchange(m_planTimerRuns, true))
        return;
    m_planTimer.expires_after(NewEngineDelay);
    m_planTimer.async_wait([this](const boost::system::error_code &ec) {
        if (ec)
            return;
        m_planTimerRuns = false;
        if (m_services.leadership.held())
            plan(true);
    });
}

void StageDuty::tick()
{
    plan(false);
}

void StageDuty::plan(bool onlyNewEngines)
{
    const auto config = m_services.config();
    if (!config)
        return;
    const bool leads = m_services.leadership.held();
    const TimePoint now = core::BootClock::now();
    if (!leads)
        m_leadsSince = {};
    else if (m_leadsSince == TimePoint{})
        m_leadsSince = now;
    for (const auto &[name, service] : config->services) {
        if (!service.engine)
            continue;
        const std::vector<policy::StageView> views = viewsOf(name, now);
        policy::StageDemand demand;
        const policy::DecodeStepEstimator &decodeSteps = m_services.decodeSteps(name);
        demand.slots = std::max(1U, service.engine->slots);
        demand.assignsNewEngines = m_services.endpoints.statesPace();
        demand.decodeStepsKnown = decodeSteps.calibrated();
        const TokenRates rates = m_services.tokenRates();
        demand.promptTokensPerSecond = rates.promptPerSecond;
        if (const double prefillRate = m_services.prefillTokensPerSecond(); prefillRate > 0)
            demand.prefillTokensPerSecond = prefillRate;
        for (const policy::StageView &it : views)
            demand.busyDecodeSlots += it.prefill ? 0 : it.running;
        if (demand.decodeStepsKnown)
            demand.busyDecodeSlots = decodeSteps.slotsNeeded(rates.outputPerSecond, demand.slots);
        policy::StagePlanner &planner =
            m_planners.try_emplace(name, policy::StagePlannerSettings()).first->second;
        if (!leads) {
            planner.observeAsFollower(views, demand, now);
            continue;
        }
        const bool traffic = demand.promptTokensPerSecond > 0 || demand.busyDecodeSlots > 0;
        if (!traffic && awaitsPaces(name, now))
            continue;
        orderChanges(onlyNewEngines ? planner.planNewEngines(views, demand, now)
                                    : planner.plan(views, demand, now),
                     demand, rates, decodeSteps);
    }
}

void StageDuty::orderChanges(const std::vector<policy::StageChange> &changes,
                             const policy::StageDemand &demand, const TokenRates &rates,
                             const policy::DecodeStepEstimator &decodeSteps)
{
    for (const policy::StageChange &change : changes) {
        core::Event("stage.planned")
            .with("endpoint", change.id)
            .with("prefill", change.prefill)
            .with("new", change.newEngine)
            .with("prompt_tokens_per_s", demand.promptTokensPerSecond)
            .with("prefill_tokens_per_s", demand.prefillTokensPerSecond)
            .with("output_tokens_per_s", rates.outputPerSecond)
            .with("streams", demand.busyDecodeSlots)
            .with("step_ms", decodeSteps.stepMs(1))
            .with("full_step_ms", decodeSteps.stepMs(demand.slots));
        if (const EndpointPtr engine = m_services.endpoints.find(change.id))
            order(engine, change);
    }
}

std::vector<policy::StageView> StageDuty::viewsOf(const std::string &service, TimePoint now) const
{
    std::vector<policy::StageView> views;
    for (const EndpointPtr &it : m_services.endpoints.ofService(service)) {
        if (it->record.stage == Stage::None)
            continue;
        const bool healthy = it->health.state(now) == policy::OutlierDetector::State::Healthy;
        policy::StageView view;
        view.id = it->record.id;
        view.domain = it->record.domain;
        view.bornMs = it->record.bornMs;
        view.prefill = it->prefills();
        view.running = it->ownLoad.running + it->peerLoad.running;
        view.slowdown = it->pace.usual(now);
        view.lost = !it->acceptsWork() || !healthy;
        view.available = !view.lost && now >= it->pausedUntil && !it->inBackoff(now);
        view.unused = !view.lost && !it->inBackoff(now) && it->isUnused(now);
        views.push_back(std::move(view));
    }
    return views;
}

bool StageDuty::awaitsPaces(const std::string &service, TimePoint now) const
{
    bool anyKnown = false;
    bool allKnown = true;
    for (const EndpointPtr &it : m_services.endpoints.ofService(service)) {
        if (!it->acceptsWork())
            continue;
        anyKnown = anyKnown || it->pace.reportedAt() != TimePoint{};
        allKnown = allKnown && it->pace.known();
    }
    return anyKnown && !allKnown && now - m_leadsSince < AllPacesTime;
}

// The order contains the number of orders that the engine has accepted, so that the engine refuses
// an order that arrives late, after newer ones.
void StageDuty::order(const EndpointPtr &engine, const policy::StageChange &change)
{
    m_services.httpClient.call(
        engine->record.address, platform::encodeReportQuery(engine->record.id), OrderTimeout,
        [this, engine, change](const http::CallResult &result) {
            if (!result.response.ok()) {
                core::Event("stage.report.failed")
                    .with("endpoint", engine->record.id)
                    .with("why", result.response.status().message());
                recordRefusal(*engine, change);
                return;
            }
            applyAnswerNotices(*engine, platform::decodeResponseHead(result.response->head),
                               core::BootClock::now());
            const auto report = platform::decodeReport(*result.response);
            if (!report.ok() || report->changing) {
                core::Event("stage.report.unusable")
                    .with("endpoint", engine->record.id)
                    .with("changing", report.ok());
                if (!report.ok())
                    recordRefusal(*engine, change);
                return;
            }
            const bool used = engine->hadRequests
                || report->running + report->waiting + report->ordersAccepted > 0;
            if (change.newEngine && used) {
                core::Event("stage.order.omitted")
                    .with("endpoint", engine->record.id)
                    .with("running", report->running)
                    .with("waiting", report->waiting)
                    .with("orders", report->ordersAccepted);
                recordRefusal(*engine, change);
                return;
            }
            send(engine, change, report->ordersAccepted);
        },
        http::ConnectionMode::Dedicated);
}

void StageDuty::recordRefusal(const Endpoint &engine, const policy::StageChange &change)
{
    const auto planner = m_planners.find(engine.record.service);
    if (change.newEngine && planner != m_planners.end())
        planner->second.recordRefusedAssignment(engine.record.id);
}

void StageDuty::send(const EndpointPtr &engine, const policy::StageChange &change,
                     uint64_t ordersBefore)
{
    if (!m_services.leadership.held() || !engine->acceptsWork()
        || engine->inBackoff(core::BootClock::now())) {
        recordRefusal(*engine, change);
        return;
    }
    platform::StageOrder order;
    order.endpointId = engine->record.id;
    order.stage = change.prefill ? Stage::Prefill : Stage::Decode;
    order.holder = m_settings.name;
    order.fencingToken = m_services.leadership.fencingToken();
    order.expectedOrderCount = ordersBefore;
    const auto config = m_services.config();
    const ServiceConfig *service = nullptr;
    if (const auto it = config->services.find(engine->record.service); it != config->services.end())
        service = &it->second;
    const Milliseconds changeTime =
        service && service->engine ? service->engine->stageChangeTime : Milliseconds(0);
    m_services.httpClient.call(
        engine->record.address, platform::encodeStageOrder(order), OrderTimeout,
        [this, engine, change, changeTime,
         token = order.fencingToken](const http::CallResult &result) {
            const uint32_t status = result.response.ok() ? result.response->head.status : 0;
            if (result.response.ok())
                applyAnswerNotices(*engine, platform::decodeResponseHead(result.response->head),
                                   core::BootClock::now());
            core::Event("stage.ordered")
                .with("endpoint", engine->record.id)
                .with("prefill", change.prefill)
                .with("new", change.newEngine)
                .with("token", token)
                .with("status", status);
            core::incrementCounter("jujube_stage_orders_total",
                                   core::concat("status=\"", status, "\""));
            if (status == http::status::Accepted)
                engine->pausedUntil = core::BootClock::now() + changeTime + StageChangeMargin;
            else if (status != 0)
                recordRefusal(*engine, change);
        },
        http::ConnectionMode::Dedicated);
}

} // namespace jujube::serving
