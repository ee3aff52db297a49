#include "entry/operatorapi.h"

#include "core/keyhash.h"
#include "core/text.h"
#include "wire/json.h"

namespace jujube::entry {

namespace {

constexpr std::string_view ConfigPath = "/admin/config";

void reply(wire::Exchange &exchange, int status, const QJsonObject &object)
{
    wire::OutgoingResponse response;
    response.status = status;
    response.body = wire::toJsonText(object);
    exchange.send(response);
}

void replyError(wire::Exchange &exchange, int status, std::string_view message)
{
    reply(exchange, status, QJsonObject{{"error", wire::qstring(message)}});
}

// Sends the reply on the exchange's own thread, whichever thread calls back.
OperatorCallback replyCallback(const std::shared_ptr<wire::Exchange> &exchange)
{
    return [exchange](OperatorReply result) {
        exchange->post([result = std::move(result)](wire::Exchange &it) {
            wire::OutgoingResponse response;
            response.status = result.status;
            response.body = result.body;
            it.send(response);
        });
    };
}

} // namespace

OperatorApi::OperatorApi(EntryView &view, std::string token, OperatorActions actions)
    : m_view(view), m_token(std::move(token)), m_actions(std::move(actions))
{
}

bool OperatorApi::handle(const wire::IncomingRequest &request,
                         const std::shared_ptr<wire::Exchange> &exchange) const
{
    if (!request.path.starts_with("/admin/"))
        return false;
    if (!authorized(request)) {
        replyError(*exchange, 401, "send the operator token as 'Authorization: Bearer TOKEN'");
        return true;
    }
    if (request.path == ConfigPath && request.method == "GET") {
        showConfiguration(exchange);
    } else if (request.path.starts_with(ConfigPath) && request.method == "POST") {
        publish(request, exchange);
    } else if (request.path == "/admin/status" && request.method == "GET") {
        wire::OutgoingResponse response;
        response.body = *m_view.status.load();
        exchange->send(response);
    } else if (request.path == "/admin/timeline" && request.method == "GET") {
        const std::string after = request.queryValue("after");
        m_actions.timeline(after.empty() ? 0 : std::strtoull(after.c_str(), nullptr, 10),
                           replyCallback(exchange));
    } else {
        replyError(*exchange, 404, "no such operation");
    }
    return true;
}

bool OperatorApi::authorized(const wire::IncomingRequest &request) const
{
    return core::equalInConstantTime(request.header("Authorization"), "Bearer " + m_token);
}

void OperatorApi::showConfiguration(const std::shared_ptr<wire::Exchange> &exchange) const
{
    const auto config = m_view.configuration.load();
    QJsonObject shards;
    for (const auto &[name, shard] : config->shardValues()) {
        QJsonObject it;
        it["revision"] = wire::jsonNumber(shard.revision);
        it["value"] = wire::qstring(shard.value);
        shards[wire::qstring(name)] = it;
    }
    reply(*exchange, 200,
          QJsonObject{{"version", wire::jsonNumber(config->version())}, {"shards", shards}});
}

void OperatorApi::publish(const wire::IncomingRequest &request,
                          const std::shared_ptr<wire::Exchange> &exchange) const
{
    const std::string shard =
        request.path.substr(std::min(request.path.size(), ConfigPath.size() + 1));
    const auto body = wire::parseObject(request.body);
    if (!body.ok() || !body->value("value").isString() || !body->contains("from_revision")) {
        replyError(*exchange, 400, "the body needs 'from_revision' and a string 'value'");
        return;
    }
    const std::string value = wire::stringMember(*body, "value");
    const absl::Status checked = core::validateShard(shard, value);
    if (!checked.ok()) {
        replyError(*exchange, 400, core::toStd(checked.message()));
        return;
    }
    m_actions.publish(shard, wire::uintMember(*body, "from_revision"), value,
                      replyCallback(exchange));
}

} // namespace jujube::entry
