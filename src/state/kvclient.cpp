#include "state/kvclient.h"
#include "core/text.h"

#include <QUrl>

namespace jujube::state {

namespace {

constexpr int MaxUpdateAttempts = 8;
constexpr core::Milliseconds WatchTimeoutMargin{1'000};
// A listing grows with the deployment; it is waited for while it arrives at this rate.
constexpr uint64_t MinBytesPerSecond = 64UL * 1024;

std::string percentEncoded(const std::string &text)
{
    return QUrl::toPercentEncoding(QString::fromStdString(text)).toStdString();
}

KvEntry entryFrom(const QJsonObject &object)
{
    return KvEntry{wire::stringMember(object, "key"), wire::stringMember(object, "value"),
                   wire::uintMember(object, "revision"), object.value("deleted").toBool()};
}

KvListing listingFrom(const QJsonObject &object)
{
    KvListing listing;
    listing.revision = wire::uintMember(object, "revision");
    for (const auto &it : object.value("entries").toArray())
        listing.entries.push_back(entryFrom(it.toObject()));
    return listing;
}

// Maps the HTTP status of a response to the errors of KvClient.
absl::Status statusFrom(const wire::HttpResponse &response)
{
    switch (response.status) {
    case 200:
        return absl::OkStatus();
    case 404:
        return absl::NotFoundError(response.body);
    case 409:
        return absl::AbortedError(response.body);
    case 400:
        return absl::InvalidArgumentError(response.body);
    default:
        return absl::UnavailableError(core::concat("platform returned status ", response.status));
    }
}

} // namespace

bool isConflict(const absl::Status &status)
{
    return absl::IsAborted(status);
}

bool isOutcomeUnknown(const absl::Status &status)
{
    return absl::IsUnavailable(status);
}

KvClient::KvClient(wire::HttpClient &http, std::string address, core::Milliseconds timeout)
    : m_http(http), m_address(std::move(address)), m_timeout(timeout)
{
}

wire::Task<absl::StatusOr<QJsonObject>> KvClient::call(std::string method, std::string path,
                                                       std::string body, core::Milliseconds timeout)
{
    ++m_calls;
    wire::HttpRequest request;
    request.address = m_address;
    request.method = std::move(method);
    request.path = std::move(path);
    request.body = std::move(body);
    if (!request.body.empty())
        request.headers.push_back({"Content-Type", "application/json"});
    wire::HttpLimits limits;
    limits.totalTimeout = timeout;
    limits.progressTimeout = timeout;
    limits.minBytesPerSecond = MinBytesPerSecond;
    const auto response = co_await m_http.send(std::move(request), limits);
    if (!response.ok())
        co_return absl::UnavailableError(core::concat("KV: ", response.status().message()));
    const absl::Status status = statusFrom(*response);
    if (!status.ok())
        co_return status;
    auto object = wire::parseObject(response->body);
    if (!object.ok())
        co_return absl::UnavailableError(core::concat("KV: ", object.status().message()));
    co_return std::move(object);
}

wire::Task<absl::StatusOr<KvEntry>> KvClient::get(std::string key)
{
    const auto object =
        co_await call("GET", core::concat("/v1/kv?key=", percentEncoded(key)), {}, m_timeout);
    if (!object.ok())
        co_return object.status();
    co_return entryFrom(*object);
}

wire::Task<absl::StatusOr<KvListing>> KvClient::list(std::string prefix)
{
    const auto object =
        co_await call("GET", core::concat("/v1/kv?prefix=", percentEncoded(prefix)), {}, m_timeout);
    if (!object.ok())
        co_return object.status();
    co_return listingFrom(*object);
}

wire::Task<absl::StatusOr<uint64_t>> KvClient::compareAndSwap(std::string key, uint64_t expected,
                                                              std::string value, std::string lease)
{
    QJsonObject body;
    body["key"] = wire::qstring(key);
    body["expected"] = wire::jsonNumber(expected);
    body["value"] = wire::qstring(value);
    if (!lease.empty())
        body["lease"] = wire::qstring(lease);
    const auto object = co_await call("POST", "/v1/kv", wire::toJsonText(body), m_timeout);
    if (!object.ok())
        co_return object.status();
    co_return wire::uintMember(*object, "revision");
}

wire::Task<absl::Status> KvClient::remove(std::string key, uint64_t expected)
{
    QJsonObject body;
    body["key"] = wire::qstring(key);
    body["expected"] = wire::jsonNumber(expected);
    const auto object = co_await call("POST", "/v1/kv/delete", wire::toJsonText(body), m_timeout);
    co_return object.status();
}

wire::Task<absl::StatusOr<KvListing>> KvClient::watch(std::string prefix, uint64_t revision,
                                                      core::Milliseconds wait)
{
    const std::string path = core::concat("/v1/watch?prefix=", percentEncoded(prefix),
                                          "&after=", revision, "&timeout_ms=", wait.count());
    const auto object = co_await call("GET", path, {}, wait + WatchTimeoutMargin);
    if (!object.ok())
        co_return object.status();
    co_return listingFrom(*object);
}

wire::Task<absl::StatusOr<std::string>> KvClient::grantLease(core::Milliseconds ttl)
{
    QJsonObject body;
    body["ttl_ms"] = static_cast<qint64>(ttl.count());
    const auto object = co_await call("POST", "/v1/leases", wire::toJsonText(body), m_timeout);
    if (!object.ok())
        co_return object.status();
    co_return wire::stringMember(*object, "lease");
}

wire::Task<absl::Status> KvClient::renewLease(std::string lease)
{
    QJsonObject body;
    body["lease"] = wire::qstring(lease);
    const auto object =
        co_await call("POST", "/v1/leases/renew", wire::toJsonText(body), m_timeout);
    co_return object.status();
}

wire::Task<absl::Status> KvClient::revokeLease(std::string lease)
{
    QJsonObject body;
    body["lease"] = wire::qstring(lease);
    const auto object =
        co_await call("POST", "/v1/leases/revoke", wire::toJsonText(body), m_timeout);
    co_return object.status();
}

wire::Task<absl::StatusOr<KvEntry>> KvClient::update(std::string key, Change change)
{
    std::string uncertainValue;
    absl::Status last = absl::OkStatus();
    for (int attempt = 0; attempt < MaxUpdateAttempts; ++attempt) {
        const auto current = co_await get(key);
        if (!current.ok())
            co_return current.status();
        if (!uncertainValue.empty() && current->value == uncertainValue)
            co_return *current;
        const auto value = change(*current);
        if (!value.ok())
            co_return value.status();
        const auto revision = co_await compareAndSwap(key, current->revision, *value);
        if (revision.ok())
            co_return KvEntry{key, *value, *revision, false};
        if (isOutcomeUnknown(revision.status()))
            uncertainValue = *value;
        else if (!isConflict(revision.status()))
            co_return revision.status();
        last = revision.status();
    }
    co_return last;
}

} // namespace jujube::state
