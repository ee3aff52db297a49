#include "jujubecheck/history.h"

#include "core/hybridclock.h"
#include "core/text.h"
#include "wire/json.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>

namespace jujube::check {

namespace {

namespace fs = std::filesystem;

Instant instantAt(const QJsonObject &object, const char *key)
{
    return Instant(static_cast<int64_t>(wire::uintMember(object, key)));
}

absl::Status forEachRecord(const fs::path &path,
                           const std::function<void(const QJsonObject &)> &visit)
{
    std::ifstream file(path);
    if (!file)
        return absl::NotFoundError(core::concat(path.string(), ": cannot be read"));
    std::string line;
    int number = 0;
    while (std::getline(file, line)) {
        ++number;
        if (line.empty())
            continue;
        const auto object = wire::parseObject(line);
        if (!object.ok())
            return absl::DataLossError(
                core::concat(path.string(), ": line ", number, " is not a JSON object"));
        visit(*object);
    }
    return absl::OkStatus();
}

void addPlatformRecord(History &history, const QJsonObject &object)
{
    const std::string kind = wire::stringMember(object, "kind");
    const Instant at = instantAt(object, "at_us");
    if (kind == "kv.put" || kind == "kv.delete") {
        history.kvChanges.push_back({at, wire::stringMember(object, "key"),
                                     wire::stringMember(object, "value"),
                                     wire::uintMember(object, "revision"), kind == "kv.delete"});
    } else if (kind == "fleet.order") {
        history.fleetOrders.push_back(
            {at, wire::stringMember(object, "order_id"), wire::uintMember(object, "term"),
             wire::stringMember(object, "action"), wire::stringMember(object, "vm")});
    } else if (kind == "usage.report") {
        history.usageReports.push_back(
            {at, wire::stringMember(object, "team"), wire::uintMember(object, "window"),
             wire::uintMember(object, "term"), wire::uintMember(object, "requests"),
             wire::uintMember(object, "prompt_tokens"), wire::uintMember(object, "output_tokens")});
    }
}

void addEngineRecord(History &history, const std::string &vm, const QJsonObject &object)
{
    const std::string kind = wire::stringMember(object, "kind");
    const Instant at = instantAt(object, "at_us");
    if (kind == "engine.order" || kind == "engine.order.refused") {
        history.engineOrders.push_back(
            {vm, at, wire::uintMember(object, "term"), wire::uintMember(object, "sequence"),
             kind == "engine.order.refused", object["during_change"].toBool(),
             object["cut_requests"].toInt()});
    } else if (kind == "engine.start") {
        history.engineRuns.push_back({vm, wire::stringMember(object, "request_id"), at, 0, 0,
                                      wire::stringMember(object, "authorization")});
    } else if (kind == "engine.end") {
        const std::string id = wire::stringMember(object, "request_id");
        const auto it =
            std::find_if(history.engineRuns.rbegin(), history.engineRuns.rend(),
                         [&](const EngineRun &run) { return run.vm == vm && run.requestId == id; });
        if (it != history.engineRuns.rend()) {
            it->producedTokens = wire::uintMember(object, "produced");
            it->promptTokens = wire::uintMember(object, "prompt_tokens");
        }
    }
}

void addServiceRecord(History &history, const std::string &vm, const QJsonObject &object)
{
    if (wire::stringMember(object, "kind") == "service.run") {
        history.serviceRuns.push_back(
            {vm, instantAt(object, "at_us"), wire::stringMember(object, "method"),
             wire::stringMember(object, "body"), wire::stringMember(object, "authorization")});
    }
}

void addCall(History &history, const QJsonObject &object)
{
    CallResult call;
    call.number = wire::uintMember(object, "number");
    call.team = wire::stringMember(object, "team");
    call.target = wire::stringMember(object, "target");
    call.service = object["service"].toBool();
    call.changesState = object["changes_state"].toBool();
    call.outcome = wire::stringMember(object, "outcome");
    call.code = wire::stringMember(object, "code");
    call.correct = object["right"].toBool();
    call.idempotencyKey = wire::stringMember(object, "idempotency_key");
    call.promptTokens = wire::uintMember(object, "prompt_tokens");
    call.outputTokens = wire::uintMember(object, "output_tokens");
    call.receivedBytes = wire::uintMember(object, "received_bytes");
    call.start = instantAt(object, "start_us");
    call.end = instantAt(object, "end_us");
    call.entry = wire::stringMember(object, "entry");
    history.calls.push_back(std::move(call));
}

// Parses "key=value" fields. Quoted values may contain blanks and escaped quotes.
std::map<std::string, std::string> parseFields(const std::string &line)
{
    std::map<std::string, std::string> fields;
    size_t at = 0;
    while (at < line.size()) {
        const size_t equals = line.find('=', at);
        if (equals == std::string::npos)
            break;
        const std::string key = line.substr(at, equals - at);
        std::string value;
        size_t i = equals + 1;
        if (i < line.size() && line[i] == '"') {
            for (++i; i < line.size() && line[i] != '"'; ++i) {
                if (line[i] == '\\' && i + 1 < line.size())
                    ++i;
                value += line[i];
            }
            ++i;
        } else {
            const size_t end = std::min(line.find(' ', i), line.size());
            value = line.substr(i, end - i);
            i = end;
        }
        fields[key] = value;
        at = i + 1;
    }
    return fields;
}

void addLogEvents(History &history, const fs::path &path)
{
    std::ifstream file(path);
    std::string line;
    while (std::getline(file, line)) {
        if (!line.starts_with("t="))
            continue;
        ProcessEvent event;
        event.fields = parseFields(line);
        const uint64_t time = std::strtoull(event.field("t").c_str(), nullptr, 10);
        event.at = std::chrono::milliseconds(core::HybridClock::physicalMs(time));
        event.process = event.field("process");
        event.name = event.field("event");
        history.events.push_back(std::move(event));
    }
}

// "engine3.jsonl" is the history of the fake engine on VM "engine-3".
std::string vmOf(const std::string &stem, const std::string &kind)
{
    return core::concat(kind, "-", stem.substr(kind.size()));
}

} // namespace

std::string ProcessEvent::field(const std::string &key) const
{
    const auto it = fields.find(key);
    return it == fields.end() ? std::string() : it->second;
}

uint64_t ProcessEvent::numberField(const std::string &key) const
{
    return std::strtoull(field(key).c_str(), nullptr, 10);
}

absl::StatusOr<History> History::load(const std::string &folder)
{
    History history;
    std::error_code ec;
    std::vector<fs::path> paths;
    for (const auto &it : fs::directory_iterator(folder, ec))
        paths.push_back(it.path());
    if (ec || paths.empty())
        return absl::NotFoundError(core::concat(folder, ": contains no history files"));
    std::sort(paths.begin(), paths.end());
    for (const fs::path &path : paths) {
        const std::string stem = path.stem().string();
        const std::string extension = path.extension().string();
        absl::Status status = absl::OkStatus();
        if (extension == ".log" && (stem.starts_with("entry") || stem.starts_with("agent"))) {
            addLogEvents(history, path);
        } else if (extension != ".jsonl") {
            continue;
        } else if (stem == "platform") {
            status =
                forEachRecord(path, [&](const QJsonObject &it) { addPlatformRecord(history, it); });
        } else if (stem.starts_with("engine")) {
            status = forEachRecord(path, [&](const QJsonObject &it) {
                addEngineRecord(history, vmOf(stem, "engine"), it);
            });
        } else if (stem.starts_with("service")) {
            status = forEachRecord(path, [&](const QJsonObject &it) {
                addServiceRecord(history, vmOf(stem, "service"), it);
            });
        } else if (stem.starts_with("calls")) {
            status = forEachRecord(path, [&](const QJsonObject &it) { addCall(history, it); });
        } else if (stem == "ops") {
            status = forEachRecord(path, [&](const QJsonObject &it) {
                history.operations.push_back({instantAt(it, "at_us"), wire::stringMember(it, "op"),
                                              wire::stringMember(it, "target")});
            });
        }
        if (!status.ok())
            return status;
    }
    return history;
}

} // namespace jujube::check
