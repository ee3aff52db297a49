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
    bool leaving = false;  ///< It told the sender that it is leaving.
};

/** The short name of an endpoint in messages between gateways. */
uint64_t endpointHash(std::string_view id);

/** Faults of endpoints last seconds, and capacity is short: they are tried again soon. */
inline constexpr policy::OutlierSettings HealthSettings{.firstEjection = core::Milliseconds(1'000),
                                                        .probeLimit = core::Milliseconds(2'000),
                                                        .longestEjection =
                                                            core::Milliseconds(4'000)};

/** One run of an endpoint. Requests hold it by shared pointer; it may be gone from the table. */
struct Endpoint
{
    Endpoint(EndpointRecord entry, uint64_t cacheTokens);

    bool acceptsWork() const { return !gone && !leaving && record.state == EndpointState::Ready; }
    /** Whether it has asked this gateway to stay away until later. */
    bool declines(core::TimePoint now) const { return now < declinedUntil; }
    /** Keeps work away for a moment, after a refusal or while the stage changes. */
    void pause(core::TimePoint now, core::Milliseconds time);
    bool prefills() const { return record.stage == Stage::Prefill; }

    EndpointRecord record;
    uint64_t hash = 0; ///< Of the id, as gateways name it to each other.
    EndpointShare own;
    EndpointShare peers; ///< Sum over the other entries.
    policy::OutlierDetector health{HealthSettings};
    policy::ErrorEvidence errors;
    policy::PartCache parts;
    double slowness = 1;
    core::TimePoint brokenAt{}; ///< When a connection to it broke last.
    uint32_t refusals = 0;      ///< In a row, to this entry.
    uint32_t connections = 0;   ///< Of this entry, in use.
    bool gone = false;
    bool leaving = false;            ///< It has said so in an answer; holds for this incarnation.
    core::TimePoint declinedUntil{}; ///< It wants nothing from this gateway until then.
    /** No new work until then: its stage is being changed, it refused, or it is suspected. */
    core::TimePoint pausedUntil{};
};

using EndpointPtr = std::shared_ptr<Endpoint>;

/** All endpoints by service. */
class EndpointTable
{
public:
    /** Adds an endpoint or changes what is known of it. A restart makes it a new one. */
    void update(const EndpointRecord &record, uint64_t cacheTokens);
    void remove(const std::string &id);
    EndpointPtr find(const std::string &id) const;
    EndpointPtr findByHash(uint64_t hash) const;
    const std::vector<EndpointPtr> &ofService(const std::string &service) const;
    /** Time until an endpoint of the service that declines requests takes them again, if all that
     * accept work decline; otherwise none. */
    std::optional<core::Milliseconds> declinedFor(const std::string &service,
                                                  core::TimePoint now) const;
    /** Replaces what is known of the other gateways' load. */
    void setPeerShares(const std::vector<NewsShare> &shares);
    const std::map<std::string, EndpointPtr> &all() const { return m_byId; }

private:
    /** What an incarnation has said of itself. Kept when its entry goes, as entries lapse with the
     * store and come back. */
    struct Notice
    {
        std::string id;
        int64_t bornMs = 0;
        std::string address;
        bool leaving = false;
        core::TimePoint declinedUntil{};
    };

    void unlist(const Endpoint &endpoint);
    void keepNotice(const Endpoint &endpoint);
    void restoreNotice(Endpoint &endpoint) const;

    std::deque<Notice> m_notices; ///< Of endpoints that are not in the table, oldest first.
    std::map<std::string, EndpointPtr> m_byId;
    std::unordered_map<uint64_t, EndpointPtr> m_byHash;
    std::unordered_map<std::string, std::vector<EndpointPtr>> m_byService;
};

/** The endpoint that is expected to hold most of a prompt; null if none holds any. */
EndpointPtr bestHolder(const std::vector<EndpointPtr> &endpoints,
                       const std::vector<policy::ChainLink> &prompt);

/** The view of an endpoint for a placement. */
policy::PlacementView viewOf(const Endpoint &endpoint, const std::vector<policy::ChainLink> &prompt,
                             core::TimePoint now);

/** Notes an answer of an endpoint, and ejects it if it fails far more than the \a others. */
void noteAnswer(Endpoint &endpoint, const std::vector<EndpointPtr> &others, bool failed,
                core::TimePoint now);

/** Notes what the head of an answer says of its endpoint, besides the request. */
void noteNotices(Endpoint &endpoint, const AnswerFacts &answer, core::TimePoint now);

/** Notes that a request ended without an answer; what ends in the same moment counts once. */
void noteBroken(Endpoint &endpoint, core::TimePoint now);
/** Keeps work away from an endpoint that has refused some, longer each time in a row. */
void noteRefusal(Endpoint &endpoint, core::TimePoint now);

/** Moves the slowness of an endpoint towards observed / expected. */
void noteDuration(Endpoint &endpoint, core::Milliseconds observed, core::Milliseconds expected);

} // namespace jujube::serving
