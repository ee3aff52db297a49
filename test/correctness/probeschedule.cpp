/** \file
 * Tests of the schedule of load probes, with simulated engines.
 */

#include "policy/probeschedule.h"
#include "policy/reportedpace.h"

#include <criterion/criterion.h>

#include <deque>
#include <functional>

using namespace jujube;
using namespace std::chrono_literals;
using policy::ProbeResult;

namespace {

const core::TimePoint Start{1h};

struct SimulatedEngine
{
    uint64_t hash = 0;
    std::function<uint32_t(core::TimePoint)> pace; ///< In percent; 0: states none.
    bool prefills = true;
    bool answers = true;
    bool busy = false;
    int64_t incarnation = 1;
    policy::ReportedPace reported{};
    std::vector<core::TimePoint> probes{};
};

// Engines of one service that answer probes at once, or time out after 400 ms.
class Simulation
{
public:
    SimulatedEngine &add(std::function<uint32_t(core::TimePoint)> pace, bool prefills = true)
    {
        m_engines.push_back({m_engines.size() + 1, std::move(pace), prefills});
        return m_engines.back();
    }
    SimulatedEngine &add(uint32_t percent, bool prefills = true)
    {
        return add([percent](core::TimePoint) { return percent; }, prefills);
    }
    std::deque<SimulatedEngine> &engines() { return m_engines; }
    core::TimePoint now() const { return m_now; }

    /** Runs the schedule every 25 ms. \a step is invoked after each decision. */
    void runFor(core::Milliseconds time, const std::function<void()> &step = {})
    {
        const core::TimePoint end = m_now + time;
        for (; m_now < end; m_now += 25ms) {
            decide();
            if (step)
                step();
        }
    }
    size_t probeCount() const
    {
        size_t sum = 0;
        for (const SimulatedEngine &it : m_engines)
            sum += it.probes.size();
        return sum;
    }
    /** Another gateway takes over, which knows the reports by gossip. */
    void changeCoordinator()
    {
        m_schedule = {};
        m_late.clear();
    }
    policy::ProbeSchedule &schedule() { return m_schedule; }

private:
    struct LateFailure
    {
        core::TimePoint at{};
        uint64_t hash = 0;
    };

    void decide()
    {
        while (!m_late.empty() && m_late.front().at <= m_now) {
            m_schedule.noteResult("model", m_late.front().hash, 1, ProbeResult::Failed, m_now);
            m_late.pop_front();
        }
        std::vector<policy::ProbeCandidate> candidates;
        for (const SimulatedEngine &it : m_engines) {
            policy::ProbeCandidate candidate{"model", it.hash, it.incarnation};
            if (it.reported.reportedAt() != core::TimePoint{})
                candidate.reportAge = m_now - it.reported.reportedAt();
            candidate.paceKnown = it.reported.known();
            candidate.prefills = it.prefills;
            candidate.hasPrompts = it.busy;
            candidates.push_back(candidate);
        }
        for (const size_t i : m_schedule.choose(candidates, m_now)) {
            SimulatedEngine &it = m_engines[i];
            it.probes.push_back(m_now);
            if (!it.answers) {
                m_late.push_back({m_now + 400ms, it.hash});
                continue;
            }
            const uint32_t pace = it.pace(m_now);
            it.reported.note(pace, m_now);
            m_schedule.noteResult("model", it.hash, it.incarnation,
                                  pace > 0 ? ProbeResult::Pace : ProbeResult::NoPace, m_now);
        }
    }

    policy::ProbeSchedule m_schedule;
    std::deque<SimulatedEngine> m_engines;
    std::deque<LateFailure> m_late;
    core::TimePoint m_now = Start;
};

} // namespace

// Guards against traffic that meets engines of unknown pace.
Test(probeschedule, engines_of_two_paces_are_known_before_traffic_by_four_probes_each)
{
    Simulation it;
    for (int i = 0; i < 38; ++i)
        it.add(i % 3 == 0 ? 170 : 70, i % 2 == 0);
    it.runFor(1'200ms);
    for (const SimulatedEngine &engine : it.engines()) {
        cr_assert_eq(engine.probes.size(), 4U);
        cr_assert_eq(engine.reported.usual(it.now()) > 1.2, (engine.hash - 1) % 3 == 0);
    }
    it.runFor(10min);
    cr_assert_eq(it.probeCount(), 4UL * 38);
    const auto discovered = it.schedule().takeDiscovered();
    cr_assert(discovered.size() == 1 && discovered.front().statesPace);
}

// Guards against a replacement that gets its stage by the pace of its predecessor.
Test(probeschedule, a_new_incarnation_is_probed_again)
{
    Simulation it;
    SimulatedEngine &engine = it.add(70);
    it.runFor(2s);
    engine.incarnation = 2;
    engine.reported = {};
    it.runFor(2s);
    cr_assert_eq(engine.probes.size(), 8U);
    cr_assert_geq(engine.probes[5] - engine.probes[4], 250ms);
}

// Guards against prompts that go on to an engine in a spell; decode engines state their pace in
// their answers and cost no probes.
Test(probeschedule, a_spell_on_a_busy_prefill_engine_is_known_within_150_ms)
{
    Simulation it;
    const auto inSpell = [](core::TimePoint now) {
        return now >= Start + 5s && now < Start + 5'500ms;
    };
    SimulatedEngine &engine =
        it.add([&](core::TimePoint now) { return inSpell(now) ? 175U : 70U; });
    SimulatedEngine &decodeEngine = it.add(70, false);
    SimulatedEngine &idleEngine = it.add(70);
    engine.busy = decodeEngine.busy = true;
    it.runFor(5'150ms);
    cr_assert_gt(engine.reported.factor(it.now()), 1.2);
    it.runFor(1s);
    cr_assert_lt(engine.reported.factor(it.now()), 0.75);
    cr_assert_eq(decodeEngine.probes.size(), 4U);
    cr_assert_eq(idleEngine.probes.size(), 4U);
    for (size_t i = 1; i < engine.probes.size(); ++i)
        cr_assert_geq(engine.probes[i] - engine.probes[i - 1], 120ms);
    engine.busy = false;
    it.runFor(2s);
    const size_t before = engine.probes.size();
    it.runFor(10s);
    cr_assert_eq(engine.probes.size(), before);
}

// Guards against charges for probes that no decision can use.
Test(probeschedule, a_deployment_without_pace_gets_one_probe_in_ten_minutes)
{
    Simulation it;
    for (int i = 0; i < 53; ++i)
        it.add(0U).busy = true;
    it.runFor(599s);
    cr_assert_eq(it.probeCount(), 1U);
    const auto discovered = it.schedule().takeDiscovered();
    cr_assert(discovered.size() == 1 && !discovered.front().statesPace);
    for (SimulatedEngine &engine : it.engines())
        engine.pace = [](core::TimePoint) { return 70U; };
    it.runFor(3s);
    cr_assert_geq(it.probeCount(), 4UL * 53);
}

// Guards against a bound that holds on average only, and engines that never have their turn.
Test(probeschedule, two_hundred_busy_engines_share_250_probes_a_second)
{
    Simulation it;
    for (int i = 0; i < 200; ++i)
        it.add(70).busy = true;
    std::deque<core::TimePoint> lastSecond;
    std::vector<size_t> seen(200);
    it.runFor(20s, [&]() {
        for (size_t i = 0; i < seen.size(); ++i) {
            for (; seen[i] < it.engines()[i].probes.size(); ++seen[i])
                lastSecond.push_back(it.now());
        }
        while (it.now() - lastSecond.front() >= 1s)
            lastSecond.pop_front();
        cr_assert_leq(lastSecond.size(), 250U);
    });
    cr_assert_gt(it.probeCount(), 200UL * 20);
    for (const SimulatedEngine &engine : it.engines()) {
        for (size_t i = 1; i < engine.probes.size(); ++i)
            cr_assert_leq(engine.probes[i] - engine.probes[i - 1], 1'100ms);
    }
}

// Guards against a burst of probes each time that the probing gateway changes.
Test(probeschedule, a_new_coordinator_does_not_probe_engines_of_known_pace)
{
    Simulation it;
    for (int i = 0; i < 38; ++i)
        it.add(i % 3 == 0 ? 170 : 70);
    it.runFor(2s);
    SimulatedEngine &busy = it.engines().front();
    busy.busy = true;
    it.changeCoordinator();
    it.runFor(2s);
    cr_assert_eq(it.probeCount() - busy.probes.size(), 4UL * 37);
    cr_assert_geq(busy.probes.size(), 4U + 12);
}

// Guards against probes at a constant rate to an engine that does not answer, each of which opens a
// connection, and against a discovery that ends with it.
Test(probeschedule, an_engine_that_never_answers_gets_few_probes)
{
    Simulation it;
    SimulatedEngine &silent = it.add(70);
    silent.answers = false;
    silent.busy = true;
    SimulatedEngine &other = it.add(170);
    it.runFor(3s);
    cr_assert_eq(other.probes.size(), 4U);
    it.runFor(57s);
    cr_assert_leq(silent.probes.size(), 12U);
    silent.answers = true;
    it.runFor(60s);
    cr_assert(silent.reported.known());
}

// Guards against probes at a constant rate while no engine answers.
Test(probeschedule, a_discovery_without_answers_is_retried_at_growing_intervals)
{
    Simulation it;
    for (int i = 0; i < 10; ++i)
        it.add(70).answers = false;
    it.runFor(60s);
    cr_assert_leq(it.probeCount(), 8U);
    cr_assert_geq(it.probeCount(), 5U);
    for (const SimulatedEngine &engine : it.engines())
        cr_assert_leq(engine.probes.size(), 1U);
}
