#pragma once

/** \file
 * Defines the callers' HTTP interface of an entry.
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

/** A session's handle for the caller's side. Each member may be called from any thread. */
struct SessionHandle
{
    std::function<void()> onCallerDisconnected;
};

/** Hands a checked request to the KJ thread and returns a handle to it. */
using StartSession = std::function<SessionHandle(CallerRequest, AnswerSink)>;

/** Serves completions, models and application services. Runs on the request threads. */
class CallerApi
{
public:
    CallerApi(EntryView &view, std::chrono::seconds usageWindow, StartSession startSession);

    /** Serves the request. \return false if the path is not one of the callers'. */
    bool handle(const wire::IncomingRequest &request,
                const std::shared_ptr<wire::Exchange> &exchange) const;

private:
    struct Caller
    {
        std::string team;
        std::string keyId;
    };

    absl::StatusOr<Caller> authenticate(const wire::IncomingRequest &request,
                                        const core::Configuration &config) const;
    /** The caller of a keyed request; nothing once a refusal has been sent. */
    std::optional<Caller> authorize(const wire::IncomingRequest &request,
                                    const core::Configuration &config,
                                    wire::Exchange &exchange) const;
    void serveModels(const wire::IncomingRequest &request,
                     const std::shared_ptr<wire::Exchange> &exchange) const;
    void serveCompletion(CompletionStyle style, const wire::IncomingRequest &request,
                         const std::shared_ptr<wire::Exchange> &exchange) const;
    void serveService(const wire::IncomingRequest &request,
                      const std::shared_ptr<wire::Exchange> &exchange) const;
    CallerRequest makeRequest(const Caller &caller, const core::Configuration &config,
                              core::Milliseconds deadline) const;

    EntryView &m_view;
    std::chrono::seconds m_usageWindow;
    StartSession m_startSession;
};

/** Sends an error in the callers' format. */
void sendError(wire::Exchange &exchange, const AnswerFailure &failure);

} // namespace jujube::entry
