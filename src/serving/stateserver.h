#pragma once

/** \file
 * Defines the server from which peers fetch the mirrored state of the store, and the encoding of
 * its responses.
 */

#include "http/server.h"
#include "serving/storetypes.h"

#include <absl/status/statusor.h>

#include <deque>
#include <functional>
#include <optional>
#include <string>

namespace jujube::serving {

/** Returns the HTTP request for the changes since a version. */
http::Request stateRequest(const StoreVersion &newerThan);
/** Parses the version in a request target; nothing if it is another or a malformed request. */
std::optional<StoreVersion> requestedStateVersion(std::string_view target);
/** Decodes a response. \return InvalidArgument if it is not a valid state. */
absl::StatusOr<StorePage> decodeStateResponse(const http::Response &response);

/** The mirrored state that a gateway serves. */
struct StateSource
{
    std::function<StoreVersion()> version;
    std::function<StorePage(const StoreVersion &newerThan)> changesAfter;
};

/** Serves the changes of the store's state to peers.
 *
 * A change is fetched by many peers at the same time, so encoded responses are kept for a moment.
 */
class StateServer
{
public:
    StateServer(boost::asio::io_context &io, StateSource source);

    absl::Status listen(const std::string &address) { return m_server.listen(address); }
    /** Logs one line for all requests since the last line, if there were any. */
    void logServed();

private:
    struct EncodedState
    {
        StoreVersion newerThan;
        StoreVersion version; ///< Of the state when it was encoded.
        core::TimePoint encodedAt{};
        std::string plain;
        std::string compressed; ///< Empty if the plain form is not longer.
    };

    void handle(const http::Request &request, const http::Responder &responder);
    const EncodedState &encodedState(const StoreVersion &newerThan);

    StateSource m_source;
    http::Server m_server;
    std::deque<EncodedState> m_encodedStates; ///< Oldest first.
    uint64_t m_servedRequests = 0;            ///< Since the last log line, like the bytes.
    uint64_t m_servedBytes = 0;
};

} // namespace jujube::serving
