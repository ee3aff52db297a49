#include "jujubectl/adminclient.h"

#include "core/text.h"

namespace jujube::tools {

namespace {

constexpr core::Milliseconds RequestTimeout{15'000};

absl::Status statusFor(uint32_t httpStatus, const std::string &message)
{
    switch (httpStatus) {
    case 400:
        return absl::InvalidArgumentError(message);
    case 401:
        return absl::PermissionDeniedError(message);
    case 409:
        return absl::AbortedError(message);
    default:
        return absl::UnavailableError(message);
    }
}

} // namespace

AdminClient::AdminClient(wire::IoContext &io, kj::WaitScope &waitScope, std::string address,
                         std::string token)
    : m_http(io), m_waitScope(waitScope), m_address(std::move(address)), m_token(std::move(token))
{
}

absl::StatusOr<QJsonObject> AdminClient::sendRequest(const std::string &method,
                                                     const std::string &path,
                                                     const std::string &body)
{
    wire::HttpRequest request;
    request.address = m_address;
    request.method = method;
    request.path = path;
    request.headers.push_back({"Authorization", "Bearer " + m_token});
    request.body = body;
    wire::HttpLimits limits;
    limits.totalTimeout = RequestTimeout;
    limits.progressTimeout = RequestTimeout;
    const auto response = m_http.send(std::move(request), limits).promise().wait(m_waitScope);
    if (!response.ok())
        return response.status();
    auto object = wire::parseObject(response->body);
    if (response->status != 200) {
        const std::string message =
            object.ok() ? wire::stringMember(*object, "error") : "no explanation";
        return statusFor(
            response->status,
            core::concat("entry ", m_address, " answered ", response->status, ": ", message));
    }
    return object;
}

absl::StatusOr<std::map<std::string, ShardContent>> AdminClient::configuration()
{
    const auto object = sendRequest("GET", "/admin/config", {});
    if (!object.ok())
        return object.status();
    std::map<std::string, ShardContent> result;
    const QJsonObject shards = object->value("shards").toObject();
    for (auto it = shards.begin(); it != shards.end(); ++it) {
        const QJsonObject shard = it.value().toObject();
        result[it.key().toStdString()] = {wire::uintMember(shard, "revision"),
                                          wire::stringMember(shard, "value")};
    }
    return result;
}

absl::StatusOr<uint64_t> AdminClient::publish(const std::string &shard, uint64_t fromRevision,
                                              const std::string &value)
{
    QJsonObject body;
    body["from_revision"] = wire::jsonNumber(fromRevision);
    body["value"] = wire::qstring(value);
    const auto object = sendRequest("POST", "/admin/config/" + shard, wire::toJsonText(body));
    if (!object.ok())
        return object.status();
    return wire::uintMember(*object, "revision");
}

absl::StatusOr<QJsonObject> AdminClient::status()
{
    return sendRequest("GET", "/admin/status", {});
}

absl::StatusOr<QJsonObject> AdminClient::timeline(uint64_t after)
{
    return sendRequest("GET", core::concat("/admin/timeline?after=", after), {});
}

} // namespace jujube::tools
