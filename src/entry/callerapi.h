#pragma once

/** \file
 * Defines the HTTP interface of an entry for callers.
 */

#include "entry/completionrequest.h"
#include "entry/entryview.h"
#include "entry/requestsession.h"
#include "wire/httpserver.h"

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace jujube::entry {

/** Handle by which the HTTP side controls a session. Members may be called from any thread. */
struct SessionHandle
{
    std::function<void()> onCallerDisconnected; ///< Cancels the request.
};

/** Starts the session of a validated request on the KJ thread and returns its handle. */
using StartSession = std::function<SessionHandle(CallerRequest, AnswerSink)>;

/** Serves completions, the list of models and application services, on the request threads. */
class CallerApi
{
public:
    CallerApi(EntryView &view, std::chrono::seconds usageWindow, StartSession startSession);

    /** Serves the request. \return false if the path does not belong to this interface. */
    bool handle(const wire::IncomingRequest &request,
                const std::shared_ptr<wire::Exchange> &exchange) const;

private:
    struct Caller
    {
        std::string team;
        std::string keyId;
    };

    /** Checks the API key. \return Unauthenticated for a missing or invalid key. */
    absl::StatusOr<Caller> authenticate(const wire::IncomingRequest &request,
                                        const core::Configuration &config) const;
    /** The caller of a request that needs an API key; nullopt if an error was sent instead. */
    std::optional<Caller> authorize(const wire::IncomingRequest &request,
                                    const core::Configuration &config,
                                    wire::Exchange &exchange) const;
    void serveModels(const wire::IncomingRequest &request,
                     const std::shared_ptr<wire::Exchange> &exchange) const;
    void serveCompletion(CompletionStyle style, const wire::IncomingRequest &request,
                         const std::shared_ptr<wire::Exchange> &exchange) const;
    void serveService(const wire::IncomingRequest &request,
                      const std::shared_ptr<wire::Exchange> &exchange) const;
    /** Creates a request with the fields that completions and services share. */
    CallerRequest makeRequest(const Caller &caller, const core::Configuration &config,
                              core::Milliseconds deadline) const;

    EntryView &m_view;
    std::chrono::seconds m_usageWindow;
    StartSession m_startSession;
};

/** Sends a failure as the JSON error body that callers receive, with retry headers if set. */
void sendError(wire::Exchange &exchange, const AnswerFailure &failure);

} // namespace jujube::entry
