/** \file
 * Tests that of two controllers that both consider themselves leader, only the newer one has an
 * effect.
 */

#include "control/controller.h"
#include "core/keyhash.h"
#include "fakes/platformstandin.h"
#include "state/registry.h"
#include "support/loop.h"

#include <criterion/criterion.h>

using namespace jujube;
using namespace std::chrono_literals;

namespace {

// A controller candidate with the objects that an entry provides.
struct Candidate
{
    Candidate(test::Loop &loop, const std::string &address, const std::string &name)
        : http(loop.io()),
          kv(http, address, 1s),
          fleet(http, address, 1s),
          mirror(loop.io(), kv, state::FleetPrefix, core::ConfigPrefix),
          view(
              loop.io(), {name, "s"}, 16, [] { return wire::PingMessage(); },
              [](const core::FreshnessToken &) {}),
          reporter(kv, fleet, {}, [](uint64_t) { return true; }),
          controller(loop.io(), kv, fleet, mirror, view, reporter,
                     {name, "main", core::stableHash(name), 60s, false})
    {
        mirror.start();
    }

    wire::HttpClient http;
    state::KvClient kv;
    state::FleetClient fleet;
    entry::KvMirror mirror;
    entry::FleetView view;
    control::UsageReporter reporter;
    control::Controller controller;
};

struct Fixture
{
    Fixture()
        : platform({}), address(platform.start()), a(loop, address, "a"), b(loop, address, "b")
    {
    }

    state::Plan plan()
    {
        return *state::Plan::parse(loop.wait(a.kv.get(state::planKey("main")))->value);
    }

    void registerAgent(const std::string &vm)
    {
        state::AgentRecord record;
        record.vm = vm;
        record.address = "127.0.0.1:9";
        record.domain = "d";
        record.model = "m";
        record.incarnation = 1;
        cr_assert(loop.wait(a.kv.compareAndSwap(state::agentKey(vm), 0, record.serialize())).ok());
    }

    // Removes the key of the lease, as when it lapses, while its holder still considers it valid.
    void removeLease()
    {
        const auto key = loop.wait(a.kv.get("fleet/controller/main"));
        cr_assert(loop.wait(a.kv.remove(key->key, key->revision)).ok());
    }

    test::Loop loop;
    test::FakePlatform platform;
    std::string address;
    Candidate a;
    Candidate b;
};

// Never destroyed, because detached coroutines refer to it until the test process ends.
Fixture &newFixture()
{
    return *new Fixture;
}

} // namespace

Test(controller, one_candidate_becomes_leader_and_plans_for_every_agent)
{
    Fixture &fixture = newFixture();
    fixture.registerAgent("vm-1");
    fixture.a.controller.start();
    fixture.loop.runFor(2s);
    cr_assert(fixture.a.controller.isLeader());
    fixture.b.controller.start();
    fixture.loop.runFor(1s);
    cr_assert_not(fixture.b.controller.isLeader());
    cr_assert(fixture.plan().endpoints.contains("vm-1"));
}

Test(controller, a_deposed_controller_with_an_apparently_valid_lease_has_no_effect)
{
    Fixture &fixture = newFixture();
    fixture.a.controller.start();
    fixture.loop.runFor(2s);
    const uint64_t firstTerm = fixture.plan().term;
    fixture.removeLease();
    fixture.b.controller.start();
    fixture.loop.runFor(2s);
    cr_assert(fixture.b.controller.isLeader());
    cr_assert(fixture.a.controller.isLeader(), "the first one must still consider its lease valid");
    // Both observe a new agent and try to write it into the plan.
    fixture.registerAgent("vm-1");
    fixture.loop.runFor(2s);
    cr_assert_not(fixture.a.controller.isLeader());
    cr_assert(fixture.b.controller.isLeader());
    const state::Plan plan = fixture.plan();
    cr_assert_eq(plan.holder, "b");
    cr_assert_gt(plan.term, firstTerm);
    cr_assert_eq(plan.endpoints.at("vm-1").number.term, plan.term);
}

Test(controller, a_stopped_controller_releases_the_role_at_once)
{
    Fixture &fixture = newFixture();
    fixture.a.controller.start();
    fixture.loop.runFor(2s);
    fixture.b.controller.start();
    fixture.loop.wait(fixture.a.controller.stop());
    fixture.loop.runFor(2s);
    cr_assert(fixture.b.controller.isLeader());
}
