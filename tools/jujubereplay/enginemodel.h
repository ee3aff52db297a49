#pragma once

/** \file
 * Defines the replay's engine model: continuous batching in virtual time.
 */

#include "core/work.h"
#include "policy/prefixindex.h"

#include <functional>
#include <list>
#include <string>
#include <vector>

namespace jujube::replay {

/** Rates and capacities of one engine. They differ between the engines of a fleet. */
struct EngineParameters
{
    double prefillTokensPerSecond = 20'000;
    double decodeStepMs = 12;             ///< Fixed part of a decode step's duration.
    double decodeStepMsPerRequest = 0.35; ///< Added for each decoding request.
    uint32_t slots = 32;                  ///< Requests that may run at the same time.
    uint32_t kvPieces = 320;              ///< KV memory in pieces of core::KvPieceTokens.
    double mixedPrefillChunkTokens = 640; ///< Prompt tokens prefilled in one decode step.
    core::Milliseconds roleChangeTime{5'000};
    size_t prefixCacheBlocks = 1'500; ///< Blocks of core::PrefixBlockTokens.
};

/** Prefill rate and duration of a decode step in one role, relative to the mixed role. */
struct RoleFactors
{
    double prefillRateFactor = 1;
    double stepTimeFactor = 1;
};

RoleFactors roleFactors(core::Role role);

/** A request that runs in an engine. */
struct EngineJob
{
    size_t requestIndex = 0; ///< Index into the workload.
    uint32_t promptTokens = 0;
    uint32_t outputTokens = 0;
    uint32_t priority = 0;              ///< Jobs of higher priority are prefilled first.
    std::vector<uint64_t> promptBlocks; ///< Hashes of the prompt's prefix blocks.
    double remainingPrefillTokens = 0;
    uint32_t producedTokens = 0;
};

/** One engine. The simulation calls runStep() again when the duration it returned has passed. */
class EngineModel
{
public:
    using OnToken = std::function<void(size_t requestIndex)>;
    using OnEnd = std::function<void(size_t requestIndex)>;

    explicit EngineModel(EngineParameters parameters);

    /** Adds \a job to the batch. Prompt tokens in the prefix cache need no prefill. */
    void start(EngineJob job);
    /** Runs one step: prefills a chunk and decodes one token for each job that has been prefilled.
     *
     * The callbacks are called at the start of the step.
     * \return the duration of the step in milliseconds; 0 if no job is running.
     */
    double runStep(const OnToken &onToken, const OnEnd &onEnd);
    /** Drops all jobs.
     * \return their requests, as indices into the workload.
     */
    std::vector<size_t> abortAllJobs();

    void setRole(core::Role role);
    core::Role role() const { return m_role; }
    const EngineParameters &parameters() const { return m_parameters; }
    size_t runningRequests() const { return m_jobs.size(); }
    /** \return the free KV memory in pieces of core::KvPieceTokens. */
    uint32_t freePieces() const;

private:
    EngineParameters m_parameters;
    core::Role m_role = core::Role::Mixed;
    std::list<EngineJob> m_jobs;
    policy::PrefixIndex m_cache;
};

} // namespace jujube::replay
