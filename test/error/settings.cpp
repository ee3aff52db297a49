/** \file
 * Tests that the errors for invalid settings and configurations name the key, the value and the
 * allowed values.
 */

#include "platform/settings.h"
#include "agent/agentsettings.h"
#include "core/configuration.h"
#include "core/text.h"
#include "entry/entrysettings.h"

#include <criterion/criterion.h>

#include <fstream>
#include <unistd.h>

using namespace jujube;

namespace {

std::string writeFile(const std::string &text)
{
    std::string path = core::concat("/tmp/jujube-settings-test-", getpid(), ".toml");
    std::ofstream(path) << text;
    return path;
}

bool mentions(const absl::Status &status, const std::string &text)
{
    return status.ToString().find(text) != std::string::npos;
}

constexpr const char *GoodEntry = R"(
name = "e"
failure_domain = "d"
http_listen = "127.0.0.1:1"
rpc_listen = "127.0.0.1:2"
platform = "127.0.0.1:3"
fleet_secret = "s"
operator_token = "t"
)";

} // namespace

Test(settings, a_valid_file_is_accepted)
{
    const std::string path = writeFile(GoodEntry);
    const auto settings = entry::EntrySettings::load(path);
    unlink(path.c_str());
    cr_assert(settings.ok(), "%s", settings.status().ToString().c_str());
    cr_assert_eq(settings->rpcAddress, "127.0.0.1:2");
}

Test(settings, every_error_is_listed_at_once)
{
    const std::string path = writeFile("name = 5\nhttp_threads = 900\nhttp_listen = \"nowhere\"\n"
                                       "no_such_key = 1\n");
    const auto settings = entry::EntrySettings::load(path);
    unlink(path.c_str());
    cr_assert_not(settings.ok());
    for (const char *part : {"name is 5", "http_threads is 900", "from 1 to 64", "http_listen",
                             "fleet_secret is nothing", "no_such_key", path.c_str()})
        cr_assert(mentions(settings.status(), part), "missing: %s in %s", part,
                  settings.status().ToString().c_str());
}

Test(settings, a_syntax_error_names_its_line)
{
    const std::string path = writeFile("name = \"a\"\nbroken =\n");
    const auto settings = agent::AgentSettings::load(path);
    unlink(path.c_str());
    cr_assert_not(settings.ok());
    cr_assert(mentions(settings.status(), "line 2"), "%s", settings.status().ToString().c_str());
}

Test(settings, a_missing_file_is_named)
{
    cr_assert(mentions(agent::AgentSettings::load("/nowhere.toml").status(), "/nowhere.toml"));
}

Test(publication, every_error_of_a_profile_is_reported)
{
    const absl::Status status = core::validateShard("profiles", R"(
[[profile]]
name = "chat"
model = "m"
priority = 12
deadline_ms = "soon"
)");
    cr_assert_not(status.ok());
    cr_assert(mentions(status, "profile[0].priority is 12"));
    cr_assert(mentions(status, "profile[0].deadline_ms"));
}

Test(publication, duplicate_names_and_unknown_shards_are_refused)
{
    cr_assert(
        mentions(core::validateShard("profiles", "[[team]]\nname=\"a\"\n[[team]]\nname=\"a\"\n"),
                 "team 'a' is defined twice"));
    cr_assert(mentions(core::validateShard("passwords", ""), "unknown shard 'passwords'"));
    cr_assert(mentions(core::validateShard("engines", "[[engine]]\nvm=\"x\"\nintent=\"gone\"\n"),
                       "active, drained, withdrawn"));
}

// Guards against gateways that start with a quota rule other than the stated one.
Test(settings, of_the_platform_state_the_quota_rule)
{
    const auto load = [](const std::string &bounds) {
        const std::string path = writeFile(core::concat(
            "NodeName = \"n\"\nZone = \"a\"\nIp = \"127.0.0.1\"\nInternalPorts = [1, 2]\n"
            "[Listen]\nFront = \"127.0.0.1:1\"\nReady = \"127.0.0.1:2\"\n"
            "[Platform]\nAddress = \"127.0.0.1:3\"\n[Bounds]\n",
            bounds));
        auto settings = platform::loadSettings(path);
        unlink(path.c_str());
        return settings;
    };
    const auto stated = load("QuotaWindowS = 2.5\nQuotaOverrun = 0.1\nQuotaSlack = 140000\n");
    cr_assert(stated.ok(), "%s", stated.status().ToString().c_str());
    cr_assert_eq(stated->quotaWindow, core::Milliseconds(2'500));
    cr_assert_eq(stated->quotaOverrun, 0.1);
    cr_assert_eq(stated->quotaSlack, 140'000);
    const auto absent = load("");
    cr_assert(absent.ok());
    cr_assert_eq(absent->quotaWindow, core::Milliseconds(8'000));
    cr_assert(absent->quotaOverrun == 0 && absent->quotaSlack == 0);
    for (const char *name : {"QuotaWindowS", "QuotaOverrun", "QuotaSlack"}) {
        for (const char *value :
             {"-1", "-0.1", "\"8\"", "true", "[8]", "nan", "inf", "1e300", "9223372036854775807"}) {
            const auto settings = load(core::concat(name, " = ", value, "\n"));
            cr_assert_not(settings.ok(), "%s = %s", name, value);
            cr_assert(mentions(settings.status(), core::concat("Bounds.", name, " must be")));
        }
    }
}
