#pragma once

/** \file
 * Defines the HTTP client for engines, services and the platform.
 *
 * It uses kj-http rather than QNetworkAccessManager, which repeats a POST by itself when a
 * connection closes and allows only six connections to a host (see docs/DESIGN.md). This client
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

/** Whether the peer may have received a request that failed. */
enum class SendState {
    NotSent,   ///< No byte left this process: the peer cannot have acted on it.
    MaybeSent, ///< The peer may have received and acted on it.
};

/** Returns the send state that HttpClient recorded in a failed status; MaybeSent if there is none.
 */
SendState sendStateOf(const absl::Status &status);

/** Time and size limits of one exchange. */
struct HttpLimits
{
    core::Milliseconds totalTimeout{5'000}; ///< For the whole exchange.
    /** If it is not 0, totalTimeout is extended by the time that the received part of the body
     * takes at this rate. */
    uint64_t minBytesPerSecond = 0;
    core::Milliseconds progressTimeout{5'000}; ///< Between two reads of a streamed body.
    size_t maxBodyBytes = 16UL << 20U;
};

/** Time limit for the transmission of a request that requires a valid lease. */
struct SendGuard
{
    core::TimePoint notAfter;
};

/** HTTP client that opens a new connection for each request.
 *
 * A new connection costs a local round trip. It avoids the unknown outcome of a request that is
 * sent while the peer closes a persistent connection.
 */
class HttpClient
{
public:
    explicit HttpClient(IoContext &io);

    /** Sends a request and returns the response with its body. */
    Task<absl::StatusOr<HttpResponse>> send(HttpRequest request, HttpLimits limits);

    /** Sends a request that is not transmitted after \a guard.notAfter, not even by the kernel
     * after a network partition or by a process that was paused. */
    Task<absl::StatusOr<HttpResponse>> sendGuarded(HttpRequest request, HttpLimits limits,
                                                   SendGuard guard);

    using OnBytes = std::function<void(std::string_view)>;

    /** Sends a request and passes the body to \a onBytes as it arrives.
     *
     * \return status and content type with an empty body, once the body has ended.
     */
    Task<absl::StatusOr<HttpResponse>> stream(HttpRequest request, HttpLimits limits,
                                              OnBytes onBytes);

private:
    IoContext &m_io;
    kj::Own<kj::HttpHeaderTable> m_table;
};

} // namespace jujube::wire
