#include "state/fleetclient.h"

#include "core/text.h"
#include "wire/json.h"

#include <QUrl>

namespace jujube::state {

namespace {

std::string percentEncoded(const std::string &text)
{
    return QUrl::toPercentEncoding(QString::fromStdString(text)).toStdString();
}

// A look-up returns 200 for an order or report that the platform has received and 404 otherwise.
absl::StatusOr<bool> lookupResult(const absl::StatusOr<wire::HttpResponse> &response)
{
    if (!response.ok())
        return response.status();
    if (response->status == 200)
        return true;
    if (response->status == 404)
        return false;
    return absl::UnavailableError(core::concat("platform returned status ", response->status));
}

} // namespace

FleetClient::FleetClient(wire::HttpClient &http, std::string address, core::Milliseconds timeout)
    : m_http(http), m_address(std::move(address)), m_timeout(timeout)
{
}

wire::Task<absl::StatusOr<wire::HttpResponse>> FleetClient::get(std::string path)
{
    wire::HttpRequest request;
    request.address = m_address;
    request.path = std::move(path);
    wire::HttpLimits limits;
    limits.totalTimeout = m_timeout;
    limits.progressTimeout = m_timeout;
    auto response = co_await m_http.send(std::move(request), limits);
    if (!response.ok())
        co_return absl::UnavailableError(core::concat("platform: ", response.status().message()));
    co_return std::move(response);
}

wire::Task<absl::Status> FleetClient::postGuarded(std::string path, std::string body,
                                                  wire::SendGuard guard)
{
    wire::HttpRequest request;
    request.address = m_address;
    request.method = "POST";
    request.path = std::move(path);
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = std::move(body);
    wire::HttpLimits limits;
    limits.totalTimeout = m_timeout;
    limits.progressTimeout = m_timeout;
    const auto response = co_await m_http.sendGuarded(std::move(request), limits, guard);
    if (!response.ok())
        co_return absl::UnavailableError(core::concat("platform: ", response.status().message()));
    if (response->status == 200)
        co_return absl::OkStatus();
    if (response->status == 409)
        co_return absl::AlreadyExistsError(response->body);
    co_return absl::UnavailableError(core::concat("platform returned status ", response->status));
}

wire::Task<absl::StatusOr<std::vector<VmListing>>> FleetClient::listVms()
{
    const auto response = co_await get("/v1/vms");
    if (!response.ok())
        co_return response.status();
    const auto object = wire::parseObject(response->body);
    if (!object.ok() || response->status != 200)
        co_return absl::UnavailableError("platform: the response holds no VM list");
    std::vector<VmListing> vms;
    for (const auto &it : object->value("vms").toArray()) {
        const QJsonObject vm = it.toObject();
        vms.push_back({wire::stringMember(vm, "vm"), wire::stringMember(vm, "domain"),
                       wire::stringMember(vm, "state") == "leaving"});
    }
    co_return vms;
}

wire::Task<absl::Status> FleetClient::sendOrder(FleetOrder order, uint64_t term,
                                                wire::SendGuard guard)
{
    QJsonObject body;
    body["order_id"] = wire::qstring(order.id);
    body["term"] = wire::jsonNumber(term);
    body["action"] = order.action == FleetAction::Add ? "add" : "remove";
    body["domain"] = wire::qstring(order.domain);
    body["vm"] = wire::qstring(order.vm);
    co_return co_await postGuarded("/v1/endpoints/orders", wire::toJsonText(body), guard);
}

wire::Task<absl::StatusOr<bool>> FleetClient::isOrderReceived(std::string orderId)
{
    const auto response =
        co_await get(core::concat("/v1/endpoints/orders?order_id=", percentEncoded(orderId)));
    co_return lookupResult(response);
}

wire::Task<absl::Status> FleetClient::sendReport(UsageReport report, wire::SendGuard guard)
{
    QJsonObject body;
    body["team"] = wire::qstring(report.team);
    body["window"] = wire::jsonNumber(report.window);
    body["term"] = wire::jsonNumber(report.term);
    body["requests"] = wire::jsonNumber(report.requests);
    body["prompt_tokens"] = wire::jsonNumber(report.usage.promptTokens);
    body["cached_tokens"] = wire::jsonNumber(report.usage.cachedTokens);
    body["output_tokens"] = wire::jsonNumber(report.usage.outputTokens);
    co_return co_await postGuarded("/v1/usage/reports", wire::toJsonText(body), guard);
}

wire::Task<absl::StatusOr<bool>> FleetClient::isReportReceived(std::string team, uint64_t window)
{
    const auto response = co_await get(
        core::concat("/v1/usage/reports?team=", percentEncoded(team), "&window=", window));
    co_return lookupResult(response);
}

} // namespace jujube::state
