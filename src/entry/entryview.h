#pragma once

/** \file
 * Defines the state of an entry that its request threads read without a lock.
 */

#include "core/configuration.h"
#include "core/snapshot.h"
#include "policy/freshness.h"

#include <atomic>
#include <string>

namespace jujube::entry {

/** State that the KJ thread publishes and the request threads read. */
struct EntryView
{
    core::Snapshot<core::Configuration> configuration;
    std::atomic<policy::Freshness> freshness{policy::Freshness::CutOff};
    std::atomic<bool> everConfirmed{false}; ///< Whether the configuration was ever confirmed.
    std::atomic<bool> stopping{false};
    core::Snapshot<std::string> status; ///< JSON for operators, updated every second.

    /** Whether the entry is fit to serve requests, as /readyz reports it. */
    bool ready() const
    {
        return everConfirmed.load() && !stopping.load()
            && freshness.load() != policy::Freshness::CutOff;
    }
};

} // namespace jujube::entry
