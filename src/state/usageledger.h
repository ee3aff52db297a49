#pragma once

/** \file
 * Defines the usage counts of one process and how they reach the KV.
 */

#include "core/work.h"
#include "state/kvclient.h"

#include <compare>
#include <map>
#include <string>
#include <vector>

namespace jujube::state {

/** Which end of a request counted it. */
enum class UsageSide { Entry, Agent };

/** Counts of the requests of one team between one entry and one agent. */
struct UsageFigures
{
    uint64_t requests = 0;
    core::Usage usage;

    void add(const UsageFigures &other);
    bool operator==(const UsageFigures &) const = default;
};

/** The counts one process keeps for one window, by the process at the other end and the team. */
struct UsageRow
{
    uint64_t peerIncarnation = 0; ///< Incarnation of the process at the other end.
    std::string team;
    UsageFigures figures;
};

/** What a process wrote for one window. */
struct UsagePage
{
    UsageSide side = UsageSide::Entry;
    uint64_t incarnation = 0;
    std::vector<UsageRow> rows;

    std::string serialize() const;
    static absl::StatusOr<UsagePage> parse(const std::string &text);
};

/** Prefix of all usage pages of a scope: usage/SCOPE/. */
std::string usagePrefix(const std::string &scope);

/** Prefix of all usage pages of a window: usage/SCOPE/WINDOW/. */
std::string usagePrefix(const std::string &scope, uint64_t window);

/** Start, in seconds since the epoch, of the window that a wall-clock time lies in. */
uint64_t windowStartSeconds(std::chrono::milliseconds wall, std::chrono::seconds length);

/** Counts requests and writes the counts to the KV in one page a window.
 *
 * The counts are cumulative sums for each pair of processes, not records for each request, so the
 * size of a page depends on the teams and peers of a process and not on its traffic.
 */
class UsageLedger
{
public:
    UsageLedger(KvClient &kv, std::string scope, UsageSide side, uint64_t incarnation);

    void count(uint64_t window, uint64_t peerIncarnation, const std::string &team,
               const UsageFigures &figures);
    /** Writes every page that changed since it was last written. */
    wire::Task<absl::Status> flush();
    /** Whether everything counted has been written. */
    bool allWritten() const;

private:
    struct RowKey
    {
        uint64_t peerIncarnation = 0;
        std::string team;
        auto operator<=>(const RowKey &) const = default;
    };
    struct Page
    {
        std::map<RowKey, UsageFigures> rows;
        uint64_t changeCount = 0;
        uint64_t writtenChangeCount = 0;
        uint64_t revision = 0;
    };

    std::string pageText(const Page &page) const;
    wire::Task<absl::Status> flushPage(uint64_t window);

    KvClient &m_kv;
    std::string m_scope;
    UsageSide m_side;
    uint64_t m_incarnation;
    std::map<uint64_t, Page> m_pages;
};

} // namespace jujube::state
