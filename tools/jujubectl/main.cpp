/** \file
 * Program jujubectl: the operators' tool.
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
             "revision the change was made from; the default is the newest seen");
DEFINE_string(shard, "profiles", "show: profiles, engines, or keys-00 to keys-15");
DEFINE_string(html, "", "timeline: write a picture to this file");
DEFINE_uint64(after, 0, "timeline: only events after this hybrid time");
DECLARE_bool(help);

namespace {

using namespace jujube;

constexpr const char *Usage = R"(jujubectl - operate a jujubecourse fleet

usage: jujubectl --entry ADDRESS --token TOKEN COMMAND [ARGUMENT] [FLAGS]

commands
  publish --file FILE     publish profiles, services and teams (first time or a revision)
  show [--shard NAME]     print a configuration shard and its revision
  diff --file FILE        compare a file with what is in force
  grant TEAM              make a key for a team; it is printed once and kept nowhere
  withdraw-key KEYID      withdraw a key; it stops working within seconds
  drain VM                let an endpoint finish its work and take no more
  withdraw VM             drain an endpoint and give its VM back to the platform
  activate VM             take a drained endpoint into service again
  pin-role VM ROLE        fix an engine's role: mixed, prefill, decode; auto ends it
  engines                 list the endpoints
  status                  state of the entry, its peers and the endpoints
  timeline [--html FILE]  events of all processes in causal order

flags
  --from_revision N       refuse the change unless the shard is still at revision N
  --json                  print JSON
  --entry, --token        or the variables JUJUBE_ENTRY and JUJUBE_TOKEN

exit codes: 0 done, 1 failed, 2 bad command line or input, 3 another operator was faster
)";

int report(const absl::Status &status)
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

// Changes one shard from the revision the operator named, or the newest one.
absl::StatusOr<uint64_t>
changeShard(tools::AdminClient &admin, const std::string &shard,
            const std::function<absl::StatusOr<std::string>(const std::string &)> &edit)
{
    const auto config = admin.configuration();
    if (!config.ok())
        return config.status();
    const auto it = config->find(shard);
    const tools::ShardText current = it == config->end() ? tools::ShardText{} : it->second;
    const auto value = edit(current.value);
    if (!value.ok())
        return value.status();
    const uint64_t from =
        FLAGS_from_revision >= 0 ? static_cast<uint64_t>(FLAGS_from_revision) : current.revision;
    return admin.publish(shard, from, *value);
}

int done(const absl::StatusOr<uint64_t> &revision, const std::string &what)
{
    if (!revision.ok())
        return report(revision.status());
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
        return report(text.status());
    const absl::Status checked = core::validateShard(core::shards::Profiles, *text);
    if (!checked.ok())
        return report(absl::InvalidArgumentError(
            core::concat(FLAGS_file, ": ", core::toStd(checked.message()))));
    return done(changeShard(admin, std::string(core::shards::Profiles),
                            [&text](const std::string &) { return *text; }),
                "published " + FLAGS_file);
}

int show(tools::AdminClient &admin)
{
    const auto config = admin.configuration();
    if (!config.ok())
        return report(config.status());
    const auto it = config->find(FLAGS_shard);
    if (it == config->end())
        return report(
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
        return report(text.ok() ? config.status() : text.status());
    const auto it = config->find(std::string(core::shards::Profiles));
    std::cout << tools::lineDiff(it == config->end() ? "" : it->second.value, *text);
    return wire::ExitOk;
}

int grant(tools::AdminClient &admin, const std::string &team)
{
    const auto config = admin.configuration();
    if (!config.ok())
        return report(config.status());
    const core::GeneratedKey granted = core::generateKey(team);
    const auto revision = changeShard(
        admin, core::shardForKey(granted.record.keyId),
        [&granted](const std::string &shard) { return tools::addKey(shard, granted.record); });
    if (!revision.ok())
        return report(revision.status());
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
    return done(
        changeShard(admin, core::shardForKey(keyId),
                    [&keyId](const std::string &shard) { return tools::removeKey(shard, keyId); }),
        "withdrew key " + keyId);
}

// Edits the wish for one endpoint, with a note when no such endpoint is known yet.
int changeWish(tools::AdminClient &admin, const std::string &vm,
               const std::function<std::string(const std::string &)> &edit, const std::string &what)
{
    const auto status = admin.status();
    if (!status.ok())
        return report(status.status());
    bool known = false;
    for (const auto &it : status->value("engines").toArray())
        known = known || wire::textAt(it.toObject(), "vm") == vm;
    if (!known)
        std::cerr << "jujubectl: note: no endpoint '" << vm << "' is registered at present\n";
    return done(changeShard(admin, std::string(core::shards::Engines), edit), what);
}

int setIntent(tools::AdminClient &admin, const std::string &vm, core::EngineIntent intent)
{
    return changeWish(
        admin, vm, [&](const std::string &shard) { return tools::setIntent(shard, vm, intent); },
        core::concat(vm, " is to be ", core::intentName(intent)));
}

int pinRole(tools::AdminClient &admin, const std::string &vm, const std::string &role)
{
    const bool isRole = role == "mixed" || role == "prefill" || role == "decode";
    if (!isRole && role != "auto") {
        return report(absl::InvalidArgumentError(
            core::concat("role is '", role, "'; allowed: mixed, prefill, decode, auto")));
    }
    return changeWish(
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
        return report(status.status());
    const QJsonArray list = status->value("engines").toArray();
    if (FLAGS_json) {
        printJson({{"engines", list}});
        return wire::ExitOk;
    }
    std::printf("%-12s %-10s %-10s %-10s %-8s %-6s %-8s %8s %7s\n", "VM", "DOMAIN", "SERVES",
                "ROLE", "UP", "READY", "LEAVING", "RUNNING", "QUEUED");
    for (const auto &value : list) {
        const QJsonObject it = value.toObject();
        std::printf("%-12s %-10s %-10s %-10s %-8s %-6s %-8s %8d %7d\n",
                    wire::textAt(it, "vm").c_str(), wire::textAt(it, "failure_domain").c_str(),
                    wire::textAt(it, "serves").c_str(), wire::textAt(it, "role").c_str(),
                    it["up"].toBool() ? "up" : "down", it["ready"].toBool() ? "yes" : "no",
                    it["leaving"].toBool() ? "yes" : "no", it["running"].toInt(),
                    it["queued"].toInt());
    }
    return wire::ExitOk;
}

int status(tools::AdminClient &admin)
{
    const auto object = admin.status();
    if (!object.ok())
        return report(object.status());
    if (FLAGS_json) {
        printJson(*object);
        return wire::ExitOk;
    }
    std::cout << "entry " << wire::textAt(*object, "entry") << ", configuration version "
              << wire::numberAt(*object, "version") << " confirmed "
              << wire::numberAt(*object, "confirmed_ms_ago") << " ms ago, plan "
              << wire::numberAt(*object, "term") << "." << wire::numberAt(*object, "sequence")
              << (object->value("controller").toBool() ? " (controller here)" : "") << ", "
              << wire::numberAt(*object, "sessions") << " requests in progress\n";
    for (const auto &value : object->value("peers").toArray()) {
        const QJsonObject it = value.toObject();
        std::cout << "peer " << wire::textAt(it, "name") << " heard "
                  << wire::numberAt(it, "heard_ms_ago") << " ms ago"
                  << (it["refused"].toBool() ? ", refuses connections" : "") << "\n";
    }
    return engines(admin);
}

int timeline(tools::AdminClient &admin)
{
    const auto object = admin.timeline(FLAGS_after);
    if (!object.ok())
        return report(object.status());
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
    file << tools::drawTimeline(events);
    if (!file.flush())
        return report(absl::UnavailableError(core::concat("cannot write ", FLAGS_html)));
    std::cout << "wrote " << events.size() << " events to " << FLAGS_html << "\n";
    return wire::ExitOk;
}

std::string fromEnvironment(const std::string &flag, const char *variable)
{
    const char *value = std::getenv(variable);
    return flag.empty() && value ? value : flag;
}

int runCommand(tools::AdminClient &admin, const std::string &command, const std::string &argument,
               const std::string &second)
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
        return report(absl::InvalidArgumentError(
            takesArgument ? core::concat("'", command, "' needs an argument; see --help")
                          : core::concat("no command '", command, "'; see --help")));
    }
    if (command == "grant")
        return grant(admin, argument);
    if (command == "pin-role")
        return pinRole(admin, argument, second);
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
        return report(absl::InvalidArgumentError(
            "name an entry with --entry and the operator token with --token"));
    }
    core::startEventLog("jujubectl", false);
    auto io = kj::setupAsyncIo();
    const wire::CoroutineScope scope;
    wire::IoContext context{*io.provider, *io.lowLevelProvider, io.provider->getTimer()};
    tools::AdminClient admin(context, io.waitScope, entry, token);
    return runCommand(admin, argv[1], argc > 2 ? argv[2] : "", argc > 3 ? argv[3] : "");
}
