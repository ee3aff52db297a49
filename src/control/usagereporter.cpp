#include "control/usagereporter.h"

#include "core/eventlog.h"
#include "core/text.h"
#include "wire/json.h"

#include <algorithm>

namespace jujube::control {

namespace {

constexpr core::Milliseconds CheckInterval{500};

QJsonObject figuresToJson(const TeamFigures &teams)
{
    QJsonObject object;
    for (const auto &[team, figures] : teams) {
        QJsonObject it;
        it["requests"] = wire::jsonNumber(figures.requests);
        it["prompt"] = wire::jsonNumber(figures.usage.promptTokens);
        it["cached"] = wire::jsonNumber(figures.usage.cachedTokens);
        it["output"] = wire::jsonNumber(figures.usage.outputTokens);
        object[wire::qstring(team)] = it;
    }
    return object;
}

TeamFigures figuresFromJson(const QJsonObject &object)
{
    TeamFigures teams;
    for (auto it = object.begin(); it != object.end(); ++it) {
        const QJsonObject value = it.value().toObject();
        state::UsageFigures figures;
        figures.requests = wire::uintMember(value, "requests");
        figures.usage = {wire::uintMember(value, "prompt"), wire::uintMember(value, "cached"),
                         wire::uintMember(value, "output")};
        teams[it.key().toStdString()] = figures;
    }
    return teams;
}

state::UsageFigures maxOf(const state::UsageFigures &a, const state::UsageFigures &b)
{
    state::UsageFigures result;
    result.requests = std::max(a.requests, b.requests);
    result.usage.promptTokens = std::max(a.usage.promptTokens, b.usage.promptTokens);
    result.usage.cachedTokens = std::max(a.usage.cachedTokens, b.usage.cachedTokens);
    result.usage.outputTokens = std::max(a.usage.outputTokens, b.usage.outputTokens);
    return result;
}

// Returns the part of \a total that is not included yet. It is never negative, because reported
// figures are not reduced.
state::UsageFigures uncounted(const state::UsageFigures &total, const state::UsageFigures &included)
{
    const auto above = [](uint64_t a, uint64_t b) { return a > b ? a - b : 0; };
    state::UsageFigures result;
    result.requests = above(total.requests, included.requests);
    result.usage.promptTokens = above(total.usage.promptTokens, included.usage.promptTokens);
    result.usage.cachedTokens = above(total.usage.cachedTokens, included.usage.cachedTokens);
    result.usage.outputTokens = above(total.usage.outputTokens, included.usage.outputTokens);
    return result;
}

void addFigures(TeamFigures &sum, const TeamFigures &more)
{
    for (const auto &[team, figures] : more)
        sum[team].add(figures);
}

} // namespace

std::string SealedWindow::serialize() const
{
    QJsonObject late;
    for (const auto &[from, figures] : adjustments)
        late[QString::number(from)] = figuresToJson(figures);
    QJsonObject object;
    object["window"] = wire::jsonNumber(window);
    object["term"] = wire::jsonNumber(term);
    object["reported"] = figuresToJson(reported);
    object["own"] = figuresToJson(own);
    object["adjustments"] = late;
    object["done"] = done;
    return wire::toJsonText(object);
}

absl::StatusOr<SealedWindow> SealedWindow::parse(const std::string &text)
{
    const auto object = wire::parseObject(text);
    if (!object.ok())
        return absl::DataLossError(core::concat("sealed window: ", object.status().message()));
    SealedWindow sealed;
    sealed.window = wire::uintMember(*object, "window");
    sealed.term = wire::uintMember(*object, "term");
    sealed.reported = figuresFromJson(object->value("reported").toObject());
    sealed.own = figuresFromJson(object->value("own").toObject());
    const QJsonObject late = object->value("adjustments").toObject();
    for (auto it = late.begin(); it != late.end(); ++it)
        sealed.adjustments[it.key().toULongLong()] = figuresFromJson(it.value().toObject());
    sealed.done = object->value("done").toBool();
    return sealed;
}

TeamFigures sumUsage(const std::vector<state::UsagePage> &pages,
                     const std::function<bool(uint64_t)> &isEntryAlive)
{
    struct PairKey
    {
        uint64_t entry = 0;
        uint64_t agent = 0;
        std::string team;
        auto operator<=>(const PairKey &) const = default;
    };
    struct BothCounts
    {
        state::UsageFigures entry;
        state::UsageFigures agent;
    };
    std::map<PairKey, BothCounts> pairs;
    for (const state::UsagePage &page : pages) {
        for (const state::UsageRow &row : page.rows) {
            if (page.side == state::UsageSide::Entry)
                pairs[{page.incarnation, row.peerIncarnation, row.team}].entry.add(row.figures);
            else
                pairs[{row.peerIncarnation, page.incarnation, row.team}].agent.add(row.figures);
        }
    }
    TeamFigures totals;
    for (const auto &[key, counts] : pairs) {
        const auto figures =
            isEntryAlive(key.entry) ? counts.entry : maxOf(counts.entry, counts.agent);
        if (figures != state::UsageFigures{})
            totals[key.team].add(figures);
    }
    return totals;
}

UsageReporter::UsageReporter(state::KvClient &kv, state::FleetClient &platform,
                             ReporterSettings settings, std::function<bool(uint64_t)> isEntryAlive)
    : m_kv(kv),
      m_platform(platform),
      m_settings(std::move(settings)),
      m_isEntryAlive(std::move(isEntryAlive))
{
}

std::string UsageReporter::sealedPrefix() const
{
    return core::concat("sealed/", m_settings.scope, "/");
}

wire::Task<void> UsageReporter::tick(uint64_t term, const state::LeaseHolder &lease)
{
    if (core::BootClock::now() < m_nextCheck)
        co_return;
    m_nextCheck = core::BootClock::now() + CheckInterval;
    if (m_loadedTerm != term) {
        if (!co_await loadSealedWindows())
            co_return;
        m_loadedTerm = term;
    }
    const uint64_t newest = newestClosedWindow();
    const bool newestSealed = !m_sealed.empty() && m_sealed.rbegin()->first >= newest;
    if (!newestSealed && !co_await sealThrough(newest, term, lease))
        co_return;
    for (auto &[window, sealed] : m_sealed) {
        if (!sealed.done && !co_await report(sealed, term, lease))
            co_return;
    }
    co_await removeOldWindows(newest);
}

uint64_t UsageReporter::newestClosedWindow() const
{
    const uint64_t open =
        state::windowStartSeconds(core::wallTime() - m_settings.grace, m_settings.window);
    return open - static_cast<uint64_t>(m_settings.window.count());
}

// Seals every closed window that has pages, oldest first, and the newest one even without pages,
// because it includes the late counts of windows that were sealed before.
wire::Task<bool> UsageReporter::sealThrough(uint64_t newest, uint64_t term,
                                            const state::LeaseHolder &lease)
{
    if (!co_await collectChangedWindows())
        co_return false;
    const uint64_t lastSealed = m_sealed.empty() ? 0 : m_sealed.rbegin()->first;
    std::vector<uint64_t> unsealed;
    for (const uint64_t window : m_changedWindows) {
        if (window > lastSealed && window < newest)
            unsealed.push_back(window);
    }
    for (const uint64_t window : unsealed) {
        if (!lease.held() || !co_await seal(window, {}, term))
            co_return false;
        m_changedWindows.erase(window);
    }
    std::vector<uint64_t> late;
    for (const uint64_t window : m_changedWindows) {
        if (window < newest)
            late.push_back(window);
    }
    if (!lease.held() || !co_await seal(newest, late, term))
        co_return false;
    std::erase_if(m_changedWindows, [newest](uint64_t window) { return window <= newest; });
    co_return true;
}

// Finds the pages written since the last call, of windows of any age, in a single request.
wire::Task<bool> UsageReporter::collectChangedWindows()
{
    const std::string prefix = state::usagePrefix(m_settings.scope);
    const auto changes = co_await m_kv.watch(prefix, m_usageRevision, core::Milliseconds(0));
    if (!changes.ok())
        co_return false;
    for (const state::KvEntry &it : changes->entries) {
        if (!it.deleted)
            m_changedWindows.insert(std::strtoull(it.key.c_str() + prefix.size(), nullptr, 10));
    }
    m_usageRevision = changes->revision;
    co_return true;
}

wire::Task<bool> UsageReporter::loadSealedWindows()
{
    const auto listing = co_await m_kv.list(sealedPrefix());
    if (!listing.ok())
        co_return false;
    m_sealed.clear();
    m_changedWindows.clear();
    m_usageRevision = 0;
    for (const state::KvEntry &it : listing->entries) {
        const auto sealed = SealedWindow::parse(it.value);
        if (sealed.ok())
            m_sealed[sealed->window] = *sealed;
    }
    co_return true;
}

wire::Task<absl::StatusOr<TeamFigures>> UsageReporter::sumWindow(uint64_t window)
{
    const auto listing = co_await m_kv.list(state::usagePrefix(m_settings.scope, window));
    if (!listing.ok())
        co_return listing.status();
    std::vector<state::UsagePage> pages;
    for (const state::KvEntry &it : listing->entries) {
        const auto page = state::UsagePage::parse(it.value);
        if (!page.ok())
            co_return page.status();
        pages.push_back(*page);
    }
    co_return sumUsage(pages, m_isEntryAlive);
}

// A window is sealed before its first report, so that every report of it has the same figures, even
// if this process fails and its successor repeats the report.
wire::Task<bool> UsageReporter::seal(uint64_t window, std::vector<uint64_t> lateWindows,
                                     uint64_t term)
{
    SealedWindow sealed;
    sealed.window = window;
    sealed.term = term;
    const auto own = co_await sumWindow(window);
    if (!own.ok())
        co_return false;
    sealed.own = *own;
    sealed.reported = *own;
    for (const uint64_t earlier : lateWindows) {
        const auto now = co_await sumWindow(earlier);
        if (!now.ok())
            co_return false;
        const TeamFigures included = alreadyReported(earlier);
        for (const auto &[team, figures] : *now) {
            const auto it = included.find(team);
            const auto late =
                uncounted(figures, it == included.end() ? state::UsageFigures{} : it->second);
            if (late == state::UsageFigures{})
                continue;
            sealed.adjustments[earlier][team] = late;
            sealed.reported[team].add(late);
        }
    }
    const std::string key = core::concat(sealedPrefix(), window);
    const auto written = co_await m_kv.update(
        key, [&sealed](const state::KvEntry &entry) -> absl::StatusOr<std::string> {
            // Sealed by an earlier controller, whose figures are used.
            if (entry.revision != 0)
                return absl::AlreadyExistsError(entry.value);
            return sealed.serialize();
        });
    if (!written.ok() && !absl::IsAlreadyExists(written.status()))
        co_return false;
    if (!written.ok()) {
        const auto existing = SealedWindow::parse(std::string(written.status().message()));
        if (!existing.ok())
            co_return false;
        sealed = *existing;
    }
    core::Event("usage.sealed").with("window", window).with("teams", sealed.reported.size());
    m_sealed[window] = sealed;
    co_return true;
}

TeamFigures UsageReporter::alreadyReported(uint64_t window) const
{
    TeamFigures included;
    const auto it = m_sealed.find(window);
    if (it != m_sealed.end())
        included = it->second.own;
    for (const auto &[later, sealed] : m_sealed) {
        const auto late = sealed.adjustments.find(window);
        if (late != sealed.adjustments.end())
            addFigures(included, late->second);
    }
    return included;
}

wire::Task<bool> UsageReporter::report(SealedWindow &sealed, uint64_t term,
                                       const state::LeaseHolder &lease)
{
    for (const auto &[team, figures] : sealed.reported) {
        const auto received = co_await m_platform.isReportReceived(team, sealed.window);
        if (!received.ok() || !lease.held())
            co_return false;
        if (*received)
            continue;
        const state::UsageReport message{team, sealed.window, term, figures.requests,
                                         figures.usage};
        const absl::Status sent = co_await m_platform.sendReport(message, {lease.validUntil()});
        core::Event("usage.reported")
            .with("team", team)
            .with("window", sealed.window)
            .with("requests", figures.requests)
            .with("output_tokens", figures.usage.outputTokens)
            .with("result", sent.ok() ? "ok" : sent.message());
        if (!sent.ok())
            co_return false;
    }
    const std::string key = core::concat(sealedPrefix(), sealed.window);
    const auto written =
        co_await m_kv.update(key, [](const state::KvEntry &entry) -> absl::StatusOr<std::string> {
            auto stored = SealedWindow::parse(entry.value);
            if (!stored.ok())
                return stored.status();
            stored->done = true;
            return stored->serialize();
        });
    sealed.done = written.ok();
    co_return written.ok();
}

wire::Task<void> UsageReporter::removeOldWindows(uint64_t newest)
{
    const uint64_t oldestKept = newest - static_cast<uint64_t>(m_settings.retention.count());
    while (!m_sealed.empty() && m_sealed.begin()->first < oldestKept
           && m_sealed.begin()->second.done) {
        const uint64_t window = m_sealed.begin()->first;
        const auto pages = co_await m_kv.list(state::usagePrefix(m_settings.scope, window));
        if (!pages.ok())
            co_return;
        for (const state::KvEntry &it : pages->entries)
            co_await m_kv.remove(it.key, it.revision);
        const auto sealed = co_await m_kv.get(core::concat(sealedPrefix(), window));
        if (sealed.ok() && sealed->revision != 0)
            co_await m_kv.remove(sealed->key, sealed->revision);
        m_sealed.erase(window);
    }
}

} // namespace jujube::control
