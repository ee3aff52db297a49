/** \file
 * Tests parsing of the configuration, verification of team keys and editing of shards.
 */

#include "core/configuration.h"
#include "core/keyhash.h"
#include "jujubectl/shardeditor.h"

#include <criterion/criterion.h>

using namespace jujube;

namespace {

constexpr const char *Profiles = R"(
[[team]]
name = "a"
weight = 2.0
[[profile]]
name = "chat"
model = "m"
teams = ["a"]
[[service]]
name = "orders"
[[service.route]]
prefix = "/"
idempotent = false
[[service.route]]
prefix = "/stock"
idempotent = true
open = true
)";

} // namespace

Test(configuration, shards_make_one_view_with_the_newest_version)
{
    const auto config =
        core::Configuration::create({{"profiles", {5, Profiles}}, {"keys", {9, ""}}});
    cr_assert(config.ok());
    cr_assert_eq((*config)->version(), 9U);
    cr_assert((*config)->profile("chat")->allows("a"));
    cr_assert_not((*config)->profile("chat")->allows("b"));
    cr_assert_null((*config)->profile("other"));
}

Test(configuration, the_route_with_the_longest_prefix_applies)
{
    const auto config = core::Configuration::create({{"profiles", {1, Profiles}}});
    const core::Service *service = (*config)->service("orders");
    cr_assert(service->routeFor("/stock/1")->idempotent);
    cr_assert_not(service->routeFor("/release")->idempotent);
}

Test(keys, only_the_granted_secret_matches)
{
    const core::GeneratedKey granted = core::generateKey("a");
    const auto presented = core::PresentedKey::parse(granted.key);
    cr_assert(presented);
    cr_assert_eq(presented->keyId, granted.record.keyId);
    cr_assert(core::keyMatches(granted.record, *presented));
    auto wrong = *presented;
    wrong.secret.back() = wrong.secret.back() == '0' ? '1' : '0';
    cr_assert_not(core::keyMatches(granted.record, wrong));
    cr_assert_eq(granted.record.hash.find(presented->secret), std::string::npos);
    cr_assert_not(core::PresentedKey::parse("jj_nosecret"));
    cr_assert_not(core::PresentedKey::parse("Bearer x"));
}

Test(shardeditor, removing_a_key_keeps_the_others)
{
    const auto one = core::generateKey("a");
    const auto two = core::generateKey("b");
    std::string shard = tools::addKey(tools::addKey("", one.record), two.record);
    const auto without = tools::removeKey(shard, one.record.keyId);
    cr_assert(without.ok());
    const auto config = core::Configuration::create({{"keys", {1, *without}}});
    cr_assert(config.ok());
    cr_assert_null((*config)->key(one.record.keyId));
    cr_assert_not_null((*config)->key(two.record.keyId));
    cr_assert_not(tools::removeKey(*without, one.record.keyId).ok());
}

Test(shardeditor, a_pinned_role_survives_a_drain)
{
    std::string shard = tools::pinRole("", "vm", "decode");
    shard = tools::setIntent(shard, "vm", core::EngineIntent::Drained);
    const auto config = core::Configuration::create({{"engines", {1, shard}}});
    cr_assert(config.ok());
    const core::EngineOverride engine = (*config)->engineOverride("vm");
    cr_assert(engine.intent == core::EngineIntent::Drained);
    cr_assert(engine.role == core::Role::Decode);
}

Test(shardeditor, the_difference_shows_changed_lines)
{
    cr_assert_eq(tools::lineDiff("a\nb\nc", "a\nx\nc"), "  a\n- b\n+ x\n  c\n");
}

Test(configuration, unchanged_shards_are_reused_and_changed_ones_parsed)
{
    const auto key = [](const std::string &id) {
        return "[[key]]\nid=\"" + id + "\"\nteam=\"t\"\nsalt=\"00\"\nhash=\"00\"\n";
    };
    const auto first =
        core::Configuration::create({{"keys-00", {1, key("a")}}, {"keys-01", {2, key("b")}}});
    cr_assert(first.ok());
    // The first shard has new text under an old revision, so an attempt to parse it would fail.
    const auto second = core::Configuration::create(
        {{"keys-00", {1, "not toml"}}, {"keys-01", {3, key("c")}}}, first->get());
    cr_assert(second.ok());
    cr_assert_not_null((*second)->key("a"));
    cr_assert_null((*second)->key("b"));
    cr_assert_not_null((*second)->key("c"));
}

Test(configuration, a_record_in_two_shards_is_an_error)
{
    const std::string team = "[[team]]\nname=\"a\"\n";
    cr_assert_not(
        core::Configuration::create({{"profiles", {1, team}}, {"engines", {2, team}}}).ok());
}
