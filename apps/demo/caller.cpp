#include "demo/caller.h"

#include "core/text.h"
#include "support/expectedtext.h"

#include <algorithm>

namespace jujube::demo {

namespace {

constexpr core::Milliseconds RetryDelay{200};
constexpr core::Milliseconds MaxRetryDelay{3'000};

int64_t nowUs()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

// Parses a stream of server-sent events into the answer's text and usage.
struct EventStreamParser
{
    std::string pending;
    std::string text;
    std::string error;
    core::Usage usage;
    core::TimePoint firstTokenAt{};
    core::TimePoint lastTokenAt{};
    bool done = false;

    void feed(std::string_view bytes)
    {
        pending.append(bytes);
        for (size_t end = pending.find("\n\n"); end != std::string::npos;
             end = pending.find("\n\n")) {
            parseEvent(pending.substr(0, end));
            pending.erase(0, end + 2);
        }
    }

    void parseEvent(const std::string &event)
    {
        if (!event.starts_with("data: "))
            return;
        const std::string data = event.substr(6);
        if (data == "[DONE]") {
            done = true;
            return;
        }
        const auto object = wire::parseObject(data);
        if (!object.ok())
            return;
        if (object->contains("error")) {
            error = wire::stringMember(object->value("error").toObject(), "outcome");
            return;
        }
        const QJsonObject choice = object->value("choices").toArray().at(0).toObject();
        const std::string piece = choice.contains("delta")
            ? wire::stringMember(choice["delta"].toObject(), "content")
            : wire::stringMember(choice, "text");
        if (!piece.empty()) {
            lastTokenAt = core::BootClock::now();
            if (text.empty())
                firstTokenAt = lastTokenAt;
            text += piece;
        }
        if (object->contains("usage")) {
            const QJsonObject it = object->value("usage").toObject();
            usage.promptTokens = wire::uintMember(it, "prompt_tokens");
            usage.outputTokens = wire::uintMember(it, "completion_tokens");
        }
    }
};

} // namespace

QJsonObject CallRecord::toJson() const
{
    QJsonObject object;
    object["number"] = wire::jsonNumber(number);
    object["team"] = wire::qstring(row.team);
    object["target"] = wire::qstring(row.target);
    object["service"] = row.kind == RequestKind::Service;
    object["changes_state"] = row.changesState();
    object["outcome"] = wire::qstring(outcome);
    object["code"] = wire::qstring(code);
    object["status"] = status;
    object["right"] = correct;
    object["attempts"] = static_cast<int>(attempts);
    object["idempotency_key"] = wire::qstring(idempotencyKey);
    object["prompt_tokens"] = wire::jsonNumber(usage.promptTokens);
    object["output_tokens"] = wire::jsonNumber(usage.outputTokens);
    object["received_bytes"] = wire::jsonNumber(receivedBytes);
    object["start_us"] = QString::number(startUs);
    object["end_us"] = QString::number(endUs);
    object["first_token_ms"] = static_cast<qint64>(timeToFirstToken.count());
    object["between_tokens_ms"] = static_cast<qint64>(timeBetweenTokens.count());
    object["entry"] = wire::qstring(entry);
    return object;
}

Caller::Caller(wire::IoContext &io, CallerSettings settings)
    : m_io(io), m_http(io), m_settings(std::move(settings))
{
}

wire::Task<CallRecord> Caller::play(TraceRow row, uint64_t number)
{
    auto record = std::make_shared<CallRecord>();
    record->number = number;
    record->row = row;
    record->startUs = nowUs();
    if (row.changesState())
        record->idempotencyKey = core::concat(m_settings.runName, "-", number);
    const core::TimePoint deadline = core::BootClock::now() + m_settings.timeout;
    while (true) {
        ++record->attempts;
        co_await sendOnce(record);
        const bool retry = record->outcome == "not-run" && record->attempts < m_settings.maxTries
            && core::BootClock::now() < deadline;
        if (!retry)
            break;
        co_await m_io.sleep(std::min(RetryDelay * record->attempts, MaxRetryDelay));
    }
    record->endUs = nowUs();
    co_return *record;
}

// Tries the entries in turn until one accepts the connection, as the platform's load balancer does.
wire::Task<void> Caller::sendOnce(std::shared_ptr<CallRecord> record)
{
    for (size_t i = 0; i < m_settings.entries.size(); ++i) {
        const std::string entry = m_settings.entries[m_nextEntry++ % m_settings.entries.size()];
        record->entry = entry;
        if (record->row.kind == RequestKind::Service)
            co_await callService(record, entry);
        else
            co_await requestCompletion(record, entry);
        if (record->code != "connection-refused")
            co_return;
    }
}

wire::HttpRequest Caller::newRequest(const CallRecord &record, const std::string &entry) const
{
    wire::HttpRequest request;
    request.address = entry;
    const auto key = m_settings.keys.find(record.row.team);
    if (key != m_settings.keys.end())
        request.headers.push_back({"Authorization", "Bearer " + key->second});
    return request;
}

wire::Task<void> Caller::requestCompletion(std::shared_ptr<CallRecord> record, std::string entry)
{
    const bool chat = record->row.kind == RequestKind::Chat;
    const std::string content = promptOf(record->row, record->number);
    const std::string prompt = chat ? core::concat("user: ", content, "\n") : content;
    QJsonObject body;
    body["model"] = wire::qstring(record->row.target);
    body["max_tokens"] = static_cast<int>(record->row.outputTokens);
    body["stream"] = true;
    if (chat)
        body["messages"] =
            QJsonArray{QJsonObject{{"role", "user"}, {"content", wire::qstring(content)}}};
    else
        body["prompt"] = wire::qstring(content);

    wire::HttpRequest http = newRequest(*record, entry);
    http.method = "POST";
    http.path = chat ? "/v1/chat/completions" : "/v1/completions";
    http.headers.push_back({"Content-Type", "application/json"});
    http.body = wire::toJsonText(body);
    wire::HttpLimits limits;
    limits.totalTimeout = m_settings.timeout;
    limits.progressTimeout = m_settings.timeout;

    auto parser = std::make_shared<EventStreamParser>();
    auto raw = std::make_shared<std::string>();
    const core::TimePoint start = core::BootClock::now();
    const auto response =
        co_await m_http.stream(std::move(http), limits, [parser, raw](std::string_view bytes) {
            raw->append(bytes);
            parser->feed(bytes);
        });
    record->code.clear();
    record->status = response.ok() ? static_cast<int>(response->status) : 0;
    record->usage = parser->usage;
    record->receivedBytes = parser->text.size();
    record->correct = false;
    if (!response.ok()) {
        const bool refused = wire::sendStateOf(response.status()) == wire::SendState::NotSent;
        record->outcome = !parser->error.empty() ? parser->error : refused ? "not-run" : "none";
        record->code = refused ? "connection-refused" : "cut";
        co_return;
    }
    if (response->status != 200) {
        const auto object = wire::parseObject(*raw);
        const QJsonObject error = object.ok() ? object->value("error").toObject() : QJsonObject();
        record->outcome = wire::stringMember(error, "outcome");
        record->code = wire::stringMember(error, "code");
        co_return;
    }
    record->outcome = parser->done ? "whole" : "none";
    record->correct = parser->done
        && parser->text == test::expectedText(prompt, record->row.outputTokens)
        && parser->usage.outputTokens == record->row.outputTokens
        && parser->usage.promptTokens == core::estimatedTokenCount(prompt);
    record->timeToFirstToken =
        std::chrono::duration_cast<core::Milliseconds>(parser->firstTokenAt - start);
    if (record->row.outputTokens > 1)
        record->timeBetweenTokens = std::chrono::duration_cast<core::Milliseconds>(
                                        parser->lastTokenAt - parser->firstTokenAt)
            / (record->row.outputTokens - 1);
}

wire::Task<void> Caller::callService(std::shared_ptr<CallRecord> record, std::string entry)
{
    const size_t space = record->row.target.find(' ');
    const std::string method = record->row.target.substr(0, space);
    const std::string path = record->row.target.substr(space + 1);
    wire::HttpRequest http = newRequest(*record, entry);
    http.method = method;
    http.path = "/v1/services" + path;
    if (record->row.changesState()) {
        http.headers.push_back({"Idempotency-Key", record->idempotencyKey});
        http.body = record->idempotencyKey;
    }
    wire::HttpLimits limits;
    limits.totalTimeout = m_settings.timeout;
    limits.progressTimeout = m_settings.timeout;
    const core::TimePoint start = core::BootClock::now();
    const auto response = co_await m_http.send(std::move(http), limits);
    record->code.clear();
    record->correct = false;
    record->status = response.ok() ? static_cast<int>(response->status) : 0;
    if (!response.ok()) {
        const bool refused = wire::sendStateOf(response.status()) == wire::SendState::NotSent;
        record->outcome = refused ? "not-run" : "none";
        record->code = refused ? "connection-refused" : "cut";
        co_return;
    }
    const auto object = wire::parseObject(response->body);
    if (response->status != 200) {
        const QJsonObject error = object.ok() ? object->value("error").toObject() : QJsonObject();
        record->outcome = wire::stringMember(error, "outcome");
        record->code = wire::stringMember(error, "code");
        co_return;
    }
    record->outcome = "whole";
    record->timeToFirstToken =
        std::chrono::duration_cast<core::Milliseconds>(core::BootClock::now() - start);
    // The service returns the path and the body of the request.
    const std::string servicePath = path.substr(path.find('/', 1));
    record->correct = object.ok() && wire::stringMember(*object, "path") == servicePath
        && wire::stringMember(*object, "echo") == record->idempotencyKey;
}

} // namespace jujube::demo
