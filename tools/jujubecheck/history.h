#pragma once

/** \file
 * Defines the recorded history of a run, the input of the checks.
 */

#include <absl/status/statusor.h>

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace jujube::check {

/** Wall-clock time since the Unix epoch. All records of a run come from one machine. */
using Instant = std::chrono::microseconds;

/** A role order received by an engine. */
struct EngineOrder
{
    std::string vm;
    Instant at{};
    uint64_t term = 0;
    uint64_t sequence = 0;
    bool refused = false;
    bool duringChange = false; ///< Arrived while an earlier order was being carried out.
    int abortedRequests = 0;   ///< Requests that were running and were aborted.
};

/** A language-model request at an engine. */
struct EngineRun
{
    std::string vm;
    std::string requestId;
    Instant start{};
    uint64_t producedTokens = 0;
    uint64_t promptTokens = 0;
    std::string authorization;
};

/** A request carried out by an application service. */
struct ServiceRun
{
    std::string vm;
    Instant at{};
    std::string method;
    std::string body;
    std::string authorization;
};

/** A change in the platform's key-value service. */
struct KvChange
{
    Instant at{};
    std::string key;
    std::string value;
    uint64_t revision = 0;
    bool deleted = false;
};

/** An order for endpoints received by the platform. */
struct FleetOrderRecord
{
    Instant at{};
    std::string orderId;
    uint64_t term = 0;
    std::string action;
    std::string vm;
};

/** A usage report received by the platform. */
struct UsageReportRecord
{
    Instant at{};
    std::string team;
    uint64_t window = 0;
    uint64_t term = 0;
    uint64_t requests = 0;
    uint64_t promptTokens = 0;
    uint64_t outputTokens = 0;
};

/** Result of a call as its caller recorded it. */
struct CallResult
{
    uint64_t number = 0;
    std::string team;
    std::string target;
    bool service = false;
    bool changesState = false;
    std::string outcome;
    std::string code;
    bool correct = false; ///< The answer is exactly what the endpoint must return.
    std::string idempotencyKey;
    uint64_t promptTokens = 0;
    uint64_t outputTokens = 0;
    uint64_t receivedBytes = 0;
    Instant start{};
    Instant end{};
    std::string entry;
};

/** A fault or planned change that the run's script applied to the fleet. */
struct Operation
{
    Instant at{};
    std::string name;   ///< kill, stop, continue, start, term, drain, activate, withdraw-key, ...
    std::string target; ///< Process, VM or team.
};

/** An event from the log of a process. */
struct ProcessEvent
{
    Instant at{};
    std::string process;
    std::string name;
    std::map<std::string, std::string> fields;

    std::string field(const std::string &key) const;
    uint64_t numberField(const std::string &key) const;
};

/** Everything recorded in one run. */
struct History
{
    std::vector<EngineOrder> engineOrders;
    std::vector<EngineRun> engineRuns;
    std::vector<ServiceRun> serviceRuns;
    std::vector<KvChange> kvChanges;
    std::vector<FleetOrderRecord> fleetOrders;
    std::vector<UsageReportRecord> usageReports;
    std::vector<CallResult> calls;
    std::vector<Operation> operations;
    std::vector<ProcessEvent> events; ///< For each process in the order of its log.

    /** Reads the files of a run's folder: platform.jsonl, engine*.jsonl, service*.jsonl,
     * calls*.jsonl, ops.jsonl and the logs of entries and agents.
     * Returns NotFound for an empty or
     * missing folder and an unreadable file, DataLoss for a malformed line. */
    static absl::StatusOr<History> load(const std::string &folder);
};

} // namespace jujube::check
