#include "soak/greedyteam.h"

#include "core/text.h"

#include <algorithm>
#include <array>

namespace jujube::soak {

namespace {

using core::TimePoint;

constexpr const char *Greedy = "team-g";
// Many enough that the greedy team reaches the largest overuse: below it, late prompts of the
// others go behind its prompts in time.
constexpr std::array Others{"team-a", "team-b", "team-c", "team-d", "team-e",
                            "team-f", "team-h", "team-i", "team-j"};
constexpr double GreedyShare = 0.7; ///< Of all requests while it is active.
// About half of what the prompts of 60 callers need.
constexpr uint32_t ScarceSlots = 6;
constexpr uint32_t UsualSlots = 64;
constexpr core::Milliseconds SettlingTime{2'000}; ///< Until the slots and the uses are known.
// Fewer prompts say little: by chance, a tenth of 40 prompts more or fewer is served.
constexpr size_t MinPrompts = 40;
constexpr double Tolerance = 0.1;

} // namespace

GreedyTeam::GreedyTeam(SoakDeployment &deployment) : m_deployment(deployment)
{
    std::string teams;
    const auto add = [&teams](const char *name) {
        core::append(teams, R"(,{"Name":")", name, R"(","ApiKeys":[")", keyOfTeam(name), R"("]})");
    };
    std::for_each(Others.begin() + 1, Others.end(), add); // The configuration has the first one.
    add(Greedy);
    deployment.publishTeams(std::move(teams));
}

void GreedyTeam::start(TimePoint now)
{
    m_startedAt = now;
    m_deployment.setSlots(ScarceSlots);
}

void GreedyTeam::stop(TimePoint now)
{
    m_stoppedAt = now;
    m_deployment.setSlots(UsualSlots);
}

std::string GreedyTeam::drawTeam(std::mt19937_64 &random) const
{
    const bool active = m_startedAt != TimePoint::max() && m_stoppedAt == TimePoint::max();
    if (active && std::bernoulli_distribution(GreedyShare)(random))
        return Greedy;
    return Others[std::uniform_int_distribution<size_t>(0, Others.size() - 1)(random)];
}

InvariantResult GreedyTeam::check(const LoadGenerator &load) const
{
    struct Count
    {
        size_t sent = 0;
        size_t served = 0;
        double share() const { return static_cast<double>(served) / static_cast<double>(sent); }
    };
    Count greedy;
    Count others;
    for (const RequestRecord &it : load.records()) {
        if (it.kind != RequestKind::Prompt || !it.ended || it.disconnected
            || it.sentAt < m_startedAt + SettlingTime || it.endedAt > m_stoppedAt)
            continue;
        Count &count = it.team == Greedy ? greedy : others;
        ++count.sent;
        count.served += it.complete && it.status == http::status::Ok ? 1 : 0;
    }
    InvariantResult result;
    result.invariant = "scarce engines serve no team better for asking more";
    if (greedy.sent < MinPrompts || others.sent < MinPrompts)
        return result;
    result.examinedCount = greedy.sent + others.sent;
    const std::string found =
        core::concat(others.served, " of ", others.sent, " prompts of the others, ", greedy.served,
                     " of ", greedy.sent, " of the greedy team");
    if (others.share() < greedy.share() - Tolerance)
        result.breaches.push_back(found);
    else
        result.invariant += "; " + found;
    return result;
}

} // namespace jujube::soak
