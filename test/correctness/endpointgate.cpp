/** \file
 * Tests that the gate runs a request id at most once and refuses ids that were resolved as not run.
 */

#include "agent/endpointgate.h"
#include "support/loop.h"
#include "support/scriptedserver.h"

#include <criterion/criterion.h>

using namespace jujube;
using namespace std::chrono_literals;
using wire::Progress;

namespace {

constexpr uint64_t Incarnation = 77;

// A gate in front of a service with scripted responses.
struct Fixture
{
    explicit Fixture(wire::HttpServer::Handler handler)
        : server(std::move(handler)),
          http(loop.io()),
          kv(http, "127.0.0.1:9", 100ms),
          ledger(kv, "main", state::UsageSide::Agent, Incarnation),
          engine(http, server.address()),
          gate(loop.io(), engine, ledger, settings(), Incarnation)
    {
        agent::EngineState state;
        state.ready = true;
        gate.setEngineState(state);
        gate.start();
    }

    static agent::GateSettings settings()
    {
        agent::GateSettings it;
        it.kind = core::WorkKind::Service;
        it.serviceSlots = 1;
        return it;
    }

    wire::WorkMessage work(const std::string &id) const
    {
        wire::WorkMessage it;
        it.requestId = id;
        it.agentIncarnation = Incarnation;
        it.team = "team";
        it.kind = core::WorkKind::Service;
        it.timeLeft = 5s;
        it.method = "POST";
        it.path = "/" + id;
        return it;
    }

    wire::ChunkMessage fetchEnd(const std::string &id)
    {
        wire::ChunkMessage chunk;
        do {
            chunk = loop.wait(gate.fetch(id, 0, 200ms));
        } while (chunk.progress == Progress::QUEUED || chunk.progress == Progress::STARTED);
        return chunk;
    }

    test::Loop loop;
    test::ScriptedServer server;
    wire::HttpClient http;
    state::KvClient kv;
    state::UsageLedger ledger;
    agent::EngineClient engine;
    agent::EndpointGate gate;
};

void answerOk(const wire::IncomingRequest & /*request*/,
              const std::shared_ptr<wire::Exchange> &exchange)
{
    exchange->send({200, "text/plain", {}, "done"});
}

} // namespace

Test(endpointgate, a_repeated_submission_runs_once)
{
    Fixture fixture(answerOk);
    cr_assert(fixture.gate.submit(fixture.work("r1")).accepted);
    cr_assert(fixture.gate.submit(fixture.work("r1")).accepted);
    const auto end = fixture.fetchEnd("r1");
    cr_assert(end.outcome == core::Outcome::Whole);
    cr_assert_eq(end.data, "done");
    cr_assert(fixture.gate.submit(fixture.work("r1")).accepted);
    fixture.loop.runFor(50ms);
    cr_assert_eq(fixture.server.receivedPaths().size(), 1U);
}

// Guards against a delayed submission that starts after its id was resolved as not run.
Test(endpointgate, an_id_resolved_as_not_run_never_runs)
{
    Fixture fixture(answerOk);
    cr_assert(fixture.gate.resolve("late") == Progress::TOMBSTONE);
    // The delayed submission arrives after the resolve.
    cr_assert_not(fixture.gate.submit(fixture.work("late")).accepted);
    fixture.loop.runFor(50ms);
    cr_assert(fixture.server.receivedPaths().empty());
}

Test(endpointgate, a_started_request_is_not_resolved_as_not_run)
{
    std::vector<std::shared_ptr<wire::Exchange>> kept;
    Fixture fixture([&kept](const auto &, const auto &exchange) { kept.push_back(exchange); });
    fixture.gate.submit(fixture.work("r1"));
    cr_assert(fixture.gate.resolve("r1") == Progress::STARTED);
    cr_assert_not(fixture.gate.cancel("r1", true), "running work is not queued work");
}

Test(endpointgate, a_request_for_another_incarnation_is_refused)
{
    Fixture fixture(answerOk);
    auto work = fixture.work("r1");
    work.agentIncarnation = Incarnation + 1;
    const auto reply = fixture.gate.submit(work);
    cr_assert_not(reply.accepted);
    cr_assert_not(reply.incarnationMatches);
}

Test(endpointgate, a_lost_answer_of_a_call_that_is_not_idempotent_is_unknown)
{
    Fixture fixture([](const auto &, const auto &exchange) { exchange->abort(); });
    fixture.gate.submit(fixture.work("r1"));
    cr_assert(fixture.fetchEnd("r1").outcome == core::Outcome::Unknown);
    auto repeatable = fixture.work("r2");
    repeatable.idempotent = true;
    fixture.gate.submit(repeatable);
    cr_assert(fixture.fetchEnd("r2").outcome == core::Outcome::Failed);
}

Test(endpointgate, a_draining_gate_refuses_new_work_and_runs_accepted_work)
{
    Fixture fixture(answerOk);
    fixture.gate.submit(fixture.work("first"));
    fixture.gate.submit(fixture.work("second"));
    fixture.gate.setAdmissionState(agent::EndpointGate::AdmissionState::Draining);
    cr_assert_not(fixture.gate.submit(fixture.work("third")).accepted);
    cr_assert(fixture.fetchEnd("first").outcome == core::Outcome::Whole);
    cr_assert(fixture.fetchEnd("second").outcome == core::Outcome::Whole);
    fixture.loop.runFor(50ms);
    cr_assert(fixture.gate.idle());
    cr_assert(fixture.gate.load().leaving);
}

Test(endpointgate, a_stopping_gate_cannot_be_reopened)
{
    Fixture fixture(answerOk);
    fixture.gate.setAdmissionState(agent::EndpointGate::AdmissionState::Stopping);
    fixture.gate.setAdmissionState(agent::EndpointGate::AdmissionState::Open);
    cr_assert_not(fixture.gate.submit(fixture.work("r1")).accepted);
}

Test(endpointgate, a_withdrawn_key_stops_queued_work)
{
    std::vector<std::shared_ptr<wire::Exchange>> kept;
    Fixture fixture([&kept](const auto &, const auto &exchange) { kept.push_back(exchange); });
    fixture.gate.submit(fixture.work("running"));
    fixture.gate.submit(fixture.work("queued"));
    cr_assert(fixture.gate.cancel("queued", true));
    cr_assert(fixture.fetchEnd("queued").outcome == core::Outcome::NotRun);
}
