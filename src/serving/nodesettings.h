#pragma once

/** \file
 * Defines the settings of a gateway process on one VM.
 */

#include "core/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jujube::serving {

struct NodeSettings
{
    std::string name;   ///< Of the VM; holder of leases and orders.
    std::string domain; ///< Failure domain.
    std::string ip;
    std::string clientAddress; ///< Where clients connect.
    std::string readyAddress;  ///< Where the balancer asks whether the process is ready.
    uint16_t firstInternalPort = 0;
    uint16_t lastInternalPort = 0;
    double processorShare = 1; ///< Cores that the process may use.
    std::string storeAddress;
    std::string platformAddress; ///< Takes usage reports.
    bool reportsUsage = false;

    core::Milliseconds drainGrace{8'000}; ///< From SIGTERM to SIGKILL.
    core::Milliseconds leaseTime{3'000};
    core::Milliseconds minLeaseTime{1'000};
    core::Milliseconds usageWindow{5'000};
    core::Milliseconds usageReportDeadline{10'000}; ///< After the end of the window.
    double retryRatio = 0.2; ///< Extra sends to a service for each request for it.
    core::Milliseconds retryWindow{10'000};
    double retrySlack = 58; ///< Extra sends allowed besides, for all entries together.
};

} // namespace jujube::serving
