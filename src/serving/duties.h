#pragma once

/** \file
 * Defines what the leading gateway does for the deployment: usage reports and engine stages.
 */

#include "http/caller.h"
#include "policy/decodepace.h"
#include "policy/stageplanner.h"
#include "serving/endpoints.h"
#include "serving/leadership.h"
#include "serving/nodesettings.h"
#include "serving/tokenrates.h"
#include "serving/usagecounts.h"
#include "serving/usageseals.h"

#include <functional>
#include <memory>
#include <set>

namespace jujube::serving {

/** What the duties read of the gateway. */
struct DutyServices
{
    boost::asio::io_context &io;
    http::Caller &caller;
    StoreClient &store;
    Leadership &leadership;
    EndpointTable &endpoints;
    UsageCounts &usage;
    std::function<std::shared_ptr<const FleetConfig>()> config;
    std::function<TokenRates()> tokenRates; ///< Of all gateways.
    /** Of one engine, as all gateways have observed it; 0 until then. */
    std::function<double()> prefillTokensPerSecond;
    std::function<const policy::DecodeStepEstimator &(const std::string &service)> pace;
    std::function<core::Milliseconds()> wallTime; ///< The time of day that usage follows.
    /** From the end of a usage window until all counts have been told. */
    std::function<core::Milliseconds()> countsDelay;
    std::function<const StoreItem *(const std::string &key)> mirrored;
};

/** Reports usage once for each window.
 *
 * The figures of a window are fixed in the store before they are first sent, so that every later
 * sender, whoever leads then, sends the same ones.
 */
class UsageDuty
{
public:
    UsageDuty(DutyServices &services, const NodeSettings &settings);

    /** Looks whether a window is due. Call several times a second. */
    void tick();
    /** The store has begun an era; call after the leadership has heard of it. */
    void startEra(uint64_t era);
    /** Notes an item under the prefix. */
    void noteSealed(const StoreItem &item);
    static constexpr const char *Prefix = "jujube/usage/";
    /** Says when the leader of an era heard of it: "era milliseconds since 1970". */
    static constexpr const char *EraKey = "jujube/era";

private:
    /** The item of a key, if it was written or restored in the present era. */
    const StoreItem *present(const std::string &key) const;
    void followEra();
    void seal(uint64_t window);
    void sealThenReport(uint64_t window, const TeamCounts &counts);
    void report(uint64_t window, const TeamCounts &counts);
    void done(uint64_t window);

    DutyServices &m_services;
    const NodeSettings &m_settings;
    std::set<uint64_t> m_underWay;
    std::set<uint64_t> m_reported;
    UsageSeals m_seals;
    uint64_t m_era = 0;
    core::Milliseconds m_eraHeardAt{}; ///< Time of day.
    bool m_eraTold = false;            ///< The store says when the era was heard of.
    bool m_tellingEra = false;
};

/** Orders the engines of each service into the planned stages. */
class StageDuty
{
public:
    StageDuty(DutyServices &services, const NodeSettings &settings);

    void tick();

private:
    void order(const EndpointPtr &engine, bool prefill);
    void send(const EndpointPtr &engine, bool prefill, uint64_t ordersBefore);

    DutyServices &m_services;
    const NodeSettings &m_settings;
    std::map<std::string, policy::StagePlanner> m_planners; ///< By service.
};

/** Counts as text in the store. */
std::string encodeCounts(const TeamCounts &counts);
absl::StatusOr<TeamCounts> decodeCounts(const std::string &text);

} // namespace jujube::serving
