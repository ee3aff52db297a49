#pragma once

/** \file
 * Defines the deployment under test: gateways as processes, and fakes that they reach through
 * relays.
 */

#include "fakes/fakeendpoint.h"
#include "fakes/fakestore.h"
#include "soak/disturbances.h"
#include "soak/faultrelay.h"
#include "soak/gatewayprocess.h"

#include <absl/status/statusor.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace jujube::soak {

/** A usage report that the platform received. */
struct UsageReport
{
    std::string holder;
    uint64_t fencingToken = 0;
    std::string body;
};

/** A fake endpoint and the relay through which gateways reach it. */
struct SoakedEndpoint
{
    std::unique_ptr<test::FakeEndpoint> fake;
    std::unique_ptr<FaultRelay> relay;
    std::string service;
    std::string state; ///< State in its store entry; empty: it has no entry.
    serving::Stage publishedStage = serving::Stage::None; ///< Stage in its store entry.
};

/** Settings of the deployment. */
struct SoakSettings
{
    std::string program; ///< Path of the gateway's executable.
    std::string folder;  ///< For settings files and logs.
    size_t gateways = 3;
    bool crashingPrompts = false; ///< Engines crash on prompts with CrashingBlock.
    RetryBudgetLimits retryLimits{};
    std::optional<QuotaRule> quotaRule{};
    bool contention = false; ///< Teams get equal shares while prompts wait.
    uint64_t memoryMb = 0;   ///< Of each gateway; 0: their default.
};

/** Gateways as child processes, fakes in this process, and relays between them. */
class SoakDeployment
{
public:
    // A stream lasts 1.2 s, so that it still runs some time after its client has disconnected.
    static constexpr uint32_t StreamEvents = 20;
    static constexpr core::Milliseconds EventGap{60};
    static constexpr core::Milliseconds RouteTimeout{2'000};
    static constexpr const char *CrashingBlock = "bad";

    /** Starts all parts. \return an error if one of them cannot be started. */
    static absl::StatusOr<std::unique_ptr<SoakDeployment>> create(boost::asio::io_context &io,
                                                                  SoakSettings settings);

    test::FakeStore &store() { return *m_store; }
    FaultRelay &storeRelay() { return *m_storeRelay; }
    std::vector<SoakedEndpoint> &endpoints() { return m_endpoints; }
    std::vector<std::unique_ptr<GatewayProcess>> &gateways() { return m_gateways; }
    const std::vector<UsageReport> &reports() const { return m_reports; }
    Disturbances &disturbances() { return m_disturbances; }
    /** Times at which engines have crashed on a prompt. */
    const std::vector<core::TimePoint> &crashes() const { return m_crashes; }
    std::vector<std::string> clientAddresses() const;
    const RetryBudgetLimits &retryLimits() const { return m_retryLimits; }

    /** Writes the next version of the configuration. */
    void publishConfig();
    /** Writes the next version of the configuration with other teams beside team-a. \param teams
     * their JSON objects, each after a comma. */
    void publishTeams(std::string teams);
    /** Writes the next version of the configuration with a further service. \param route the JSON
     * object of its route. */
    void publishService(const std::string &name, std::string route);
    /** Address of a host in the network of this deployment. */
    std::string address(uint32_t host, uint16_t port) const;
    /** Writes the store entry of an endpoint with a state. */
    void registerEndpoint(SoakedEndpoint &endpoint, const std::string &state = "ready");
    /** Erases the store entry of an endpoint. */
    void unregisterEndpoint(SoakedEndpoint &endpoint);
    /** Sets the slots of each engine. */
    void setSlots(uint32_t slots);
    /** Writes the entries of endpoints whose stage was changed by an order. */
    void refreshEntries();
    /** Removes the entries of incarnations that have ended, as their leases would. */
    void expireFormerEntries();
    /** Writes the current entry of an endpoint again. \param writer index of the endpoint; their
     * number stands for the configuration. */
    void rewriteEntry(size_t writer);
    /** Whether the load balancer sends new connections to a gateway. */
    bool inRotation(size_t gateway) const { return m_inRotation[gateway]; }
    void setInRotation(size_t gateway, bool inRotation) { m_inRotation[gateway] = inRotation; }

private:
    explicit SoakDeployment(boost::asio::io_context &io);
    absl::Status start(const SoakSettings &settings);
    void putConfig();
    absl::Status addEndpoint(const std::string &service, serving::Stage stage);
    void makeCrashable(size_t index);
    void handleCrash(size_t index);

    boost::asio::io_context &m_io;
    std::string m_networkPrefix;
    std::unique_ptr<test::FakeStore> m_store;
    std::unique_ptr<FaultRelay> m_storeRelay;
    std::unique_ptr<http::Server> m_platform;
    std::vector<SoakedEndpoint> m_endpoints;
    std::vector<std::unique_ptr<GatewayProcess>> m_gateways;
    std::vector<bool> m_inRotation;
    std::vector<UsageReport> m_reports;
    std::vector<core::TimePoint> m_crashes;
    std::vector<std::string> m_formerIds; ///< Of endpoints that have started again.
    Disturbances m_disturbances;
    RetryBudgetLimits m_retryLimits;
    std::string m_moreTeams;
    std::string m_moreRoutes;   ///< JSON objects, each before a comma.
    std::string m_moreServices; ///< The same.
    uint64_t m_configVersion = 0;
};

} // namespace jujube::soak
