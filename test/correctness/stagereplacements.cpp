/** \file
 * Tests of the stages of engines that replace others, without a network. They answer the day on
 * which 23 prefill engines of 43 became 16 while engines were replaced one after the other.
 */

#include "policy/placement.h"
#include "policy/stageplanner.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>

using namespace jujube;
using namespace std::chrono_literals;

namespace {

const core::TimePoint Start{1h};
constexpr core::Milliseconds Tick{200};
constexpr core::Milliseconds ChangeTime{3'000};
// After this, gateways send requests to a new engine.
constexpr core::Milliseconds HoldTime{400};

policy::StageDemand steadyDemand()
{
    policy::StageDemand demand;
    demand.slots = 64;
    demand.promptTokensPerSecond = 500'000;
    demand.prefillTokensPerSecond = 45'000;
    demand.busyDecodeSlots = 500;
    return demand;
}

/** How engines answer the orders. */
enum class Answer { Accepted, Lost, Refused };

/** Engines that are replaced, and the leader that plans their stages. */
struct Fleet
{
    explicit Fleet(size_t engines, size_t prefill)
    {
        for (size_t i = 0; i < engines; ++i)
            add(i < prefill);
        for (auto &it : views)
            it.unused = false;
        // The leader adopts the split that it has observed.
        for (int i = 0; i < 50; ++i, now += Tick)
            planner.observeAsFollower(views, demand, now);
        run(2s);
        cr_assert_eq(orders.size(), 0U, "no change is due at the start");
    }

    std::string add(bool prefill = false)
    {
        policy::StageView it;
        it.id = "e" + std::to_string(++lastId);
        it.domain = std::string(1, static_cast<char>('a' + lastId % 3));
        it.prefill = prefill;
        it.bornMs = static_cast<int64_t>(lastId);
        it.unused = true;
        views.push_back(it);
        addedAt[it.id] = now;
        return it.id;
    }

    policy::StageView &at(const std::string &id)
    {
        return *std::find_if(views.begin(), views.end(),
                             [&](const auto &it) { return it.id == id; });
    }

    void remove(const std::string &id)
    {
        std::erase_if(views, [&](const auto &it) { return it.id == id; });
    }

    void step()
    {
        for (auto &it : views) {
            const auto changed = changesUntil.find(it.id);
            const bool changes = changed != changesUntil.end() && now < changed->second;
            if (changed != changesUntil.end() && !changes) {
                it.prefill = true;
                it.unused = false;
                it.available = !it.lost;
                changesUntil.erase(changed);
            }
            if (!changes && now - addedAt[it.id] >= HoldTime)
                it.unused = false;
        }
        for (const auto &change : planner.plan(views, demand, now)) {
            orders.push_back(change);
            if (answer == Answer::Refused)
                planner.recordRefusedAssignment(change.id);
            if (answer != Answer::Accepted)
                continue;
            at(change.id).available = false;
            changesUntil[change.id] = now + ChangeTime;
        }
        now += Tick;
    }

    void run(core::Milliseconds time)
    {
        for (const core::TimePoint end = now + time; now < end;)
            step();
    }

    size_t prefillCount() const
    {
        return static_cast<size_t>(std::count_if(
            views.begin(), views.end(), [](const auto &it) { return it.prefill && !it.lost; }));
    }

    size_t lastId = 0;
    core::TimePoint now = Start;
    policy::StageDemand demand = steadyDemand();
    policy::StagePlanner planner{{}};
    std::vector<policy::StageView> views;
    std::map<std::string, core::TimePoint> addedAt;
    std::map<std::string, core::TimePoint> changesUntil;
    std::vector<policy::StageChange> orders;
    Answer answer = Answer::Accepted;
};

} // namespace

// Every engine is replaced, one after the other, by one that comes back as a decode engine. Guards
// against a prefill stage that drains.
Test(stagereplacements, a_rolling_replacement_keeps_nine_tenths_of_the_prefill_engines)
{
    for (const core::Milliseconds gap : {800ms, 2'000ms, 6'000ms}) {
        Fleet it(43, 23);
        const auto before = it.views;
        for (const auto &engine : before) {
            it.at(engine.id).lost = true; // Drains.
            it.at(engine.id).available = false;
            it.run(gap / 2);
            it.remove(engine.id);
            it.add();
            it.run(gap / 2);
        }
        it.run(20s);
        cr_assert_geq(it.prefillCount() * 10, 207U, "%zu of 23", it.prefillCount());
        cr_assert_leq(it.prefillCount(), 25U);
        cr_assert_leq(it.orders.size(), 26U, "%zu orders", it.orders.size());
    }
}

// 45% of the engines end at once and come back within seconds. Guards against engines in use that
// are moved besides the new ones.
Test(stagereplacements, a_large_replacement_moves_only_new_engines)
{
    Fleet it(43, 23);
    const auto before = it.views;
    for (size_t i = 13; i < 32; ++i)
        it.remove(before[i].id);
    for (size_t i = 13; i < 32; ++i) {
        it.add();
        if (i % 4 == 0)
            it.step();
    }
    it.run(20s);
    cr_assert_geq(it.prefillCount(), 21U);
    cr_assert_leq(it.orders.size(), 11U);
    for (const auto &order : it.orders)
        cr_assert(order.newEngine);
}

// Guards against moving a new engine that is not needed or that has work.
Test(stagereplacements, only_unused_engines_are_assigned_and_only_below_the_target)
{
    Fleet it(50, 20);
    it.add();
    it.run(10s);
    cr_assert_eq(it.orders.size(), 0U, "the prefill stage is complete");
    for (int i = 0; i < 3; ++i)
        it.remove(it.views.front().id);
    const std::string busy = it.add();
    it.at(busy).unused = false;
    it.run(10s);
    cr_assert_eq(it.orders.size(), 0U, "a new engine that has had requests stays");
    it.add();
    it.step();
    cr_assert_eq(it.orders.size(), 1U, "in the same tick");
}

// An order without an answer may have been accepted: guards against a repetition or another order
// before retryInterval.
Test(stagereplacements, an_unanswered_order_is_repeated_only_after_the_retry_interval)
{
    Fleet it(43, 23);
    it.answer = Answer::Lost;
    it.remove(it.views.front().id);
    const std::string id = it.add();
    for (const core::TimePoint end = it.now + 12s; it.now < end;) {
        it.addedAt[id] = it.now; // Stays unused.
        it.step();
        const auto expected = it.now <= end - 12s + 5'500ms ? 1U : 3U;
        cr_assert_leq(it.orders.size(), expected);
    }
    cr_assert_eq(it.orders.size(), 3U);
}

// The engine had got work when the order came: another new engine takes its place, and the first
// one is not ordered again.
Test(stagereplacements, a_refused_order_goes_to_another_new_engine)
{
    Fleet it(43, 23);
    it.remove(it.views.front().id);
    it.answer = Answer::Refused;
    const std::string first = it.add();
    it.step();
    it.answer = Answer::Accepted;
    it.remove(it.views.back().id == first ? it.views[30].id : it.views.back().id);
    const std::string second = it.add();
    it.run(5s);
    cr_assert_eq(it.orders.size(), 2U);
    cr_assert_eq(it.orders[0].id, first);
    cr_assert_eq(it.orders[1].id, second);
}

// The leader is lost in the middle of a replacement that has left the prefill stage short. Guards
// against a successor that takes the shortage for the target.
Test(stagereplacements, a_successor_completes_the_replacement)
{
    Fleet it(43, 23);
    policy::StagePlanner successor({});
    for (int i = 0; i < 40; ++i, it.now += Tick)
        successor.observeAsFollower(it.views, it.demand, it.now);
    for (int i = 0; i < 8; ++i) {
        it.remove(it.views.front().id);
        it.now += 800ms;
        successor.observeAsFollower(it.views, it.demand, it.now);
    }
    it.planner = successor;
    for (int i = 0; i < 8; ++i) {
        it.add();
        it.step();
    }
    it.run(10s);
    cr_assert_geq(it.prefillCount(), 22U);
    cr_assert_leq(it.orders.size(), 8U);
}

// An engine that restarts under its id is a new one: guards against its predecessor's order
// counting for it.
Test(stagereplacements, an_engine_that_restarts_under_its_id_is_assigned_again)
{
    Fleet it(43, 23);
    it.answer = Answer::Lost;
    it.remove(it.views.front().id);
    const std::string id = it.add();
    it.step();
    it.at(id).bornMs += 1'000;
    it.at(id).unused = true;
    it.step();
    cr_assert_eq(it.orders.size(), 2U);
}

// Guards against requests that wait or are refused as the only decode engines with room are new.
Test(stagereplacements, new_engines_are_held_back_only_if_others_have_room)
{
    std::vector<policy::PlacementCandidate> engines(3);
    engines[0].isPrefillEngine = true;
    engines[1].slots = 4;
    engines[2].held = true;
    policy::applyHolds(engines);
    cr_assert(engines[1].usable);
    cr_assert_not(engines[2].usable);
    engines[2].usable = true;
    engines[1].running = 4;
    policy::applyHolds(engines);
    cr_assert(engines[2].usable, "the other decode engine is full");
    engines[1].running = 0;
    engines[1].usable = false;
    policy::applyHolds(engines);
    cr_assert(engines[2].usable, "the prefill engine is no decode engine");
}

// Guards against a decode stage of slow engines on a service with two kinds of machines, on which
// every token of every stream takes longer: prefill takes the slow ones and gives the fast ones
// back.
Test(stagereplacements, fast_engines_are_preferred_for_decode)
{
    for (const bool towardsPrefill : {true, false}) {
        policy::StagePlanner planner({});
        std::vector<policy::StageView> engines(12);
        for (size_t i = 0; i < engines.size(); ++i) {
            engines[i].id = "e" + std::to_string(10 + i);
            engines[i].slowdown = i % 2 == 0 ? 1.6 : 0.6;
            engines[i].prefill = !towardsPrefill;
        }
        const auto changes = planner.plan(engines, policy::StageDemand{.slots = 64}, Start);
        cr_assert_eq(changes.size(), towardsPrefill ? 7U : 5U);
        for (size_t i = 0; i < 5; ++i) {
            const bool fast = (std::stoi(changes[i].id.substr(1)) - 10) % 2 == 1;
            cr_assert_eq(fast, !towardsPrefill);
        }
    }
}

// Guards against a target that ignores speeds: nine new engines of usual speed are enough besides
// slow ones. Guards also against a decode stage that is emptied for the sake of an estimate.
Test(stagereplacements, the_target_is_a_capacity_within_a_tenth_of_the_count)
{
    Fleet it(43, 23);
    for (size_t i = 0; i < it.views.size(); ++i)
        it.views[i].slowdown = i < 10 ? 0.6 : 1.4;
    for (int i = 0; i < 10; ++i)
        it.remove(it.views.front().id);
    for (int i = 0; i < 10; ++i)
        it.add();
    it.run(10s);
    cr_assert_eq(it.prefillCount(), 22U, "9.3 of 18.0 units of capacity are left");
    for (int i = 0; i < 12; ++i)
        it.at("e" + std::to_string(11 + i)).slowdown = 5;
    for (int i = 0; i < 8; ++i) {
        it.remove("e" + std::to_string(35 + i));
        it.add();
        it.run(400ms);
    }
    it.run(10s);
    cr_assert_eq(it.prefillCount(), 25U);
}

// Guards against deployments whose endpoints state no pace and whose stages then change otherwise
// than before: their engines are replaced one after the other.
Test(stagereplacements, without_paces_new_engines_get_no_early_stage)
{
    policy::StagePlanner planner({});
    std::vector<policy::StageView> engines(12);
    for (size_t i = 0; i < engines.size(); ++i) {
        engines[i].id = "e" + std::to_string(10 + i);
        engines[i].prefill = i < 6;
    }
    policy::StageDemand demand{.slots = 64};
    demand.promptTokensPerSecond = 1'000;
    demand.busyDecodeSlots = 1;
    demand.assignsNewEngines = false;
    planner.plan(engines, demand, Start);
    engines[0].id = "new";
    engines[0].prefill = false;
    engines[0].unused = true;
    cr_assert(planner.planNewEngines(engines, demand, Start + 200ms).empty());
    demand.assignsNewEngines = true;
    cr_assert_not(planner.planNewEngines(engines, demand, Start + 200ms).empty());
}
