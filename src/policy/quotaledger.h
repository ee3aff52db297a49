#pragma once

/** \file
 * Defines the ledger of token buckets by which the gateways of a deployment keep quotas of teams.
 */

#include "core/clock.h"

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace jujube::policy {

/** By how much the use of a quota may exceed it in a window. */
struct QuotaTerms
{
    core::Milliseconds window{8'000};
    double overrun = 0; ///< Share of the quota.
    double slack = 0;   ///< Tokens besides.
};

/** Quota of one team. */
struct QuotaRate
{
    double perSecond = 0;
    double burst = 0;

    /** Tokens by which the use may exceed the quota in a window. */
    double margin(const QuotaTerms &terms) const;
    /** Most tokens that may run in a window. */
    double mostInWindow(const QuotaTerms &terms) const;
    /** Largest level of the bucket. */
    double capacity(const QuotaTerms &terms) const;
    bool operator==(const QuotaRate &) const = default;
};

/** Tokens charged to a team by one incarnation of a gateway, less those refunded. */
struct QuotaCount
{
    uint64_t team = 0;
    int64_t tokens = 0;
};

/** Level of a team's bucket, and the count of the receiver that is included in it. */
struct QuotaLevel
{
    uint64_t team = 0;
    int64_t level = 0;
    int64_t includedTokens = 0;
};

/** A message of a gateway that states its counts. Gateways are identified by hashes of names. */
struct QuotaReport
{
    uint64_t gateway = 0;
    uint64_t run = 0;
    uint64_t sequence = 0; ///< Reports of one run with lower numbers are older.
    std::span<const QuotaCount> counts;
    /** Stated for peers that have just started; then the counts of all teams are included. */
    std::span<const QuotaLevel> levels;
};

/** Token buckets of all teams with a quota, lowered by the counts that gateways report.
 *
 * Every gateway keeps one. That of the hub, or without a hub each gateway's own, is authoritative.
 */
class QuotaLedger
{
public:
    /** A level that is not stated in a summary is at least this share of the capacity. */
    static constexpr double UnstatedShare = 0.8;

    /** \param full buckets of the first teams are full, as the deployment starts for the first
     * time; otherwise they are empty until a peer states their levels. */
    QuotaLedger(QuotaTerms terms, bool full, core::TimePoint now);

    const QuotaTerms &terms() const { return m_terms; }
    /** Sets the quota of a team; nothing: the team has none any more. */
    void setQuota(uint64_t team, const std::optional<QuotaRate> &quota, core::TimePoint now);
    /** To be called after the quotas of a configuration were set. */
    void endOfConfiguration() { m_configured = true; }
    /** Null: the team has no quota. */
    const QuotaRate *quota(uint64_t team) const;

    /** Lets time pass; to be called regularly, as a long gap is taken for a suspension. */
    void advance(core::TimePoint now);
    /** Adds a registered peer. */
    void addGateway(uint64_t gateway, core::TimePoint now);
    void removeGateway(uint64_t gateway);
    /** Sets for how long a peer counts as connected after a message. */
    void setConnectionTimeout(core::Milliseconds timeout, core::TimePoint now);
    /** Records a message of a peer. */
    void noteHeard(uint64_t gateway, uint64_t run, core::TimePoint now);
    /** Applies the counts of a peer; ignores a report that is out of order. */
    void apply(const QuotaReport &report, core::TimePoint now);
    /** Sets the levels that are not known yet to those that another gateway states. */
    void adopt(std::span<const QuotaLevel> levels, core::TimePoint now);
    /** Lowers the level by tokens that this gateway has charged; negative for a refund. */
    void charge(uint64_t team, double tokens, core::TimePoint now);

    double level(uint64_t team, core::TimePoint now);
    /** Whether the level is not known yet and a peer will probably state it soon. */
    bool awaitsLevel(uint64_t team, core::TimePoint now) const;
    /** The same for any team. */
    bool awaitsAnyLevel(core::TimePoint now) const;
    /** Levels to state to a peer: those below UnstatedShare and those that its latest counts have
     * changed. */
    std::vector<QuotaLevel> levelsFor(uint64_t gateway, core::TimePoint now);
    /** Levels of all teams that are not full. */
    std::vector<QuotaLevel> allLevels(core::TimePoint now);

    /** Number of gateways that the rate is divided by, including this one. */
    uint32_t memberCount(core::TimePoint now) const;
    bool hasPeers() const;
    /** Incarnation of a peer that was heard last; 0: none. */
    uint64_t runOf(uint64_t gateway) const;
    bool anyConnected(core::TimePoint now) const;
    /** Peers that are connected. */
    std::vector<uint64_t> connectedPeers(core::TimePoint now) const;
    /** When a new incarnation of a peer was last heard for the first time. */
    core::TimePoint newPeerAt() const { return m_newPeerAt; }
    /** Whether no team has a quota. */
    bool empty() const;

private:
    struct Bucket
    {
        std::optional<QuotaRate> quota;
        double capacity = 0;
        double margin = 0;
        double level = 0;
        double filledTo = 0;   ///< Value of m_fill that the level includes.
        bool mayAdopt = false; ///< The level is not known yet: this process has just started.
        double charged = 0;    ///< By this gateway while the level was not known.
        core::TimePoint createdAt{};
    };
    struct Count
    {
        int64_t tokens = 0;
        core::TimePoint changedAt{};
    };
    struct Gateway
    {
        uint64_t run = 0;         ///< 0: not heard yet.
        uint64_t previousRun = 0; ///< Its late messages are ignored.
        uint64_t sequence = 0;
        bool mayBeOlder = false; ///< May have charged tokens before this ledger was created.
        bool complete = false;   ///< It has stated the counts of all teams.
        bool removed = false;
        core::TimePoint knownAt{};
        core::TimePoint runKnownAt{};
        core::TimePoint heardAt{};
        core::TimePoint filledUntil{}; ///< Its part of the rates is added up to this time.
        double allowance = 0;          ///< Seconds of the whole rate that it may have used alone.
        std::unordered_map<uint64_t, Count> counts;
    };

    void fill(Bucket &bucket) const;
    bool isConnected(const Gateway &gateway, core::TimePoint now) const;
    bool isMember(const Gateway &gateway, core::TimePoint now) const;
    void applyCount(Gateway &from, const QuotaCount &count, double allowance, core::TimePoint now);

    QuotaTerms m_terms;
    bool m_full = false;
    bool m_configured = false;
    core::TimePoint m_startedAt{};
    core::TimePoint m_advancedAt{};
    core::TimePoint m_newPeerAt{};
    core::Milliseconds m_connectionTimeout{500};
    double m_fill = 0; ///< Seconds for which buckets have filled at their whole rate.
    std::unordered_map<uint64_t, Bucket> m_buckets;
    std::unordered_map<uint64_t, Gateway> m_gateways;
};

} // namespace jujube::policy
