#pragma once

/** \file
 * Defines the client of the platform's interfaces for endpoints, VMs and usage reports.
 */

#include "state/plan.h"
#include "wire/httpclient.h"

namespace jujube::state {

/** One VM of the platform's list, which lags behind the truth. */
struct VmListing
{
    std::string vm;
    std::string domain;
    bool leaving = false;
};

/** Usage of one team in one window, as reported once. */
struct UsageReport
{
    std::string team;
    uint64_t window = 0; ///< Start of the window, in seconds since the epoch.
    uint64_t term = 0;   ///< Of the controller that sends it.
    uint64_t requests = 0;
    core::Usage usage;
};

/** Calls the platform. Sends that must not outlive a lease take its end as a guard. */
class FleetClient
{
public:
    FleetClient(wire::HttpClient &http, std::string address, core::Milliseconds timeout);

    wire::Task<absl::StatusOr<std::vector<VmListing>>> listVms();
    wire::Task<absl::Status> sendOrder(FleetOrder order, uint64_t term, wire::SendGuard guard);
    /** Whether the platform has received the order with this id. */
    wire::Task<absl::StatusOr<bool>> isOrderReceived(std::string orderId);
    wire::Task<absl::Status> sendReport(UsageReport report, wire::SendGuard guard);
    /** Whether the platform has a report of this team and window. */
    wire::Task<absl::StatusOr<bool>> isReportReceived(std::string team, uint64_t window);

private:
    wire::Task<absl::StatusOr<wire::HttpResponse>> get(std::string path);
    wire::Task<absl::Status> postGuarded(std::string path, std::string body, wire::SendGuard guard);

    wire::HttpClient &m_http;
    std::string m_address;
    core::Milliseconds m_timeout;
};

} // namespace jujube::state
