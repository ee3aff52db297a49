#pragma once

/** \file
 * Defines what the answers of endpoints and failed sends say of their health.
 */

#include "serving/endpoints.h"

namespace jujube::serving {

/** Records an answer of an endpoint, and ejects it if it fails far more than the \a others. */
void recordAnswer(Endpoint &endpoint, const std::vector<EndpointPtr> &others, bool failed,
                  core::TimePoint now);

/** Applies a shutdown or back-off that an answer announces to its endpoint. */
void applyAnswerNotices(Endpoint &endpoint, const AnswerMetadata &answer, core::TimePoint now);

/** Records that a connection to an endpoint could not be opened, and pauses the endpoint unless
 * half of the \a others of its stage are paused. */
void recordConnectFailure(Endpoint &endpoint, const std::vector<EndpointPtr> &others,
                          core::TimePoint now);

/** Records that a request ended without an answer; several at almost the same time count once. */
void recordLostAnswer(Endpoint &endpoint, core::TimePoint now);
/** Pauses an endpoint after a refusal; each one in a row doubles the pause, up to a limit. */
void recordRefusal(Endpoint &endpoint, core::TimePoint now);

/** Moves the slowness of an endpoint towards observed / expected, as a moving average. */
void updateSlowness(Endpoint &endpoint, core::Milliseconds observed, core::Milliseconds expected);

} // namespace jujube::serving
