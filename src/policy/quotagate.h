#pragma once

/** \file
 * Defines how one gateway decides whether a request is within the quota of its team.
 */

#include "policy/quotaledger.h"

#include <deque>
#include <random>
#include <string_view>
#include <utility>

namespace jujube::policy {

/** What a gateway decides by. */
enum class QuotaMode {
    Hub,    ///< This gateway is the hub and decides by its own ledger.
    Member, ///< By the levels that the hub states.
    Mesh,   ///< There is no hub: by its own ledger, fed by all peers.
    Alone   ///< It has lost contact and uses its part of the quota.
};

std::string_view quotaModeName(QuotaMode mode);

/** What a gateway is in the exchange of load. */
enum class QuotaRole { Hub, Member, Mesh };

enum class QuotaVerdict {
    Admit,
    Wait, ///< Admitted once the hub has counted it, or the peers could: see QuotaGate::settle().
    Refuse
};

/** A decision, and what it was based on. */
struct QuotaDecision
{
    QuotaVerdict verdict = QuotaVerdict::Admit;
    QuotaMode mode = QuotaMode::Mesh;
    double level = 0;             ///< Tokens that the team has left, as far as is known.
    double unacknowledged = 0;    ///< Own tokens that the others may not know of.
    core::Milliseconds age{};     ///< Of the hub's statement.
    core::Milliseconds retryIn{}; ///< Time until the level covers the request.
};

/** Levels that the hub states in one summary. */
struct QuotaStatement
{
    uint64_t hub = 0; ///< Hash of its name.
    uint64_t run = 0;
    uint64_t sequence = 0;
    std::span<const QuotaLevel> levels;
};

/** A charged request that waits until its charge is known to the others. */
struct QuotaHold
{
    uint64_t team = 0;
    double tokens = 0;
    core::TimePoint since{};
    uint64_t round = 0; ///< Of the last statement that was examined.
};

/** Decides on requests by the ledger, by the hub's statements or, without contact, alone. */
class QuotaGate
{
public:
    QuotaGate(QuotaLedger &ledger, core::TimePoint now);

    /** To be called regularly, at least every 200 ms: detects that the process was suspended. */
    void touch(core::TimePoint now);
    void setRole(QuotaRole role, core::TimePoint now);
    /** Starts anew after a time without quotas, in which nothing was received. */
    void restart(core::TimePoint now);
    /** Applies a summary of the hub; ignores one that is out of order. */
    void applyStatement(const QuotaStatement &statement, core::TimePoint now);
    /** Records that a peer states to hear this gateway; without a hub. */
    void noteListed(core::TimePoint now);
    /** Records that a message with the present counts is sent to all peers; without a hub. */
    void noteBroadcast(core::TimePoint now);

    QuotaMode mode(core::TimePoint now);
    QuotaDecision decide(uint64_t team, double tokens, core::TimePoint now);
    /** What decide() would return; changes neither this object nor the ledger. */
    QuotaDecision preview(uint64_t team, double tokens, core::TimePoint now) const;
    /** Charges a request that is admitted or waits. */
    QuotaHold charge(uint64_t team, double tokens, const QuotaDecision &decision,
                     core::TimePoint now);
    void refund(uint64_t team, double tokens, core::TimePoint now);
    /** Decides on a request that waits. */
    QuotaVerdict settle(QuotaHold &hold, std::mt19937_64 &random, core::TimePoint now);

    /** Counts of teams that were charged recently, and of all after a peer has started. */
    std::vector<QuotaCount> counts(core::TimePoint now);
    /** Levels for a peer that has started recently; empty if there is none. */
    std::vector<QuotaLevel> levelsForNewPeers(core::TimePoint now);

private:
    struct Team
    {
        double count = 0; ///< Charged by this process, less refunds.
        core::TimePoint chargedAt{};
        double included = 0;          ///< Part of the count that the hub's statements include.
        double stated = 0;            ///< Level that the hub has stated.
        uint64_t round = 0;           ///< Statement that states this level.
        core::TimePoint knownUntil{}; ///< The hub has counted all charges before this time.
        std::deque<std::pair<core::TimePoint, double>> reported; ///< Counts that were sent.
        double marked = 0; ///< Without a hub: count at the last mark.
        double known = 0;  ///< Without a hub: count that all peers have probably received.
        double aloneLevel = 0;
        double aloneFilledTo = 0; ///< Value of m_activeSeconds that aloneLevel includes.
    };

    bool lostContact(core::TimePoint now) const;
    core::TimePoint lastContact(core::TimePoint now) const;
    void forgetStatements();
    void enterAlone(core::TimePoint now);
    double view(uint64_t team, const Team &own, const QuotaRate &quota, core::TimePoint now);
    double unacknowledged(const Team &own) const;
    bool isKnown(const QuotaHold &hold, QuotaMode mode) const;
    static void noteIncluded(Team &own, double tokens);
    double aloneLevel(Team &own, const QuotaRate &quota) const;
    QuotaDecision decideAlone(Team &own, uint64_t team, double tokens, core::TimePoint now);

    QuotaLedger *m_ledger; ///< Never null.
    QuotaRole m_role = QuotaRole::Mesh;
    std::unordered_map<uint64_t, Team> m_teams;
    uint64_t m_round = 0;    ///< Number of statements, or of marks.
    QuotaStatement m_latest; ///< Origin of the latest statement, without its levels.
    core::TimePoint m_statedAt{};
    core::TimePoint m_listedAt{};
    core::TimePoint m_markedAt{};
    core::TimePoint m_knownUntil{}; ///< Without a hub: peers have counted charges before this time.
    core::TimePoint m_touchedAt{};
    core::TimePoint m_distrustUntil{};
    double m_activeSeconds = 0; ///< Time without suspensions.
    bool m_alone = false;
    double m_aloneGateways = 1; ///< Gateways at the loss of contact.
    core::TimePoint m_aloneSince{};
    core::TimePoint m_aloneEnd{};
};

} // namespace jujube::policy
