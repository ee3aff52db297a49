/** \file
 * Tests of prompts that crash each engine that begins to answer them.
 */

#include "core/text.h"
#include "support/deployment.h"

#include <boost/asio/steady_timer.hpp>
#include <criterion/criterion.h>

using namespace jujube;
using namespace std::chrono_literals;
using test::Deployment;

namespace {

// The bounds that the platform states: a gateway whose connections work is in touch after this
// time.
constexpr core::Milliseconds ContactTime{3'000};
constexpr size_t CrashesUntilKnown = 5;
constexpr size_t AllowedSends = 3; ///< Of such requests, ContactTime after that many crashes.
constexpr core::Milliseconds EngineDowntime{700};
constexpr const char *CrashingBlock = "bad1";

/** Gateways and engines, of which each crashes on prompts with CrashingBlock. */
struct CrashBench
{
    Deployment deployment;
    std::vector<test::FakeEndpoint *> engines;
    std::vector<std::shared_ptr<http::ClientConnection>> connections;
    std::vector<std::shared_ptr<test::ClientResponse>> soundAnswers;
    std::vector<core::TimePoint> crashes;
    size_t requests = 0;
    size_t restarts = 0;

    CrashBench(size_t gateways, size_t decodeEngines)
    {
        for (size_t i = 0; i < 2; ++i)
            addEngine(serving::Stage::Prefill);
        for (size_t i = 0; i < decodeEngines; ++i)
            addEngine(serving::Stage::Decode);
        deployment.publishConfig(1);
        for (size_t i = 0; i < gateways; ++i)
            deployment.startGateway();
    }

    void addEngine(serving::Stage stage)
    {
        test::FakeEndpoint *engine = &deployment.addEndpoint("model", stage);
        engine->setCrashingBlock(CrashingBlock);
        engine->setEventCount(5);
        engine->onCrash([this, engine]() {
            crashes.push_back(core::BootClock::now());
            const auto timer =
                std::make_shared<boost::asio::steady_timer>(deployment.io(), EngineDowntime);
            timer->async_wait([this, engine, timer](const auto &) { restart(*engine); });
        });
        engines.push_back(engine);
    }

    void restart(test::FakeEndpoint &engine)
    {
        deployment.store().erase("servers/" + engine.id());
        cr_assert(engine.restart(core::concat("i-again-", ++restarts)).ok());
        deployment.store().put("servers/" + engine.id(), engine.makeEntry("model", "a"));
    }

    void send(const std::string &block, size_t gateway, bool sound)
    {
        const std::string id = core::concat(sound ? "sound-" : "bad-", ++requests);
        auto answer = std::make_shared<test::ClientResponse>();
        connections.push_back(deployment.startRequest(
            "/stream/prompt/1", id, answer,
            {{"Token-Count", "900,20"},
             {"Prompt-Prefix", core::concat("aa:200,", block, ":400,ff", requests, ":300")}},
            gateway));
        if (sound)
            soundAnswers.push_back(answer);
    }

    /** Sends for a time: one request with CrashingBlock in 100 ms and sound ones beside it. */
    void sendFor(core::Milliseconds time)
    {
        const core::TimePoint end = core::BootClock::now() + time;
        size_t turn = 0;
        while (core::BootClock::now() < end) {
            const size_t gateways = 3;
            send(CrashingBlock, turn % gateways, false);
            for (size_t i = 0; i < gateways; ++i)
                send(core::concat("c", (turn + i) % 4), i, true);
            ++turn;
            deployment.runFor(100ms);
        }
    }

    /** Requests with CrashingBlock that engines received after a time. */
    size_t badSendsAfter(core::TimePoint time) const
    {
        size_t n = 0;
        for (const test::FakeEndpoint *it : engines)
            n += static_cast<size_t>(
                std::count_if(it->receivedRequests().begin(), it->receivedRequests().end(),
                              [&](const auto &request) {
                                  return request.at > time && request.id.starts_with("bad-");
                              }));
        return n;
    }

    size_t soundCompleted() const
    {
        return static_cast<size_t>(std::count_if(soundAnswers.begin(), soundAnswers.end(),
                                                 [](const auto &it) { return it->complete; }));
    }
};

} // namespace

// Guards against engines that end one after the other (BUDGET): requests whose prompts share one
// block crash each engine that begins to answer them, and every gateway went on sending them. Sound
// requests share their team and their other blocks and have to be served all the same (LOST).
Test(crashingprompts, a_block_that_crashes_engines_is_not_sent_any_more)
{
    CrashBench it(3, 5);
    it.sendFor(4s);
    cr_assert_geq(it.crashes.size(), 1U);
    const core::TimePoint known = it.crashes.size() >= CrashesUntilKnown
        ? it.crashes[CrashesUntilKnown - 1] + ContactTime
        : core::BootClock::now();
    if (const auto left = known - core::BootClock::now(); left > 0s)
        it.sendFor(std::chrono::ceil<core::Milliseconds>(left));
    it.soundAnswers.clear();
    it.sendFor(3s);
    it.deployment.runFor(500ms);
    cr_assert_leq(it.badSendsAfter(known), AllowedSends, "%zu crashes", it.crashes.size());
    cr_assert_geq(it.soundCompleted() * 2, it.soundAnswers.size());
}

// Guards against the same fault after a planned or unplanned restart (BUDGET): a gateway that has
// just started has seen no crash itself.
Test(crashingprompts, a_gateway_that_starts_does_not_send_a_block_that_others_know)
{
    CrashBench it(3, 5);
    it.sendFor(4s);
    cr_assert_geq(it.crashes.size(), 1U);
    it.deployment.startGateway();
    const core::TimePoint started = core::BootClock::now();
    for (int i = 0; i < 8; ++i)
        it.send(CrashingBlock, 3, false);
    it.deployment.runFor(500ms);
    cr_assert_leq(it.badSendsAfter(started), AllowedSends);
    it.soundAnswers.clear();
    for (int i = 0; i < 8; ++i)
        it.send("c1", 3, true);
    it.deployment.runFor(500ms);
    cr_assert_geq(it.soundCompleted() * 2, it.soundAnswers.size());
}
