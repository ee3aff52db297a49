#pragma once

/** \file
 * Defines what the serving path knows of a client's request and of an endpoint's answer.
 */

#include "core/clock.h"
#include "http/message.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace jujube::serving {

/** A named part of a prompt. Equal parts at the same place are cached once by an engine. */
struct PrefixBlock
{
    uint64_t id = 0;
    uint32_t tokens = 0;
};

/** What a client's head says, decoded once. */
struct RequestMetadata
{
    std::string id;
    std::string apiKey; ///< Empty: none was given.
    std::string host;
    std::string path;                           ///< Without the query.
    std::optional<core::Milliseconds> timeLeft; ///< How long the client waits.
    std::vector<PrefixBlock> prefixBlocks;
    uint32_t promptTokens = 0;
    uint32_t maxOutputTokens = 0;
    std::optional<uint32_t> expectedOutputTokens; ///< The client's estimate.
    std::string lastEventId;                      ///< Id after which a stream is resumed.
};

/** What is set on a request that goes to an endpoint. */
struct SendMetadata
{
    std::string endpointId; ///< Another endpoint at that address refuses the request.
    core::Milliseconds timeLeft{};
    std::string team;
    std::optional<uint32_t> priority; ///< 0 is served first, 9 last.
    bool prefillOnly = false;
    std::string cacheSource;  ///< "address/handle" of a prompt that was read elsewhere.
    std::string fetchAddress; ///< Address of an endpoint that holds more of the prompt.
    std::string resumeAfter;  ///< Last event the client has.
};

struct EndpointLoad
{
    uint32_t running = 0;
    uint32_t waiting = 0;
    uint32_t slots = 0;
};

/** What the head of an endpoint's answer says. */
struct AnswerMetadata
{
    std::optional<std::string> requestId;
    bool hasSignature = false; ///< Bears the endpoint's signature of its answer.
    bool notRun = false;       ///< States that the request has not run and will not.
    bool leaving = false;      ///< The endpoint is shutting down and accepts no new requests.
    /** Back-off that a refusal asks for: no requests to the endpoint until it has passed. */
    std::optional<core::Milliseconds> retryAfter;
    std::optional<EndpointLoad> load;
};

/** A prompt that an engine has read and keeps for a short time. */
struct CacheHandle
{
    std::string handle;
    uint32_t tokens = 0;
};

/** An engine's own report of its state. */
struct EngineReport
{
    bool changing = false;       ///< An order is being carried out.
    uint64_t ordersAccepted = 0; ///< Since the engine's start.
    uint32_t waiting = 0;
    uint32_t running = 0;
};

} // namespace jujube::serving
