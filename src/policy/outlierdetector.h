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
    core::Milliseconds probeTimeout{20'000}; ///< A probe without a result counts as lost after it.
    core::Milliseconds maxEjection{30'000};
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
    /** Ejects without waiting for further failures. */
    void eject(core::TimePoint now);

private:
    OutlierSettings m_settings;
    uint32_t m_failures = 0;
    uint32_t m_ejections = 0;
    bool m_ejected = false;
    bool m_probing = false;
    core::TimePoint m_ejectedUntil{};
    core::TimePoint m_probeSentAt{};
};

/** Tells an endpoint that fails far more of its requests than others from one that has bad luck.
 *
 * Answers with an error say little by themselves, as some services fail a part of their requests
 * everywhere. Each answer adds or takes the logarithm of how much likelier it is from a broken
 * endpoint (a sequential probability ratio test that starts anew whenever it falls to zero).
 */
class ErrorRateTest
{
public:
    /** Notes one answer.
     * \param usualShare share of errors at the other endpoints of the service.
     * \return true if the endpoint is to be taken for broken; the evidence then starts anew. */
    bool note(bool failed, double usualErrorShare);
    /** Another process has taken the endpoint for broken. It may fail that one's requests alone, so
     * errors seen here have to confirm it. */
    void noteRemoteSuspicion();
    /** Share of errors of this endpoint; a little above zero for one that was hardly used. */
    double errorShare() const { return (m_errors + PriorErrors) / (m_answers + PriorAnswers); }

private:
    static constexpr double PriorErrors = 1;
    static constexpr double PriorAnswers = 20;

    double m_errors = 0;
    double m_answers = 0;
    double m_logLikelihoodRatio = 0;
};

} // namespace jujube::policy
