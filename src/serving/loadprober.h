#pragma once

/** \file
 * Defines the prober, which requests the load reports of engines whose answers do not carry them.
 */

#include "http/client.h"
#include "policy/probeschedule.h"
#include "serving/endpoints.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <unordered_map>

namespace jujube::serving {

/** Probes the health path of engines on the one gateway that does so for the deployment.
 *
 * The other gateways receive the reports by gossip. Two probers at once only cost additional
 * probes; without one, the pace of engines is taken from what is known of them.
 */
class LoadProber
{
public:
    /** \param probes whether this gateway is the one that probes now. */
    LoadProber(boost::asio::io_context &io, http::Client &httpClient, EndpointTable &endpoints,
               std::function<std::shared_ptr<const FleetConfig>()> config,
               std::function<bool()> probes);

    void start();

private:
    /** Usual pace of an incarnation in the last event. */
    struct LoggedPace
    {
        const Endpoint *endpoint = nullptr;
        double usual = 0;
        core::TimePoint at{};
    };

    void tick();
    void probeDueEngines(core::TimePoint now);
    void probe(const EndpointPtr &endpoint, const std::string &healthPath);
    policy::ProbeResult applyAnswer(Endpoint &endpoint, const http::CallResult &result);
    void logPaces(const std::vector<EndpointPtr> &engines, core::TimePoint now);

    http::Client &m_httpClient;
    EndpointTable &m_endpoints;
    std::function<std::shared_ptr<const FleetConfig>()> m_config;
    std::function<bool()> m_probes;
    boost::asio::steady_timer m_timer;
    policy::ProbeSchedule m_schedule;
    std::unordered_map<uint64_t, LoggedPace> m_logged; ///< By the hash of the endpoint.
    core::TimePoint m_pacesLoggedAt{};
};

} // namespace jujube::serving
