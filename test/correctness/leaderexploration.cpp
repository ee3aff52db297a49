/** \file
 * Explores all sequences of renewals, network partitions, restarts and store restores over a few
 * lease times, with two gateways that decide by LeaderTerm.
 */

#include "serving/leaderterm.h"

#include <criterion/criterion.h>

#include <array>
#include <optional>
#include <vector>

using namespace jujube;
using namespace std::chrono_literals;
using serving::LeaderTerm;
using serving::StoreVersion;

namespace {

constexpr int LeaseTicks = 2;
constexpr core::Milliseconds Tick{1'000};
constexpr int Depth = 7;
constexpr int MaxRestores = 2;

/** A fault that is injected into the gateways and that the exploration has to find. */
enum class SeededFault { None, TokenWithoutEra, IgnoresEras };

struct Store
{
    struct Key
    {
        StoreVersion version;
        uint64_t holderEra = 0;
        size_t holder = 0;
        int leaseEnd = 0;
    };
    uint64_t era = 0;
    uint64_t revision = 1;
    std::optional<Key> key;
};

struct Gateway
{
    LeaderTerm term{Tick * LeaseTicks};
    uint64_t era = 0;
};

struct Act
{
    int tick = 0;
    size_t holder = 0;
};

struct World
{
    Store store;
    std::vector<Store> backups; ///< Backups of the store, one of each tick.
    std::array<Gateway, 2> gateways;
    std::vector<Act> acts;
    uint64_t highestToken = 0;
    size_t highestHolder = 0;
    int restores = 0;
};

core::TimePoint at(int tick)
{
    return core::TimePoint{} + 1h + Tick * tick;
}

// Performs the calls of a gateway that can reach the store.
void contactStore(World &world, size_t index, int tick, SeededFault seededFault)
{
    Gateway &gateway = world.gateways[index];
    Store &store = world.store;
    if (store.era > gateway.era) {
        gateway.era = store.era;
        if (seededFault != SeededFault::IgnoresEras)
            gateway.term.startEra(at(tick));
    }
    const bool holdsKey = store.key && store.key->holder == index
        && store.key->holderEra
            == (seededFault == SeededFault::IgnoresEras ? store.key->holderEra : store.era);
    if (gateway.term.holds()) {
        if (holdsKey && gateway.term.valid(at(tick))) {
            store.key->leaseEnd = tick + LeaseTicks;
            gateway.term.renew(at(tick));
        } else {
            gateway.term.endTerm(at(tick));
        }
        return;
    }
    if (store.key && store.key->holderEra == store.era)
        return;
    const StoreVersion version{store.era, ++store.revision};
    store.key = Store::Key{version, store.era, index, tick + LeaseTicks};
    cr_assert(gateway.term.acquire(version, at(tick)));
}

// Records the acts of a gateway as the leader. Returns whether they satisfy the invariants.
bool checkAct(World &world, size_t index, int tick, SeededFault seededFault)
{
    const LeaderTerm &term = world.gateways[index].term;
    if (!term.mayAct(at(tick)))
        return true;
    constexpr uint64_t revisionOnly = 0xffffffff;
    const uint64_t token = term.fencingToken()
        & (seededFault == SeededFault::TokenWithoutEra ? revisionOnly : ~uint64_t(0));
    if (token < world.highestToken || (token == world.highestToken && index != world.highestHolder))
        return false;
    world.highestToken = token;
    world.highestHolder = index;
    bool otherBetween = false;
    for (auto it = world.acts.rbegin(); it != world.acts.rend(); ++it) {
        if (tick - it->tick > LeaseTicks)
            break;
        if (it->holder == index && otherBetween)
            return false;
        otherBetween = otherBetween || it->holder != index;
    }
    world.acts.push_back({tick, index});
    return true;
}

/** Counts of the visited states and acts, and whether an invariant was violated. */
struct Exploration
{
    SeededFault seededFault = SeededFault::None;
    size_t visited = 0;
    size_t acts = 0;
    bool breached = false;

    void step(const World &before, int tick, int restoreAge, bool restart, unsigned reachableMask)
    {
        World world = before;
        if (restoreAge > 0) {
            const uint64_t era = world.store.era + 1;
            world.store = world.backups[world.backups.size() - static_cast<size_t>(restoreAge)];
            world.store.era = era;
            ++world.restores;
        }
        if (world.store.key && world.store.key->leaseEnd <= tick)
            world.store.key.reset();
        if (restart)
            world.gateways[1] = Gateway();
        for (size_t i = 0; i < world.gateways.size(); ++i) {
            if ((reachableMask >> i & 1U) != 0)
                contactStore(world, i, tick, seededFault);
        }
        for (size_t i = 0; i < world.gateways.size(); ++i)
            breached = breached || !checkAct(world, i, tick, seededFault);
        world.backups.push_back(world.store);
        ++visited;
        acts += world.acts.size() - before.acts.size();
        explore(world, tick + 1);
    }

    void explore(const World &world, int tick)
    {
        if (tick == Depth || breached)
            return;
        const int maxAge =
            world.restores < MaxRestores ? std::min(2, static_cast<int>(world.backups.size())) : 0;
        for (int age = 0; age <= maxAge; ++age) {
            for (const bool restart : {false, true}) {
                for (unsigned reachableMask = 0; reachableMask < 4; ++reachableMask)
                    step(world, tick, age, restart, reachableMask);
            }
        }
    }
};

Exploration exploreAll(SeededFault seededFault)
{
    Exploration it;
    it.seededFault = seededFault;
    it.explore(World(), 0);
    return it;
}

} // namespace

Test(leaderexploration, tokens_never_decrease_and_holders_do_not_alternate)
{
    const Exploration it = exploreAll(SeededFault::None);
    cr_assert_not(it.breached);
    cr_assert_gt(it.visited, 100'000U);
    cr_assert_gt(it.acts, it.visited / 10, "leaders act in many of the visited states");
}

Test(leaderexploration, finds_a_token_without_the_era)
{
    cr_assert(exploreAll(SeededFault::TokenWithoutEra).breached);
}

Test(leaderexploration, finds_a_holder_that_ignores_eras)
{
    cr_assert(exploreAll(SeededFault::IgnoresEras).breached);
}

Test(leaderterm, tokens_order_by_the_era_first_and_fit_a_json_number)
{
    using serving::fencingTokenOf;
    cr_assert_lt(*fencingTokenOf({0, 900}), *fencingTokenOf({1, 2}));
    cr_assert_lt(*fencingTokenOf({1, 2}), *fencingTokenOf({1, 3}));
    cr_assert_eq(*fencingTokenOf({0, 7}), 7U, "a store that was never restored");
    constexpr uint64_t exact = uint64_t(1) << 53U;
    cr_assert_lt(*fencingTokenOf({(1U << 21U) - 1, 0xffffffff}), exact);
    cr_assert_not(fencingTokenOf({0, uint64_t(1) << 32U}).has_value());
    cr_assert_not(fencingTokenOf({1U << 21U, 1}).has_value());
}
