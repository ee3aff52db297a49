#pragma once

/** \file
 * Defines the HTTP client used towards engines, services and the platform.
 *
 * It is built on kj-http, not on Qt's network access: the latter repeats a POST by itself when
 * a connection closes and allows six connections to a host (see docs/DESIGN.md). This client
 * never sends a request twice.
 */

#include "wire/iothread.h"

#include <absl/status/statusor.h>
#include <kj/compat/http.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace jujube::wire {

struct HttpHeader
{
    std::string name;
    std::string value;
};

struct HttpRequest
{
    std::string address; ///< IPv4 address and port.
    std::string method = "GET";
    std::string path = "/";
    std::vector<HttpHeader> headers;
    std::string body;
};

struct HttpResponse
{
    uint32_t status = 0;
    std::string contentType;
    std::string body;
};

/** How far a failed exchange may have come. */
enum class SendState {
    NotSent,   ///< No byte left this process: the peer cannot have acted on it.
    MaybeSent, ///< The peer may have received and acted on it.
};

/** Reads the send state recorded in a status of this client. */
SendState sendStateOf(const absl::Status &status);

/** Limits of one exchange. */
struct HttpLimits
{
    core::Milliseconds totalTimeout{5'000};    ///< For the whole exchange.
    core::Milliseconds progressTimeout{5'000}; ///< Between two reads of a streamed body.
    size_t maxBodyBytes = 16UL << 20U;
};

/** Restricts when bytes of a request may still leave, for sends that need a valid lease. */
struct SendGuard
{
    core::TimePoint notAfter;
};

/** HTTP over one new connection for each request.
 *
 * A new connection costs a local round trip and removes the ambiguity of a kept-alive connection
 * that the peer closes while a request is on its way.
 */
class HttpClient
{
public:
    explicit HttpClient(IoContext &io);

    /** Sends a request and returns the whole response. */
    Task<absl::StatusOr<HttpResponse>> send(HttpRequest request, HttpLimits limits);

    /** Sends a request under a guard: nothing is transmitted after \a guard.notAfter, not even
     * by the kernel once a network partition has healed or the process was paused. */
    Task<absl::StatusOr<HttpResponse>> sendGuarded(HttpRequest request, HttpLimits limits,
                                                   SendGuard guard);

    using OnBytes = std::function<void(std::string_view)>;

    /** Sends a request and hands over the body piece by piece while it arrives.
     *
     * \return status and content type, with an empty body, once the body ended.
     */
    Task<absl::StatusOr<HttpResponse>> stream(HttpRequest request, HttpLimits limits,
                                              OnBytes onBytes);

private:
    IoContext &m_io;
    kj::Own<kj::HttpHeaderTable> m_table;
};

} // namespace jujube::wire
