#pragma once

/** \file
 * Defines the leader duties, which one gateway performs for the deployment: usage reports and
 * engine stages.
 */

#include "http/client.h"
#include "policy/decodestepestimator.h"
#include "policy/stageplanner.h"
#include "serving/endpoints.h"
#include "serving/leadership.h"
#include "serving/nodesettings.h"
#include "serving/tokenrates.h"
#include "serving/usagecounts.h"
#include "serving/usageseals.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <set>

namespace jujube::serving {

/** Components and state of the gateway that the leader duties use. */
struct DutyServices
{
    boost::asio::io_context &io;
    http::Client &httpClient;
    StoreClient &store;
    Leadership &leadership;
    EndpointTable &endpoints;
    UsageCounts &usage;
    std::function<std::shared_ptr<const FleetConfig>()> config;
    std::function<TokenRates()> tokenRates; ///< Sum over all gateways.
    /** Mean prefill rate of one engine over all gateways; 0 until one has measured it. */
    std::function<double()> prefillTokensPerSecond;
    std::function<const policy::DecodeStepEstimator &(const std::string &service)> decodeSteps;
    std::function<core::Milliseconds()> wallTime; ///< Time of day that delimits usage windows.
    /** Time from the end of a usage window until the counts of all gateways have arrived. */
    std::function<core::Milliseconds()> usageCountsDelay;
    /** Returns an item of the store mirror; null if absent. */
    std::function<const StoreItem *(const std::string &key)> mirroredItem;
};

/** Reports usage once for each window.
 *
 * The counts of a window are committed to the store (sealed) before the first report, so that every
 * repeated report, also by another leader, has the same counts.
 */
class UsageDuty
{
public:
    UsageDuty(DutyServices &services, const NodeSettings &settings);

    /** Reports the windows that are due; to be called several times per second. */
    void tick();
    /** Starts a new era of the store. Leadership has to be notified before. */
    void startEra(uint64_t era);
    /** Applies an item under the prefix from the store mirror. */
    void onSealItem(const StoreItem &item);
    static constexpr const char *Prefix = "jujube/usage/";
    /** Item that records when a leader first observed an era: "ERA MILLISECONDS_SINCE_1970". */
    static constexpr const char *EraKey = "jujube/era";

private:
    /** Returns the item of a key if it was written or restored in the current era, or null. */
    const StoreItem *itemOfEra(const std::string &key) const;
    void recordEra();
    void sealOrReport(uint64_t window);
    void sealThenReport(uint64_t window, const TeamCounts &counts);
    void report(uint64_t window, const TeamCounts &counts);
    void finish(uint64_t window);

    DutyServices &m_services;
    const NodeSettings &m_settings;
    std::set<uint64_t> m_inProgress;
    std::set<uint64_t> m_reported;
    UsageSeals m_seals;
    uint64_t m_era = 0;
    core::Milliseconds m_eraObservedAt{}; ///< Time of day of the first observation.
    bool m_eraRecorded = false;           ///< The store has a record of the current era.
    bool m_recordingEra = false;
};

/** Sends the engines of each service the orders for their planned stages. */
class StageDuty
{
public:
    StageDuty(DutyServices &services, const NodeSettings &settings);

    /** Plans the stages and orders changes; to be called several times per second. */
    void tick();
    /** Plans the stages of new engines shortly, as one has registered. */
    void planSoon();

private:
    void plan(bool onlyNewEngines);
    void orderChanges(const std::vector<policy::StageChange> &changes,
                      const policy::StageDemand &demand, const TokenRates &rates,
                      const policy::DecodeStepEstimator &decodeSteps);
    /** Returns the engines of a service as the planner sees them. */
    std::vector<policy::StageView> viewsOf(const std::string &service, core::TimePoint now) const;
    /** Whether the initial split waits for the paces of the engines. */
    bool awaitsPaces(const std::string &service, core::TimePoint now) const;
    void order(const EndpointPtr &engine, const policy::StageChange &change);
    void send(const EndpointPtr &engine, const policy::StageChange &change, uint64_t ordersBefore);
    /** Records that an order to a new engine has certainly not been accepted. */
    void recordRefusal(const Endpoint &engine, const policy::StageChange &change);

    DutyServices &m_services;
    const NodeSettings &m_settings;
    std::map<std::string, policy::StagePlanner> m_planners; ///< By name of the service.
    core::TimePoint m_leadsSince{};                         ///< Not set while another one leads.
    boost::asio::steady_timer m_planTimer;
    bool m_planTimerRuns = false;
};

/** Serializes usage counts as a JSON object for the store. */
std::string encodeCounts(const TeamCounts &counts);
/** \return an error if the text is not a JSON object. */
absl::StatusOr<TeamCounts> decodeCounts(const std::string &text);

} // namespace jujube::serving
