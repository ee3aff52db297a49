/** \file
 * Program jujubectl: command-line tool for operators.
 */

#include "core/eventlog.h"
#include "core/keyhash.h"
#include "core/text.h"
#include "jujubectl/adminclient.h"
#include "jujubectl/shardeditor.h"
#include "jujubectl/timelinepicture.h"
#include "wire/processmain.h"

#include <gflags/gflags.h>
#include <QCoreApplication>

#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>

DEFINE_string(entry, "", "address of an entry, such as 127.0.0.1:8080 (or JUJUBE_ENTRY)");
DEFINE_string(token, "", "operator token (or JUJUBE_TOKEN, which keeps it out of process lists)");
DEFINE_bool(json, false, "print JSON");
DEFINE_string(file, "", "publish, diff: TOML file with profiles, services and teams");
DEFINE_int64(from_revision, -1,
             "revision that the change is based on; default: the current revision");
DEFINE_string(shard, "profiles", "show: profiles, engines, or keys-00 to keys-15");
DEFINE_string(html, "", "timeline: write an HTML page to this file");
DEFINE_uint64(after, 0, "timeline: only events after this hybrid time");
DECLARE_bool(help);

namespace {

using namespace jujube;

constexpr const char *Usage = R"(jujubectl - operate a jujubecourse fleet

usage: jujubectl --entry ADDRESS --token TOKEN COMMAND [ARGUMENT] [FLAGS]

commands
  publish --file FILE     publish profiles, services and teams, or a new revision of them
  show [--shard NAME]     print a configuration shard and its revision
  diff --file FILE        compare a file with the published profiles shard
  grant TEAM              create an API key for a team; it is printed once and not stored
  withdraw-key KEYID      withdraw a key; it stops working within seconds
  drain VM                send no new requests to an endpoint and let it finish its work
  withdraw VM             drain an endpoint and return its VM to the platform
  activate VM             put a drained endpoint back into service
  pin-role VM ROLE        pin an engine's role: mixed, prefill, decode; auto removes the pin
  engines                 list the endpoints
  status                  state of the entry, its peers and the endpoints
  timeline [--html FILE]  events of all processes in causal order

flags
  --from_revision N       refuse the change unless the shard is still at revision N
  --json                  print JSON
  --entry, --token        default: the variables JUJUBE_ENTRY and JUJUBE_TOKEN

exit codes: 0 success, 1 failure, 2 invalid command line or input, 3 revision conflict
)";

int reportStatus(const absl::Status &status)
{
    if (status.ok())
        return wire::ExitOk;
    std::cerr << "jujubectl: " << status.message() << "\n";
    if (absl::IsAborted(status))
        return wire::ExitConflict;
    return absl::IsInvalidArgument(status) || absl::IsNotFound(status) ? wire::ExitUsage
                                                                       : wire::ExitFailure;
}

absl::StatusOr<std::string> readFile(const std::string &path)
{
    std::ifstream file(path);
    if (path.empty() || !file)
        return absl::InvalidArgumentError(
            core::concat("--file '", path, "' cannot be read; give a TOML file"));
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

void printJson(const QJsonObject &object)
{
    std::cout << QJsonDocument(object).toJson().toStdString();
}

// Edits one shard, based on the revision given by --from_revision or else the current one.
absl::StatusOr<uint64_t>
changeShard(tools::AdminClient &admin, const std::string &shard,
            const std::function<absl::StatusOr<std::string>(const std::string &)> &edit)
{
    const auto config = admin.configuration();
    if (!config.ok())
        return config.status();
    const auto it = config->find(shard);
    const tools::ShardContent current = it == config->end() ? tools::ShardContent{} : it->second;
    const auto value = edit(current.value);
    if (!value.ok())
        return value.status();
    const uint64_t from =
        FLAGS_from_revision >= 0 ? static_cast<uint64_t>(FLAGS_from_revision) : current.revision;
    return admin.publish(shard, from, *value);
}

int printRevision(const absl::StatusOr<uint64_t> &revision, const std::string &what)
{
    if (!revision.ok())
        return reportStatus(revision.status());
    if (FLAGS_json)
        printJson({{"done", wire::qstring(what)}, {"revision", wire::jsonNumber(*revision)}});
    else
        std::cout << what << " (revision " << *revision << ")\n";
    return wire::ExitOk;
}

int publish(tools::AdminClient &admin)
{
    const auto text = readFile(FLAGS_file);
    if (!text.ok())
        return reportStatus(text.status());
    const absl::Status checked = core::validateShard(core::shards::Profiles, *text);
    if (!checked.ok())
        return reportStatus(absl::InvalidArgumentError(
            core::concat(FLAGS_file, ": ", core::toStd(checked.message()))));
    return printRevision(changeShard(admin, std::string(core::shards::Profiles),
                                     [&text](const std::string &) { return *text; }),
                         "published " + FLAGS_file);
}

int show(tools::AdminClient &admin)
{
    const auto config = admin.configuration();
    if (!config.ok())
        return reportStatus(config.status());
    const auto it = config->find(FLAGS_shard);
    if (it == config->end())
        return reportStatus(
            absl::NotFoundError(core::concat("nothing published in shard '", FLAGS_shard, "'")));
    if (FLAGS_json)
        printJson({{"revision", wire::jsonNumber(it->second.revision)},
                   {"value", wire::qstring(it->second.value)}});
    else
        std::cout << "# revision " << it->second.revision << "\n" << it->second.value;
    return wire::ExitOk;
}

int diff(tools::AdminClient &admin)
{
    const auto text = readFile(FLAGS_file);
    const auto config = admin.configuration();
    if (!text.ok() || !config.ok())
        return reportStatus(text.ok() ? config.status() : text.status());
    const auto it = config->find(std::string(core::shards::Profiles));
    std::cout << tools::lineDiff(it == config->end() ? "" : it->second.value, *text);
    return wire::ExitOk;
}

int grant(tools::AdminClient &admin, const std::string &team)
{
    const auto config = admin.configuration();
    if (!config.ok())
        return reportStatus(config.status());
    const core::GeneratedKey granted = core::generateKey(team);
    const auto revision = changeShard(
        admin, core::shardForKey(granted.record.keyId),
        [&granted](const std::string &shard) { return tools::addKey(shard, granted.record); });
    if (!revision.ok())
        return reportStatus(revision.status());
    if (FLAGS_json)
        printJson({{"key", wire::qstring(granted.key)},
                   {"id", wire::qstring(granted.record.keyId)},
                   {"team", wire::qstring(team)},
                   {"revision", wire::jsonNumber(*revision)}});
    else
        std::cout << granted.key << "\n";
    return wire::ExitOk;
}

int withdrawKey(tools::AdminClient &admin, const std::string &keyId)
{
    return printRevision(
        changeShard(admin, core::shardForKey(keyId),
                    [&keyId](const std::string &shard) { return tools::removeKey(shard, keyId); }),
        "withdrew key " + keyId);
}

// Edits the settings of one endpoint. Prints a note if no such endpoint is registered.
int editEndpoint(tools::AdminClient &admin, const std::string &vm,
                 const std::function<std::string(const std::string &)> &edit,
                 const std::string &what)
{
    const auto status = admin.status();
    if (!status.ok())
        return reportStatus(status.status());
    bool registered = false;
    for (const auto &it : status->value("engines").toArray())
        registered = registered || wire::stringMember(it.toObject(), "vm") == vm;
    if (!registered)
        std::cerr << "jujubectl: note: no endpoint '" << vm << "' is currently registered\n";
    return printRevision(changeShard(admin, std::string(core::shards::Engines), edit), what);
}

int setIntent(tools::AdminClient &admin, const std::string &vm, core::EngineIntent intent)
{
    return editEndpoint(
        admin, vm, [&](const std::string &shard) { return tools::setIntent(shard, vm, intent); },
        core::concat(vm, " is to be ", core::intentName(intent)));
}

int pinRole(tools::AdminClient &admin, const std::string &vm, const std::string &role)
{
    const bool isRole = role == "mixed" || role == "prefill" || role == "decode";
    if (!isRole && role != "auto") {
        return reportStatus(absl::InvalidArgumentError(
            core::concat("role is '", role, "'; allowed: mixed, prefill, decode, auto")));
    }
    return editEndpoint(
        admin, vm,
        [&](const std::string &shard) {
            return tools::pinRole(shard, vm, isRole ? role : std::string());
        },
        core::concat("role of ", vm, " is ", role));
}

int engines(tools::AdminClient &admin)
{
    const auto status = admin.status();
    if (!status.ok())
        return reportStatus(status.status());
    const QJsonArray list = status->value("engines").toArray();
    if (FLAGS_json) {
        printJson({{"engines", list}});
        return wire::ExitOk;
    }
    std::printf("%-12s %-10s %-10s %-10s %-8s %-6s %-8s %8s %7s\n", "VM", "DOMAIN", "SERVES",
                "ROLE", "UP", "READY", "LEAVING", "RUNNING", "QUEUED");
    for (const auto &value : list) {
        const QJsonObject it = value.toObject();
        std::printf(
            "%-12s %-10s %-10s %-10s %-8s %-6s %-8s %8d %7d\n",
            wire::stringMember(it, "vm").c_str(), wire::stringMember(it, "failure_domain").c_str(),
            wire::stringMember(it, "serves").c_str(), wire::stringMember(it, "role").c_str(),
            it["up"].toBool() ? "up" : "down", it["ready"].toBool() ? "yes" : "no",
            it["leaving"].toBool() ? "yes" : "no", it["running"].toInt(), it["queued"].toInt());
    }
    return wire::ExitOk;
}

int status(tools::AdminClient &admin)
{
    const auto object = admin.status();
    if (!object.ok())
        return reportStatus(object.status());
    if (FLAGS_json) {
        printJson(*object);
        return wire::ExitOk;
    }
    std::cout << "entry " << wire::stringMember(*object, "entry") << ", configuration version "
              << wire::uintMember(*object, "version") << " confirmed "
              << wire::uintMember(*object, "confirmed_ms_ago") << " ms ago, plan "
              << wire::uintMember(*object, "term") << "." << wire::uintMember(*object, "sequence")
              << (object->value("controller").toBool() ? " (controller here)" : "") << ", "
              << wire::uintMember(*object, "sessions") << " requests in progress\n";
    for (const auto &value : object->value("peers").toArray()) {
        const QJsonObject it = value.toObject();
        std::cout << "peer " << wire::stringMember(it, "name") << " heard "
                  << wire::uintMember(it, "heard_ms_ago") << " ms ago"
                  << (it["refused"].toBool() ? ", refuses connections" : "") << "\n";
    }
    return engines(admin);
}

int timeline(tools::AdminClient &admin)
{
    const auto object = admin.timeline(FLAGS_after);
    if (!object.ok())
        return reportStatus(object.status());
    if (FLAGS_json) {
        printJson(*object);
        return wire::ExitOk;
    }
    std::vector<tools::TimelineEvent> events;
    for (const auto &it : object->value("events").toArray())
        events.push_back(tools::TimelineEvent::parse(it.toString().toStdString()));
    if (FLAGS_html.empty()) {
        for (const tools::TimelineEvent &it : events)
            std::cout << it.line << "\n";
        return wire::ExitOk;
    }
    std::ofstream file(FLAGS_html);
    file << tools::renderTimelinePage(events);
    if (!file.flush())
        return reportStatus(absl::UnavailableError(core::concat("cannot write ", FLAGS_html)));
    std::cout << "wrote " << events.size() << " events to " << FLAGS_html << "\n";
    return wire::ExitOk;
}

std::string fromEnvironment(const std::string &flag, const char *variable)
{
    const char *value = std::getenv(variable);
    return flag.empty() && value ? value : flag;
}

int runCommand(tools::AdminClient &admin, const std::string &command, const std::string &argument,
               const std::string &secondArgument)
{
    if (command == "publish")
        return publish(admin);
    if (command == "show")
        return show(admin);
    if (command == "diff")
        return diff(admin);
    if (command == "engines")
        return engines(admin);
    if (command == "status")
        return status(admin);
    if (command == "timeline")
        return timeline(admin);
    const bool takesArgument = command == "grant" || command == "withdraw-key" || command == "drain"
        || command == "withdraw" || command == "activate" || command == "pin-role";
    if (!takesArgument || argument.empty()) {
        return reportStatus(absl::InvalidArgumentError(
            takesArgument ? core::concat("'", command, "' needs an argument; see --help")
                          : core::concat("unknown command '", command, "'; see --help")));
    }
    if (command == "grant")
        return grant(admin, argument);
    if (command == "pin-role")
        return pinRole(admin, argument, secondArgument);
    if (command == "withdraw-key")
        return withdrawKey(admin, argument);
    if (command == "drain")
        return setIntent(admin, argument, core::EngineIntent::Drained);
    if (command == "withdraw")
        return setIntent(admin, argument, core::EngineIntent::Withdrawn);
    return setIntent(admin, argument, core::EngineIntent::Active);
}

} // namespace

int main(int argc, char *argv[])
{
    gflags::SetUsageMessage("operate a jujubecourse fleet");
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    if (FLAGS_help || argc < 2) {
        std::cout << Usage;
        return FLAGS_help ? wire::ExitOk : wire::ExitUsage;
    }
    const std::string entry = fromEnvironment(FLAGS_entry, "JUJUBE_ENTRY");
    const std::string token = fromEnvironment(FLAGS_token, "JUJUBE_TOKEN");
    if (entry.empty() || token.empty()) {
        return reportStatus(absl::InvalidArgumentError(
            "give an entry with --entry and the operator token with --token"));
    }
    core::startEventLog("jujubectl", false);
    auto io = kj::setupAsyncIo();
    const wire::CoroutineScope scope;
    wire::IoContext context{*io.provider, *io.lowLevelProvider, io.provider->getTimer()};
    tools::AdminClient admin(context, io.waitScope, entry, token);
    return runCommand(admin, argv[1], argc > 2 ? argv[2] : "", argc > 3 ? argv[3] : "");
}
