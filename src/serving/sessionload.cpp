/** \file
 * Accounts for the decode load and the memory of a session's request, and chooses the engine that
 * decodes it.
 */

#include "serving/session.h"

#include "core/eventlog.h"
#include "core/metrics.h"

namespace jujube::serving {

const EngineConfig *Session::engineConfig() const
{
    const auto it = m_request.config->services.find(m_request.service);
    const bool known = it != m_request.config->services.end() && it->second.engine.has_value();
    return known ? &*it->second.engine : nullptr;
}

policy::CacheDemand Session::cacheDemand() const
{
    const EngineConfig *engine = engineConfig();
    if (!engine)
        return {};
    const policy::DecodeLoad load =
        policy::decodeLoadOf(m_promptInfo.tokens, expectedOutputTokens(), producedTokens());
    return {static_cast<double>(load.heldTokens), static_cast<double>(engine->cacheTokens)};
}

uint64_t Session::producedTokens() const
{
    const EngineConfig *engine = engineConfig();
    const uint64_t events = m_earlierEvents + m_events.count();
    return engine ? events * engine->tokensPerEvent : 0;
}

void Session::updateEndpointLoad()
{
    if (!engineConfig())
        return;
    policy::DecodeLoad load =
        policy::decodeLoadOf(m_promptInfo.tokens, expectedOutputTokens(), producedTokens());
    // A prefill engine holds the prompt only, and produces no output.
    if (m_purpose == Purpose::Prefill)
        load = {0, policy::wholeCacheBlocks(m_promptInfo.tokens)};
    setEndpointLoad(load);
}

void Session::setEndpointLoad(const policy::DecodeLoad &load)
{
    OutstandingLoad &sum = m_endpoint->ownLoad;
    sum.remainingTokens += load.remainingTokens - m_decodeLoad.remainingTokens;
    sum.heldTokens += load.heldTokens - m_decodeLoad.heldTokens;
    m_decodeLoad = load;
}

std::optional<size_t>
Session::chooseDecodeEngine(const EngineConfig &engine,
                            const std::vector<policy::PlacementCandidate> &engines,
                            const std::string &domain)
{
    policy::DecodeDemand demand;
    demand.cache = cacheDemand();
    demand.outputTokens =
        policy::decodeLoadOf(m_promptInfo.tokens, expectedOutputTokens(), producedTokens())
            .remainingTokens;
    const auto choice =
        policy::chooseDecodeEngine(engines, demand, domain, m_services.placement,
                                   m_services.decodeSteps(m_request.service), m_services.random);
    if (!choice)
        return std::nullopt;
    core::Event("run.placed")
        .with("request", m_request.metadata.id)
        .with("endpoint", engines[choice->index].id)
        .with("expected_ms", choice->expectedMs)
        .with("output_tokens", demand.outputTokens)
        .with("held_tokens", demand.cache.heldTokens)
        .with("cache_tokens", engine.cacheTokens)
        .with("fits", choice->hasRoom);
    if (!choice->hasRoom)
        core::incrementCounter("jujube_runs_beyond_memory_total");
    return choice->index;
}

bool Session::endIfTooLarge()
{
    const EngineConfig *engine = engineConfig();
    if (!engine || !policy::exceedsCache(m_promptInfo.tokens, engine->cacheTokens))
        return false;
    core::incrementCounter("jujube_requests_too_large_total");
    fail(http::status::ServiceUnavailable,
         "the prompt exceeds the memory of the service's engines");
    return true;
}

} // namespace jujube::serving
