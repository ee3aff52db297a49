#pragma once

/** \file
 * Defines the table of endpoints that a gateway knows, with their load and health.
 */

#include "policy/connectfailures.h"
#include "policy/engineslowdown.h"
#include "policy/outlierdetector.h"
#include "policy/placement.h"
#include "policy/prefixcachemodel.h"
#include "policy/reportedpace.h"
#include "policy/requestlimit.h"
#include "serving/fleetconfig.h"
#include "serving/requesttypes.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace jujube::serving {

/** Load of one or several gateways on one endpoint. */
struct OutstandingLoad
{
    uint32_t running = 0;       ///< Requests in progress.
    uint32_t backlogTokens = 0; ///< Prompt tokens sent and not prefilled yet.
    /** Output tokens that the requests still have to produce; 0 where placement does not use it
     * (policy::PlacementSettings::predictsByPace). */
    uint32_t remainingTokens = 0;

    OutstandingLoad &operator+=(const OutstandingLoad &other);
};

/** Load that an endpoint has reported, with the age of the report. */
struct ReportedLoad
{
    uint32_t running = 0;
    uint32_t waiting = 0;
    uint32_t pacePercent = 0; ///< 0: not stated.
    core::Milliseconds age{};
};

/** Load and state of one endpoint in a gossip message. */
struct GossipLoadShare
{
    uint64_t endpoint = 0; ///< Hash of the endpoint's id.
    OutstandingLoad load;
    bool changing = false;                ///< The sender has ordered it to change its stage.
    bool failing = false;                 ///< The sender has ejected it.
    bool leaving = false;                 ///< It has announced its shutdown to the sender.
    std::optional<ReportedLoad> report{}; ///< That the sender has received from the endpoint.
};

/** Hash that identifies an endpoint in gossip messages. */
uint64_t endpointHash(std::string_view id);

/** Short ejections: faults of endpoints last seconds, and capacity is scarce. */
inline constexpr policy::OutlierSettings EndpointHealthSettings{
    .firstEjection = core::Milliseconds(1'000),
    .probeTimeout = core::Milliseconds(2'000),
    .maxEjection = core::Milliseconds(4'000)};

/** One incarnation of an endpoint. Requests hold it by shared pointer, also after its removal from
 * the table. */
struct Endpoint
{
    Endpoint(EndpointRecord entry, uint64_t cacheTokens);

    bool acceptsWork() const
    {
        return !removed && !leaving && record.state == EndpointState::Ready;
    }
    /** Whether others can probably fetch cached blocks from it. What a prompt that was sent to it
     * would have left in its cache is assumed to be there, even if the connection failed. */
    bool isReachable() const { return !removed && !replaced && !connectFailures.failing(); }
    /** Whether a back-off that the endpoint asked for has not expired. */
    bool inBackoff(core::TimePoint now) const { return now < backoffUntil; }
    /** Sends no new work to the endpoint for a time, as after a refusal or during a change of
     * stage. A longer pause stays. */
    void pauseFor(core::TimePoint now, core::Milliseconds time);
    bool prefills() const { return record.stage == Stage::Prefill; }
    /** Applies a report of the load unless a newer one is known.
     * \param own whether this gateway has received it from the endpoint. */
    void noteReport(const ReportedLoad &load, core::TimePoint now, bool own);
    /** \return the report of this gateway that others should know of, if any. */
    std::optional<ReportedLoad> reportToShare(core::TimePoint now) const;
    /** Whether it has registered while this gateway followed the store, has its initial stage and,
     * as far as is known, got no request. */
    bool isUnused(core::TimePoint now) const;
    /** Whether new work is held back from it, so that the leader can assign its stage. */
    bool isHeld(core::TimePoint now) const { return now < heldUntil && isUnused(now); }

    EndpointRecord record;
    uint64_t hash = 0;        ///< Hash of the id, for gossip messages.
    OutstandingLoad ownLoad;  ///< Of this gateway.
    OutstandingLoad peerLoad; ///< Sum over the other gateways.
    policy::OutlierDetector health{EndpointHealthSettings};
    policy::ErrorRateTest errors;
    policy::ConnectFailures connectFailures;
    policy::PrefixCacheModel prefixCache;
    /** Observed over predicted time to the first token, smoothed. Not updated by prefills for other
     * engines, whose duration slowdown describes. */
    double slowness = 1;
    policy::EngineSlowdown slowdown; ///< Of prefills.
    policy::ReportedPace pace;
    ReportedLoad report;          ///< Freshest known; its age is that at its arrival.
    core::TimePoint reportedAt{}; ///< Time of the freshest report; not set: none.
    ReportedLoad ownReport;       ///< Last report that this gateway has received.
    core::TimePoint ownReportAt{};
    core::TimePoint lastLostAnswerAt{}; ///< Last time that a request ended without an answer.
    uint32_t consecutiveRefusals = 0;   ///< Without another answer in between, to this gateway.
    uint32_t connections = 0;           ///< In use by this gateway.
    bool removed = false;               ///< From the table.
    bool leaving = false;               ///< Announced its shutdown; final for this incarnation.
    bool replaced = false;              ///< Another instance answers at its address.
    policy::RequestLimit limit;         ///< That the endpoint names in its answers.
    core::TimePoint backoffUntil{};     ///< End of the back-off that the endpoint asked for.
    /** No new work until then: its stage changes, it has refused a request, or it is suspected. */
    core::TimePoint pausedUntil{};
    core::TimePoint registeredAt{}; ///< Not set if its registration was not observed.
    core::TimePoint heldUntil{};
    bool hadRequests = false; ///< Of any gateway, as far as is known.
};

using EndpointPtr = std::shared_ptr<Endpoint>;

/** How an endpoint record was received. */
struct RecordArrival
{
    /** Time at which it arrived as a change; not set if it was listed. */
    core::TimePoint at{};
    bool leaderKnown = false; ///< The store names a leader, which may assign a stage.
};

/** All known endpoints, by id and by service. */
class EndpointTable
{
public:
    /** Adds or updates an endpoint. A new incarnation replaces the previous one.
     *
     * The first records of a new era of the store may come from the copy that it was restored from.
     * A record that is not newer than the one known of its incarnation is held back until its owner
     * has written again, or until the entry of an owner that is gone would have expired
     * (applyHeldBack).
     * \return whether a new engine has registered whose stage may be assigned. */
    bool update(const EndpointRecord &record, uint64_t cacheTokens, RecordArrival arrival = {});
    /** Applies records that were held back for long enough. Call several times a second. */
    void applyHeldBack(core::TimePoint now);
    /** Removes an endpoint. \param era of the store in which its entry was removed. */
    void remove(const std::string &id, uint64_t era = 0);
    EndpointPtr find(const std::string &id) const;
    EndpointPtr findByHash(uint64_t hash) const;
    const std::vector<EndpointPtr> &ofService(const std::string &service) const;
    /** Shortest time until a ready endpoint of a service may be sent a request, if all of them are
     * in back-off or at their limit. */
    std::optional<core::Milliseconds> remainingBackoff(const std::string &service,
                                                       core::TimePoint now) const;
    /** Sets this gateway's share of each limit. \param members see policy::shareOfLimit(). */
    void shareLimits(const std::string &self, const std::vector<std::string> &members,
                     core::TimePoint now);
    /** Applies a limit that another gateway has observed. */
    void mergeLimit(uint64_t hash, const policy::LimitObservation &observation);
    /** Replaces the known load of the other gateways. */
    void setPeerLoads(const std::vector<GossipLoadShare> &shares);
    /** Updates the slowdowns of all prefill engines. Call several times a second. */
    void updateSlowdowns(core::TimePoint now);
    /** Whether an endpoint has stated its pace. */
    bool statesPace() const;
    const std::map<std::string, EndpointPtr> &all() const { return m_byId; }

private:
    /** State kept of an incarnation whose entry was removed: while the store is unreachable,
     * entries expire and are written again later. */
    struct PastIncarnation
    {
        std::string id;
        int64_t bornMs = 0;
        std::string address;
        uint64_t sequence = 0;
        uint64_t era = 0; ///< Of the store, in which the entry was removed.
        bool leaving = false;
        core::TimePoint backoffUntil{};
    };

    /** A record that may come from the copy that the store was restored from. */
    struct HeldBackRecord
    {
        EndpointRecord record;
        uint64_t cacheTokens = 0;
        core::TimePoint heldSince{}; ///< Set by the first applyHeldBack().
    };

    bool mayPredateRestore(const EndpointRecord &record) const;
    bool apply(const EndpointRecord &record, uint64_t cacheTokens, RecordArrival arrival);
    void removeFromService(const Endpoint &endpoint);
    void rememberIncarnation(const Endpoint &endpoint, uint64_t era);
    const PastIncarnation *findPastIncarnation(const EndpointRecord &record) const;

    std::deque<PastIncarnation> m_pastIncarnations; ///< Oldest first.
    std::map<std::string, HeldBackRecord> m_heldBack;
    std::map<std::string, EndpointPtr> m_byId;
    std::unordered_map<uint64_t, EndpointPtr> m_byHash;
    std::unordered_map<std::string, std::vector<EndpointPtr>> m_byService;
};

/** \return the endpoint that is expected to cache the most of a prompt; null if none does. */
EndpointPtr longestPrefixHolder(const std::vector<EndpointPtr> &endpoints,
                                const std::vector<policy::PrefixLink> &prompt);

/** Reasons why an endpoint gets no new work. */
struct Obstacles
{
    bool draining = false; ///< It shuts down or was removed.
    bool paused = false;
    bool backoff = false; ///< It has asked for a back-off.
    bool limit = false;   ///< This gateway has used its share of the endpoint's limit.
    bool ejected = false; ///< And no probe is due.

    bool any() const { return draining || paused || backoff || limit || ejected; }
};
Obstacles obstaclesOf(const Endpoint &endpoint, core::TimePoint now);

/** Adds the requests that an endpoint has reported beyond those that the gateways know of, and
 * whether it has reported waiting ones, if the report is recent. */
void addReportedLoad(policy::PlacementCandidate &view, const Endpoint &endpoint,
                     core::TimePoint now);

/** \return the view of an endpoint for a placement. */
policy::PlacementCandidate placementViewOf(const Endpoint &endpoint,
                                           const std::vector<policy::PrefixLink> &prompt,
                                           core::TimePoint now);

/** Logs a limit that has changed. \param source of the change. */
void logLimit(const Endpoint &endpoint, std::string_view source);

} // namespace jujube::serving
