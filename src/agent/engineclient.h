#pragma once

/** \file
 * Defines the HTTP client of an agent's endpoint: a model engine or an application service.
 */

#include "state/plan.h"
#include "wire/httpclient.h"
#include "wire/messages.h"

#include <functional>
#include <string>

namespace jujube::agent {

/** State that an engine reports. Its load figures lag behind. */
struct EngineState
{
    core::Role role = core::Role::Mixed;
    bool ready = false;
    uint32_t slots = 1;           ///< Requests that the engine runs concurrently.
    uint32_t freeKvPieces = 0;    ///< Free KV memory, in pieces of core::KvPieceTokens.
    state::OrderNumber lastOrder; ///< Newest order that the engine accepted.
};

/** A piece of a generated answer with its number of tokens. */
struct GeneratedPiece
{
    std::string text;
    uint32_t tokens = 0;
};

/** Final record of a generation. */
struct GenerationResult
{
    bool complete = false; ///< Whether the engine generated the answer to its end.
    core::Usage usage;
};

/** Calls the endpoint over HTTP. Each call opens its own connection. */
class EngineClient
{
public:
    EngineClient(wire::HttpClient &http, std::string address);

    using OnPiece = std::function<void(const GeneratedPiece &)>;

    /** Runs a language request and passes its pieces to \a onPiece.
     *
     * \return Unavailable, with the send state, if the engine or the connection failed.
     */
    wire::Task<absl::StatusOr<GenerationResult>> generate(wire::WorkMessage work, OnPiece onPiece);
    /** Forwards a request to a service and returns its response. */
    wire::Task<absl::StatusOr<wire::HttpResponse>> callService(wire::WorkMessage work);

    /** Asks the engine to abort a request. */
    wire::Task<absl::Status> cancel(std::string requestId);
    /** Reads the engine's state. */
    wire::Task<absl::StatusOr<EngineState>> fetchState();
    /** Orders a role change. Nothing is sent after the guard's time.
     * \return FailedPrecondition if the engine has already seen a newer order. */
    wire::Task<absl::Status> orderRole(core::Role role, state::OrderNumber number,
                                       wire::SendGuard guard);
    /** Whether a service responds to /healthz, with any status. */
    wire::Task<bool> isServiceAlive();

private:
    wire::HttpClient &m_http;
    std::string m_address;
};

} // namespace jujube::agent
