#pragma once

/** \file
 * Defines the reporter that sums up, seals and reports usage windows to the platform.
 */

#include "state/fleetclient.h"
#include "state/leaseholder.h"
#include "state/usageledger.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace jujube::control {

using TeamFigures = std::map<std::string, state::UsageFigures>;

/** Figures of one window, committed before the first report. */
struct SealedWindow
{
    uint64_t window = 0;
    uint64_t term = 0;
    TeamFigures reported; ///< Figures in every report of this window.
    TeamFigures own;      ///< Part of \a reported that was counted in this window.
    /** Late counts of earlier windows, by window; also part of \a reported. */
    std::map<uint64_t, TeamFigures> adjustments;
    bool done = false; ///< Whether all teams have been reported.

    std::string serialize() const;
    static absl::StatusOr<SealedWindow> parse(const std::string &text);
};

/** Sums up the usage pages of a window by team.
 *
 * Both the entry and the agent count a request. The count of the entry is used while the entry is
 * alive, because it alone knows what reached the caller. Once an entry is gone, its last counts may
 * be missing, so the larger one of both counts is used.
 *
 * \param isEntryAlive whether the entry of an incarnation is alive.
 */
TeamFigures sumUsage(const std::vector<state::UsagePage> &pages,
                     const std::function<bool(uint64_t)> &isEntryAlive);

struct ReporterSettings
{
    std::string scope;
    std::chrono::seconds window{60};
    core::Milliseconds grace{10'000};
    std::chrono::seconds retention{7'200}; ///< Time for which pages are kept for late counts.
};

/** Seals each window once and reports it. Used only by the controller. */
class UsageReporter
{
public:
    UsageReporter(state::KvClient &kv, state::FleetClient &platform, ReporterSettings settings,
                  std::function<bool(uint64_t)> isEntryAlive);

    /** Seals and reports the windows that are due. Sends only while the lease is held. */
    wire::Task<void> tick(uint64_t term, const state::LeaseHolder &lease);

private:
    wire::Task<bool> loadSealedWindows();
    uint64_t newestClosedWindow() const;
    wire::Task<bool> sealThrough(uint64_t newest, uint64_t term, const state::LeaseHolder &lease);
    wire::Task<bool> collectChangedWindows();
    wire::Task<absl::StatusOr<TeamFigures>> sumWindow(uint64_t window);
    wire::Task<bool> seal(uint64_t window, std::vector<uint64_t> lateWindows, uint64_t term);
    wire::Task<bool> report(SealedWindow &sealed, uint64_t term, const state::LeaseHolder &lease);
    std::string sealedPrefix() const;
    TeamFigures alreadyReported(uint64_t window) const;
    wire::Task<void> removeOldWindows(uint64_t newest);

    state::KvClient &m_kv;
    state::FleetClient &m_platform;
    ReporterSettings m_settings;
    std::function<bool(uint64_t)> m_isEntryAlive;
    std::map<uint64_t, SealedWindow> m_sealed;
    std::set<uint64_t> m_changedWindows; ///< Windows with pages written since they were summed up.
    uint64_t m_usageRevision = 0;
    uint64_t m_loadedTerm = 0;
    core::TimePoint m_nextCheck{};
};

} // namespace jujube::control
