#pragma once

/** \file
 * Defines the workloads of the replay: requests and the fleet events during them.
 */

#include "core/clock.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace jujube::replay {

/** Latency objectives and priority of one profile. */
struct ProfileObjectives
{
    const char *name;
    uint32_t priority;
    core::Milliseconds timeToFirstToken;
    core::Milliseconds deadline;
};

/** One request to a language model. */
struct ReplayRequest
{
    core::Milliseconds at{}; ///< Arrival, from the start of the workload.
    std::string team;
    std::string profile;
    uint32_t promptTokens = 0;
    uint32_t outputTokens = 0;
    uint32_t document = 0; ///< Requests with the same document share a prompt prefix.
};

/** A crash, drain or withdrawal of one engine. */
struct FleetEvent
{
    enum class Kind { Crash, Drain, Withdraw };
    core::Milliseconds at{};
    Kind kind = Kind::Crash;
    uint32_t engine = 0;
    core::Milliseconds duration{}; ///< Time until the engine is back; 0: never.
};

/** Requests and fleet events, with the size of the fleet that serves them. */
struct Workload
{
    std::string name;
    core::Milliseconds duration{};
    uint32_t engines = 0;
    uint32_t domains = 0; ///< Failure domains.
    std::vector<ReplayRequest> requests;
    std::vector<FleetEvent> events;

    std::string toCsv() const;
    /** Parses the result of toCsv(). Returns InvalidArgument for an unknown or missing line. */
    static absl::StatusOr<Workload> fromCsv(const std::string &text);
};

/** The workloads that generate() can produce. */
enum class Scenario {
    Accra,  ///< 12 engines, 3 domains: long documents and short queries; the mix swings both ways.
    Amman,  ///< 9 engines, 4 domains: long summaries and yes/no queries; the load rises and falls.
    Steady, ///< Accra at a constant mix with noise: no role change is warranted.
    Flood,  ///< As Steady, while one team sends ten times its share.
    Moderate, ///< As Steady at less than 80% of the fleet's capacity, for the latency targets.
};

/** Generates a workload. The same arguments give the same workload, byte for byte.
 *
 * \param load factor on the arrival rate
 */
Workload generate(Scenario scenario, uint64_t seed, double load = 1.0);

/** \return the objectives of \a profile; those of "chat" if there is no such profile. */
const ProfileObjectives &objectivesOf(const std::string &profile);

} // namespace jujube::replay
