/** \file
 * Tests of the orders to an engine that replaces another one: lost and late answers, a lost leader
 * and a store that is down. They answer deployments whose prefill engines are replaced one after
 * the other by decode engines.
 */

#include "support/deployment.h"

#include <criterion/criterion.h>

using namespace jujube;
using namespace std::chrono_literals;
using test::Deployment;
using test::FakeEndpoint;

namespace {

/** Three prefill engines, one decode engine and traffic: the initial split of four engines. */
struct Fleet : Deployment
{
    explicit Fleet(size_t gateways = 1)
    {
        for (int i = 0; i < 3; ++i)
            addPacedEngine(serving::Stage::Prefill);
        decodeEngine = &addPacedEngine(serving::Stage::Decode);
        publishConfig(1);
        for (size_t i = 0; i < gateways; ++i)
            startGateway();
        cr_assert(runUntil([this]() { return store().items().contains("jujube/leader"); }));
        sendPrompt();
        runFor(500ms);
    }

    /** Adds an engine that states its pace: only there new engines get their stage early. */
    FakeEndpoint &addPacedEngine(serving::Stage stage)
    {
        FakeEndpoint &engine = addEndpoint("model", stage);
        engine.setResponseFields({{"Server-Load", "1,0,64,100"}});
        return engine;
    }

    void sendPrompt(size_t gateway = 0)
    {
        const std::string n = std::to_string(++m_prompts);
        const auto answer = sendRequest(
            "POST", "/stream/prompt/1", "r" + n,
            {{"Token-Count", "900,50"}, {"Prompt-Prefix", "a" + n + ":900"}}, {}, gateway);
        cr_assert_eq(answer.status(), 200U);
    }

    /** Replaces a prefill engine by one that comes back as a decode engine. */
    FakeEndpoint &replacePrefillEngine()
    {
        store().erase("servers/i-1");
        return addPacedEngine(serving::Stage::Decode);
    }

    /** Writes the entry of the fifth engine, as the engine itself does after a change. */
    void writeEntry(FakeEndpoint &engine)
    {
        store().put("servers/" + engine.id(), engine.makeEntry("model", "a"));
    }

    FakeEndpoint *decodeEngine = nullptr;

private:
    int m_prompts = 0;
};

} // namespace

// Guards against a new engine that gets work before its stage is assigned, and against an order
// that waits for a round.
Test(stageorders, a_new_engine_gets_its_stage_before_any_request)
{
    Fleet it;
    FakeEndpoint &engine = it.replacePrefillEngine();
    const auto begin = core::BootClock::now();
    while (engine.orderCount() == 0 && core::BootClock::now() - begin < 2s)
        it.sendPrompt();
    cr_assert_eq(engine.stage(), serving::Stage::Prefill);
    cr_assert(engine.receivedRequests().empty());
    it.writeEntry(engine);
    it.runFor(1s);
    cr_assert_eq(engine.receivedOrderCount(), 1U);
}

// The engine has accepted the order, but the answer is lost: guards against a repetition before the
// engine's entry could show the change.
Test(stageorders, an_order_whose_answer_is_lost_is_not_repeated_at_once)
{
    Fleet it;
    FakeEndpoint &engine = it.replacePrefillEngine();
    engine.setLosesOrderAnswers(true);
    cr_assert(it.runUntil([&]() { return engine.orderCount() == 1; }, 2s));
    it.runFor(3s);
    cr_assert_eq(engine.receivedOrderCount(), 1U);
}

// The report comes when the engine has requests: guards against a change of a used engine.
Test(stageorders, an_engine_that_got_requests_meanwhile_is_not_ordered)
{
    Fleet it;
    FakeEndpoint &engine = it.replacePrefillEngine();
    engine.setReportDelay(800ms);
    const auto begin = core::BootClock::now();
    while (engine.receivedRequests().empty() && core::BootClock::now() - begin < 2s)
        it.sendPrompt();
    cr_assert_leq(core::BootClock::now() - begin, 800ms, "held back for a short time only");
    it.runFor(1'500ms);
    cr_assert_eq(engine.receivedOrderCount(), 0U);
}

// The leader is lost after its order was accepted and before the engine's entry shows it: guards
// against a second order by its successor.
Test(stageorders, a_successor_does_not_repeat_an_accepted_order)
{
    Fleet it(2);
    FakeEndpoint &engine = it.replacePrefillEngine();
    engine.setLosesOrderAnswers(true);
    cr_assert(it.runUntil([&]() { return engine.orderCount() == 1; }, 2s));
    it.store().expireLeases();
    it.runFor(4s);
    cr_assert(it.store().items().contains("jujube/leader"));
    cr_assert_eq(engine.receivedOrderCount(), 1U);
}

// The store goes down after the engine has registered: the order needs no store as long as the
// lease lasts, and the engine gets work in either case.
Test(stageorders, a_store_that_is_down_delays_neither_the_order_nor_requests)
{
    Fleet it;
    FakeEndpoint &engine = it.replacePrefillEngine();
    engine.setReportDelay(100ms);
    it.runFor(50ms);
    it.store().setFault(test::StoreFault::Reset);
    cr_assert(it.runUntil([&]() { return engine.orderCount() == 1; }, 2s));
    it.sendPrompt();
    it.runFor(4s);
    it.store().setFault(test::StoreFault::None);
    it.writeEntry(engine);
    it.runFor(2s);
    cr_assert_eq(engine.receivedOrderCount(), 1U);
    it.sendPrompt();
}

// Without a leader nobody would assign a stage: guards against a wait that is of no use.
Test(stageorders, without_a_leader_a_new_engine_gets_work_at_once)
{
    serving::EndpointTable table;
    serving::EndpointRecord record;
    record.id = "e";
    record.service = "model";
    record.stage = serving::Stage::Decode;
    record.version.revision = 1;
    const core::TimePoint now{1h};
    table.update(record, 1'000, {now, false});
    cr_assert_not(table.find("e")->isHeld(now));
    table.remove("e");
    table.update(record, 1'000, {now, true});
    cr_assert_not(table.find("e")->isHeld(now), "its entry had only expired");
    record.id = "f";
    table.update(record, 1'000, {now, true});
    cr_assert(table.find("f")->isHeld(now));
    cr_assert_not(table.find("f")->isHeld(now + 400ms));
    record.stage = serving::Stage::Prefill;
    record.version.revision = 2;
    table.update(record, 1'000, {now, true});
    cr_assert_not(table.find("f")->isHeld(now), "its stage has changed");
    record.id = "g";
    table.update(record, 1'000);
    cr_assert_not(table.find("g")->isUnused(now), "listed, so it may have had requests");
}
