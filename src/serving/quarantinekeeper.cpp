#include "serving/quarantinekeeper.h"

#include "core/eventlog.h"
#include "core/metrics.h"
#include "core/text.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <charconv>
#include <xxhash.h>

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;

constexpr int KeyBase = 16;
// The longest lifetime of a lease; the entry of a quarantine ends with it.
constexpr Milliseconds EntryLifetime{600'000};
// Gateways decide at the same time, and one of them has to write the entry.
constexpr uint64_t WriteSpreadMs = 1'000;
constexpr Milliseconds WriteRetryDelay{1'000};

std::string keyOf(uint64_t block)
{
    return core::concat(QuarantineKeeper::Prefix, absl::Hex(block));
}

std::optional<uint64_t> blockOf(std::string_view key)
{
    key.remove_prefix(std::string_view(QuarantineKeeper::Prefix).size());
    uint64_t block = 0;
    const auto [end, ec] = std::from_chars(key.data(), key.data() + key.size(), block, KeyBase);
    if (ec != std::errc() || end != key.data() + key.size())
        return std::nullopt;
    return block;
}

} // namespace

uint64_t incarnationHash(const EndpointRecord &record)
{
    return XXH3_64bits_withSeed(record.id.data(), record.id.size(),
                                static_cast<uint64_t>(record.bornMs));
}

QuarantineKeeper::QuarantineKeeper(StoreClient &store, std::string name)
    : m_store(store), m_name(std::move(name))
{
}

std::vector<uint64_t> QuarantineKeeper::sharedBlocks(const std::string &service,
                                                     const std::vector<PrefixBlock> &blocks)
{
    std::vector<uint64_t> keys;
    for (size_t i = 0; i + 1 < blocks.size(); ++i)
        keys.push_back(policy::blockKey(service, blocks[i].id));
    return keys;
}

void QuarantineKeeper::recordCrash(const std::vector<uint64_t> &blocks,
                                   const EndpointRecord &endpoint, const std::string &requestId)
{
    if (blocks.empty())
        return;
    m_quarantine.recordCrash(blocks, incarnationHash(endpoint), core::BootClock::now());
    for (const uint64_t block : blocks)
        core::Event("block.suspected")
            .with("block", core::concat(absl::Hex(block)))
            .with("endpoint", endpoint.id)
            .with("request", requestId);
    decide();
}

void QuarantineKeeper::recordSuccess(const std::vector<uint64_t> &blocks)
{
    m_quarantine.recordSuccess(blocks, core::BootClock::now());
}

std::optional<Milliseconds> QuarantineKeeper::timeLeft(const std::vector<uint64_t> &blocks) const
{
    return m_quarantine.timeLeft(blocks, core::BootClock::now());
}

bool QuarantineKeeper::suspects(const std::vector<uint64_t> &blocks) const
{
    return m_quarantine.suspects(blocks, core::BootClock::now());
}

void QuarantineKeeper::merge(const policy::BlockReport &report)
{
    m_quarantine.merge(report, core::BootClock::now());
    if (!report.crashes.empty())
        decide();
}

void QuarantineKeeper::onItem(const StoreItem &item)
{
    const auto block = blockOf(item.key);
    if (!block) {
        core::Event("block.entry.ignored").with("key", item.key);
        return;
    }
    m_quarantine.setStored(*block, !item.deleted, core::BootClock::now());
    if (item.deleted)
        m_storedRevisions.erase(*block);
    else
        m_storedRevisions[*block] = item.version.revision;
    core::Event(item.deleted ? "block.entry.removed" : "block.entry.known")
        .with("block", core::concat(absl::Hex(*block)))
        .with("revision", item.version.revision);
}

void QuarantineKeeper::decide()
{
    const TimePoint now = core::BootClock::now();
    for (const uint64_t block : m_quarantine.update(now)) {
        core::incrementCounter("jujube_blocks_quarantined_total");
        core::Event("block.quarantined").with("block", core::concat(absl::Hex(block)));
        const uint64_t spread = XXH3_64bits_withSeed(m_name.data(), m_name.size(), block);
        m_writeFrom[block] = now + Milliseconds(spread % WriteSpreadMs);
    }
}

void QuarantineKeeper::tick(bool mayWrite)
{
    decide();
    if (!mayWrite)
        return;
    const TimePoint now = core::BootClock::now();
    const std::vector<uint64_t> lasting = m_quarantine.lasting();
    for (const uint64_t block : lasting) {
        if (!m_storedRevisions.contains(block) && !m_inProgress.contains(block)
            && now >= m_writeFrom[block])
            write(block);
    }
    std::erase_if(m_writeFrom, [&](const auto &it) {
        return std::find(lasting.begin(), lasting.end(), it.first) == lasting.end();
    });
    for (const auto &[block, revision] : m_storedRevisions) {
        if (!m_quarantine.refuted(block) || !m_inProgress.insert(block).second)
            continue;
        core::Event("block.cleared").with("block", core::concat(absl::Hex(block)));
        StoreCommit commit;
        commit.expected.emplace_back(keyOf(block), revision);
        commit.deletes.push_back(keyOf(block));
        m_store.commit(commit, [this, block = block](const absl::StatusOr<StoreVersion> &) {
            m_inProgress.erase(block);
        });
    }
}

void QuarantineKeeper::write(uint64_t block)
{
    m_inProgress.insert(block);
    m_writeFrom[block] = core::BootClock::now() + WriteRetryDelay;
    m_store.grantLease(EntryLifetime, [this, block](const absl::StatusOr<uint64_t> &lease) {
        if (!lease.ok()) {
            m_inProgress.erase(block);
            return;
        }
        StoreCommit commit;
        commit.expected.emplace_back(keyOf(block), 0);
        commit.writes.push_back({keyOf(block), m_name, *lease});
        m_store.commit(commit, [this, block](const absl::StatusOr<StoreVersion> &version) {
            m_inProgress.erase(block);
            core::Event("block.entry.written")
                .with("block", core::concat(absl::Hex(block)))
                .with("ok", version.ok())
                .with("why", version.status().message());
        });
    });
}

} // namespace jujube::serving
