/** \file
 * Tests that invalid settings, configurations, requests and responses in the platform's formats are
 * rejected, and that valid ones are decoded.
 */

#include "platform/fleetcodec.h"
#include "platform/requestcodec.h"
#include "platform/settings.h"
#include "platform/storecodec.h"

#include <criterion/criterion.h>

#include <fstream>
#include <unistd.h>

using namespace jujube;
using namespace std::chrono_literals;

namespace {

absl::StatusOr<serving::NodeSettings> settingsFrom(const std::string &text)
{
    const std::string path = "platform-settings-" + std::to_string(getpid()) + ".toml";
    std::ofstream(path) << text;
    auto settings = platform::loadSettings(path);
    unlink(path.c_str());
    return settings;
}

constexpr const char *ValidSettings = R"(
NodeName = "front-a-1"
Zone = "a"
Ip = "10.1.0.31"
InternalPorts = [7780, 7795]
FutureField = true
[Listen]
Front = "10.1.0.31:8368"
Ready = "10.1.0.31:8369"
[Bounds]
GraceS = 8
LeaseMs = 3000
RetryBudgetRatio = 0.2
[Platform]
Address = "10.200.1.7:8362"
[CloudApi]
Address = "10.200.0.99:8362"
Duties = ["usage_report"]
)";

http::Head requestHead(const std::vector<http::Field> &fields)
{
    http::Head head;
    head.method = "POST";
    head.target = "/a/b?c";
    for (const http::Field &it : fields)
        head.fields.add(it.name, it.value);
    return head;
}

} // namespace

Test(settings_of_the_platform, are_read_with_unknown_fields_ignored)
{
    const auto settings = settingsFrom(ValidSettings);
    cr_assert(settings.ok());
    cr_assert(settings->name == "front-a-1");
    cr_assert(settings->reportsUsage);
    cr_assert_eq(settings->drainGrace, 8'000ms);
    cr_assert_eq(settings->firstInternalPort, 7780);
}

Test(settings_of_the_platform, name_every_error)
{
    const auto settings =
        settingsFrom("NodeName = 7\nInternalPorts = [9]\n[Bounds]\nGraceS = -1\n");
    cr_assert_not(settings.ok());
    const std::string text(settings.status().message());
    for (const char *word : {"NodeName", "Zone", "InternalPorts", "Bounds.GraceS", "Listen.Front"})
        cr_assert_neq(text.find(word), std::string::npos, "%s is not named", word);
    cr_assert_not(settingsFrom("this is = = not TOML").ok());
    cr_assert_not(platform::loadSettings("no-such-file").ok());
}

Test(requests, must_name_host_and_id_once)
{
    cr_assert_not(platform::decodeRequest(requestHead({{"Host", "a"}})).ok());
    cr_assert_not(platform::decodeRequest(requestHead({{"Request-Id", "1"}})).ok());
    cr_assert_not(
        platform::decodeRequest(requestHead({{"Host", "a"}, {"Host", "b"}, {"Request-Id", "1"}}))
            .ok());
    cr_assert_not(platform::decodeRequest(
                      requestHead({{"Host", "a"}, {"Request-Id", "1"}, {"Deadline-Ms", "soon"}}))
                      .ok());
    cr_assert_not(platform::decodeRequest(
                      requestHead({{"Host", "a"}, {"Request-Id", "1"}, {"Prompt-Prefix", "xyz:1"}}))
                      .ok());
    const auto facts = platform::decodeRequest(requestHead({{"Host", "a:80"},
                                                            {"Request-Id", "1"},
                                                            {"Prompt-Prefix", "5c1e:800,91:410"},
                                                            {"Token-Count", "1460,80"}}));
    cr_assert(facts.ok());
    cr_assert(facts->host == "a");
    cr_assert(facts->path == "/a/b");
    cr_assert_eq(facts->prefixBlocks.size(), 2U);
    cr_assert_eq(facts->prefixBlocks[0].id, 0x5c1eU);
    cr_assert_eq(facts->maxOutputTokens, 80U);
}

Test(configuration_of_the_platform, the_route_with_the_longest_prefix_applies)
{
    const auto config = platform::decodeConfig(
        R"({"Version":7,"Routes":[
            {"Name":"short","Host":"h","PathPrefix":"/a/","Kind":"idempotent","Service":"s"},
            {"Name":"long","Host":"h","PathPrefix":"/a/b/","Kind":"streaming",
             "TargetLatencyMs":700,"TargetGapMs":200,
             "TrafficSplit":[{"Service":"s","Weight":90},{"Service":"t","Weight":10}]}]})");
    cr_assert(config.ok());
    const serving::FleetConfig &it = **config;
    cr_assert(it.findRoute("h", "/a/b/c")->name == "long");
    cr_assert(it.findRoute("h", "/a/x")->name == "short");
    cr_assert_null(it.findRoute("h", "/b"));
    cr_assert_null(it.findRoute("other", "/a/x"));
    cr_assert_eq(it.findRoute("h", "/a/b/c")->targets.size(), 2U);
    cr_assert_eq(it.findRoute("h", "/a/b/c")->eventTimeout, 2'800ms);
    cr_assert_not(it.requiresKeys);
}

Test(configuration_of_the_platform, an_unknown_kind_is_an_error)
{
    cr_assert_not(platform::decodeConfig(
                      R"({"Version":1,"Routes":[{"Host":"h","PathPrefix":"/","Kind":"new"}]})")
                      .ok());
    cr_assert_not(platform::decodeConfig("[]").ok());
}

Test(answers, only_not_executed_and_misdirected_mean_not_run)
{
    http::Head head;
    head.status = 503;
    cr_assert_not(platform::decodeResponseHead(head).notRun);
    head.fields.add("Not-Executed", "1");
    cr_assert(platform::decodeResponseHead(head).notRun);
    http::Head misdirected;
    misdirected.status = 421;
    cr_assert(platform::decodeResponseHead(misdirected).notRun);
}

Test(store_answers, a_malformed_or_repeated_era_is_an_error)
{
    const auto decodeEraFrom = [](const std::vector<std::string> &values) {
        http::Head head;
        for (const std::string &it : values)
            head.fields.add("Store-Era", it);
        return platform::decodeEra(head);
    };
    cr_assert_not(decodeEraFrom({})->has_value());
    cr_assert_eq(**decodeEraFrom({"0"}), 0U);
    cr_assert_eq(**decodeEraFrom({"17"}), 17U);
    for (const char *it : {"", "-1", "1.5", "seven", "99999999999999999999999"})
        cr_assert_not(decodeEraFrom({it}).ok(), "%s", it);
    cr_assert_not(decodeEraFrom({"1", "2"}).ok());
}

Test(store_answers, map_to_distinct_errors)
{
    http::Response response;
    response.head.status = 412;
    cr_assert(absl::IsAborted(platform::decodeCommit(response, 0).status()));
    response.head.status = 410;
    cr_assert(absl::IsOutOfRange(platform::decodeEvents(response, 0).status()));
    response.head.status = 404;
    cr_assert(absl::IsNotFound(platform::decodeRenewal(response)));
    response.head.status = 200;
    response.body = "{";
    cr_assert_not(platform::decodeListing(response, 0).ok());
}
