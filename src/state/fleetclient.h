#pragma once

/** \file
 * Defines the client for the platform's interfaces for endpoints, VMs and usage reports.
 */

#include "state/plan.h"
#include "wire/httpclient.h"

namespace jujube::state {

/** One VM in the platform's list, which lags behind the actual state. */
struct VmListing
{
    std::string vm;
    std::string domain;
    bool leaving = false;
};

/** Usage of one team in one window. The platform receives it once. */
struct UsageReport
{
    std::string team;
    uint64_t window = 0; ///< Start of the window, in seconds since the Unix epoch.
    uint64_t term = 0;   ///< Term of the controller that sends the report.
    uint64_t requests = 0;
    core::Usage usage;
};

/** Calls the platform. A send guard keeps a request from being sent after a lease has ended. */
class FleetClient
{
public:
    FleetClient(wire::HttpClient &http, std::string address, core::Milliseconds timeout);

    /** Lists the VMs that the platform knows; Unavailable if it returned no list. */
    wire::Task<absl::StatusOr<std::vector<VmListing>>> listVms();
    /** Sends an order. \return AlreadyExists for a 409, Unavailable for any other failure. */
    wire::Task<absl::Status> sendOrder(FleetOrder order, uint64_t term, wire::SendGuard guard);
    /** Whether the platform has received the order with this id. */
    wire::Task<absl::StatusOr<bool>> isOrderReceived(std::string orderId);
    /** Sends a usage report. \return AlreadyExists for a 409, Unavailable for any other failure. */
    wire::Task<absl::Status> sendReport(UsageReport report, wire::SendGuard guard);
    /** Whether the platform has received a report for this team and window. */
    wire::Task<absl::StatusOr<bool>> isReportReceived(std::string team, uint64_t window);

private:
    wire::Task<absl::StatusOr<wire::HttpResponse>> get(std::string path);
    wire::Task<absl::Status> postGuarded(std::string path, std::string body, wire::SendGuard guard);

    wire::HttpClient &m_http;
    std::string m_address;
    core::Milliseconds m_timeout;
};

} // namespace jujube::state
