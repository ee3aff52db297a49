#pragma once

/** \file
 * Defines the shares of engine time that the teams of a service were given lately.
 */

#include "core/clock.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace jujube::policy {

/** Engine time that a team was given lately, as a decayed sum. */
struct TeamUse
{
    uint64_t team = 0; ///< Hash of the team's name.
    double engineMs = 0;
};

/** Use of a team and its relation to an equal share, for operators. */
struct TeamOveruse
{
    std::string name;
    double engineMs = 0; ///< At all gateways.
    double overuse = 1;
};

/** Exponentially decayed sums of the engine time that each team of a service was given by this
 * gateway and by its peers. The sums of peers are those of their last lists. */
class TeamShares
{
public:
    static constexpr core::Milliseconds TimeConstant{5'000};
    static constexpr core::Milliseconds ListLifetime{3'000}; ///< Of a peer's list.
    static constexpr double MaxOveruse = 4;
    static constexpr double MaxUseMs = 1e7; ///< Of a valid figure of a peer.
    static constexpr size_t MaxOwnTeams = 256;
    static constexpr size_t MaxListedTeams = 64; ///< In a peer's list.
    static constexpr size_t MaxPeers = 128;

    static uint64_t hashOf(std::string_view teamName);
    /** Whether a figure of a peer is one that a gateway could state. */
    static bool isValid(const TeamUse &use);

    /** Records that a prompt of a team waits, or no longer does. */
    void addWaiting(uint64_t team);
    void removeWaiting(uint64_t team);
    /** Records engine time that this gateway has given to a team. */
    void charge(const std::string &teamName, double engineMs, core::TimePoint now);
    /** Replaces the list of a peer. Figures that are not valid are ignored, as are those beyond the
     * number of a list. \param peer hash of the peer's name. */
    void merge(uint64_t peer, std::span<const TeamUse> list, core::TimePoint now);

    /** Returns the use of a team divided by the equal share of the teams that have use or waiting
     * prompts: from 1 to MaxOveruse; 1 if fewer than two teams have either. */
    double overuse(uint64_t team, core::TimePoint now);

    /** Part of the engine time of all teams that a team was given; 1 if overuse() is. */
    double share(uint64_t team, core::TimePoint now);

    /** The largest sums of this gateway, for its peers. */
    std::vector<TeamUse> ownUse(core::TimePoint now) const;
    /** Number of teams of which anything is known. */
    size_t teamCount() const { return m_teams.size(); }
    /** The teams with the largest use among those that this gateway has served. */
    std::vector<TeamOveruse> largest(size_t count, core::TimePoint now);

private:
    // Uses are stored as if they had been made at m_reference, so that the passing of time changes
    // all of them alike and needs no update of each.
    struct Team
    {
        std::string name; ///< Known if this gateway has charged the team.
        double own = 0;
        double atPeers = 0;
        uint32_t lists = 0; ///< Lists of peers that name the team.
        uint32_t waiting = 0;

        double use() const { return own + atPeers; }
        bool empty() const { return own <= 0 && lists == 0 && waiting == 0; }
    };
    struct PeerList
    {
        std::vector<TeamUse> uses;
        core::TimePoint receivedAt{};
    };

    double growth(core::TimePoint now) const;
    void advanceReference(core::TimePoint now);
    void dropList(const PeerList &list);
    void dropOldLists(core::TimePoint now);
    void dropLeastOwn();
    void update(core::TimePoint now);

    std::unordered_map<uint64_t, Team> m_teams;
    std::unordered_map<uint64_t, PeerList> m_lists; ///< By peer.
    core::TimePoint m_reference{};
    core::TimePoint m_updatedAt{};
    size_t m_ownTeams = 0;   ///< With a sum of this gateway.
    double m_sum = 0;        ///< Of all uses, as of m_updatedAt.
    double m_equalShare = 0; ///< As of m_updatedAt; 0: fewer than two teams are active.
    bool m_changed = true;   ///< Since m_updatedAt.
};

} // namespace jujube::policy
