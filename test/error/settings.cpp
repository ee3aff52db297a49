/** \file
 * Tests that the errors for invalid settings and configurations name the key, the value and the
 * allowed values.
 */

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
