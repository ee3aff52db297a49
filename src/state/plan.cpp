#include "state/plan.h"

#include "core/text.h"
#include "wire/json.h"

namespace jujube::state {

namespace {

core::EngineIntent intentFromName(const std::string &name)
{
    if (name == "drained")
        return core::EngineIntent::Drained;
    return name == "withdrawn" ? core::EngineIntent::Withdrawn : core::EngineIntent::Active;
}

QJsonObject endpointToJson(const EndpointPlan &endpoint)
{
    QJsonObject object;
    object["role"] = wire::qstring(core::roleName(endpoint.role));
    object["intent"] = wire::qstring(core::intentName(endpoint.intent));
    object["term"] = wire::jsonNumber(endpoint.number.term);
    object["sequence"] = wire::jsonNumber(endpoint.number.sequence);
    return object;
}

EndpointPlan endpointFromJson(const QJsonObject &object)
{
    EndpointPlan endpoint;
    endpoint.role = core::roleFromName(wire::stringMember(object, "role"));
    endpoint.intent = intentFromName(wire::stringMember(object, "intent"));
    endpoint.number = {wire::uintMember(object, "term"), wire::uintMember(object, "sequence")};
    return endpoint;
}

QJsonObject orderToJson(const FleetOrder &order)
{
    QJsonObject object;
    object["id"] = wire::qstring(order.id);
    object["action"] = order.action == FleetAction::Add ? "add" : "remove";
    object["domain"] = wire::qstring(order.domain);
    object["vm"] = wire::qstring(order.vm);
    object["state"] = order.state == FleetOrderState::Done ? "done" : "intended";
    object["intended_at_ms"] = static_cast<qint64>(order.intendedAtMs);
    return object;
}

FleetOrder orderFromJson(const QJsonObject &object)
{
    FleetOrder order;
    order.id = wire::stringMember(object, "id");
    order.action =
        wire::stringMember(object, "action") == "add" ? FleetAction::Add : FleetAction::Remove;
    order.domain = wire::stringMember(object, "domain");
    order.vm = wire::stringMember(object, "vm");
    order.state = wire::stringMember(object, "state") == "done" ? FleetOrderState::Done
                                                                : FleetOrderState::Intended;
    order.intendedAtMs = static_cast<int64_t>(wire::uintMember(object, "intended_at_ms"));
    return order;
}

} // namespace

absl::StatusOr<Plan> Plan::parse(const std::string &text)
{
    Plan plan;
    if (text.empty())
        return plan;
    const auto object = wire::parseObject(text);
    if (!object.ok())
        return absl::DataLossError(core::concat("plan: ", object.status().message()));
    plan.term = wire::uintMember(*object, "term");
    plan.sequence = wire::uintMember(*object, "sequence");
    plan.holder = wire::stringMember(*object, "holder");
    plan.writeNumber = wire::uintMember(*object, "write");
    const QJsonObject endpoints = object->value("endpoints").toObject();
    for (auto it = endpoints.begin(); it != endpoints.end(); ++it)
        plan.endpoints[it.key().toStdString()] = endpointFromJson(it.value().toObject());
    for (const auto &it : object->value("orders").toArray())
        plan.fleetOrders.push_back(orderFromJson(it.toObject()));
    return plan;
}

std::string Plan::serialize() const
{
    QJsonObject object;
    object["term"] = wire::jsonNumber(term);
    object["sequence"] = wire::jsonNumber(sequence);
    object["holder"] = wire::qstring(holder);
    object["write"] = wire::jsonNumber(writeNumber);
    QJsonObject byVm;
    for (const auto &[vm, endpoint] : endpoints)
        byVm[wire::qstring(vm)] = endpointToJson(endpoint);
    object["endpoints"] = byVm;
    QJsonArray orders;
    for (const FleetOrder &it : fleetOrders)
        orders.append(orderToJson(it));
    object["orders"] = orders;
    return wire::toJsonText(object);
}

bool Plan::setEndpoint(const std::string &vm, core::Role role, core::EngineIntent intent)
{
    const auto it = endpoints.find(vm);
    if (it != endpoints.end() && it->second.role == role && it->second.intent == intent)
        return false;
    ++sequence;
    endpoints[vm] = EndpointPlan{role, intent, {term, sequence}};
    return true;
}

std::string planKey(const std::string &scope)
{
    return core::concat("fleet/plan/", scope);
}

} // namespace jujube::state
