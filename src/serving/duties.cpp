#include "serving/duties.h"

#include "core/eventlog.h"
#include "core/metrics.h"
#include "core/text.h"
#include "platform/dutycodec.h"
#include "platform/requestcodec.h"
#include "wire/json.h"

#include <algorithm>
#include <charconv>

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;

// Windows that are looked after: reports are due within two windows after the end.
constexpr uint64_t WindowsBack = 3;
// Sealed figures are kept this long for a successor that has to repeat a report.
constexpr uint64_t WindowsKept = 8;
constexpr Milliseconds ReportTimeout{1'500};
constexpr Milliseconds OrderTimeout{1'000};
// An engine whose order was taken gets no work until its entry shows the new stage, or this long.
constexpr Milliseconds ChangeAllowance{1'500};

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

} // namespace

std::string encodeCounts(const TeamCounts &counts)
{
    QJsonObject object;
    for (const auto &[team, n] : counts)
        object.insert(wire::qstring(team), static_cast<qint64>(n));
    return wire::toText(object);
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
    followEra();
    const Milliseconds wall = m_services.wallTime();
    const Milliseconds delay = m_services.countsDelay();
    const uint64_t current = m_services.usage.windowAt(wall);
    const auto waiting = static_cast<uint64_t>(delay / m_settings.usageWindow);
    for (uint64_t window = current - WindowsBack - waiting; window < current; ++window) {
        if (wall < m_services.usage.endOf(window) + delay || m_reported.contains(window)
            || m_underWay.contains(window))
            continue;
        m_underWay.insert(window);
        seal(window);
    }
    m_reported.erase(m_reported.begin(), m_reported.lower_bound(current - WindowsKept));
    m_seals.forgetBefore(current - WindowsKept);
}

void UsageDuty::startEra(uint64_t era)
{
    const TimePoint now = core::BootClock::now();
    m_era = era;
    m_eraTold = m_tellingEra = false;
    m_eraHeardAt = m_services.wallTime();
    std::optional<Milliseconds> ledSince;
    if (const auto since = m_services.leadership.ledIntoEra())
        ledSince = m_eraHeardAt - std::chrono::duration_cast<Milliseconds>(now - *since);
    m_seals.startEra(m_eraHeardAt, ledSince);
}

void UsageDuty::noteSealed(const StoreItem &item)
{
    const auto window = windowOf(item.key);
    if (item.deleted || !window)
        return;
    const auto counts = decodeCounts(item.value);
    if (!counts.ok())
        core::Event("usage.seal.invalid").with("window", *window);
    else if (!m_seals.note(*window, *counts))
        core::Event("usage.seal.conflict").with("window", *window).with("era", item.version.era);
    // Followers receive every seal as well; without this their memory would grow.
    m_seals.forgetBefore(*window - std::min(*window, WindowsKept));
}

const StoreItem *UsageDuty::present(const std::string &key) const
{
    const StoreItem *item = m_services.mirrored(key);
    return item && item->version.era == m_era ? item : nullptr;
}

// Records in the store when the present era was first observed, for gateways that start later.
void UsageDuty::followEra()
{
    if (m_era == 0 || m_eraTold)
        return;
    const StoreItem *known = present(EraKey);
    if (known) {
        uint64_t era = 0;
        int64_t heardMs = 0;
        const char *end = known->value.data() + known->value.size();
        const auto first = std::from_chars(known->value.data(), end, era);
        const bool readable = first.ec == std::errc() && first.ptr != end
            && std::from_chars(first.ptr + 1, end, heardMs).ec == std::errc();
        if (readable && era == m_era) {
            m_seals.eraBeganBefore(Milliseconds(heardMs));
            m_eraTold = true;
            return;
        }
    }
    if (std::exchange(m_tellingEra, true))
        return;
    StoreCommit commit;
    commit.expected.emplace_back(EraKey, known ? known->version.revision : 0);
    commit.writes.push_back({EraKey, core::concat(m_era, " ", m_eraHeardAt.count()), 0});
    m_services.store.commit(commit, [this](const absl::StatusOr<StoreVersion> &version) {
        m_tellingEra = false;
        if (!version.ok())
            core::Event("usage.era.failed").with("why", version.status().message());
    });
}

void UsageDuty::seal(uint64_t window)
{
    const TeamCounts *known = m_seals.find(window);
    if (const StoreItem *sealed = present(windowKey(window))) {
        const auto counts = decodeCounts(sealed->value);
        if (counts.ok() && (!known || *known == *counts)) {
            report(window, *counts);
        } else {
            core::Event("usage.seal.unusable").with("window", window).with("readable", counts.ok());
            done(window);
        }
        return;
    }
    if (known) {
        sealThenReport(window, TeamCounts(*known));
        return;
    }
    const TeamCounts counts = m_services.usage.total(window);
    if (counts.empty()) {
        done(window); // Nothing began: there is nothing to bill.
        return;
    }
    const Milliseconds dueAt = m_services.usage.endOf(window) + m_services.countsDelay();
    if (!m_seals.maySeal(dueAt)) {
        core::Event("usage.skipped").with("window", window).with("era", m_era);
        done(window);
        return;
    }
    sealThenReport(window, counts);
}

void UsageDuty::sealThenReport(uint64_t window, const TeamCounts &counts)
{
    StoreCommit commit;
    commit.expected.emplace_back(windowKey(window), 0);
    commit.writes.push_back({windowKey(window), encodeCounts(counts), 0});
    commit.deletes.push_back(windowKey(window - WindowsKept));
    m_services.store.commit(commit,
                            [this, window, counts](const absl::StatusOr<StoreVersion> &version) {
                                if (version.ok()) {
                                    m_seals.note(window, counts);
                                    report(window, counts);
                                    return;
                                }
                                // Lost to an earlier seal, or unknown: the mirror will tell what is
                                // sealed.
                                core::Event("usage.seal.failed")
                                    .with("window", window)
                                    .with("why", version.status().message());
                                m_underWay.erase(window);
                            });
}

void UsageDuty::report(uint64_t window, const TeamCounts &counts)
{
    if (!m_services.leadership.held()) {
        m_underWay.erase(window);
        return;
    }
    const platform::DutyHolder holder{m_settings.name, m_services.leadership.fencingToken()};
    m_services.caller.call(m_settings.platformAddress, platform::usageCall(holder, window, counts),
                           ReportTimeout, [this, window](const http::CallResult &result) {
                               const uint32_t status =
                                   result.response.ok() ? result.response->head.status : 0;
                               core::Event("usage.reported")
                                   .with("window", window)
                                   .with("token", m_services.leadership.fencingToken())
                                   .with("status", status);
                               if (status == http::status::Ok || status == http::status::Conflict)
                                   done(window);
                               else
                                   m_underWay.erase(window);
                           });
}

void UsageDuty::done(uint64_t window)
{
    m_underWay.erase(window);
    m_reported.insert(window);
}

StageDuty::StageDuty(DutyServices &services, const NodeSettings &settings)
    : m_services(services), m_settings(settings)
{
}

void StageDuty::tick()
{
    const auto config = m_services.config();
    if (!config)
        return;
    const bool leads = m_services.leadership.held();
    const TimePoint now = core::BootClock::now();
    for (const auto &[name, service] : config->services) {
        if (!service.engine)
            continue;
        std::vector<policy::StageView> views;
        policy::StageDemand demand;
        const policy::DecodeStepEstimator &pace = m_services.pace(name);
        demand.slots = std::max(1U, service.engine->slots);
        demand.decodeRateKnown = pace.calibrated();
        const TokenRates rates = m_services.tokenRates();
        demand.promptTokensPerSecond = rates.prompt;
        if (const double pace = m_services.prefillTokensPerSecond(); pace > 0)
            demand.prefillTokensPerSecond = pace;
        for (const EndpointPtr &it : m_services.endpoints.ofService(name)) {
            if (it->record.stage == Stage::None)
                continue;
            policy::StageView view;
            view.id = it->record.id;
            view.domain = it->record.domain;
            view.prefill = it->prefills();
            view.running = it->own.running + it->peers.running;
            view.available = it->acceptsWork() && now >= it->pausedUntil && !it->backsOff(now)
                && it->health.state(now) == policy::OutlierDetector::State::Healthy;
            if (!view.prefill)
                demand.busyDecodeSlots += view.running;
            views.push_back(std::move(view));
        }
        if (demand.decodeRateKnown)
            demand.busyDecodeSlots = pace.slotsNeeded(rates.output, demand.slots);
        policy::StagePlanner &planner =
            m_planners.try_emplace(name, policy::StagePlannerSettings()).first->second;
        if (!leads) {
            planner.observeAsFollower(views, demand, now);
            continue;
        }
        const auto changes = planner.plan(views, demand, now);
        for (const policy::StageChange &change : changes) {
            core::Event("stage.planned")
                .with("endpoint", change.id)
                .with("prefill", change.prefill)
                .with("prompt_tokens_per_s", demand.promptTokensPerSecond)
                .with("prefill_tokens_per_s", demand.prefillTokensPerSecond)
                .with("output_tokens_per_s", rates.output)
                .with("streams", demand.busyDecodeSlots)
                .with("step_ms", pace.stepMs(1))
                .with("full_step_ms", pace.stepMs(demand.slots));
            if (const EndpointPtr engine = m_services.endpoints.find(change.id))
                order(engine, change.prefill);
        }
    }
}

// The number of orders that the engine has accepted is part of the order, so that one that is
// carried out late, after newer ones, is refused by the engine.
void StageDuty::order(const EndpointPtr &engine, bool prefill)
{
    m_services.caller.call(
        engine->record.address, platform::reportCall(engine->record.id), OrderTimeout,
        [this, engine, prefill](const http::CallResult &result) {
            if (!result.response.ok()) {
                core::Event("stage.report.failed")
                    .with("endpoint", engine->record.id)
                    .with("why", result.response.status().message());
                return;
            }
            noteNotices(*engine, platform::decodeAnswer(result.response->head),
                        core::BootClock::now());
            const auto report = platform::decodeReport(*result.response);
            if (!report.ok() || report->changing) {
                core::Event("stage.report.unusable")
                    .with("endpoint", engine->record.id)
                    .with("changing", report.ok());
                return;
            }
            send(engine, prefill, report->ordersAccepted);
        },
        http::Connections::Own);
}

void StageDuty::send(const EndpointPtr &engine, bool prefill, uint64_t ordersBefore)
{
    if (!m_services.leadership.held() || !engine->acceptsWork()
        || engine->backsOff(core::BootClock::now()))
        return;
    platform::StageOrder order;
    order.endpointId = engine->record.id;
    order.stage = prefill ? Stage::Prefill : Stage::Decode;
    order.holder = m_settings.name;
    order.fencingToken = m_services.leadership.fencingToken();
    order.ordersBefore = ordersBefore;
    const auto config = m_services.config();
    const ServiceFacts *service = nullptr;
    if (const auto it = config->services.find(engine->record.service); it != config->services.end())
        service = &it->second;
    const Milliseconds change =
        service && service->engine ? service->engine->stageChange : Milliseconds(0);
    m_services.caller.call(
        engine->record.address, platform::stageOrderCall(order), OrderTimeout,
        [engine, prefill, change, token = order.fencingToken](const http::CallResult &result) {
            const uint32_t status = result.response.ok() ? result.response->head.status : 0;
            if (result.response.ok())
                noteNotices(*engine, platform::decodeAnswer(result.response->head),
                            core::BootClock::now());
            core::Event("stage.ordered")
                .with("endpoint", engine->record.id)
                .with("prefill", prefill)
                .with("token", token)
                .with("status", status);
            core::countMetric("jujube_stage_orders_total", core::concat("status=\"", status, "\""));
            if (status == http::status::Accepted)
                engine->pausedUntil = core::BootClock::now() + change + ChangeAllowance;
        },
        http::Connections::Own);
}

} // namespace jujube::serving
