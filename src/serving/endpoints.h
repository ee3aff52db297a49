#pragma once

/** \file
 * Defines the endpoints an entry knows, with their load as far as it is known.
 */

#include "policy/outlierdetector.h"
#include "policy/partcache.h"
#include "policy/placement.h"
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

/** One entry's load on one endpoint, as entries tell each other. */
struct EndpointShare
{
    uint32_t running = 0;
    uint32_t backlogTokens = 0;
};

/** The load of one gateway, or of several, on one endpoint. */
struct NewsShare
{
    uint64_t endpoint = 0; ///< Hash of the endpoint's id.
    EndpointShare load;
    bool changing = false; ///< Its stage is being changed by an order of the sender.
    bool failing = false;  ///< The sender has ejected it.
    bool leaving = false;  ///< It has announced its shutdown to the sender.
};

/** The short name of an endpoint in messages between gateways. */
uint64_t endpointHash(std::string_view id);

/** Faults of endpoints last seconds, and capacity is short: they are tried again soon. */
inline constexpr policy::OutlierSettings HealthSettings{.firstEjection = core::Milliseconds(1'000),
                                                        .probeTimeout = core::Milliseconds(2'000),
                                                        .maxEjection = core::Milliseconds(4'000)};

/** One run of an endpoint. Requests hold it by shared pointer; it may be gone from the table. */
struct Endpoint
{
    Endpoint(EndpointRecord entry, uint64_t cacheTokens);

    bool acceptsWork() const { return !gone && !leaving && record.state == EndpointState::Ready; }
    /** Whether a back-off that it asked for is still running. */
    bool backsOff(core::TimePoint now) const { return now < backoffUntil; }
    /** Keeps work away for a moment, after a refusal or while the stage changes. */
    void pause(core::TimePoint now, core::Milliseconds time);
    bool prefills() const { return record.stage == Stage::Prefill; }

    EndpointRecord record;
    uint64_t hash = 0; ///< Of the id, as gateways name it to each other.
    EndpointShare own;
    EndpointShare peers; ///< Sum over the other entries.
    policy::OutlierDetector health{HealthSettings};
    policy::ErrorRateTest errors;
    policy::PrefixCacheModel parts;
    double slowness = 1;
    core::TimePoint brokenAt{}; ///< When a connection to it broke last.
    uint32_t refusals = 0;      ///< In a row, to this entry.
    uint32_t connections = 0;   ///< Of this entry, in use.
    bool gone = false;
    bool leaving = false; ///< Announced in one of its answers; final for this incarnation.
    core::TimePoint backoffUntil{}; ///< End of the back-off that it asked for.
    /** No new work until then: its stage is being changed, it refused, or it is suspected. */
    core::TimePoint pausedUntil{};
};

using EndpointPtr = std::shared_ptr<Endpoint>;

/** All endpoints by service. */
class EndpointTable
{
public:
    /** Adds an endpoint or changes what is known of it. A restart makes it a new one.
     *
     * The first records of a new era of the store may be from the copy that it was restored from.
     * One that is not newer than what is known of its incarnation is held back until its owner has
     * written, or long enough for the entry of an owner that is gone to lapse (settle). */
    void update(const EndpointRecord &record, uint64_t cacheTokens);
    /** Applies what was held back for long enough. Call several times a second. */
    void settle(core::TimePoint now);
    /** \param era of the store in which the entry was removed. */
    void remove(const std::string &id, uint64_t era = 0);
    EndpointPtr find(const std::string &id) const;
    EndpointPtr findByHash(uint64_t hash) const;
    const std::vector<EndpointPtr> &ofService(const std::string &service) const;
    /** Shortest remaining back-off of a service whose ready endpoints are all in back-off. */
    std::optional<core::Milliseconds> backoffLeft(const std::string &service,
                                                  core::TimePoint now) const;
    /** Replaces what is known of the other gateways' load. */
    void setPeerShares(const std::vector<NewsShare> &shares);
    const std::map<std::string, EndpointPtr> &all() const { return m_byId; }

private:
    /** What is remembered of an incarnation whose entry is gone, as entries lapse with the store
     * and come back. */
    struct Departed
    {
        std::string id;
        int64_t bornMs = 0;
        std::string address;
        uint64_t sequence = 0;
        uint64_t era = 0; ///< Of the store, in which the entry was removed.
        bool leaving = false;
        core::TimePoint backoffUntil{};
    };

    /** A record that may be from an old copy of the store. */
    struct Doubted
    {
        EndpointRecord record;
        uint64_t cacheTokens = 0;
        core::TimePoint since{}; ///< Not set until settle() has seen it.
    };

    bool mayBeFromOldCopy(const EndpointRecord &record) const;
    void apply(const EndpointRecord &record, uint64_t cacheTokens);
    void unlist(const Endpoint &endpoint);
    void keepDeparted(const Endpoint &endpoint, uint64_t era);
    const Departed *findDeparted(const EndpointRecord &record) const;

    std::deque<Departed> m_departed; ///< Oldest first.
    std::map<std::string, Doubted> m_doubted;
    std::map<std::string, EndpointPtr> m_byId;
    std::unordered_map<uint64_t, EndpointPtr> m_byHash;
    std::unordered_map<std::string, std::vector<EndpointPtr>> m_byService;
};

/** The endpoint that is expected to hold most of a prompt; null if none holds any. */
EndpointPtr bestHolder(const std::vector<EndpointPtr> &endpoints,
                       const std::vector<policy::PrefixBlock> &prompt);

/** The view of an endpoint for a placement. */
policy::PlacementCandidate viewOf(const Endpoint &endpoint,
                                  const std::vector<policy::PrefixBlock> &prompt,
                                  core::TimePoint now);

/** Notes an answer of an endpoint, and ejects it if it fails far more than the \a others. */
void noteAnswer(Endpoint &endpoint, const std::vector<EndpointPtr> &others, bool failed,
                core::TimePoint now);

/** Applies the shutdown or back-off that an answer announces to its endpoint. */
void noteNotices(Endpoint &endpoint, const AnswerFacts &answer, core::TimePoint now);

/** Notes that a request ended without an answer; what ends in the same moment counts once. */
void noteBroken(Endpoint &endpoint, core::TimePoint now);
/** Keeps work away from an endpoint that has refused some, longer each time in a row. */
void noteRefusal(Endpoint &endpoint, core::TimePoint now);

/** Moves the slowness of an endpoint towards observed / expected. */
void noteDuration(Endpoint &endpoint, core::Milliseconds observed, core::Milliseconds expected);

} // namespace jujube::serving
