#pragma once

/** \file
 * Defines what the request threads of an entry read without a lock.
 */

#include "core/configuration.h"
#include "core/snapshot.h"
#include "policy/freshness.h"

#include <atomic>
#include <string>

namespace jujube::entry {

/** Published by the KJ thread, read by the request threads. */
struct EntryView
{
    core::Snapshot<core::Configuration> configuration;
    std::atomic<policy::Freshness> freshness{policy::Freshness::CutOff};
    std::atomic<bool> everConfirmed{false}; ///< Whether a configuration was ever obtained.
    std::atomic<bool> stopping{false};
    core::Snapshot<std::string> status; ///< JSON for operators, renewed every second.

    bool ready() const
    {
        return everConfirmed.load() && !stopping.load()
            && freshness.load() != policy::Freshness::CutOff;
    }
};

} // namespace jujube::entry
