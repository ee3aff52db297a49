/** \file
 * Tests that invalid settings, configurations, requests and responses in the platform's formats are
 * rejected, and that valid ones are decoded.
 */

#include "core/text.h"
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

// Decodes a configuration with one team; members are added to those of the team.
absl::StatusOr<std::shared_ptr<const serving::FleetConfig>> configWithTeam(std::string_view members)
{
    return platform::decodeConfig(
        core::concat(R"({"Version":1,"Tenants":[{"Name":"acme")", members, "}]}"));
}

std::optional<serving::EndpointLoad> loadFrom(const std::string &text)
{
    http::Head head;
    head.fields.add("Server-Load", text);
    return platform::decodeResponseHead(head).load;
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

// Shares of teams apply where the list names them only: elsewhere nothing may change.
Test(settings_of_the_platform, name_contention_in_the_contracts)
{
    const auto contention = [](const std::string &contracts) {
        const auto settings = settingsFrom(contracts + ValidSettings);
        cr_assert(settings.ok());
        return settings->contention;
    };
    cr_assert_not(contention(""));
    cr_assert_not(contention("Contracts = []"));
    cr_assert_not(contention("Contracts = [\"quota\", 3]"));
    cr_assert_not(contention("Contracts = \"pressure\""));
    cr_assert(contention("Contracts = [\"quota\", \"pressure\"]"));
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

// Guards against a quota that is lost or read in the wrong unit.
Test(configuration_of_the_platform, the_quota_of_a_team_is_decoded)
{
    const auto config = configWithTeam(
        R"(,"RatePerS":36000.5,"Burst":40000,"Unit":"token_stream","PlainTokens":300)");
    cr_assert(config.ok());
    const auto &quota = (*config)->teams.front().quota;
    cr_assert(quota.has_value());
    cr_assert_eq(quota->tokensPerSecond, 36'000.5);
    cr_assert_eq(quota->burstTokens, 40'000);
    cr_assert_eq(quota->plainTokens, 300);
    cr_assert(quota->countsTokens);
    for (const char *unit :
         {"", R"(,"Unit":"")", R"(,"Unit":"request")", R"(,"Unit":"requests")"}) {
        const auto inRequests = configWithTeam(core::concat(R"(,"RatePerS":0.5)", unit));
        cr_assert(inRequests.ok(), "%s", unit);
        cr_assert_not((*inRequests)->teams.front().quota->countsTokens, "%s", unit);
        cr_assert_eq((*inRequests)->teams.front().quota->burstTokens, 0);
    }
}

// Guards against a quota of zero, which would refuse every request of a team without a quota.
Test(configuration_of_the_platform, no_rate_means_no_quota)
{
    for (const char *members : {"", R"(,"RatePerS":0)", R"(,"RatePerS":-0.0,"Burst":7)",
                                R"(,"Burst":7,"Unit":"token_stream")"}) {
        const auto config = configWithTeam(members);
        cr_assert(config.ok(), "%s", members);
        cr_assert_not((*config)->teams.front().quota.has_value(), "%s", members);
    }
}

// Guards against undefined conversions to whole numbers, and infinities in sums.
Test(configuration_of_the_platform, huge_quota_figures_stay_in_range)
{
    for (const char *figure : {"9007199254740993", "18446744073709551616", "1e300"}) {
        const auto config = configWithTeam(core::concat(R"(,"RatePerS":)", figure, R"(,"Burst":)",
                                                        figure, R"(,"PlainTokens":)", figure));
        cr_assert(config.ok(), "%s", figure);
        const serving::TeamQuota quota = *(*config)->teams.front().quota;
        for (const double it : {quota.tokensPerSecond, quota.burstTokens, quota.plainTokens})
            cr_assert(it >= 1e12 && it * 3600 < 9e18, "%s", figure);
    }
}

// Guards against a typing error that silently removes a quota, also for a team without a rate.
Test(configuration_of_the_platform, a_malformed_quota_names_team_and_field)
{
    for (const char *field : {"RatePerS", "Burst", "PlainTokens"}) {
        for (const char *value : {"-1", "-0.001", R"("36000")", "null", "true", "[1]"}) {
            const auto config = configWithTeam(core::concat(",\"", field, "\":", value));
            cr_assert_not(config.ok(), "%s %s", field, value);
            cr_assert_neq(config.status().message().find(core::concat("acme: ", field)),
                          std::string_view::npos, "%s %s", field, value);
        }
        cr_assert_not(configWithTeam(core::concat(",\"", field, "\":1e999")).ok(), "%s", field);
    }
    for (const char *unit : {R"("tokens")", R"("Token_Stream")", "7", "null", "[]"}) {
        const auto config = configWithTeam(core::concat(R"(,"RatePerS":1,"Unit":)", unit));
        cr_assert_not(config.ok(), "%s", unit);
        cr_assert_neq(config.status().message().find("acme: Unit"), std::string_view::npos);
    }
}

// Guards against a report that is taken for another, such as a pace for a number of slots.
Test(answers, state_load_with_an_optional_pace)
{
    const auto load = loadFrom("3,4,8,137");
    cr_assert(load.has_value());
    cr_assert(load->running == 3 && load->waiting == 4 && load->slots == 8);
    cr_assert_eq(load->pacePercent, 137U);
    cr_assert_eq(loadFrom("0,0,1,100000")->pacePercent, 100'000U);
    cr_assert_not(loadFrom("1000000,1000000,1000000")->pacePercent.has_value());
    for (const char *pace :
         {"", "0", "-5", "100001", "99999999999999999999", "1.5", "fast", " 9"}) {
        const auto withoutPace = loadFrom(core::concat("3,4,8,", pace));
        cr_assert(withoutPace && withoutPace->slots == 8, "%s", pace);
        cr_assert_not(withoutPace->pacePercent.has_value(), "%s", pace);
    }
    for (const char *it : {"", "3", "3,4", "3,4,8,100,1", "3,4,8,100,", "-3,4,8", "3,x,8", "3,4,0",
                           "3,4,0,100", "1000001,4,8", "3,1000001,8", "3,4,1000001", "3,4,8.5",
                           "99999999999999999999,4,8", "3,,8", ",,,"})
        cr_assert_not(loadFrom(it).has_value(), "%s", it);
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
