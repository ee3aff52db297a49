#include "state/registry.h"

#include "core/text.h"
#include "wire/json.h"

namespace jujube::state {

std::string AgentRecord::serialize() const
{
    QJsonObject object;
    object["vm"] = wire::qstring(vm);
    object["address"] = wire::qstring(address);
    object["domain"] = wire::qstring(domain);
    object["kind"] = kind == core::WorkKind::Language ? "language" : "service";
    object["model"] = wire::qstring(model);
    object["incarnation"] = QString::number(incarnation);
    return wire::toJsonText(object);
}

absl::StatusOr<AgentRecord> AgentRecord::parse(const std::string &text)
{
    const auto object = wire::parseObject(text);
    if (!object.ok())
        return absl::DataLossError(core::concat("agent record: ", object.status().message()));
    AgentRecord record;
    record.vm = wire::stringMember(*object, "vm");
    record.address = wire::stringMember(*object, "address");
    record.domain = wire::stringMember(*object, "domain");
    record.kind = wire::stringMember(*object, "kind") == "service" ? core::WorkKind::Service
                                                                   : core::WorkKind::Language;
    record.model = wire::stringMember(*object, "model");
    record.incarnation = wire::uintMember(*object, "incarnation");
    return record;
}

std::string EntryRecord::serialize() const
{
    QJsonObject object;
    object["name"] = wire::qstring(name);
    object["address"] = wire::qstring(address);
    object["domain"] = wire::qstring(domain);
    object["incarnation"] = QString::number(incarnation);
    return wire::toJsonText(object);
}

absl::StatusOr<EntryRecord> EntryRecord::parse(const std::string &text)
{
    const auto object = wire::parseObject(text);
    if (!object.ok())
        return absl::DataLossError(core::concat("entry record: ", object.status().message()));
    EntryRecord record;
    record.name = wire::stringMember(*object, "name");
    record.address = wire::stringMember(*object, "address");
    record.domain = wire::stringMember(*object, "domain");
    record.incarnation = wire::uintMember(*object, "incarnation");
    return record;
}

std::string agentKey(const std::string &vm)
{
    return core::concat(AgentPrefix, vm);
}

std::string entryKey(const std::string &name)
{
    return core::concat(EntryPrefix, name);
}

} // namespace jujube::state
