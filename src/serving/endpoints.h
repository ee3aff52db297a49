#pragma once

/** \file
 * Defines the table of endpoints that a gateway knows, with their load and health.
 */

#include "policy/outlierdetector.h"
#include "policy/placement.h"
#include "policy/prefixcachemodel.h"
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
    // Of engines only; both are 0 in messages of gateways that do not state them.
    uint32_t remainingTokens = 0; ///< Output tokens that streams are expected to produce yet.
    uint32_t heldTokens = 0;      ///< Size of the KV cache that requests hold, in tokens.

    OutstandingLoad &operator+=(const OutstandingLoad &other);
};

/** Load and state of one endpoint in a gossip message. */
struct GossipLoadShare
{
    uint64_t endpoint = 0; ///< Hash of the endpoint's id.
    OutstandingLoad load;
    bool changing = false; ///< The sender has ordered it to change its stage.
    bool failing = false;  ///< The sender has ejected it.
    bool leaving = false;  ///< It has announced its shutdown to the sender.
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
    /** Whether a back-off that the endpoint asked for has not expired. */
    bool inBackoff(core::TimePoint now) const { return now < backoffUntil; }
    /** Sends no new work to the endpoint for a time, as after a refusal or during a change of
     * stage. A longer pause stays. */
    void pauseFor(core::TimePoint now, core::Milliseconds time);
    bool prefills() const { return record.stage == Stage::Prefill; }

    EndpointRecord record;
    uint64_t hash = 0;        ///< Hash of the id, for gossip messages.
    OutstandingLoad ownLoad;  ///< Of this gateway.
    OutstandingLoad peerLoad; ///< Sum over the other gateways.
    policy::OutlierDetector health{EndpointHealthSettings};
    policy::ErrorRateTest errors;
    policy::PrefixCacheModel prefixCache;
    double slowness = 1; ///< Observed over predicted time to the first token, smoothed.
    core::TimePoint lastLostAnswerAt{}; ///< Last time that a request ended without an answer.
    uint32_t consecutiveRefusals = 0;   ///< Without another answer in between, to this gateway.
    uint32_t connections = 0;           ///< In use by this gateway.
    bool removed = false;               ///< From the table.
    bool leaving = false;               ///< Announced its shutdown; final for this incarnation.
    policy::RequestLimit limit;         ///< That the endpoint names in its answers.
    core::TimePoint backoffUntil{};     ///< End of the back-off that the endpoint asked for.
    /** No new work until then: its stage changes, it has refused a request, or it is suspected. */
    core::TimePoint pausedUntil{};
};

using EndpointPtr = std::shared_ptr<Endpoint>;

/** All known endpoints, by id and by service. */
class EndpointTable
{
public:
    /** Adds or updates an endpoint. A new incarnation replaces the previous one.
     *
     * The first records of a new era of the store may come from the copy that it was restored from.
     * A record that is not newer than the one known of its incarnation is held back until its owner
     * has written again, or until the entry of an owner that is gone would have expired
     * (applyHeldBack). */
    void update(const EndpointRecord &record, uint64_t cacheTokens);
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
    void apply(const EndpointRecord &record, uint64_t cacheTokens);
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

/** \return the view of an endpoint for a placement. */
policy::PlacementCandidate placementViewOf(const Endpoint &endpoint,
                                           const std::vector<policy::PrefixLink> &prompt,
                                           core::TimePoint now);

/** Records an answer of an endpoint, and ejects it if it fails far more than the \a others. */
void recordAnswer(Endpoint &endpoint, const std::vector<EndpointPtr> &others, bool failed,
                  core::TimePoint now);

/** Applies a shutdown or back-off that an answer announces to its endpoint. */
void applyAnswerNotices(Endpoint &endpoint, const AnswerMetadata &answer, core::TimePoint now);

/** Records that a request ended without an answer; several at almost the same time count once. */
void recordLostAnswer(Endpoint &endpoint, core::TimePoint now);
/** Pauses an endpoint after a refusal; each one in a row doubles the pause, up to a limit. */
void recordRefusal(Endpoint &endpoint, core::TimePoint now);

/** Moves the slowness of an endpoint towards observed / expected, as a moving average. */
void updateSlowness(Endpoint &endpoint, core::Milliseconds observed, core::Milliseconds expected);

} // namespace jujube::serving
