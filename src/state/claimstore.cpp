#include "state/claimstore.h"

#include "core/keyhash.h"
#include "core/text.h"

namespace jujube::state {

namespace {

constexpr size_t MaxStoredBodyBytes = 2'048;
constexpr core::Milliseconds InitialRetryDelay{200};
constexpr core::Milliseconds MaxRetryDelay{5'000};

} // namespace

ClaimStore::ClaimStore(wire::IoContext &io, KvClient &kv, std::string scope, uint32_t shardCount,
                       std::chrono::minutes retention)
    : m_io(io), m_kv(kv), m_scope(std::move(scope)), m_retention(retention), m_shards(shardCount)
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
    // The write may have taken effect; without a release the caller's retries would be refused.
    release(key, requestId);
    co_return status;
}

void ClaimStore::recordResponse(const std::string &key, const std::string &requestId,
                                ClaimCompleted response)
{
    auto operation = std::make_shared<Operation>();
    operation->kind = Operation::Kind::RecordResponse;
    operation->key = key;
    operation->record.requestId = requestId;
    operation->record.completed = true;
    operation->record.response = std::move(response);
    const std::string &body = operation->record.response.body;
    const bool isText = wire::qstring(body).toStdString() == body;
    if (body.size() > MaxStoredBodyBytes || !isText) {
        operation->record.response.body.clear();
        operation->record.response.bodyKept = false;
    }
    ++m_pendingWrites;
    wire::coroutineTasks().add(writeWithRetries(operation));
}

void ClaimStore::release(const std::string &key, const std::string &requestId)
{
    auto operation = std::make_shared<Operation>();
    operation->kind = Operation::Kind::Release;
    operation->key = key;
    operation->record.requestId = requestId;
    ++m_pendingWrites;
    wire::coroutineTasks().add(writeWithRetries(operation));
}

wire::Task<void> ClaimStore::writeWithRetries(std::shared_ptr<Operation> operation)
{
    core::Milliseconds pause = InitialRetryDelay;
    while (true) {
        const absl::Status status = co_await enqueue(operation);
        if (status.ok())
            break;
        co_await m_io.sleep(pause);
        pause = std::min(pause * 2, MaxRetryDelay);
    }
    --m_pendingWrites;
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
        std::vector<std::shared_ptr<Operation>> batch;
        batch.swap(m_shards[index].waiting);
        const absl::Status status = co_await writeBatch(index, batch);
        for (const auto &it : batch)
            it->done->fulfill(kj::cp(status));
    }
    m_shards[index].writing = false;
}

wire::Task<absl::Status> ClaimStore::writeBatch(uint32_t index,
                                                std::vector<std::shared_ptr<Operation>> batch)
{
    const std::string key = core::concat("claims/", m_scope, "/", index);
    const auto written = co_await m_kv.update(
        key, [this, &batch](const KvEntry &entry) -> absl::StatusOr<std::string> {
            auto page = parse(entry.value);
            if (!page.ok())
                return page.status();
            for (const auto &it : batch)
                applyTo(*page, *it);
            return serialize(*page);
        });
    co_return written.status();
}

void ClaimStore::applyTo(Page &page, Operation &operation)
{
    const auto it = page.find(operation.key);
    const bool sameRequest = it != page.end() && it->second.requestId == operation.record.requestId;
    switch (operation.kind) {
    case Operation::Kind::Claim:
        if (it == page.end()) {
            page[operation.key] = operation.record;
            operation.result = ClaimGranted{};
        } else if (sameRequest) {
            // An earlier write of this claim took effect, but the KV's response was lost.
            operation.result = ClaimGranted{};
        } else if (it->second.fingerprint != operation.record.fingerprint) {
            operation.result = ClaimMismatch{};
        } else if (it->second.completed) {
            operation.result = it->second.response;
        } else {
            operation.result = ClaimInProgress{};
        }
        return;
    case Operation::Kind::RecordResponse:
        if (sameRequest) {
            it->second.completed = true;
            it->second.response = operation.record.response;
        }
        return;
    case Operation::Kind::Release:
        if (sameRequest && !it->second.completed)
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
        if (record.completed) {
            it["status"] = static_cast<int>(record.response.status);
            it["type"] = wire::qstring(record.response.contentType);
            it["body"] = wire::qstring(record.response.body);
            it["body_kept"] = record.response.bodyKept;
        }
        object[wire::qstring(key)] = it;
    }
    return wire::toJsonText(object);
}

absl::StatusOr<ClaimStore::Page> ClaimStore::parse(const std::string &text) const
{
    Page page;
    const auto object = wire::parseObject(text.empty() ? "{}" : text);
    // An unreadable page must not be replaced: its claims keep requests from running twice.
    if (!object.ok())
        return absl::DataLossError(core::concat("claim page: ", object.status().message()));
    const int64_t oldest =
        (core::wallTime() - std::chrono::duration_cast<core::Milliseconds>(m_retention)).count();
    for (auto it = object->begin(); it != object->end(); ++it) {
        const QJsonObject value = it.value().toObject();
        Record record;
        record.requestId = wire::stringMember(value, "request");
        record.fingerprint = wire::uintMember(value, "fingerprint");
        record.atMs = static_cast<int64_t>(wire::uintMember(value, "at_ms"));
        record.completed = value.contains("status");
        record.response = {static_cast<uint32_t>(wire::uintMember(value, "status")),
                           wire::stringMember(value, "type"), wire::stringMember(value, "body"),
                           value.value("body_kept").toBool(true)};
        if (record.atMs >= oldest)
            page[it.key().toStdString()] = record;
    }
    return page;
}

} // namespace jujube::state
