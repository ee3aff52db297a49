/** \file
 * Tests of the decode load that gateways account for and share, and of requests that exceed the
 * memory of an engine.
 */

#include "core/eventlog.h"
#include "serving/loadexchange.h"
#include "support/deployment.h"

#include <criterion/criterion.h>

using namespace jujube;
using namespace std::chrono_literals;
using test::Deployment;

namespace {

const core::TimePoint Start{1h};

serving::GossipMessage load(const std::string &name, uint64_t sequence,
                            const serving::OutstandingLoad &engine)
{
    serving::GossipMessage gossip;
    gossip.kind = serving::GossipKind::Load;
    gossip.name = name;
    gossip.run = 1;
    gossip.sequence = sequence;
    if (engine.running > 0)
        gossip.shares.push_back({17, engine});
    return gossip;
}

// Lines of an event that contain a text.
std::vector<std::string> linesOf(const std::string &event, const std::string &text)
{
    std::vector<std::string> lines;
    for (const core::LoggedEvent &it : core::eventsAfter(0, 100'000)) {
        if (it.line.find("event=" + event) != std::string::npos
            && it.line.find(text) != std::string::npos)
            lines.push_back(it.line);
    }
    return lines;
}

std::vector<http::Field> promptFields(const std::string &count)
{
    return {{"Token-Count", count}, {"Prompt-Prefix", "a1:" + count.substr(0, count.find(','))}};
}

} // namespace

// Guards against sums that keep the load of streams that have ended, at the hub and on the wire.
Test(decodeload, the_hub_states_the_decode_load_of_all_others)
{
    serving::LoadAggregator loads;
    loads.apply(load("a", 1, {3, 0, 200, 9'000}), Start);
    loads.apply(load("b", 1, {2, 0, 100, 4'000}), Start);
    loads.apply(load("b", 2, {2, 0, 40, 4'000}), Start);
    serving::GossipMessage summary;
    summary.kind = serving::GossipKind::Summary;
    summary.shares = loads.loadExcept("c");
    const auto received = serving::decodeGossip(serving::encodeGossip(summary));
    cr_assert(received.ok());
    cr_assert_eq(received->shares.front().load.remainingTokens, 240U);
    cr_assert_eq(received->shares.front().load.heldTokens, 13'000U);
    cr_assert_eq(loads.loadExcept("a").front().load.remainingTokens, 40U);
    loads.apply(load("a", 2, {}), Start);
    loads.apply(load("b", 3, {}), Start);
    cr_assert(loads.loadExcept("c").empty());
}

// Guards against a load that grows with each request because its end is not accounted for.
Test(decodeload, ended_requests_leave_no_decode_load)
{
    core::startEventLog("test", core::LogSettings{core::LogTarget::None});
    Deployment it;
    it.addEndpoint("model", serving::Stage::Prefill);
    it.addEndpoint("model", serving::Stage::Decode);
    it.publishConfig(1);
    it.startGateway();
    for (const char *id : {"r1", "r2", "r3"})
        cr_assert_eq(
            it.sendRequest("POST", "/stream/prompt/1", id, promptFields("9000,50")).status(), 200U);
    // Half of the maximum output is expected: 9,025 tokens in blocks of 16.
    for (const char *id : {"r1", "r2", "r3"}) {
        const auto lines = linesOf("request.sent", std::string("request=") + id + " for=run");
        cr_assert_eq(lines.size(), 1U);
        cr_assert(lines[0].find("remaining=25 held=9040") != std::string::npos, "%s",
                  lines[0].c_str());
    }
}

// Guards against a prompt that no engine can ever hold, and that would evict all others from one.
Test(decodeload, a_prompt_larger_than_the_cache_is_refused_at_once)
{
    core::startEventLog("test", core::LogSettings{core::LogTarget::None});
    Deployment it;
    auto &prefillEngine = it.addEndpoint("model", serving::Stage::Prefill);
    auto &decodeEngine = it.addEndpoint("model", serving::Stage::Decode);
    it.publishConfig(1);
    it.startGateway();
    const auto answer =
        it.sendRequest("POST", "/stream/prompt/1", "large", promptFields("500000,50"));
    cr_assert_eq(answer.status(), 503U);
    cr_assert(prefillEngine.receivedRequests().empty() && decodeEngine.receivedRequests().empty());
    cr_assert_eq(linesOf("request.failed", "exceeds the KV cache of the service's engines").size(),
                 1U);
}

// Guards against gateways that do not see each other's streams, or see them after they have ended.
Test(decodeload, gateways_state_the_decode_load_of_their_streams_while_they_run)
{
    core::startEventLog("test", core::LogSettings{core::LogTarget::None});
    Deployment it;
    it.addEndpoint("model", serving::Stage::Prefill);
    auto &decodeEngine = it.addEndpoint("model", serving::Stage::Decode);
    decodeEngine.setFault(test::EndpointFault::Silent);
    it.publishConfig(1);
    it.startGateway();
    it.startGateway();
    const auto loadSeenBy = [&](const std::string &id, size_t gateway) {
        const auto answer = std::make_shared<test::ClientResponse>();
        const auto client =
            it.startRequest("/stream/prompt/1", id, answer, promptFields("9000,50"), gateway);
        const std::string run = "request=" + id + " for=run";
        cr_assert(it.runUntil([&]() { return !linesOf("request.sent", run).empty(); }));
        it.runFor(400ms); // Several rounds of gossip.
        const std::string line = linesOf("request.sent", run).front();
        return std::pair(client, line.substr(line.find("remaining=")));
    };
    const auto first = loadSeenBy("r1", 0);
    cr_assert(first.second.starts_with("remaining=25 held=9040"), "%s", first.second.c_str());
    const auto second = loadSeenBy("r2", 1);
    cr_assert(second.second.starts_with("remaining=50 held=18080"), "%s", second.second.c_str());
    first.first->close();
    it.runFor(400ms);
    const auto third = loadSeenBy("r3", 1);
    cr_assert(third.second.starts_with("remaining=50 held=18080"), "%s", third.second.c_str());
}
