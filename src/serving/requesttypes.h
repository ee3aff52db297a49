#pragma once

/** \file
 * Defines the metadata of client requests, of sends to endpoints and of endpoints' answers.
 */

#include "core/clock.h"
#include "http/message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jujube::serving {

/** A block of a prompt with its id. An engine caches equal blocks with equal predecessors once. */
struct PrefixBlock
{
    uint64_t id = 0;
    uint32_t tokens = 0;
};

/** Metadata of a client request, decoded from its head. */
struct RequestMetadata
{
    std::string id;
    std::string apiKey; ///< Empty: none was given.
    std::string host;
    std::string path;                           ///< Without the query.
    std::optional<core::Milliseconds> timeLeft; ///< Limit for the whole answer, from the client.
    std::vector<PrefixBlock> prefixBlocks;      ///< The whole prompt, in order.
    uint32_t promptTokens = 0;
    uint32_t maxOutputTokens = 0;
    std::optional<uint32_t> expectedOutputTokens; ///< Tokens, as estimated by the client.
    std::string lastEventId; ///< Last event received; a stream resumes after it.
};

/** Tokens that a request was charged to the quota of its team. */
struct QuotaCharge
{
    uint64_t team = 0; ///< Hash of the team's name.
    double tokens = 0; ///< 0: nothing was charged.
};

/** Metadata that the gateway sets on a request to an endpoint. */
struct SendMetadata
{
    std::string endpointId; ///< An endpoint with another id at the address refuses it.
    core::Milliseconds timeLeft{};
    std::string team;
    std::optional<uint32_t> priority; ///< 0 is served first, 9 last.
    bool prefillOnly = false;
    std::string cacheSource;  ///< "address/handle" of a prompt that another engine has prefilled.
    std::string fetchAddress; ///< Endpoint that holds more of the prompt in its cache.
    std::string resumeAfter;  ///< Id of the last event that the client has.
};

/** Load that an endpoint reports in its answers. */
struct EndpointLoad
{
    uint32_t running = 0;
    uint32_t waiting = 0;
    uint32_t slots = 0;
    std::optional<uint32_t> pacePercent; ///< Time that work takes there now; 100: as usual.
};

/** Metadata of an endpoint's answer, decoded from its head. */
struct AnswerMetadata
{
    std::optional<std::string> requestId;
    bool hasSignature = false; ///< Carries the endpoint's signature of its answer.
    bool notRun = false;  ///< The endpoint states that it has not run the request and will not.
    bool leaving = false; ///< The endpoint is shutting down and accepts no new requests.
    /** Id of the instance that refused a request addressed to another one; empty: not stated. */
    std::string otherInstance;
    /** Back-off that a refusal asks for: no requests to the endpoint until it has passed. */
    std::optional<core::Milliseconds> retryAfter;
    std::optional<EndpointLoad> load;
    /** Requests per second that the endpoint accepts from all gateways together. */
    std::optional<double> requestLimit;
    bool endsLimit = false; ///< Answers a request and names no limit.
};

/** The cache of a prefilled prompt, which its engine keeps for a short time. */
struct CacheHandle
{
    std::string handle; ///< Id of the cache at that engine.
    uint32_t tokens = 0;
};

/** State of an engine as it reports it. */
struct EngineReport
{
    bool changing = false;       ///< The engine is changing its stage by an order.
    uint64_t ordersAccepted = 0; ///< Orders to change the stage, since its start.
    uint32_t waiting = 0;
    uint32_t running = 0;
};

} // namespace jujube::serving
