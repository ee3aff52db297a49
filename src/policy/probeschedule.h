#pragma once

/** \file
 * Defines the schedule of the load probes that one gateway sends to the engines of all services.
 */

#include "core/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace jujube::policy {

/** An engine that accepts work, as the schedule sees it. */
struct ProbeCandidate
{
    std::string_view service;
    uint64_t endpoint = 0;   ///< Hash of the id.
    int64_t incarnation = 0; ///< Changes at a restart under the same id.
    /** Age of the freshest report of its pace that any gateway has received; nothing: none. */
    std::optional<core::BootClock::duration> reportAge{};
    bool paceKnown = false; ///< There are enough reports to know its usual pace.
    bool prefills = false;
    bool hasPrompts = false; ///< Prompts are outstanding there, of any gateway.
};

enum class ProbeResult {
    Pace,   ///< An answer that states a pace.
    NoPace, ///< An answer without one.
    Failed
};

/** The end of the discovery of a service. */
struct DiscoveredService
{
    std::string name;
    bool statesPace = false;
};

/** Decides which engines to probe at a time.
 *
 * A service is discovered by probes to one engine at a time until one is answered. If the answer
 * states no pace, the service is left alone for a long time. Otherwise each new engine is probed a
 * few times, and prefill engines are probed while they have prompts, as only their answers to
 * probes state the pace.
 */
class ProbeSchedule
{
public:
    /** Returns the indices of the engines to probe now, and counts these probes as sent.
     * \param engines all engines; the state of those that are missing is dropped. */
    std::vector<size_t> choose(const std::vector<ProbeCandidate> &engines, core::TimePoint now);
    /** Records the result of a probe. */
    void noteResult(std::string_view service, uint64_t endpoint, int64_t incarnation,
                    ProbeResult result, core::TimePoint now);
    /** Returns the discoveries that have ended since the last call. */
    std::vector<DiscoveredService> takeDiscovered() { return std::exchange(m_discovered, {}); }
    /** Whether the engines of some service state their pace, so that short intervals matter. */
    bool anyPaced() const;

private:
    enum class Discovery { Open, Paced, Unpaced };

    struct Service
    {
        Discovery discovery = Discovery::Open;
        core::TimePoint nextAt{}; ///< Of a probe for the discovery.
        uint32_t failures = 0;    ///< Of discovery probes in a row.
        uint64_t lastProbed = 0;  ///< Engine of the last discovery probe.
        bool present = false;     ///< Has engines.
    };

    struct Engine
    {
        std::string service;
        int64_t incarnation = 0;
        core::TimePoint probedAt{};
        core::TimePoint lastPromptAt{};
        uint32_t startProbes = 0;
        uint32_t failures = 0; ///< In a row.
        bool probing = false;  ///< A probe is in progress.
        bool present = false;
    };

    void endDiscovery(const std::string &name, Service &service, Discovery result);
    void observe(const std::vector<ProbeCandidate> &engines, core::TimePoint now);
    bool takeToken(core::TimePoint now);
    std::optional<size_t> chooseForDiscovery(const std::vector<ProbeCandidate> &engines,
                                             const std::string &name, const Service &service) const;
    bool due(const ProbeCandidate &candidate, const Engine &engine, core::TimePoint now) const;
    void send(const ProbeCandidate &candidate, core::TimePoint now);

    std::map<std::string, Service, std::less<>> m_services;
    std::map<uint64_t, Engine> m_engines;
    std::vector<DiscoveredService> m_discovered;
    double m_tokens = 0;
    core::TimePoint m_refilledAt{};
};

} // namespace jujube::policy
