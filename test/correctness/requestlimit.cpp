/** \file
 * Tests of the shares by which gateways keep an endpoint's limit together.
 */

#include "policy/requestlimit.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <random>

using namespace jujube;
using namespace std::chrono_literals;
using core::TimePoint;
using policy::RequestLimit;
using policy::shareOfLimit;

namespace {

const TimePoint Start{1h};
constexpr core::Milliseconds Step{10};
constexpr core::Milliseconds TickInterval{200};
constexpr core::Milliseconds Window{4'000};
constexpr core::Milliseconds SettlingTime{3'000};

std::vector<std::string> names(size_t n)
{
    std::vector<std::string> result;
    for (size_t i = 0; i < n; ++i)
        result.push_back("vm-" + std::to_string(i));
    return result;
}

// Gateways with random requests, each of which goes to the limited endpoint if it may be sent
// there. Peers learn of observations after a delay.
class Fleet
{
public:
    Fleet(size_t gateways, double requestsPerSecond)
        : m_names(names(gateways)),
          m_gateways(gateways),
          m_views(gateways, m_names),
          m_rate(requestsPerSecond)
    {
    }

    void run(core::Milliseconds time, std::optional<double> limit)
    {
        std::bernoulli_distribution arrives(
            std::min(1.0, m_rate * std::chrono::duration<double>(Step).count()));
        for (const TimePoint end = m_now + time; m_now < end; m_now += Step) {
            const auto sinceStart = std::chrono::duration_cast<core::Milliseconds>(m_now - Start);
            for (size_t i = 0; i < m_gateways.size(); ++i) {
                RequestLimit &gateway = m_gateways[i];
                if (sinceStart.count() % TickInterval.count() == 0 && gateway.perSecond())
                    gateway.update(shareOfLimit(*gateway.perSecond(), 7, m_names[i], m_views[i]),
                                   m_now);
                if (m_known.at != TimePoint{} && m_now - m_known.at >= Delay)
                    gateway.merge(m_known);
                if (!arrives(m_random) || !gateway.admits(m_now))
                    continue;
                gateway.take(m_now);
                m_sent.push_back(m_now);
                gateway.observe(limit, m_now);
                if (m_known.at == TimePoint{} || m_now - m_known.at >= Delay)
                    m_known = gateway.own();
            }
        }
    }

    void restart(size_t gateway) { m_gateways.at(gateway) = RequestLimit(); }
    void setView(size_t gateway, std::vector<std::string> members)
    {
        m_views.at(gateway) = std::move(members);
    }

    size_t mostInWindow(TimePoint from) const
    {
        size_t most = 0;
        for (auto first = std::lower_bound(m_sent.begin(), m_sent.end(), from), last = first;
             last != m_sent.end(); ++last) {
            while (*last - *first > Window)
                ++first;
            most = std::max(most, static_cast<size_t>(last - first) + 1);
        }
        return most;
    }
    size_t sentSince(TimePoint from) const
    {
        return static_cast<size_t>(m_sent.end()
                                   - std::lower_bound(m_sent.begin(), m_sent.end(), from));
    }
    TimePoint now() const { return m_now; }

private:
    static constexpr core::Milliseconds Delay{150};

    std::vector<std::string> m_names;
    std::vector<RequestLimit> m_gateways;
    std::vector<std::vector<std::string>> m_views;
    std::vector<TimePoint> m_sent;
    policy::LimitObservation m_known;
    TimePoint m_now = Start;
    double m_rate;
    std::mt19937_64 m_random{37};
};

size_t allowed(double limit)
{
    return static_cast<size_t>(1.5 * limit * 4) + 5;
}

} // namespace

// Guards against gateways that together exceed a limit (LIMIT), and against one that is left unused
// since each of many gateways has a share below one request.
Test(requestlimit, the_shares_of_all_gateways_add_up_to_the_limit)
{
    for (const size_t gateways : {1U, 2U, 6U, 25U, 103U}) {
        for (const double limit : {0.25, 0.9, 1.0, 5.6, 7.3, 40.0, 500.0}) {
            double sum = 0;
            for (const std::string &it : names(gateways)) {
                const double share = shareOfLimit(limit, 17, it, names(gateways));
                cr_assert(share == 0 || share >= std::min(1.0, limit));
                sum += share;
            }
            cr_assert_float_eq(sum, limit, 1e-6, "%zu gateways, limit %g", gateways, limit);
        }
    }
    cr_assert_eq(shareOfLimit(5, 17, "stranger", names(6)), 0);
}

// Guards against LIMIT in deployments of every size: 4 s windows from 3 s after the first answer
// on.
Test(requestlimit, fleets_of_all_sizes_keep_and_use_a_limit)
{
    for (const size_t gateways : {1U, 6U, 25U, 103U}) {
        for (const double limit : {0.9, 5.0, 20.0}) {
            Fleet fleet(gateways, 200.0 / static_cast<double>(gateways));
            fleet.run(SettlingTime, limit);
            const TimePoint settled = fleet.now();
            fleet.run(20s, limit);
            cr_assert_leq(fleet.mostInWindow(settled), allowed(limit), "%zu, %g", gateways, limit);
            cr_assert_geq(fleet.sentSince(settled), static_cast<size_t>(0.6 * limit * 20),
                          "%zu gateways use too little of %g", gateways, limit);
        }
    }
}

// Guards against LIMIT when a limit falls or rises between answers, and against one that outlives
// its end.
Test(requestlimit, limits_that_change_and_end_are_followed)
{
    Fleet fleet(6, 30);
    fleet.run(SettlingTime, 40);
    fleet.run(6s, 40);
    fleet.run(1s, 8);
    const TimePoint fallen = fleet.now();
    fleet.run(8s, 8);
    cr_assert_leq(fleet.mostInWindow(fallen), allowed(8));
    fleet.run(1s, 30);
    const TimePoint risen = fleet.now();
    fleet.run(5s, 30);
    cr_assert_geq(fleet.sentSince(risen), 100U);
    fleet.run(2s, std::nullopt);
    const TimePoint ended = fleet.now();
    fleet.run(2s, std::nullopt);
    cr_assert_geq(fleet.sentSince(ended), 300U);
}

// Guards against LIMIT while gateways start again or do not hear each other: one that has started
// knows no limit, and one that is cut off must not count on the shares of all others.
Test(requestlimit, restarts_and_differing_views_stay_within_the_bound)
{
    Fleet fleet(103, 2);
    fleet.run(SettlingTime, 10);
    const TimePoint settled = fleet.now();
    for (size_t i = 0; i < 12; ++i) {
        fleet.restart(i * 8);
        // Half of the peers are not known yet, or not any more.
        auto members = names(103);
        members.resize(52);
        if (std::find(members.begin(), members.end(), "vm-" + std::to_string(i)) != members.end())
            fleet.setView(i, members);
        fleet.run(1s, 10);
    }
    cr_assert_leq(fleet.mostInWindow(settled), allowed(10));
}

Test(requestlimit, only_later_observations_count)
{
    RequestLimit limit;
    cr_assert(limit.admits(Start));
    cr_assert(limit.observe(5, Start));
    cr_assert_not(limit.observe(5, Start + 1s));
    cr_assert_not(limit.merge({std::nullopt, Start}));
    cr_assert(limit.perSecond() == 5.0);
    cr_assert(limit.merge({std::nullopt, Start + 2s}));
    cr_assert(limit.admits(Start + 2s));
    cr_assert(limit.own().perSecond == 5.0);
}

// Guards against an endpoint that is never used again: it has named a limit of zero, or the
// gateways with a share have stopped before an answer told that the limit has ended.
Test(requestlimit, a_limit_near_zero_or_without_news_does_not_last_for_ever)
{
    RequestLimit limit;
    limit.observe(0, Start);
    limit.update(shareOfLimit(0, 17, "vm-0", names(1)), Start);
    cr_assert_not(limit.admits(Start + 1s));
    cr_assert(limit.admits(Start + 5s));
    RequestLimit other;
    other.observe(5, Start);
    cr_assert_not(other.update(0, Start + 29s));
    cr_assert_not(other.timeUntilAdmitted(Start + 29s).has_value());
    cr_assert(other.update(0, Start + 31s));
    cr_assert(other.admits(Start + 31s));
}
