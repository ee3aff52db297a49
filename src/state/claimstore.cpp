#include "state/claimstore.h"

#include "core/keyhash.h"
#include "core/text.h"

namespace jujube::state {

namespace {

constexpr size_t MaxKeptBody = 2'048;
constexpr core::Milliseconds FirstRetry{200};
constexpr core::Milliseconds LongestRetry{5'000};

} // namespace

ClaimStore::ClaimStore(wire::IoContext &io, KvClient &kv, std::string scope, uint32_t shardCount,
                       std::chrono::minutes keep)
    : m_io(io), m_kv(kv), m_scope(std::move(scope)), m_keep(keep), m_shards(shardCount)
{
}

wire::Task<absl::StatusOr<ClaimResult>> ClaimStore::claim(std::string key, std::string requestId,
                                                          uint64_t fingerprint)
{
    auto operation = std::make_shared<Operation>();
    operation->kind = Operation::Kind::Claim;
    operation->key = key;
    operation->record.requestId = requestId;
    operation->record.fingerprint = fingerprint;
    operation->record.atMs = core::wallTime().count();
    const absl::Status status = co_await enqueue(operation);
    if (status.ok())
        co_return operation->result;
    // The write may have taken effect; it must not bar the caller's next try for good.
    release(key, requestId);
    co_return status;
}

void ClaimStore::settle(const std::string &key, const std::string &requestId, ClaimAnswered answer)
{
    auto operation = std::make_shared<Operation>();
    operation->kind = Operation::Kind::Settle;
    operation->key = key;
    operation->record.requestId = requestId;
    operation->record.answered = true;
    operation->record.answer = std::move(answer);
    const std::string &body = operation->record.answer.body;
    const bool isText = wire::qstring(body).toStdString() == body;
    if (body.size() > MaxKeptBody || !isText) {
        operation->record.answer.body.clear();
        operation->record.answer.bodyKept = false;
    }
    ++m_background;
    wire::coroutineTasks().add(untilWritten(operation));
}

void ClaimStore::release(const std::string &key, const std::string &requestId)
{
    auto operation = std::make_shared<Operation>();
    operation->kind = Operation::Kind::Release;
    operation->key = key;
    operation->record.requestId = requestId;
    ++m_background;
    wire::coroutineTasks().add(untilWritten(operation));
}

wire::Task<void> ClaimStore::untilWritten(std::shared_ptr<Operation> operation)
{
    core::Milliseconds pause = FirstRetry;
    while (true) {
        const absl::Status status = co_await enqueue(operation);
        if (status.ok())
            break;
        co_await m_io.sleep(pause);
        pause = std::min(pause * 2, LongestRetry);
    }
    --m_background;
}

kj::Promise<absl::Status> ClaimStore::enqueue(std::shared_ptr<Operation> operation)
{
    auto pair = kj::newPromiseAndFulfiller<absl::Status>();
    operation->done = kj::mv(pair.fulfiller);
    const auto index = static_cast<uint32_t>(core::stableHash(operation->key) % m_shards.size());
    m_shards[index].waiting.push_back(operation);
    if (!m_shards[index].writing) {
        m_shards[index].writing = true;
        wire::coroutineTasks().add(writeShard(index));
    }
    return kj::mv(pair.promise);
}

wire::Task<void> ClaimStore::writeShard(uint32_t index)
{
    while (!m_shards[index].waiting.empty()) {
        std::vector<std::shared_ptr<Operation>> group;
        group.swap(m_shards[index].waiting);
        const absl::Status status = co_await writeGroup(index, group);
        for (const auto &it : group)
            it->done->fulfill(kj::cp(status));
    }
    m_shards[index].writing = false;
}

wire::Task<absl::Status> ClaimStore::writeGroup(uint32_t index,
                                                std::vector<std::shared_ptr<Operation>> group)
{
    const std::string key = core::concat("claims/", m_scope, "/", index);
    const auto written = co_await m_kv.update(
        key, [this, &group](const KvEntry &entry) -> absl::StatusOr<std::string> {
            auto page = parse(entry.value);
            if (!page.ok())
                return page.status();
            for (const auto &it : group)
                applyTo(*page, *it);
            return serialize(*page);
        });
    co_return written.status();
}

void ClaimStore::applyTo(Page &page, Operation &operation)
{
    const auto it = page.find(operation.key);
    const bool own = it != page.end() && it->second.requestId == operation.record.requestId;
    switch (operation.kind) {
    case Operation::Kind::Claim:
        if (it == page.end()) {
            page[operation.key] = operation.record;
            operation.result = ClaimGranted{};
        } else if (own) {
            // An earlier write of this very claim took effect although its answer was lost.
            operation.result = ClaimGranted{};
        } else if (it->second.fingerprint != operation.record.fingerprint) {
            operation.result = ClaimMismatch{};
        } else if (it->second.answered) {
            operation.result = it->second.answer;
        } else {
            operation.result = ClaimTaken{};
        }
        return;
    case Operation::Kind::Settle:
        if (own) {
            it->second.answered = true;
            it->second.answer = operation.record.answer;
        }
        return;
    case Operation::Kind::Release:
        if (own && !it->second.answered)
            page.erase(it);
        return;
    }
}

std::string ClaimStore::serialize(const Page &page)
{
    QJsonObject object;
    for (const auto &[key, record] : page) {
        QJsonObject it;
        it["request"] = wire::qstring(record.requestId);
        it["fingerprint"] = QString::number(record.fingerprint);
        it["at_ms"] = static_cast<qint64>(record.atMs);
        if (record.answered) {
            it["status"] = static_cast<int>(record.answer.status);
            it["type"] = wire::qstring(record.answer.contentType);
            it["body"] = wire::qstring(record.answer.body);
            it["body_kept"] = record.answer.bodyKept;
        }
        object[wire::qstring(key)] = it;
    }
    return wire::toJsonText(object);
}

absl::StatusOr<ClaimStore::Page> ClaimStore::parse(const std::string &text) const
{
    Page page;
    const auto object = wire::parseObject(text.empty() ? "{}" : text);
    // A page that cannot be read must not be replaced: it bars requests from running twice.
    if (!object.ok())
        return absl::DataLossError(core::concat("claim page: ", object.status().message()));
    const int64_t oldest =
        (core::wallTime() - std::chrono::duration_cast<core::Milliseconds>(m_keep)).count();
    for (auto it = object->begin(); it != object->end(); ++it) {
        const QJsonObject value = it.value().toObject();
        Record record;
        record.requestId = wire::stringMember(value, "request");
        record.fingerprint = wire::uintMember(value, "fingerprint");
        record.atMs = static_cast<int64_t>(wire::uintMember(value, "at_ms"));
        record.answered = value.contains("status");
        record.answer = {static_cast<uint32_t>(wire::uintMember(value, "status")),
                         wire::stringMember(value, "type"), wire::stringMember(value, "body"),
                         value.value("body_kept").toBool(true)};
        if (record.atMs >= oldest)
            page[it.key().toStdString()] = record;
    }
    return page;
}

} // namespace jujube::state
