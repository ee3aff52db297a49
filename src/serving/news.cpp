#include "serving/news.h"

#include "wire/generated/news.capnp.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

namespace jujube::serving {

namespace {

namespace schema = wire::schema;

std::string packed(capnp::MessageBuilder &message)
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

News readNews(const schema::GatewayNews::Reader &reader)
{
    News news;
    news.name = reader.getName().cStr();
    news.kind = reader.getLoad() ? NewsKind::Load
        : reader.getSummary()    ? NewsKind::Summary
                                 : NewsKind::Whole;
    news.run = reader.getRun();
    news.processorShare = reader.getProcessorShare();
    news.sequence = reader.getSequence();
    news.wallTime = core::Milliseconds(static_cast<int64_t>(reader.getWallMs()));
    news.configVersion = reader.getConfigVersion();
    news.storeVersion = {reader.getStoreEra(), reader.getStoreRevision()};
    news.watches = reader.getWatches();
    news.readPace = reader.getReadTokensPerSecond();
    news.rates = {reader.getPromptTokensPerSecond(), reader.getOutputTokensPerSecond()};
    for (const auto it : reader.getShares())
        news.shares.push_back({it.getEndpoint(),
                               {it.getRunning(), it.getBacklogTokens()},
                               it.getChanging(),
                               it.getFailing(),
                               it.getLeaving()});
    for (const auto it : reader.getWindows()) {
        NewsWindow &window = news.windows.emplace_back();
        window.run = it.getRun();
        window.window = it.getWindow();
        for (const auto count : it.getCounts())
            window.counts[count.getTeam().cStr()] = count.getCount();
    }
    for (const auto it : reader.getParts())
        news.parts.push_back({it.getEndpoint(), {it.getLink(), it.getTokens()}});
    return news;
}

} // namespace

std::string encodeNews(const News &news)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::GatewayNews>();
    root.setName(news.name.c_str());
    root.setLoad(news.kind == NewsKind::Load);
    root.setSummary(news.kind == NewsKind::Summary);
    root.setProcessorShare(news.processorShare);
    root.setRun(news.run);
    root.setSequence(news.sequence);
    root.setWallMs(static_cast<uint64_t>(news.wallTime.count()));
    root.setConfigVersion(news.configVersion);
    root.setStoreEra(news.storeVersion.era);
    root.setStoreRevision(news.storeVersion.revision);
    root.setWatches(news.watches);
    root.setReadTokensPerSecond(static_cast<float>(news.readPace));
    root.setPromptTokensPerSecond(static_cast<float>(news.rates.promptPerSecond));
    root.setOutputTokensPerSecond(static_cast<float>(news.rates.outputPerSecond));
    auto shares = root.initShares(static_cast<uint32_t>(news.shares.size()));
    for (uint32_t i = 0; i < shares.size(); ++i) {
        shares[i].setEndpoint(news.shares[i].endpoint);
        shares[i].setRunning(static_cast<uint16_t>(news.shares[i].load.running));
        shares[i].setBacklogTokens(news.shares[i].load.backlogTokens);
        shares[i].setChanging(news.shares[i].changing);
        shares[i].setFailing(news.shares[i].failing);
        shares[i].setLeaving(news.shares[i].leaving);
    }
    auto windows = root.initWindows(static_cast<uint32_t>(news.windows.size()));
    for (uint32_t i = 0; i < windows.size(); ++i) {
        const NewsWindow &window = news.windows[i];
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
    auto parts = root.initParts(static_cast<uint32_t>(news.parts.size()));
    for (uint32_t i = 0; i < parts.size(); ++i) {
        parts[i].setEndpoint(news.parts[i].endpoint);
        parts[i].setLink(news.parts[i].link.hash);
        parts[i].setTokens(news.parts[i].link.tokens);
    }
    return packed(message);
}

absl::StatusOr<News> decodeNews(std::string_view bytes)
{
    try {
        kj::ArrayInputStream in(bytesOf(bytes));
        capnp::PackedMessageReader message(in);
        return readNews(message.getRoot<schema::GatewayNews>());
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
    root.setBase(state.base);
    auto items = root.initItems(static_cast<uint32_t>(state.items.size()));
    for (uint32_t i = 0; i < items.size(); ++i) {
        items[i].setKey(state.items[i].key.c_str());
        items[i].setValue(bytesOf(state.items[i].value));
        items[i].setEra(state.items[i].version.era);
        items[i].setRevision(state.items[i].version.revision);
        items[i].setDeleted(state.items[i].deleted);
    }
    return packed(message);
}

absl::StatusOr<StorePage> decodeState(std::string_view bytes)
{
    try {
        kj::ArrayInputStream in(bytesOf(bytes));
        capnp::PackedMessageReader message(in);
        const auto root = message.getRoot<schema::GatewayState>();
        StorePage state;
        state.version = {root.getEra(), root.getRevision()};
        state.base = root.getBase();
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
