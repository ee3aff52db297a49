#pragma once

/** \file
 * Defines the detection of endpoints that fail or are slow while they look alive.
 */

#include "core/clock.h"

#include <cstdint>

namespace jujube::policy {

struct OutlierSettings
{
    uint32_t failuresToEject = 3; ///< Consecutive failures.
    core::Milliseconds firstEjection{1'000};
    core::Milliseconds probeLimit{20'000}; ///< A probe without a result counts as lost after it.
    core::Milliseconds longestEjection{30'000};
};

/** Health of one endpoint as one process has experienced it.
 *
 * After several consecutive failures the endpoint is ejected for a time that doubles with each
 * ejection. Then a single probe request is let through; its result decides.
 */
class OutlierDetector
{
public:
    explicit OutlierDetector(OutlierSettings settings = {});

    enum class State { Healthy, Ejected, ProbeDue, Probing };

    State state(core::TimePoint now) const;
    /** Marks the probe as sent, so that no second one goes out beside it. */
    void startProbe(core::TimePoint now);
    void noteSuccess();
    void noteFailure(core::TimePoint now);

private:
    OutlierSettings m_settings;
    uint32_t m_failures = 0;
    uint32_t m_ejections = 0;
    bool m_ejected = false;
    bool m_probing = false;
    core::TimePoint m_until{};
    core::TimePoint m_probeSent{};
};

} // namespace jujube::policy
