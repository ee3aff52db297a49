/** \file
 * Tests of the usual pace of engines that have short spells of slow work.
 */

#include "policy/reportedpace.h"
#include "serving/endpoints.h"
#include "serving/loadexchange.h"

#include <criterion/criterion.h>

#include <random>

using namespace jujube;
using namespace std::chrono_literals;

namespace {

const core::TimePoint Start{1h};
constexpr uint32_t Fast = 70;
constexpr uint32_t Slow = 170;

// Pace of an engine with spells of 0.3 to 1 s, a tenth of the time, at 2.5 times its pace.
class SpelledPace
{
public:
    SpelledPace(uint32_t percent, uint64_t seed) : m_percent(percent), m_random(seed)
    {
        // Begins at a random point of the first interval.
        m_at -= core::Milliseconds(std::uniform_int_distribution<int>(0, 60'000)(m_random));
    }

    uint32_t at(core::TimePoint time)
    {
        while (m_at <= time) {
            m_inSpell = !m_inSpell;
            const double ms = m_inSpell ? m_spellMs(m_random) : m_pauseMs(m_random);
            m_at += core::Milliseconds(static_cast<int64_t>(ms));
        }
        return m_inSpell ? m_percent * 5 / 2 : m_percent;
    }

private:
    uint32_t m_percent;
    std::mt19937_64 m_random;
    std::uniform_real_distribution<double> m_spellMs{300, 1'000};
    std::exponential_distribution<double> m_pauseMs{1 / 5'850.0};
    core::TimePoint m_at = Start;
    bool m_inSpell = true;
};

} // namespace

// Guards against a mean over a spell: an engine at 70 that is probed in a spell would be taken for
// one at 170 and get no prompts.
Test(reportedpace, four_probes_tell_engines_of_two_paces_apart)
{
    constexpr int engines = 2'000;
    int wrong = 0;
    for (int i = 0; i < engines; ++i) {
        const bool slow = i % 3 == 0;
        SpelledPace engine(slow ? Slow : Fast, static_cast<uint64_t>(i));
        policy::ReportedPace pace;
        for (int probe = 0; probe < 4; ++probe)
            pace.note(engine.at(Start + probe * 250ms), Start + probe * 250ms);
        cr_assert(pace.known());
        wrong += (pace.usual(Start + 800ms) > 1.2) != slow ? 1 : 0;
    }
    cr_assert_leq(wrong, engines / 50, "%d of %d", wrong, engines);
}

// Guards against forgetting the pace of engines between two bursts.
Test(reportedpace, the_usual_pace_lasts_for_minutes_and_fades)
{
    policy::ReportedPace pace;
    for (int i = 0; i < 4; ++i)
        pace.note(Slow, Start + i * 250ms);
    cr_assert_float_eq(pace.usual(Start + 30s), 1.7, 0.06);
    cr_assert_gt(pace.usual(Start + 2min), 1.4);
    cr_assert_float_eq(pace.usual(Start + 60min), 1, 0.01);
}

Test(reportedpace, after_a_spell_the_factor_returns_to_the_usual_pace_within_half_a_second)
{
    policy::ReportedPace pace;
    for (int i = 0; i < 8; ++i)
        pace.note(Fast, Start + i * 250ms);
    const core::TimePoint spell = Start + 2s;
    pace.note(175, spell);
    cr_assert_float_eq(pace.factor(spell), 1.75, 0.01);
    const double later = pace.factor(spell + 200ms);
    cr_assert(later < 1.5 && later > 0.9, "%f", later);
    cr_assert_float_eq(pace.factor(spell + 500ms), 0.7, 0.01);
}

// Guards against one malformed or absurd figure that would draw all work to an engine or exclude
// it.
Test(reportedpace, a_single_absurd_report_leaves_the_usual_pace)
{
    policy::ReportedPace pace;
    for (int i = 0; i < 10; ++i)
        pace.note(100, Start + i * 250ms);
    pace.note(1, Start + 3s);
    cr_assert_float_eq(pace.usual(Start + 4s), 1, 0.01);
    cr_assert_geq(pace.factor(Start + 3s), 0.25);
    pace.note(100'000, Start + 5s);
    cr_assert_float_eq(pace.usual(Start + 6s), 1, 0.01);
    cr_assert_leq(pace.factor(Start + 5s), 4);
}

// Guards against a spell that is reported by hundreds of answers and outweighs all earlier reports.
Test(reportedpace, dense_reports_of_one_spell_do_not_become_the_usual_pace)
{
    policy::ReportedPace pace;
    for (int i = 0; i < 8; ++i)
        pace.note(Fast, Start + i * 250ms);
    for (int i = 0; i < 1'000; ++i)
        pace.note(175, Start + 2s + i * 1ms);
    cr_assert_float_eq(pace.usual(Start + 3s), 0.7, 0.01);
}

// Guards against answers to prefills, which state no pace, that keep the pace of a probe from the
// other gateways.
Test(reportedpace, a_report_without_pace_does_not_hide_one_from_the_peers)
{
    serving::Endpoint endpoint({}, 0);
    endpoint.noteReport({1, 0, Slow, {}}, Start, true);
    endpoint.noteReport({2, 0, 0, {}}, Start + 5ms, true);
    const auto shared = endpoint.reportToShare(Start + 10ms);
    cr_assert(shared && shared->pacePercent == Slow);
    serving::LoadAggregator loads;
    serving::GossipMessage gossip;
    gossip.name = "a";
    gossip.shares.push_back(
        {17, {1, 0}, false, false, false, serving::ReportedLoad{1, 0, Slow, {}}});
    loads.apply(gossip, Start);
    gossip.name = "b";
    gossip.shares.back().report = serving::ReportedLoad{3, 0, 0, {}};
    loads.apply(gossip, Start + 5ms);
    loads.prune(Start + 10ms);
    cr_assert_eq(loads.loadExcept("c").front().report->pacePercent, Slow);
}

// Guards against a peer's report of the pace that is dropped, as this gateway has had an answer to
// a prefill, without a pace, since the peer's probe.
Test(reportedpace, an_own_answer_without_pace_does_not_hide_the_pace_of_a_peer)
{
    serving::Endpoint endpoint({}, 0);
    endpoint.noteReport({2, 0, 0, {}}, Start + 20ms, true);
    endpoint.noteReport({1, 0, Slow, 50ms}, Start + 50ms, false);
    cr_assert_gt(endpoint.pace.factor(Start + 60ms), 1.3);
    cr_assert_eq(endpoint.report.running, 2U, "the newer report of the load holds");
}
