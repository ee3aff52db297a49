#include "serving/gossip.h"

#include "wire/generated/news.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>

namespace jujube::serving {

namespace {

namespace schema = wire::schema;

// A packed message can claim a thousand times its size, which is allocated before it is read.
constexpr uint64_t MaxGossipBytes = 1UL << 20U;

capnp::ReaderOptions limitedTo(uint64_t bytes)
{
    capnp::ReaderOptions options;
    options.traversalLimitInWords = bytes / sizeof(capnp::word);
    return options;
}

std::string packedBytes(capnp::MessageBuilder &message)
{
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    const auto bytes = out.getArray();
    return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

kj::ArrayPtr<const kj::byte> bytesOf(std::string_view text)
{
    return kj::arrayPtr(reinterpret_cast<const kj::byte *>(text.data()), text.size());
}

void readQuotas(const schema::GatewayNews::Reader &reader, GossipMessage &gossip)
{
    for (const auto it : reader.getQuotaCounts())
        gossip.quotaCounts.push_back({it.getTeam(), it.getTokens()});
    for (const auto it : reader.getQuotaLevels())
        gossip.quotaLevels.push_back({it.getTeam(), it.getLevel(), it.getIncludedTokens()});
    for (const uint64_t peer : reader.getHeardPeers())
        gossip.heardPeers.push_back(peer);
}

// A malformed figure is left out alone, as the others of its list are still of use.
void readTeamUse(const schema::GatewayNews::Reader &reader, GossipMessage &gossip)
{
    for (const auto it : reader.getTeamUse()) {
        const GossipTeamUse use{it.getService(), {it.getTeam(), it.getEngineMs()}};
        if (gossip.teamUse.size() < policy::TeamShares::MaxListedTeams
            && policy::TeamShares::isValid(use.use))
            gossip.teamUse.push_back(use);
    }
}

// A share without a report has no figure set.
std::optional<ReportedLoad> readReport(const schema::LoadShare::Reader &share)
{
    const ReportedLoad report{share.getReportedRunning(), share.getReportedWaiting(),
                              share.getPace(), core::Milliseconds(share.getReportAgeMs())};
    const bool stated = report.running > 0 || report.waiting > 0 || report.pacePercent > 0;
    return stated ? std::optional(report) : std::nullopt;
}

template <class Value> uint16_t limitedTo16Bits(Value value)
{
    return static_cast<uint16_t>(std::clamp<Value>(value, 0, UINT16_MAX));
}

void writeReport(const ReportedLoad &report, schema::LoadShare::Builder share)
{
    share.setReportedRunning(limitedTo16Bits(report.running));
    share.setReportedWaiting(limitedTo16Bits(report.waiting));
    share.setPace(limitedTo16Bits(report.pacePercent));
    share.setReportAgeMs(limitedTo16Bits(report.age.count()));
}

GossipMessage readGossip(const schema::GatewayNews::Reader &reader)
{
    GossipMessage gossip;
    gossip.name = reader.getName().cStr();
    gossip.kind = reader.getLoad() ? GossipKind::Load
        : reader.getSummary()      ? GossipKind::Summary
        : reader.getCounts()       ? GossipKind::Counts
                                   : GossipKind::Full;
    gossip.run = reader.getRun();
    gossip.processorShare = reader.getProcessorShare();
    gossip.sequence = reader.getSequence();
    gossip.wallTime = core::Milliseconds(static_cast<int64_t>(reader.getWallMs()));
    gossip.configVersion = reader.getConfigVersion();
    gossip.storeVersion = {reader.getStoreEra(), reader.getStoreRevision()};
    gossip.watchesStore = reader.getWatches();
    gossip.prefillTokensPerSecond = reader.getReadTokensPerSecond();
    gossip.rates = {reader.getPromptTokensPerSecond(), reader.getOutputTokensPerSecond()};
    for (const auto it : reader.getShares())
        gossip.shares.push_back({it.getEndpoint(),
                                 {it.getRunning(), it.getBacklogTokens(), it.getRemainingTokens()},
                                 it.getChanging(),
                                 it.getFailing(),
                                 it.getLeaving(),
                                 readReport(it)});
    for (const auto it : reader.getWindows()) {
        GossipUsageWindow &window = gossip.windows.emplace_back();
        window.run = it.getRun();
        window.window = it.getWindow();
        for (const auto count : it.getCounts())
            window.counts[count.getTeam().cStr()] = count.getCount();
    }
    for (const auto it : reader.getParts())
        gossip.prefixBlocks.push_back({it.getEndpoint(), {it.getLink(), it.getTokens()}});
    gossip.requestsPerSecond = reader.getRequestsPerSecond();
    for (const auto it : reader.getLimits()) {
        GossipLimit &limit = gossip.limits.emplace_back();
        limit.endpoint = it.getEndpoint();
        limit.age = core::Milliseconds(it.getAgeMs());
        if (it.getPerSecond() >= 0)
            limit.perSecond = it.getPerSecond();
    }
    for (const auto it : reader.getEngineSpeeds())
        gossip.engineSpeeds.push_back({it.getEndpoint(), {it.getMeanLogRatio(), it.getWeight()}});
    for (const auto it : reader.getBlockCrashes())
        gossip.blocks.crashes.push_back(
            {it.getBlock(), it.getEngine(), it.getPosition(), core::Milliseconds(it.getAgeMs())});
    for (const auto it : reader.getBlockSuccesses())
        gossip.blocks.successes.push_back({it.getBlock(), core::Milliseconds(it.getAgeMs())});
    for (const uint64_t block : reader.getQuarantinedBlocks())
        gossip.blocks.quarantined.push_back(block);
    readQuotas(reader, gossip);
    readTeamUse(reader, gossip);
    return gossip;
}

void writeTeamUse(const std::vector<GossipTeamUse> &teamUse, schema::GatewayNews::Builder root)
{
    if (teamUse.empty())
        return;
    auto uses = root.initTeamUse(static_cast<uint32_t>(teamUse.size()));
    for (uint32_t i = 0; i < uses.size(); ++i) {
        uses[i].setService(teamUse[i].service);
        uses[i].setTeam(teamUse[i].use.team);
        uses[i].setEngineMs(static_cast<float>(teamUse[i].use.engineMs));
    }
}

// Empty lists are left out, as most deployments have no quotas.
void writeQuotas(const GossipMessage &gossip, schema::GatewayNews::Builder root)
{
    if (!gossip.quotaCounts.empty()) {
        auto counts = root.initQuotaCounts(static_cast<uint32_t>(gossip.quotaCounts.size()));
        for (uint32_t i = 0; i < counts.size(); ++i) {
            counts[i].setTeam(gossip.quotaCounts[i].team);
            counts[i].setTokens(gossip.quotaCounts[i].tokens);
        }
    }
    if (!gossip.quotaLevels.empty()) {
        auto levels = root.initQuotaLevels(static_cast<uint32_t>(gossip.quotaLevels.size()));
        for (uint32_t i = 0; i < levels.size(); ++i) {
            levels[i].setTeam(gossip.quotaLevels[i].team);
            levels[i].setLevel(gossip.quotaLevels[i].level);
            levels[i].setIncludedTokens(gossip.quotaLevels[i].includedTokens);
        }
    }
    if (!gossip.heardPeers.empty()) {
        auto peers = root.initHeardPeers(static_cast<uint32_t>(gossip.heardPeers.size()));
        for (uint32_t i = 0; i < peers.size(); ++i)
            peers.set(i, gossip.heardPeers[i]);
    }
}

void writeBlocks(const policy::BlockReport &blocks, schema::GatewayNews::Builder root)
{
    auto crashes = root.initBlockCrashes(static_cast<uint32_t>(blocks.crashes.size()));
    for (uint32_t i = 0; i < crashes.size(); ++i) {
        crashes[i].setBlock(blocks.crashes[i].block);
        crashes[i].setEngine(blocks.crashes[i].engine);
        crashes[i].setPosition(static_cast<uint16_t>(blocks.crashes[i].position));
        crashes[i].setAgeMs(static_cast<uint32_t>(blocks.crashes[i].age.count()));
    }
    auto successes = root.initBlockSuccesses(static_cast<uint32_t>(blocks.successes.size()));
    for (uint32_t i = 0; i < successes.size(); ++i) {
        successes[i].setBlock(blocks.successes[i].block);
        successes[i].setAgeMs(static_cast<uint32_t>(blocks.successes[i].age.count()));
    }
    auto quarantined = root.initQuarantinedBlocks(static_cast<uint32_t>(blocks.quarantined.size()));
    for (uint32_t i = 0; i < quarantined.size(); ++i)
        quarantined.set(i, blocks.quarantined[i]);
}

} // namespace

std::string encodeGossip(const GossipMessage &gossip)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::GatewayNews>();
    root.setName(gossip.name.c_str());
    root.setLoad(gossip.kind == GossipKind::Load);
    root.setSummary(gossip.kind == GossipKind::Summary);
    root.setCounts(gossip.kind == GossipKind::Counts);
    root.setProcessorShare(gossip.processorShare);
    root.setRun(gossip.run);
    root.setSequence(gossip.sequence);
    root.setWallMs(static_cast<uint64_t>(gossip.wallTime.count()));
    root.setConfigVersion(gossip.configVersion);
    root.setStoreEra(gossip.storeVersion.era);
    root.setStoreRevision(gossip.storeVersion.revision);
    root.setWatches(gossip.watchesStore);
    root.setReadTokensPerSecond(static_cast<float>(gossip.prefillTokensPerSecond));
    root.setPromptTokensPerSecond(static_cast<float>(gossip.rates.promptPerSecond));
    root.setOutputTokensPerSecond(static_cast<float>(gossip.rates.outputPerSecond));
    auto shares = root.initShares(static_cast<uint32_t>(gossip.shares.size()));
    for (uint32_t i = 0; i < shares.size(); ++i) {
        shares[i].setEndpoint(gossip.shares[i].endpoint);
        shares[i].setRunning(static_cast<uint16_t>(gossip.shares[i].load.running));
        shares[i].setBacklogTokens(gossip.shares[i].load.backlogTokens);
        shares[i].setRemainingTokens(gossip.shares[i].load.remainingTokens);
        shares[i].setChanging(gossip.shares[i].changing);
        shares[i].setFailing(gossip.shares[i].failing);
        shares[i].setLeaving(gossip.shares[i].leaving);
        if (gossip.shares[i].report)
            writeReport(*gossip.shares[i].report, shares[i]);
    }
    auto windows = root.initWindows(static_cast<uint32_t>(gossip.windows.size()));
    for (uint32_t i = 0; i < windows.size(); ++i) {
        const GossipUsageWindow &window = gossip.windows[i];
        windows[i].setRun(window.run);
        windows[i].setWindow(window.window);
        auto counts = windows[i].initCounts(static_cast<uint32_t>(window.counts.size()));
        uint32_t n = 0;
        for (const auto &[team, count] : window.counts) {
            counts[n].setTeam(team.c_str());
            counts[n].setCount(static_cast<uint32_t>(count));
            ++n;
        }
    }
    auto prefixBlocks = root.initParts(static_cast<uint32_t>(gossip.prefixBlocks.size()));
    for (uint32_t i = 0; i < prefixBlocks.size(); ++i) {
        prefixBlocks[i].setEndpoint(gossip.prefixBlocks[i].endpoint);
        prefixBlocks[i].setLink(gossip.prefixBlocks[i].link.hash);
        prefixBlocks[i].setTokens(gossip.prefixBlocks[i].link.tokens);
    }
    root.setRequestsPerSecond(static_cast<float>(gossip.requestsPerSecond));
    auto limits = root.initLimits(static_cast<uint32_t>(gossip.limits.size()));
    for (uint32_t i = 0; i < limits.size(); ++i) {
        limits[i].setEndpoint(gossip.limits[i].endpoint);
        limits[i].setPerSecond(static_cast<float>(gossip.limits[i].perSecond.value_or(-1)));
        limits[i].setAgeMs(static_cast<uint32_t>(gossip.limits[i].age.count()));
    }
    auto speeds = root.initEngineSpeeds(static_cast<uint32_t>(gossip.engineSpeeds.size()));
    for (uint32_t i = 0; i < speeds.size(); ++i) {
        speeds[i].setEndpoint(gossip.engineSpeeds[i].endpoint);
        speeds[i].setMeanLogRatio(static_cast<float>(gossip.engineSpeeds[i].evidence.meanLogRatio));
        speeds[i].setWeight(static_cast<float>(gossip.engineSpeeds[i].evidence.weight));
    }
    writeBlocks(gossip.blocks, root);
    writeQuotas(gossip, root);
    writeTeamUse(gossip.teamUse, root);
    return packedBytes(message);
}

absl::StatusOr<GossipMessage> decodeGossip(std::string_view bytes)
{
    try {
        kj::ArrayInputStream in(bytesOf(bytes));
        capnp::PackedMessageReader message(in, limitedTo(MaxGossipBytes));
        return readGossip(message.getRoot<schema::GatewayNews>());
    } catch (const kj::Exception &ex) {
        return absl::InvalidArgumentError(ex.getDescription().cStr());
    }
}

std::string encodeState(const StorePage &state)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::GatewayState>();
    root.setEra(state.version.era);
    root.setRevision(state.version.revision);
    root.setBase(state.baseRevision);
    auto items = root.initItems(static_cast<uint32_t>(state.items.size()));
    for (uint32_t i = 0; i < items.size(); ++i) {
        items[i].setKey(state.items[i].key.c_str());
        items[i].setValue(bytesOf(state.items[i].value));
        items[i].setEra(state.items[i].version.era);
        items[i].setRevision(state.items[i].version.revision);
        items[i].setDeleted(state.items[i].deleted);
    }
    return packedBytes(message);
}

absl::StatusOr<StorePage> decodeState(std::string_view bytes)
{
    try {
        kj::ArrayInputStream in(bytesOf(bytes));
        capnp::PackedMessageReader message(in, limitedTo(MaxStateBytes));
        const auto root = message.getRoot<schema::GatewayState>();
        StorePage state;
        state.version = {root.getEra(), root.getRevision()};
        state.baseRevision = root.getBase();
        for (const auto it : root.getItems()) {
            const auto value = it.getValue();
            state.items.push_back({it.getKey().cStr(),
                                   {reinterpret_cast<const char *>(value.begin()), value.size()},
                                   {it.getEra(), it.getRevision()},
                                   it.getDeleted()});
        }
        return state;
    } catch (const kj::Exception &ex) {
        return absl::InvalidArgumentError(ex.getDescription().cStr());
    }
}

} // namespace jujube::serving
