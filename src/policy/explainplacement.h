#pragma once

/** \file
 * Defines the explanation of a placement: the figures of each candidate that a choice is based on.
 */

#include "policy/placement.h"

#include <optional>
#include <random>
#include <vector>

namespace jujube::policy {

/** Figures of one candidate. */
struct CandidateFigures
{
    std::optional<PrefillScore> prefill; ///< Nothing: it is not considered for the prefill.
    bool isPreferred = false;            ///< For the first prefill of the prompt's prefix.
    bool mayPrefill = false;       ///< Chosen for the prefill with some values of the random parts.
    std::optional<RunScore> run;   ///< Nothing: its share of slots does not count for the run.
    std::optional<WorkScore> work; ///< Nothing: the work left there does not count for the run.
    bool mayRun = false;           ///< Chosen for the run with some values of the random parts.
};

/** A placement and the figures that it is based on. */
struct PlacementExplanation
{
    std::vector<CandidateFigures> candidates; ///< In the order of the candidates.
    std::optional<PrefillChoice> prefill;     ///< Nothing: no engine is chosen for a prefill.
    /** The prefill engine's, if it decodes too. Otherwise what would be chosen on the present
     * figures, although a run is placed once its prompt is prefilled. */
    std::optional<size_t> run;
    /** Whether the run is placed by work left. If all seem full, it is not. */
    bool runByWork = false;
};

/** What is asked of a placement. */
struct PlacementQuery
{
    PromptInfo prompt;
    bool needsPrefill = false;            ///< Otherwise only an endpoint for the run is chosen.
    std::optional<PrefillChoice> prefill; ///< Engine that the queue has chosen already, if any.
    /** Expected output of the run; 0: it is not placed by work left. */
    double outputTokens = 0;
    DecodeStepEstimator steps{}; ///< At usual speed.
};

/** Explains a placement by the functions that place requests.
 * \param candidates all endpoints of the service; only decode engines are considered for the run.
 * \param random copy of the generator, so that the choice is the one of the next request. */
PlacementExplanation explainPlacement(const std::vector<PlacementCandidate> &candidates,
                                      const PlacementQuery &query,
                                      const PlacementSettings &settings, std::mt19937_64 random);

} // namespace jujube::policy
