#include "soak/invariants.h"

#include "core/text.h"

#include <algorithm>
#include <map>
#include <set>

namespace jujube::soak {

namespace {

using core::Milliseconds;
using core::TimePoint;

// Time in which a client's disconnect has to reach the endpoint.
constexpr Milliseconds DisconnectPropagation{700};
// Time beyond a route's time limit in which the response may still arrive.
constexpr Milliseconds ResponseSlack{500};
constexpr uint32_t ReadAttempts = 2;
// From the fifth crash on which prompts with the same block until all gateways know of it, and
// how many more may be sent then.
constexpr Milliseconds ContactTime{3'000};
constexpr size_t CrashesUntilKnown = 5;
constexpr size_t AllowedCrashingSends = 3;
constexpr size_t MinSoundRequests = 20;
constexpr double MinSoundShare = 0.5;
constexpr uint32_t ResumeAttempts = 3;

size_t runCount(const RequestRecord &request, SoakDeployment &deployment)
{
    size_t runs = 0;
    for (const SoakedEndpoint &it : deployment.endpoints())
        runs += it.fake->runCount(request.id);
    return runs;
}

bool isRunningAnywhere(const RequestRecord &request, SoakDeployment &deployment)
{
    return std::any_of(deployment.endpoints().begin(), deployment.endpoints().end(),
                       [&](const SoakedEndpoint &it) { return it.fake->isRunning(request.id); });
}

bool streams(RequestKind kind)
{
    return kind != RequestKind::Order && kind != RequestKind::Read;
}

std::string expectedBody(const RequestRecord &request)
{
    if (!streams(request.kind))
        return "answer to " + request.id;
    std::string body;
    for (uint32_t i = 1; i <= SoakDeployment::StreamEvents; ++i)
        body += test::eventText(request.id, i);
    return body;
}

std::string describe(const RequestRecord &request, SoakDeployment &deployment)
{
    return core::concat(request.id, " (", kindName(request.kind), ") at gateway-", request.gateway,
                        ": status ", request.status, ", ", request.body.size(), " bytes, ",
                        request.complete ? "whole" : "not whole",
                        request.disconnected ? ", client left" : "", ", runs ",
                        runCount(request, deployment));
}

bool success(const RequestRecord &request)
{
    return http::status::isSuccess(request.status);
}

// Checks each request that an invariant applies to.
InvariantResult checkRequests(const std::string &invariant, const LoadGenerator &load,
                              SoakDeployment &deployment,
                              const std::function<bool(const RequestRecord &)> &applies,
                              const std::function<bool(const RequestRecord &)> &holds)
{
    InvariantResult result;
    result.invariant = invariant;
    for (const RequestRecord &it : load.records()) {
        if (!applies(it))
            continue;
        ++result.examinedCount;
        if (!holds(it))
            result.breaches.push_back(describe(it, deployment));
    }
    return result;
}

InvariantResult checkResponseBodies(const LoadGenerator &load, SoakDeployment &deployment)
{
    return checkRequests(
        "a success is the worker's answer, byte for byte, to that request", load, deployment,
        [](const RequestRecord &it) { return it.ended && success(it); },
        [](const RequestRecord &it) {
            const std::string expected = expectedBody(it);
            return it.hasSeal
                && (it.complete ? it.body == expected : expected.starts_with(it.body));
        });
}

InvariantResult checkRefusedNotRun(const LoadGenerator &load, SoakDeployment &deployment)
{
    return checkRequests(
        "a refusal that says \"not run\" is true", load, deployment,
        [](const RequestRecord &it) {
            return it.ended && !isRepeatable(it.kind)
                && (it.status == http::status::ServiceUnavailable
                    || it.status == http::status::TooManyRequests);
        },
        [&](const RequestRecord &it) { return runCount(it, deployment) == 0; });
}

InvariantResult checkRetryAfter(const LoadGenerator &load, SoakDeployment &deployment)
{
    return checkRequests(
        "a refusal says when to come back", load, deployment,
        [](const RequestRecord &it) {
            return it.ended && it.status == http::status::ServiceUnavailable;
        },
        [](const RequestRecord &it) { return it.hasRetryAfter; });
}

InvariantResult checkRunCounts(const LoadGenerator &load, SoakDeployment &deployment)
{
    return checkRequests(
        "what may run once runs once at most, the rest no more than its attempts", load, deployment,
        [](const RequestRecord &) { return true; },
        [&](const RequestRecord &it) {
            const size_t most = it.kind == RequestKind::Read ? ReadAttempts
                : it.kind == RequestKind::StreamResume       ? ResumeAttempts
                                                             : 1;
            return runCount(it, deployment) <= most;
        });
}

InvariantResult checkApiKeysWithheld(SoakDeployment &deployment, const LoadGenerator &load)
{
    InvariantResult result;
    result.invariant = "workers get the team, never the key, and only what a client sent";
    std::map<std::string, std::string> teams;
    for (const RequestRecord &it : load.records())
        teams.emplace(it.id, it.team);
    for (const SoakedEndpoint &endpoint : deployment.endpoints()) {
        for (const test::ReceivedRequest &it : endpoint.fake->receivedRequests()) {
            ++result.examinedCount;
            const auto team = teams.find(it.id);
            if (it.hasApiKey || team == teams.end() || it.team != team->second)
                result.breaches.push_back(core::concat(it.id, " at ", endpoint.fake->id(),
                                                       " for team \"", it.team, "\""));
        }
    }
    return result;
}

InvariantResult checkCancellation(const LoadGenerator &load, SoakDeployment &deployment,
                                  TimePoint now)
{
    return checkRequests(
        "work ends soon after its client has left", load, deployment,
        [&](const RequestRecord &it) {
            return it.disconnected && it.kind != RequestKind::Order
                && now > it.endedAt + DisconnectPropagation
                && deployment.disturbances().pathUndisturbed(it.gateway, it.sentAt,
                                                             it.endedAt + DisconnectPropagation);
        },
        [&](const RequestRecord &it) { return !isRunningAnywhere(it, deployment); });
}

// This invariant also holds for a gateway that was suspended. When it resumes, it has to notice
// which clients have closed their connections while their requests waited in its sockets.
InvariantResult checkNoSendAfterDisconnect(const LoadGenerator &load, SoakDeployment &deployment)
{
    InvariantResult result;
    result.invariant = "nothing is sent for a client that has left";
    std::map<std::string, const RequestRecord *> disconnected;
    for (const RequestRecord &it : load.records()) {
        if (it.disconnected)
            disconnected.emplace(it.id, &it);
    }
    for (const SoakedEndpoint &endpoint : deployment.endpoints()) {
        for (const test::ReceivedRequest &it : endpoint.fake->receivedRequests()) {
            const auto request = disconnected.find(it.id);
            if (request == disconnected.end()
                || !deployment.disturbances().undisturbed(AllGateways, request->second->sentAt,
                                                          it.at))
                continue;
            ++result.examinedCount;
            if (it.at > request->second->endedAt + DisconnectPropagation)
                result.breaches.push_back(describe(*request->second, deployment));
        }
    }
    return result;
}

InvariantResult checkResponseTime(const LoadGenerator &load, SoakDeployment &deployment,
                                  TimePoint now)
{
    constexpr Milliseconds limit = SoakDeployment::RouteTimeout + ResponseSlack;
    return checkRequests(
        "every request has its answer within its limit", load, deployment,
        [&](const RequestRecord &it) {
            return !it.disconnected && (it.ended || now > it.sentAt + limit)
                && deployment.disturbances().undisturbed(it.gateway, it.sentAt, it.sentAt + limit);
        },
        [&](const RequestRecord &it) {
            // A request that was sent while the gateway closed the connection gets no response.
            // That is no breach if it has not run, since the client may send it again.
            const TimePoint end = it.sentAt + limit;
            if (it.ended && it.status == 0)
                return runCount(it, deployment) == 0
                    || !deployment.disturbances().pathUndisturbed(it.gateway, it.sentAt, end);
            return it.ended && it.endedAt - it.sentAt <= limit;
        });
}

InvariantResult checkUsageReports(const SoakDeployment &deployment)
{
    InvariantResult result;
    result.invariant = "a usage window has one report; fencing tokens have one holder and rise";
    uint64_t highest = 0;
    std::map<std::string, std::string> byWindow;
    std::map<uint64_t, std::string> holders;
    for (const UsageReport &it : deployment.reports()) {
        ++result.examinedCount;
        const size_t at = it.body.find("\"WindowId\":");
        const std::string window = at == std::string::npos
            ? it.body
            : it.body.substr(at, it.body.find_first_of(",}", at) - at);
        if (byWindow.try_emplace(window, it.body).first->second != it.body)
            result.breaches.push_back(core::concat(byWindow[window], " and then ", it.body));
        if (it.fencingToken < highest)
            result.breaches.push_back(core::concat("token ", it.fencingToken, " after ", highest));
        highest = std::max(highest, it.fencingToken);
        if (holders.try_emplace(it.fencingToken, it.holder).first->second != it.holder)
            result.breaches.push_back(core::concat("token ", it.fencingToken, " of ",
                                                   holders[it.fencingToken], " and ", it.holder));
    }
    return result;
}

TimePoint quarantineDue(const SoakDeployment &deployment)
{
    const auto &crashes = deployment.crashes();
    return crashes.size() < CrashesUntilKnown ? TimePoint::max()
                                              : crashes[CrashesUntilKnown - 1] + ContactTime;
}

InvariantResult checkCrashingPrompts(const LoadGenerator &load, SoakDeployment &deployment)
{
    InvariantResult result;
    result.invariant = "prompts that crash engines are not sent once the gateways can know";
    std::map<std::string, const RequestRecord *> crashing;
    for (const RequestRecord &it : load.records()) {
        if (it.kind == RequestKind::CrashingPrompt)
            crashing.emplace(it.id, &it);
    }
    const TimePoint due = quarantineDue(deployment);
    std::vector<std::string> sent;
    for (const SoakedEndpoint &endpoint : deployment.endpoints()) {
        for (const test::ReceivedRequest &it : endpoint.fake->receivedRequests()) {
            const auto request = crashing.find(it.id);
            if (request == crashing.end())
                continue;
            ++result.examinedCount;
            // Only gateways whose processes and connections have worked for ContactTime count.
            if (it.at > due
                && deployment.disturbances().pathUndisturbed(request->second->gateway, it.at,
                                                             it.at))
                sent.push_back(core::concat(describe(*request->second, deployment), ", to ",
                                            endpoint.fake->id()));
        }
    }
    if (sent.size() > AllowedCrashingSends)
        result.breaches = sent;
    return result;
}

InvariantResult checkSoundPrompts(const LoadGenerator &load, SoakDeployment &deployment)
{
    InvariantResult result;
    result.invariant = "sound prompts that share blocks with crashing ones are served";
    const auto &crashes = deployment.crashes();
    if (crashes.empty())
        return result;
    const TimePoint due =
        crashes[std::min(crashes.size(), CrashesUntilKnown) - 1] + 2 * ContactTime;
    size_t begun = 0;
    for (const RequestRecord &it : load.records()) {
        if (it.kind != RequestKind::Prompt || !it.ended || it.disconnected || it.sentAt < due
            || !deployment.disturbances().pathUndisturbed(it.gateway, it.sentAt, it.endedAt))
            continue;
        ++result.examinedCount;
        begun += success(it) ? 1 : 0;
    }
    if (result.examinedCount >= MinSoundRequests
        && static_cast<double>(begun) < MinSoundShare * static_cast<double>(result.examinedCount))
        result.breaches.push_back(core::concat(begun, " of ", result.examinedCount, " begun"));
    return result;
}

} // namespace

std::vector<InvariantResult> checkInvariants(const LoadGenerator &load, SoakDeployment &deployment,
                                             TimePoint now)
{
    return {checkResponseBodies(load, deployment),
            checkRefusedNotRun(load, deployment),
            checkRetryAfter(load, deployment),
            checkRunCounts(load, deployment),
            checkApiKeysWithheld(deployment, load),
            checkCancellation(load, deployment, now),
            checkNoSendAfterDisconnect(load, deployment),
            checkResponseTime(load, deployment, now),
            checkUsageReports(deployment),
            checkCrashingPrompts(load, deployment),
            checkSoundPrompts(load, deployment)};
}

double successShareSince(const LoadGenerator &load, TimePoint since)
{
    size_t answeredCount = 0;
    size_t succeeded = 0;
    for (const RequestRecord &it : load.records()) {
        if (it.sentAt < since || !it.ended || it.disconnected
            || it.kind == RequestKind::CrashingPrompt)
            continue;
        ++answeredCount;
        succeeded += success(it) && it.complete ? 1 : 0;
    }
    return answeredCount == 0 ? 0
                              : static_cast<double>(succeeded) / static_cast<double>(answeredCount);
}

} // namespace jujube::soak
