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

// A prefill has no decode load: its engine holds the prompt only until another fetches it.
void Session::updateEndpointLoad()
{
    if (m_purpose == Purpose::Run && engineConfig())
        setEndpointLoad(
            policy::decodeLoadOf(m_promptInfo.tokens, expectedOutputTokens(), producedTokens()));
}

void Session::setEndpointLoad(const policy::DecodeLoad &load)
{
    OutstandingLoad &sum = m_endpoint->ownLoad;
    sum.remainingTokens += load.remainingTokens - m_decodeLoad.remainingTokens;
    sum.heldTokens += load.heldTokens - m_decodeLoad.heldTokens;
    m_decodeLoad = load;
}

std::optional<size_t>
Session::chooseDecodeEngine(const std::vector<policy::PlacementCandidate> &engines,
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
    if (!choice->hasRoom) {
        core::incrementCounter("jujube_runs_beyond_cache_total");
        core::Event("run.beyond_cache")
            .with("request", m_request.metadata.id)
            .with("endpoint", engines[choice->index].id)
            .with("held", engines[choice->index].heldTokens)
            .with("request_held", demand.cache.heldTokens)
            .with("cache", demand.cache.cacheTokens)
            .with("expected_ms", choice->expectedMs);
    }
    return choice->index;
}

bool Session::endIfTooLarge()
{
    const EngineConfig *engine = engineConfig();
    if (!engine || !policy::exceedsCache(m_promptInfo.tokens, engine->cacheTokens))
        return false;
    core::incrementCounter("jujube_requests_too_large_total");
    fail(http::status::ServiceUnavailable,
         "the prompt exceeds the KV cache of the service's engines");
    return true;
}

} // namespace jujube::serving
