#pragma once

/** \file
 * Defines the settings of a gateway process on one VM.
 */

#include "core/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace jujube::serving {

/** Settings of one gateway process, from the settings file of its VM. */
struct NodeSettings
{
    std::string name;   ///< Name of the VM; holder name in leases and orders.
    std::string domain; ///< Failure domain.
    std::string ip;
    std::string clientAddress; ///< Listening address for clients.
    std::string readyAddress;  ///< Listening address for readiness probes.
    uint16_t firstInternalPort = 0;
    uint16_t lastInternalPort = 0;
    double processorShare = 1;           ///< Cores that the process may use.
    double linkBytesPerSecond = 0;       ///< Capacity of the VM's link; 0: not stated.
    uint64_t memoryBytes = 256UL << 20U; ///< Memory that the process may use.
    bool firstStart = true;              ///< The whole system starts for the first time.
    std::string storeAddress;
    std::string platformAddress; ///< Receives usage reports.
    bool reportsUsage = false;

    core::Milliseconds drainGrace{8'000}; ///< Time from SIGTERM to SIGKILL.
    core::Milliseconds leaseTime{3'000};
    core::Milliseconds minLeaseTime{1'000};
    core::Milliseconds usageWindow{5'000};
    core::Milliseconds usageReportDeadline{10'000}; ///< Time after the end of a window.
    double retryRatio = 0.2;                        ///< Retries to a service per request for it.
    core::Milliseconds retryWindow{10'000};
    double retrySlack = 58; ///< Additional retries per window, for all gateways together.
    core::Milliseconds quotaWindow{8'000}; ///< Sliding window in which quotas of teams hold.
    double quotaOverrun = 0; ///< Share by which the use of a quota may exceed it in a window.
    double quotaSlack = 0;   ///< Tokens by which it may exceed the quota besides.
    bool contention = false; ///< Callers compete for capacity: prompts wait for scarce engines.
};

} // namespace jujube::serving
