#pragma once

/** \file
 * Defines the client of the endpoint beside an agent: a model engine or an application service.
 */

#include "state/plan.h"
#include "wire/httpclient.h"
#include "wire/messages.h"

#include <functional>
#include <string>

namespace jujube::agent {

/** What an engine says of itself. Its load figures lag behind. */
struct EngineState
{
    core::Role role = core::Role::Mixed;
    bool ready = false;
    uint32_t slots = 1;
    uint32_t freeKvPieces = 0;
    state::OrderNumber lastOrder;
};

/** One piece of a generated answer. */
struct GeneratedPiece
{
    std::string text;
    uint32_t tokens = 0;
};

/** How a generation ended. */
struct GenerationResult
{
    bool complete = false;
    core::Usage usage;
};

/** Speaks HTTP with the endpoint. Each call uses a connection of its own. */
class EngineClient
{
public:
    EngineClient(wire::HttpClient &http, std::string address);

    using OnPiece = std::function<void(const GeneratedPiece &)>;

    /** Runs a language request and hands over its pieces.
     *
     * \return Unavailable, with the send state, when the engine or the connection failed.
     */
    wire::Task<absl::StatusOr<GenerationResult>> generate(wire::WorkMessage work, OnPiece onPiece);
    /** Runs a service request. */
    wire::Task<absl::StatusOr<wire::HttpResponse>> callService(wire::WorkMessage work);

    wire::Task<absl::Status> cancel(std::string requestId);
    wire::Task<absl::StatusOr<EngineState>> fetchState();
    /** Orders a role. Nothing is sent after the guard's time. FailedPrecondition means that the
     * engine has already seen a newer order. */
    wire::Task<absl::Status> orderRole(core::Role role, state::OrderNumber number,
                                       wire::SendGuard guard);
    /** Whether a service answers at all. */
    wire::Task<bool> isServiceAlive();

private:
    wire::HttpClient &m_http;
    std::string m_address;
};

} // namespace jujube::agent
