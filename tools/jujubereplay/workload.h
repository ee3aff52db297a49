#pragma once

/** \file
 * Defines recorded workloads for the replay: requests and what happens to the fleet meanwhile.
 */

#include "core/clock.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <vector>

namespace jujube::replay {

/** Objectives of one profile in a workload. */
struct ProfileObjectives
{
    const char *name;
    uint32_t priority;
    core::Milliseconds timeToFirstToken;
    core::Milliseconds deadline;
};

/** One language request. */
struct ReplayRequest
{
    core::Milliseconds at{};
    std::string team;
    std::string profile;
    uint32_t promptTokens = 0;
    uint32_t outputTokens = 0;
    uint32_t document = 0; ///< Requests on one document share the start of their prompts.
};

/** Something that happens to an engine. */
struct FleetEvent
{
    enum class Kind { Crash, Drain, Withdraw };
    core::Milliseconds at{};
    Kind kind = Kind::Crash;
    uint32_t engine = 0;
    core::Milliseconds duration{}; ///< Until it is back; 0: for good.
};

/** A workload of one user. */
struct Workload
{
    std::string name;
    core::Milliseconds duration{};
    uint32_t engines = 0;
    uint32_t domains = 0;
    std::vector<ReplayRequest> requests;
    std::vector<FleetEvent> events;

    std::string toCsv() const;
    static absl::StatusOr<Workload> fromCsv(const std::string &text);
};

/** Which workload the generator makes. */
enum class Scenario {
    Accra,    ///< 12 engines, 3 domains: long documents against short queries, swings both ways.
    Amman,    ///< 9 engines, 4 domains: long summaries against yes/no, load that rises and falls.
    Steady,   ///< Accra's mix without a swing, with noise: no role change is due.
    Flood,    ///< Accra's steady mix, one team asks ten times its share.
    Moderate, ///< Steady at under 80% of what the fleet can do, for the latency targets.
};

/** Makes a workload. The same scenario, seed and load give the same requests, byte for byte.
 *
 * \param load multiplies the rate of arrivals.
 */
Workload generate(Scenario scenario, uint64_t seed, double load = 1.0);

const ProfileObjectives &objectivesOf(const std::string &profile);

} // namespace jujube::replay
