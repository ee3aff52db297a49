#pragma once

/** \file
 * Defines the replay's model of an engine: continuous batching in virtual time.
 */

#include "core/work.h"
#include "policy/prefixindex.h"

#include <functional>
#include <list>
#include <string>
#include <vector>

namespace jujube::replay {

/** Speed and size of an engine. Engines in stock differ. */
struct EngineParameters
{
    double prefillTokensPerSecond = 20'000;    ///< Prompt tokens a second.
    double decodeStepMs = 12;             ///< Fixed time of a decode step.
    double decodeStepMsPerRequest = 0.35; ///< Added for each running request.
    uint32_t slots = 32;
    uint32_t kvPieces = 320; ///< KV memory in pieces of 1,024 tokens.
    double mixedPrefillChunkTokens = 640; ///< Prompt tokens prefilled beside a decode step.
    core::Milliseconds roleChangeTime{5'000};
    size_t prefixCacheBlocks = 1'500;
};

/** Speed of each role relative to the mixed one. */
struct RoleFactors
{
    double prefillRateFactor = 1;
    double stepTimeFactor = 1;
};

RoleFactors roleFactors(core::Role role);

/** A request inside an engine. */
struct EngineJob
{
    size_t requestIndex = 0; ///< Index into the workload.
    uint32_t promptTokens = 0;
    uint32_t outputTokens = 0;
    uint32_t priority = 0; ///< Engines prefill higher ones first.
    std::vector<uint64_t> prefixBlocks;
    double remainingPrefillTokens = 0;
    uint32_t producedTokens = 0;
};

/** One engine. The simulation calls step() at the times it returns. */
class EngineModel
{
public:
    using OnToken = std::function<void(size_t requestIndex)>;
    using OnEnd = std::function<void(size_t requestIndex)>;

    explicit EngineModel(EngineParameters parameters);

    void start(EngineJob job);
    /** Runs one step that ends after the returned time; 0 if there is nothing to do. */
    double runStep(const OnToken &onToken, const OnEnd &onEnd);
    /** Drops all jobs and returns their requests. */
    std::vector<size_t> abortAllJobs();

    void setRole(core::Role role);
    core::Role role() const { return m_role; }
    const EngineParameters &parameters() const { return m_parameters; }
    size_t runningRequests() const { return m_jobs.size(); }
    uint32_t freePieces() const;

private:
    EngineParameters m_parameters;
    core::Role m_role = core::Role::Mixed;
    std::list<EngineJob> m_jobs;
    policy::PrefixIndex m_cache;
};

} // namespace jujube::replay
