#pragma once

/** \file
 * Defines the detection of endpoints that fail or are slow while they appear healthy.
 */

#include "core/clock.h"

#include <cstdint>

namespace jujube::policy {

struct OutlierSettings
{
    uint32_t failuresToEject = 3; ///< Consecutive failures.
    core::Milliseconds firstEjection{1'000};
    /** Time after which a probe without a result counts as lost. */
    core::Milliseconds probeTimeout{20'000};
    core::Milliseconds maxEjection{30'000};
};

/** Health of one endpoint as observed by one process.
 *
 * After several consecutive failures the endpoint is ejected for a time that doubles with each
 * ejection. A single probe request is sent afterwards: its success restores the endpoint, its
 * failure ejects it again.
 */
class OutlierDetector
{
public:
    explicit OutlierDetector(OutlierSettings settings = {});

    enum class State { Healthy, Ejected, ProbeDue, Probing };

    State state(core::TimePoint now) const;
    /** Marks the probe as sent, so that no second one is sent at the same time. */
    void startProbe(core::TimePoint now);
    void noteSuccess();
    void noteFailure(core::TimePoint now);
    /** Ejects the endpoint without waiting for further failures. */
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

/** Detects an endpoint that fails a significantly larger share of its requests than others.
 *
 * A single error is weak evidence, because some services fail a part of their requests on every
 * endpoint. This is a sequential probability ratio test: each answer adds the log-likelihood ratio
 * of a broken endpoint against a healthy one, and the sum is bounded below by zero.
 */
class ErrorRateTest
{
public:
    /** Records one answer.
     * \param usualErrorShare share of errors at the other endpoints of the service.
     * \return true if the endpoint is considered broken; the test then starts again. */
    bool note(bool failed, double usualErrorShare);
    /** Records that another process considers the endpoint broken. The endpoint may fail the
     * requests of that process alone, so an error observed here has to confirm it. */
    void noteRemoteSuspicion();
    /** Share of errors of this endpoint, with a prior of one error in 20 answers, so that it is
     * above zero for an endpoint with few answers. */
    double errorShare() const { return (m_errors + PriorErrors) / (m_answers + PriorAnswers); }

private:
    static constexpr double PriorErrors = 1;
    static constexpr double PriorAnswers = 20;

    double m_errors = 0;
    double m_answers = 0;
    double m_logLikelihoodRatio = 0;
};

} // namespace jujube::policy
