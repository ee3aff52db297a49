#pragma once

/** \file
 * Defines the usage counts of one process and their storage in the KV.
 */

#include "core/work.h"
#include "state/kvclient.h"

#include <compare>
#include <map>
#include <string>
#include <vector>

namespace jujube::state {

/** The process that counted a request: the entry that received it or the agent that ran it. */
enum class UsageSide { Entry, Agent };

/** Sums over the requests of one team between one entry and one agent. */
struct UsageFigures
{
    uint64_t requests = 0;
    core::Usage usage;

    void add(const UsageFigures &other);
    bool operator==(const UsageFigures &) const = default;
};

/** Sums of one process in one window for one peer process and one team. */
struct UsageRow
{
    uint64_t peerIncarnation = 0; ///< Of the agent for an entry's page, and vice versa.
    std::string team;
    UsageFigures figures;
};

/** The counts of one process for one window, as stored in the KV. */
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

/** Start, in seconds since the Unix epoch, of the window that contains a wall-clock time. */
uint64_t windowStartSeconds(std::chrono::milliseconds wall, std::chrono::seconds length);

/** Counts requests and writes the counts to the KV, one page for each window.
 *
 * A page holds sums for each peer process and team rather than a record for each request, so its
 * size depends on the number of peers and teams and not on the traffic.
 */
class UsageLedger
{
public:
    UsageLedger(KvClient &kv, std::string scope, UsageSide side, uint64_t incarnation);

    /** Adds figures to a window, which is identified by its start, see windowStartSeconds(). */
    void count(uint64_t window, uint64_t peerIncarnation, const std::string &team,
               const UsageFigures &figures);
    /** Writes every page that has changed since its last write. Stops at the first error. */
    wire::Task<absl::Status> flush();
    /** Whether all counts have been written. */
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
