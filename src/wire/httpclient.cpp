#include "wire/httpclient.h"

#include "core/httpstatus.h"
#include "core/text.h"
#include "wire/guardedsocket.h"

#include <algorithm>
#include <optional>

namespace jujube::wire {

namespace {

constexpr const char *SendStatePayload = "jujube/send-state";
constexpr size_t ReadBufferBytes = 16UL << 10U;

absl::Status sendFailure(SendState state, std::string_view message)
{
    absl::Status status = absl::UnavailableError(core::toAbsl(message));
    status.SetPayload(SendStatePayload,
                      absl::Cord(state == SendState::NotSent ? "not-sent" : "maybe-sent"));
    return status;
}

core::Milliseconds timeLeft(core::TimePoint deadline)
{
    const auto left = std::chrono::ceil<core::Milliseconds>(deadline - core::BootClock::now());
    return std::max(left, core::Milliseconds(0));
}

std::optional<kj::HttpMethod> parseMethod(const std::string &name)
{
    std::optional<kj::HttpMethod> result;
    KJ_IF_MAYBE (method, kj::tryParseHttpMethod(name.c_str())) {
        result = *method;
    }
    return result;
}

kj::HttpHeaders requestHeaders(const kj::HttpHeaderTable &table, const HttpRequest &request)
{
    kj::HttpHeaders headers(table);
    headers.set(kj::HttpHeaderId::HOST, kj::heapString(request.address.c_str()));
    for (const HttpHeader &header : request.headers)
        headers.add(kj::heapString(header.name.c_str()), kj::heapString(header.value.c_str()));
    return headers;
}

std::string contentTypeOf(const kj::HttpHeaders &headers)
{
    std::string result;
    KJ_IF_MAYBE (value, headers.get(kj::HttpHeaderId::CONTENT_TYPE)) {
        result = value->cStr();
    }
    return result;
}

core::Milliseconds transferAllowance(const HttpLimits &limits, size_t receivedBytes)
{
    constexpr uint64_t msPerSecond = 1'000;
    if (limits.minBytesPerSecond == 0)
        return {};
    return core::Milliseconds(receivedBytes * msPerSecond / limits.minBytesPerSecond);
}

// Sends one request on a connected stream and passes the body to onBytes as it arrives.
Task<absl::StatusOr<HttpResponse>> runExchange(IoContext &io, const kj::HttpHeaderTable &table,
                                               kj::Own<kj::AsyncIoStream> connection,
                                               HttpRequest request, HttpLimits limits,
                                               HttpClient::OnBytes onBytes)
{
    const core::TimePoint deadline = core::BootClock::now() + limits.totalTimeout;
    const auto method = parseMethod(request.method);
    if (!method)
        co_return sendFailure(SendState::NotSent, core::concat("unknown method ", request.method));
    try {
        auto client = kj::newHttpClient(table, *connection);
        const kj::HttpHeaders headers = requestHeaders(table, request);
        auto pending = client->request(*method, request.path.c_str(), headers, request.body.size());
        if (!request.body.empty()) {
            co_await io.withTimeout(timeLeft(deadline),
                                    pending.body->write(request.body.data(), request.body.size()));
        }
        pending.body = nullptr;
        auto response = co_await io.withTimeout(timeLeft(deadline), kj::mv(pending.response));
        HttpResponse result;
        result.status = response.statusCode;
        result.contentType = contentTypeOf(*response.headers);
        if (!core::isFinalHttpStatus(result.status))
            co_return sendFailure(SendState::MaybeSent,
                                  core::concat("invalid status ", result.status));

        char buf[ReadBufferBytes];
        size_t received = 0;
        while (true) {
            const auto wait = std::min(limits.progressTimeout,
                                       timeLeft(deadline + transferAllowance(limits, received)));
            const size_t n =
                co_await io.withTimeout(wait, response.body->tryRead(buf, 1, sizeof(buf)));
            if (n == 0)
                break;
            received += n;
            if (received > limits.maxBodyBytes)
                co_return sendFailure(SendState::MaybeSent, "response body over its bound");
            onBytes(std::string_view(buf, n));
        }
        co_return result;
    } catch (const kj::Exception &ex) {
        co_return sendFailure(SendState::MaybeSent, ex.getDescription().cStr());
    }
}

} // namespace

SendState sendStateOf(const absl::Status &status)
{
    const auto payload = status.GetPayload(SendStatePayload);
    return payload && *payload == "not-sent" ? SendState::NotSent : SendState::MaybeSent;
}

HttpClient::HttpClient(IoContext &io) : m_io(io), m_table(kj::HttpHeaderTable::Builder().build())
{
}

Task<absl::StatusOr<HttpResponse>> HttpClient::send(HttpRequest request, HttpLimits limits)
{
    auto body = std::make_shared<std::string>();
    auto result = co_await stream(std::move(request), limits,
                                  [body](std::string_view bytes) { body->append(bytes); });
    if (result.ok())
        result->body = std::move(*body);
    co_return result;
}

Task<absl::StatusOr<HttpResponse>> HttpClient::stream(HttpRequest request, HttpLimits limits,
                                                      OnBytes onBytes)
{
    kj::Own<kj::AsyncIoStream> connection;
    try {
        auto address = co_await m_io.network().parseAddress(request.address.c_str());
        connection = co_await m_io.withTimeout(limits.totalTimeout, address->connect());
    } catch (const kj::Exception &ex) {
        co_return sendFailure(SendState::NotSent,
                              core::concat(request.address, ": ", ex.getDescription().cStr()));
    }
    co_return co_await runExchange(m_io, *m_table, kj::mv(connection), std::move(request), limits,
                                   std::move(onBytes));
}

Task<absl::StatusOr<HttpResponse>> HttpClient::sendGuarded(HttpRequest request, HttpLimits limits,
                                                           SendGuard guard)
{
    auto socket = GuardedSocket::connect(request.address, guard.notAfter);
    if (!socket.ok())
        co_return sendFailure(SendState::NotSent, core::toStd(socket.status().message()));
    limits.totalTimeout = std::min(limits.totalTimeout, timeLeft(guard.notAfter));
    auto body = std::make_shared<std::string>();
    // The guarded socket owns the descriptor, so KJ must not close it.
    auto connection = m_io.lowLevel.wrapSocketFd((*socket)->fd());
    auto result =
        co_await runExchange(m_io, *m_table, kj::mv(connection), std::move(request), limits,
                             [body](std::string_view bytes) { body->append(bytes); });
    if (result.ok())
        result->body = std::move(*body);
    co_return result;
}

} // namespace jujube::wire
