/** \file
 * Admits clients' requests or refuses them, before a session carries them.
 */

#include "core/eventlog.h"
#include "core/metrics.h"
#include "core/text.h"
#include "platform/requestcodec.h"
#include "serving/gateway.h"

namespace jujube::serving {

using core::Milliseconds;
using core::TimePoint;

void Gateway::refuse(const http::Responder &responder, const http::Head &request, uint32_t status,
                     const std::string &why, Milliseconds retryAfter)
{
    const std::string id = platform::requestIdOf(request);
    const auto config = m_config.load();
    core::Event("request.refused")
        .with("request", id)
        .with("status", status)
        .with("why", why)
        .with("config", config ? config->version : 0);
    core::incrementCounter("jujube_refused_total", core::concat("status=\"", status, "\""));
    responder.send(platform::gatewayResponseHead(status, id, retryAfter), {});
}

void Gateway::onRequest(http::Request request, http::Responder responder)
{
    const TimePoint now = core::BootClock::now();
    m_requestRate.note(1, now);
    if (acceptsNoRequests(now)) {
        refuse(responder, request.head, http::status::ServiceUnavailable, "the gateway stops",
               StoppingRetryAfter);
        return;
    }
    const auto config = m_config.load();
    if (!config) {
        refuse(responder, request.head, http::status::ServiceUnavailable, "no configuration yet",
               NoConfigRetryAfter);
        return;
    }
    auto facts = platform::decodeRequest(request.head);
    if (!facts.ok()) {
        refuse(responder, request.head, http::status::BadRequest,
               std::string(facts.status().message()));
        return;
    }
    const RequestClass found = config->classify(facts->host, facts->path, facts->apiKey);
    if (!found.route) {
        refuse(responder, request.head, http::status::NotFound,
               "no route for " + facts->host + facts->path);
        return;
    }
    if (found.keyRefused) {
        refuse(responder, request.head, http::status::Unauthorized, "unknown key");
        return;
    }
    AdmittedRequest admitted;
    admitted.rank = found.rank;
    const TeamConfig *team = found.team;
    if (team)
        admitted.team = team->name;
    admitted.message = std::move(request);
    admitted.metadata = std::move(*facts);
    admitted.config = config;
    admitted.route = found.route;
    admitted.arrivedAt = now;
    if (team && team->quota)
        admitWithinQuota(*team, std::move(admitted), std::move(responder));
    else
        startSession(std::move(admitted), std::move(responder));
}

void Gateway::admitWithinQuota(const TeamConfig &team, AdmittedRequest admitted,
                               http::Responder responder)
{
    const auto request = std::make_shared<AdmittedRequest>(std::move(admitted));
    m_quotas.admit(team, request->metadata,
                   [this, request, responder](const TeamQuotas::Answer &answer) {
                       if (!answer.admitted) {
                           refuse(responder, request->message.head, http::status::TooManyRequests,
                                  "over the quota of the team", answer.retryAfter);
                       } else if (responder.clientDisconnected()) {
                           m_quotas.refund(answer.charge);
                       } else {
                           request->charge = answer.charge;
                           startSession(std::move(*request), responder);
                       }
                   });
}

void Gateway::startSession(AdmittedRequest admitted, http::Responder responder)
{
    admitted.service = pickWeightedService(*admitted.route, m_random);
    Session::create(m_sessionServices, std::move(admitted), std::move(responder))->start();
}

std::string pickWeightedService(const Route &route, std::mt19937_64 &random)
{
    double sum = 0;
    for (const SplitTarget &it : route.targets)
        sum += it.weight;
    std::uniform_real_distribution<double> draw(0, sum);
    double point = draw(random);
    for (const SplitTarget &it : route.targets) {
        point -= it.weight;
        if (point < 0 && it.weight > 0)
            return it.service;
    }
    return route.targets.front().service;
}

} // namespace jujube::serving
