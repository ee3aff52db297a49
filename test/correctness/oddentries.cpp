/** \file
 * Tests of entries that another writer has left in the store.
 */

#include "core/text.h"
#include "platform/fleetcodec.h"
#include "support/deployment.h"

#include <criterion/criterion.h>

#include <map>

using namespace jujube;
using namespace std::chrono_literals;
using test::Deployment;

namespace {

std::string entry(const std::string &address, const std::string &slots = "4",
                  const std::string &more = "")
{
    return core::concat(R"({"Service":"app","Address":")", address,
                        R"(","Zone":"a","Version":"v1","Slots":)", slots,
                        R"(,"State":"ready","ColdLeftMs":0,"Sequence":1)", more, "}");
}

/** A sound entry in which one field has another value; without a value it is missing. */
std::string entryWith(const std::string &field, const std::string &value)
{
    std::string text = "{";
    for (const auto &[name, sound] :
         std::map<std::string, std::string>{{"Service", R"("app")"},
                                            {"Address", R"("127.0.0.1:80")"},
                                            {"Zone", R"("a")"},
                                            {"Version", R"("v1")"},
                                            {"Slots", "4"},
                                            {"State", R"("ready")"},
                                            {"ColdLeftMs", "0"},
                                            {"Sequence", "1"}}) {
        const std::string &used = name == field ? value : sound;
        if (!used.empty())
            text += core::concat(text.size() > 1 ? "," : "", "\"", name, "\":", used);
    }
    return text + "}";
}

std::string nested(size_t depth)
{
    return core::concat(R"({"Service":"app","Address":"127.0.0.1:80","Zone":"a","Slots":4,)",
                        R"("State":"ready","x":)", std::string(depth, '['), std::string(depth, ']'),
                        "}");
}

/** Entries that name no endpoint to use. */
std::vector<std::string> oddEntries()
{
    std::vector<std::string> entries{nested(5'000),
                                     nested(400'000),
                                     std::string(400'000, '['),
                                     std::string("\xff\xfe\x00{", 4),
                                     "",
                                     "null",
                                     "[]"};
    for (const char *address :
         {"127.0.0.1:99999", "127.0.0.1:65536", "127.0.0.1:0", "127.0.0.1:-1", "127.0.0.1:80x",
          "127.0.0.1:", "127.0.0.1:18446744073709551617", "127.0.0.1", ":80", "localhost:80",
          "[::1]:80", "300.0.0.1:80", "127.0.0.1:+80", "127.0.0.1: 80"})
        entries.push_back(entry(address));
    for (const char *slots : {"1e400", "1e30", "-1", "0", "0.5", "4294967296", "\"4\"", "true"})
        entries.push_back(entry("127.0.0.1:80", slots));
    for (const char *more :
         {R"(,"born":1e300)", R"(,"born":-1)", R"(,"born":"then")", R"(,"Stage":17)"})
        entries.push_back(entry("127.0.0.1:80", "4", more));
    for (const char *field :
         {"Service", "Address", "Zone", "Version", "Slots", "State", "ColdLeftMs", "Sequence"}) {
        for (const char *value : {"", "null", "true", "[]", "{}"})
            entries.push_back(entryWith(field, value));
    }
    for (const char *field : {"Service", "Address", "Zone", "Version", "State"})
        entries.push_back(entryWith(field, "7"));
    for (const char *field : {"Slots", "ColdLeftMs", "Sequence"})
        entries.push_back(entryWith(field, "\"7\""));
    return entries;
}

} // namespace

// Guards against endpoints that cannot be called, numbers that are undefined when converted, and
// requests that run at another service (ROUTE): an entry that cannot be read, or lacks a field that
// each endpoint writes, comes from another writer and names no endpoint.
Test(oddentries, no_endpoint_is_read_from_an_odd_entry)
{
    for (const std::string &value : oddEntries())
        cr_assert_not(platform::decodeEndpoint("servers/i-odd", value, {0, 1}).ok(), "%s",
                      value.substr(0, 120).c_str());
    const auto sound = platform::decodeEndpoint("servers/i-1", entry("127.0.0.1:80"), {0, 1});
    cr_assert(sound.ok());
    cr_assert_eq(sound->slots, 4U);
    // Numbers beyond what matters are limited instead: the endpoint is there.
    const auto cold = platform::decodeEndpoint(
        "servers/i-1",
        R"({"Service":"app","Address":"127.0.0.1:80","Zone":"a","Version":"v1","Slots":4,)"
        R"("State":"ready",)"
        R"("ColdLeftMs":1e300,"Sequence":1e300})",
        {0, 1});
    cr_assert(cold.ok());
    cr_assert_leq(cold->warmUpTimeLeft, 24h);
}

// Guards against machines that end again and again, or that no longer follow the list (LOST), when
// another writer has left an entry that cannot be read.
Test(oddentries, the_list_of_endpoints_is_followed_in_spite_of_them)
{
    Deployment it;
    auto &first = it.addEndpoint("app");
    size_t n = 0;
    for (const std::string &value : oddEntries()) {
        it.store().put(core::concat("servers/i-odd-", ++n), value);
        it.store().put(core::concat("jujube/gateway/odd-", n), value);
        it.store().put(core::concat("jujube/quarantine/odd-", n), value);
    }
    for (const char *address : {"127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1", "x:7", ":", ""})
        it.store().put(core::concat("jujube/gateway/odd-", ++n), address);
    it.publishConfig(1);
    it.startGateway();
    for (int i = 0; i < 20; ++i)
        cr_assert_eq(it.sendRequest("POST", "/order/1", core::concat("r", i)).status(), 200U);
    // Later changes are followed as well, and so are odd entries that come later.
    for (const std::string &value : oddEntries())
        it.store().put(core::concat("servers/i-odd-", ++n), value);
    auto &second = it.addEndpoint("app");
    it.store().erase("servers/" + first.id());
    cr_assert(it.runUntil([&]() {
        return it.sendRequest("POST", "/order/1", core::concat("s", ++n)).status() == 200U
            && !second.receivedRequests().empty();
    }));
    const size_t before = first.receivedRequests().size();
    for (int i = 0; i < 10; ++i)
        cr_assert_eq(it.sendRequest("POST", "/order/1", core::concat("t", i)).status(), 200U);
    cr_assert_eq(first.receivedRequests().size(), before);
}
