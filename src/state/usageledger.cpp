#include "state/usageledger.h"

#include "core/text.h"
#include "wire/json.h"

namespace jujube::state {

namespace {

// Nothing changes the pages of older windows any more, so they are dropped once written.
constexpr size_t MaxRetainedPages = 32;

std::string_view sideName(UsageSide side)
{
    return side == UsageSide::Entry ? "entry" : "agent";
}

} // namespace

void UsageFigures::add(const UsageFigures &other)
{
    requests += other.requests;
    usage.promptTokens += other.usage.promptTokens;
    usage.cachedTokens += other.usage.cachedTokens;
    usage.outputTokens += other.usage.outputTokens;
}

std::string UsagePage::serialize() const
{
    QJsonArray array;
    for (const UsageRow &row : rows) {
        QJsonObject object;
        object["peer"] = QString::number(row.peerIncarnation);
        object["team"] = wire::qstring(row.team);
        object["requests"] = wire::jsonNumber(row.figures.requests);
        object["prompt"] = wire::jsonNumber(row.figures.usage.promptTokens);
        object["cached"] = wire::jsonNumber(row.figures.usage.cachedTokens);
        object["output"] = wire::jsonNumber(row.figures.usage.outputTokens);
        array.append(object);
    }
    QJsonObject page;
    page["side"] = wire::qstring(sideName(side));
    page["incarnation"] = QString::number(incarnation);
    page["rows"] = array;
    return wire::toJsonText(page);
}

absl::StatusOr<UsagePage> UsagePage::parse(const std::string &text)
{
    const auto object = wire::parseObject(text);
    if (!object.ok())
        return absl::DataLossError(core::concat("usage page: ", object.status().message()));
    UsagePage page;
    page.side =
        wire::stringMember(*object, "side") == "agent" ? UsageSide::Agent : UsageSide::Entry;
    page.incarnation = wire::uintMember(*object, "incarnation");
    for (const auto &it : object->value("rows").toArray()) {
        const QJsonObject row = it.toObject();
        UsageFigures figures;
        figures.requests = wire::uintMember(row, "requests");
        figures.usage = {wire::uintMember(row, "prompt"), wire::uintMember(row, "cached"),
                         wire::uintMember(row, "output")};
        page.rows.push_back(
            {wire::uintMember(row, "peer"), wire::stringMember(row, "team"), figures});
    }
    return page;
}

std::string usagePrefix(const std::string &scope)
{
    return core::concat("usage/", scope, "/");
}

std::string usagePrefix(const std::string &scope, uint64_t window)
{
    return core::concat(usagePrefix(scope), window, "/");
}

uint64_t windowStartSeconds(std::chrono::milliseconds wall, std::chrono::seconds length)
{
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(wall).count();
    return static_cast<uint64_t>(seconds - seconds % length.count());
}

UsageLedger::UsageLedger(KvClient &kv, std::string scope, UsageSide side, uint64_t incarnation)
    : m_kv(kv), m_scope(std::move(scope)), m_side(side), m_incarnation(incarnation)
{
}

void UsageLedger::count(uint64_t window, uint64_t peerIncarnation, const std::string &team,
                        const UsageFigures &figures)
{
    Page &page = m_pages[window];
    page.rows[{peerIncarnation, team}].add(figures);
    ++page.changeCount;
}

bool UsageLedger::allWritten() const
{
    for (const auto &[window, page] : m_pages) {
        if (page.changeCount != page.writtenChangeCount)
            return false;
    }
    return true;
}

wire::Task<absl::Status> UsageLedger::flush()
{
    std::vector<uint64_t> changed;
    for (const auto &[window, page] : m_pages) {
        if (page.changeCount != page.writtenChangeCount)
            changed.push_back(window);
    }
    for (const uint64_t window : changed) {
        const absl::Status status = co_await flushPage(window);
        if (!status.ok())
            co_return status;
    }
    while (m_pages.size() > MaxRetainedPages
           && m_pages.begin()->second.changeCount == m_pages.begin()->second.writtenChangeCount)
        m_pages.erase(m_pages.begin());
    co_return absl::OkStatus();
}

wire::Task<absl::Status> UsageLedger::flushPage(uint64_t window)
{
    const std::string key =
        core::concat(usagePrefix(m_scope, window), sideName(m_side), "-", m_incarnation);
    const uint64_t changeCount = m_pages[window].changeCount;
    const std::string text = pageText(m_pages[window]);
    auto revision = co_await m_kv.compareAndSwap(key, m_pages[window].revision, text);
    if (!revision.ok() && (isConflict(revision.status()) || isOutcomeUnknown(revision.status()))) {
        // Only this process writes the key, so a conflict means that the response to an earlier
        // write was lost.
        const auto current = co_await m_kv.get(key);
        if (!current.ok())
            co_return current.status();
        m_pages[window].revision = current->revision;
        if (current->value == text)
            revision = current->revision;
        else
            revision = co_await m_kv.compareAndSwap(key, current->revision, text);
    }
    if (!revision.ok())
        co_return revision.status();
    m_pages[window].revision = *revision;
    m_pages[window].writtenChangeCount = changeCount;
    co_return absl::OkStatus();
}

std::string UsageLedger::pageText(const Page &page) const
{
    UsagePage result;
    result.side = m_side;
    result.incarnation = m_incarnation;
    for (const auto &[key, figures] : page.rows)
        result.rows.push_back({key.peerIncarnation, key.team, figures});
    return result.serialize();
}

} // namespace jujube::state
