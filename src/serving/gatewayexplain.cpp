/** \file
 * Answers requests to the server of the metrics port: metrics, and explanations of requests.
 */

#include "core/metrics.h"
#include "core/text.h"
#include "platform/requestcodec.h"
#include "serving/explain.h"
#include "serving/gateway.h"

namespace jujube::serving {

namespace {

void sendText(const http::Responder &responder, uint32_t status, std::string_view type,
              const std::string &text)
{
    http::Head head;
    head.status = status;
    head.fields.add("Content-Type", type);
    responder.send(head, text);
}

uint32_t statusOf(const absl::Status &error)
{
    switch (error.code()) {
    case absl::StatusCode::kNotFound:
        return http::status::NotFound;
    case absl::StatusCode::kUnauthenticated:
        return http::status::Unauthorized;
    default:
        return http::status::BadRequest;
    }
}

} // namespace

void Gateway::answerMetricsRequest(const http::Request &request, const http::Responder &responder)
{
    const std::string_view target = request.head.target;
    if (target.substr(0, target.find('?')) != ExplainPath) {
        sendText(responder, http::status::Ok, "text/plain; version=0.0.4", core::renderMetrics());
        return;
    }
    // The answer names endpoints and teams, and whether a key is valid.
    if (!responder.clientIsLocal()) {
        sendText(responder, http::status::Forbidden, ExplainTextType,
                 "explanations are given to clients on this machine only\n");
        return;
    }
    if (request.head.method != "GET") {
        sendText(responder, http::status::BadRequest, ExplainTextType, "only GET is supported\n");
        return;
    }
    const auto query = decodeExplainTarget(target);
    const auto metadata = query.ok() ? platform::decodeExplainQuery(*query) : query.status();
    if (!metadata.ok()) {
        sendText(responder, http::status::BadRequest, ExplainTextType,
                 core::concat(metadata.status().message(), "\n"));
        return;
    }
    const auto config = m_config.load();
    const ExplainServices services{
        m_settings.name, config.get(),      acceptsNoRequests(core::BootClock::now()),
        m_endpoints,     m_promptScheduler, m_placement,
        m_outputLengths, m_quarantine,      m_quotas,
        m_runSteps};
    const auto explanation = explain(services, *metadata, m_random);
    if (!explanation.ok())
        sendText(responder, statusOf(explanation.status()), ExplainTextType,
                 core::concat(explanation.status().message(), "\n"));
    else if (query->json)
        sendText(responder, http::status::Ok, ExplainJsonType, renderExplanationJson(*explanation));
    else
        sendText(responder, http::status::Ok, ExplainTextType, renderExplanationText(*explanation));
}

} // namespace jujube::serving
