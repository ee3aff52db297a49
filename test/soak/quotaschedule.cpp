#include "soak/quotaschedule.h"

#include "core/text.h"

#include <algorithm>

namespace jujube::soak {

namespace {

using core::Milliseconds;
using core::TimePoint;

// At about 80 requests per second outside of surges, the teams use a fifth to a half of their
// quotas. A surge sends four times the quota and more.
constexpr uint32_t TokenRate = 20'000;
constexpr uint32_t RequestRate = 15;
constexpr double TokenTeamShare = 0.05;
constexpr double RequestTeamShare = 0.1;
constexpr double SurgeShare = 0.85;
constexpr uint32_t PlainTokens = 500;
// Longer than the time until a lowered quota is enforced, so that changes do not overlap.
constexpr Milliseconds ShortestQuota{8'000};
constexpr Milliseconds LongestQuota{11'000};
constexpr Milliseconds ShortestPause{500};
constexpr Milliseconds LongestPause{2'500};
constexpr Milliseconds ShortestSurge{1'500};
constexpr Milliseconds LongestSurge{4'000};
// A bucket that was overdrawn by the whole margin has filled up after this multiple of the window.
constexpr int HistoryWindows = 1;

Milliseconds drawTime(std::mt19937_64 &random, Milliseconds shortest, Milliseconds longest)
{
    return Milliseconds(
        std::uniform_int_distribution<int64_t>(shortest.count(), longest.count())(random));
}

double burstAndWindow(double rate)
{
    return rate * std::chrono::duration<double>(QuotaSchedule::Rule.window).count() + rate;
}

double allowed(double rate)
{
    return burstAndWindow(rate) * (1 + QuotaSchedule::Rule.overrun) + QuotaSchedule::Rule.slack;
}

bool ranAnywhere(SoakDeployment &deployment, const RequestRecord &request)
{
    return std::any_of(deployment.endpoints().begin(), deployment.endpoints().end(),
                       [&](const SoakedEndpoint &it) { return it.fake->runCount(request.id) > 0; });
}

} // namespace

QuotaSchedule::QuotaSchedule(boost::asio::io_context &io, SoakDeployment &deployment, uint64_t seed)
    : m_deployment(deployment), m_changeTimer(io), m_surgeTimer(io), m_random(seed)
{
    m_teams = {{"team-b", {TokenRate}, true, TokenTeamShare, {}},
               {"team-c", {RequestRate}, false, RequestTeamShare, {}}};
    for (Team &it : m_teams)
        set(it, it.firstQuota);
    publish();
}

void QuotaSchedule::start()
{
    scheduleChange();
    scheduleSurge();
}

void QuotaSchedule::stop()
{
    m_changeTimer.cancel();
    m_surgeTimer.cancel();
    m_surgingTeam.reset();
    for (Team &it : m_teams)
        set(it, it.firstQuota);
    publish();
}

std::string QuotaSchedule::drawTeam(std::mt19937_64 &random) const
{
    std::uniform_real_distribution<double> share(0, 1);
    double drawn = share(random);
    if (m_surgingTeam && drawn < SurgeShare)
        return m_teams[*m_surgingTeam].name;
    drawn = share(random);
    for (const Team &it : m_teams) {
        if (drawn < it.loadShare)
            return it.name;
        drawn -= it.loadShare;
    }
    return "team-a";
}

void QuotaSchedule::scheduleChange()
{
    m_changeTimer.expires_after(drawTime(m_random, ShortestQuota, LongestQuota));
    m_changeTimer.async_wait([this](const boost::system::error_code &ec) {
        if (ec)
            return;
        constexpr size_t choices = 5;
        std::uniform_int_distribution<size_t> choice(0, choices - 1);
        for (Team &it : m_teams) {
            const uint32_t rate = it.firstQuota.rate;
            const std::optional<Quota> quotas[choices] = {
                Quota{rate / 2}, Quota{rate * 3 / 4}, Quota{rate}, Quota{rate * 2}, std::nullopt};
            set(it, quotas[choice(m_random)]);
        }
        publish();
        scheduleChange();
    });
}

void QuotaSchedule::scheduleSurge()
{
    const bool ends = m_surgingTeam.has_value();
    m_surgeTimer.expires_after(ends ? drawTime(m_random, ShortestSurge, LongestSurge)
                                    : drawTime(m_random, ShortestPause, LongestPause));
    m_surgeTimer.async_wait([this, ends](const boost::system::error_code &ec) {
        if (ec)
            return;
        std::uniform_int_distribution<size_t> team(0, m_teams.size() - 1);
        m_surgingTeam = ends ? std::nullopt : std::optional(team(m_random));
        scheduleSurge();
    });
}

void QuotaSchedule::set(Team &team, std::optional<Quota> quota)
{
    const bool same = !team.changes.empty() && team.changes.back().quota == quota;
    if (!same)
        team.changes.push_back({core::BootClock::now(), quota});
}

void QuotaSchedule::publish()
{
    std::string teams;
    for (const Team &it : m_teams)
        teams += "," + json(it);
    m_deployment.publishTeams(teams);
}

std::string QuotaSchedule::json(const Team &team)
{
    const auto &quota = team.changes.back().quota;
    return core::concat(
        R"({"Name":")", team.name, R"(","ApiKeys":[")", keyOfTeam(team.name), R"("])",
        quota ? core::concat(R"(,"RatePerS":)", quota->rate, R"(,"Burst":)", quota->rate) : "",
        team.countsTokens ? core::concat(R"(,"Unit":"token_stream","PlainTokens":)", PlainTokens)
                          : "",
        "}");
}

double QuotaSchedule::figureOf(const Team &team, const RequestRecord &request)
{
    if (!team.countsTokens)
        return 1;
    return request.statedTokens > 0 ? request.statedTokens : PlainTokens;
}

double QuotaSchedule::Usage::between(TimePoint from, TimePoint to) const
{
    const auto first = std::lower_bound(times.begin(), times.end(), from) - times.begin();
    const auto last = std::upper_bound(times.begin(), times.end(), to) - times.begin();
    return sums[static_cast<size_t>(last)] - sums[static_cast<size_t>(first)];
}

// The records are in the order in which the requests were sent.
QuotaSchedule::Usage QuotaSchedule::usageOf(const Team &team, const LoadGenerator &load,
                                            bool onlyRun) const
{
    Usage usage;
    usage.sums.push_back(0);
    for (const RequestRecord &it : load.records()) {
        if (it.team != team.name || (onlyRun && !ranAnywhere(m_deployment, it)))
            continue;
        usage.times.push_back(it.sentAt);
        usage.sums.push_back(usage.sums.back() + figureOf(team, it));
    }
    return usage;
}

// Highest quota that may be in force in a time; nothing if there may have been none at a moment. A
// quota that was replaced stays in force until the gateways must know of the change.
std::optional<QuotaSchedule::Quota> QuotaSchedule::highestQuota(const Team &team, TimePoint from,
                                                                TimePoint to) const
{
    Quota highest;
    for (size_t i = 0; i < team.changes.size(); ++i) {
        const bool last = i + 1 == team.changes.size();
        if (team.changes[i].at > to
            || (!last
                && m_deployment.disturbances().settledAfter(StorePath, team.changes[i + 1].at)
                    < from))
            continue;
        if (!team.changes[i].quota)
            return std::nullopt;
        highest.rate = std::max(highest.rate, team.changes[i].quota->rate);
    }
    return highest;
}

std::vector<InvariantResult> QuotaSchedule::check(const LoadGenerator &load) const
{
    return {checkSums(load), checkRefusals(load), checkNeedlessRefusals(load)};
}

// Covers the windows that begin and those that end with a request: with a constant quota, no other
// window has a higher sum. Requests count from when their client sent them, whichever gateway got
// them and whether or not it is still running.
InvariantResult QuotaSchedule::checkSums(const LoadGenerator &load) const
{
    InvariantResult result;
    result.invariant = "what ran of a team stays within its quota in each window";
    for (const Team &team : m_teams) {
        const Usage ran = usageOf(team, load, true);
        double fullest = 0;
        std::string worst;
        for (const TimePoint at : ran.times) {
            for (const TimePoint from : {at - Rule.window, at}) {
                const auto quota = highestQuota(team, from, from + Rule.window);
                if (!quota)
                    continue;
                ++result.examinedCount;
                const double sum = ran.between(from, from + Rule.window);
                if (sum / allowed(quota->rate) <= fullest)
                    continue;
                fullest = sum / allowed(quota->rate);
                const Milliseconds since =
                    std::chrono::duration_cast<Milliseconds>(from - ran.times.front());
                worst = core::concat(team.name, ": ", sum, " of ", allowed(quota->rate), " from ",
                                     since.count(), " ms, quota ", quota->rate);
            }
        }
        if (fullest > 1)
            result.breaches.push_back(worst);
        else if (!worst.empty())
            result.invariant += core::concat("; fullest ", worst);
    }
    return result;
}

InvariantResult QuotaSchedule::checkRefusals(const LoadGenerator &load) const
{
    InvariantResult result;
    result.invariant = "what is over the quota never runs, and is told when to retry";
    for (const RequestRecord &it : load.records()) {
        if (it.status != http::status::TooManyRequests)
            continue;
        ++result.examinedCount;
        if (ranAnywhere(m_deployment, it) || !(it.retryAfterSeconds > 0))
            result.breaches.push_back(core::concat(
                it.id, " of ", it.team, " at gateway-", it.gateway, ", Retry-After ",
                it.retryAfterSeconds, ranAnywhere(m_deployment, it) ? ", has run" : ""));
    }
    return result;
}

InvariantResult QuotaSchedule::checkNeedlessRefusals(const LoadGenerator &load) const
{
    InvariantResult result;
    result.invariant = "a team that sends less than its quota is not refused";
    for (const Team &team : m_teams) {
        const Usage sent = usageOf(team, load, false);
        for (const RequestRecord &it : load.records()) {
            if (it.team != team.name || it.status != http::status::TooManyRequests)
                continue;
            const auto due = refusalMayBeDue(team, sent, it);
            result.examinedCount += due ? 1 : 0;
            if (due == false)
                result.breaches.push_back(
                    core::concat(it.id, " of ", team.name, " at gateway-", it.gateway));
        }
    }
    const auto quotaTeam = [&](const RequestRecord &request) {
        return std::any_of(m_teams.begin(), m_teams.end(),
                           [&](const Team &it) { return it.name == request.team; });
    };
    for (const RequestRecord &it : load.records()) {
        if (it.status == http::status::TooManyRequests && !quotaTeam(it))
            result.breaches.push_back(core::concat(it.id, " of ", it.team, ", without a quota"));
    }
    return result;
}

// Whether the team may have sent more than its rate and burst in some span that ends with the
// request. Nothing while a gateway is disturbed or a change is recent: other causes are possible.
std::optional<bool> QuotaSchedule::refusalMayBeDue(const Team &team, const Usage &sent,
                                                   const RequestRecord &request) const
{
    const TimePoint from = request.sentAt - HistoryWindows * Rule.window;
    const auto &disturbances = m_deployment.disturbances();
    for (size_t i = 0; i < m_deployment.gateways().size(); ++i) {
        if (!disturbances.undisturbed(i, from, request.endedAt))
            return std::nullopt;
    }
    for (const Change &it : team.changes) {
        if (it.at <= request.endedAt && disturbances.settledAfter(StorePath, it.at) >= from)
            return std::nullopt;
    }
    const auto quota = highestQuota(team, from, request.endedAt);
    if (!quota)
        return false;
    const auto after = std::upper_bound(sent.times.begin(), sent.times.end(), request.endedAt);
    const auto end = static_cast<size_t>(after - sent.times.begin());
    for (size_t i = end; i > 0 && sent.times[i - 1] >= from; --i) {
        const double span =
            std::chrono::duration<double>(request.endedAt - sent.times[i - 1]).count();
        if (sent.sums[end] - sent.sums[i - 1] > quota->rate * (1 + span))
            return true;
    }
    return false;
}

} // namespace jujube::soak
