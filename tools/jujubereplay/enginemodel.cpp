#include "jujubereplay/enginemodel.h"

#include <algorithm>

namespace jujube::replay {

RoleFactors roleFactors(core::Role role)
{
    switch (role) {
    case core::Role::Prefill:
        return {1.6, 1.6};
    case core::Role::Decode:
        return {0.5, 0.7};
    case core::Role::Mixed:
        break;
    }
    return {};
}

EngineModel::EngineModel(EngineParameters parameters)
    : m_parameters(parameters), m_cache(parameters.prefixCacheBlocks)
{
}

void EngineModel::start(EngineJob job)
{
    const uint32_t cached = std::min(m_cache.cachedTokens("", job.promptBlocks), job.promptTokens);
    job.remainingPrefillTokens = job.promptTokens - cached;
    const auto before = std::find_if(m_jobs.begin(), m_jobs.end(), [&job](const EngineJob &it) {
        return it.priority < job.priority;
    });
    m_jobs.insert(before, std::move(job));
}

double EngineModel::runStep(const OnToken &onToken, const OnEnd &onEnd)
{
    if (m_jobs.empty())
        return 0;
    const RoleFactors factor = roleFactors(m_role);
    const bool anyDecoding = std::any_of(m_jobs.begin(), m_jobs.end(), [](const EngineJob &it) {
        return it.remainingPrefillTokens <= 0;
    });
    // While no request decodes, the prefill chunk is four times as large. Beside decoding requests
    // it is limited, so that a step stays short and the time between tokens is bounded.
    double chunk =
        m_parameters.mixedPrefillChunkTokens * factor.prefillRateFactor * (anyDecoding ? 1 : 4);
    double prefilled = 0;
    int decoding = 0;
    std::vector<size_t> tokens;
    std::vector<size_t> ended;
    for (auto it = m_jobs.begin(); it != m_jobs.end();) {
        EngineJob &job = *it;
        if (job.remainingPrefillTokens > 0) {
            const double part = std::min(chunk, job.remainingPrefillTokens);
            job.remainingPrefillTokens -= part;
            chunk -= part;
            prefilled += part;
            if (job.remainingPrefillTokens <= 0)
                m_cache.record("", job.promptBlocks);
            ++it;
            continue;
        }
        ++decoding;
        ++job.producedTokens;
        tokens.push_back(job.requestIndex);
        if (job.producedTokens >= job.outputTokens) {
            ended.push_back(job.requestIndex);
            it = m_jobs.erase(it);
        } else {
            ++it;
        }
    }
    for (const size_t request : tokens)
        onToken(request);
    for (const size_t request : ended)
        onEnd(request);
    const double decodeMs = decoding == 0
        ? 0
        : (m_parameters.decodeStepMs + m_parameters.decodeStepMsPerRequest * decoding)
            * factor.stepTimeFactor;
    return decodeMs
        + prefilled * 1'000 / (m_parameters.prefillTokensPerSecond * factor.prefillRateFactor)
        + 0.05;
}

std::vector<size_t> EngineModel::abortAllJobs()
{
    std::vector<size_t> requests;
    for (const EngineJob &it : m_jobs)
        requests.push_back(it.requestIndex);
    m_jobs.clear();
    return requests;
}

void EngineModel::setRole(core::Role role)
{
    m_role = role;
}

uint32_t EngineModel::freePieces() const
{
    uint32_t used = 0;
    for (const EngineJob &it : m_jobs)
        used += (it.promptTokens + it.outputTokens) / core::KvPieceTokens + 1;
    return m_parameters.kvPieces - std::min(used, m_parameters.kvPieces);
}

} // namespace jujube::replay
