#include "soak/promises.h"

#include "core/text.h"

#include <algorithm>
#include <map>
#include <set>

namespace jujube::soak {

namespace {

using core::Milliseconds;
using core::TimePoint;

// A client's leaving has to reach the worker within this time.
constexpr Milliseconds LeavingTime{700};
// Beyond a route's time limit, for the last answer.
constexpr Milliseconds AnswerSlack{500};
constexpr uint32_t ReadAttempts = 2;
constexpr uint32_t ResumeAttempts = 3;

size_t runCount(const CallRecord &call, Site &site)
{
    size_t runs = 0;
    for (const SoakedWorker &it : site.workers())
        runs += it.worker->runCount(call.id);
    return runs;
}

bool atWork(const CallRecord &call, Site &site)
{
    return std::any_of(site.workers().begin(), site.workers().end(),
                       [&](const SoakedWorker &it) { return it.worker->isRunning(call.id); });
}

bool streams(CallKind kind)
{
    return kind != CallKind::Order && kind != CallKind::Read;
}

std::string expectedBody(const CallRecord &call)
{
    if (!streams(call.kind))
        return "answer to " + call.id;
    std::string body;
    for (uint32_t i = 1; i <= Site::StreamEvents; ++i)
        body += test::eventText(call.id, i);
    return body;
}

std::string describe(const CallRecord &call, Site &site)
{
    return core::concat(call.id, " (", kindName(call.kind), ") at gateway-", call.gateway,
                        ": status ", call.status, ", ", call.body.size(), " bytes, ",
                        call.whole ? "whole" : "not whole", call.left ? ", client left" : "",
                        ", runs ", runCount(call, site));
}

bool success(const CallRecord &call)
{
    return http::status::isSuccess(call.status);
}

// Applies a check to each call that it concerns.
Finding overCalls(const std::string &promise, const Callers &callers, Site &site,
                  const std::function<bool(const CallRecord &)> &concerns,
                  const std::function<bool(const CallRecord &)> &holds)
{
    Finding finding;
    finding.promise = promise;
    for (const CallRecord &it : callers.records()) {
        if (!concerns(it))
            continue;
        ++finding.examined;
        if (!holds(it))
            finding.breaches.push_back(describe(it, site));
    }
    return finding;
}

Finding wholeAnswers(const Callers &callers, Site &site)
{
    return overCalls(
        "a success is the worker's answer, byte for byte, to that request", callers, site,
        [](const CallRecord &it) { return it.ended && success(it); },
        [](const CallRecord &it) {
            const std::string expected = expectedBody(it);
            return it.sealed && (it.whole ? it.body == expected : expected.starts_with(it.body));
        });
}

Finding notRun(const Callers &callers, Site &site)
{
    return overCalls(
        "a refusal that says \"not run\" is true", callers, site,
        [](const CallRecord &it) {
            return it.ended && !repeatable(it.kind)
                && (it.status == http::status::ServiceUnavailable
                    || it.status == http::status::TooManyRequests);
        },
        [&](const CallRecord &it) { return runCount(it, site) == 0; });
}

Finding comesBack(const Callers &callers, Site &site)
{
    return overCalls(
        "a refusal says when to come back", callers, site,
        [](const CallRecord &it) {
            return it.ended && it.status == http::status::ServiceUnavailable;
        },
        [](const CallRecord &it) { return it.comesBack; });
}

Finding atMostOnce(const Callers &callers, Site &site)
{
    return overCalls(
        "what may run once runs once at most, the rest no more than its attempts", callers, site,
        [](const CallRecord &) { return true; },
        [&](const CallRecord &it) {
            const size_t most = it.kind == CallKind::Read ? ReadAttempts
                : it.kind == CallKind::StreamResume       ? ResumeAttempts
                                                          : 1;
            return runCount(it, site) <= most;
        });
}

Finding keysStay(Site &site, const Callers &callers)
{
    Finding finding;
    finding.promise = "workers get the team, never the key, and only what a client sent";
    std::set<std::string> sent;
    for (const CallRecord &it : callers.records())
        sent.insert(it.id);
    for (const SoakedWorker &worker : site.workers()) {
        for (const test::ReceivedRequest &it : worker.worker->receivedRequests()) {
            ++finding.examined;
            if (it.hasApiKey || it.team != "team-a" || !sent.contains(it.id))
                finding.breaches.push_back(core::concat(it.id, " at ", worker.worker->id(),
                                                        " for team \"", it.team, "\""));
        }
    }
    return finding;
}

Finding leaving(const Callers &callers, Site &site, TimePoint now)
{
    return overCalls(
        "work ends soon after its client has left", callers, site,
        [&](const CallRecord &it) {
            return it.left && it.kind != CallKind::Order && now > it.endedAt + LeavingTime
                && site.disturbances().calm(it.gateway, it.sentAt, it.endedAt + LeavingTime);
        },
        [&](const CallRecord &it) { return !atWork(it, site); });
}

// Holds after a gateway was suspended as well: what waited in its sockets has been left by then.
Finding nothingForTheGone(const Callers &callers, Site &site)
{
    Finding finding;
    finding.promise = "nothing is sent for a client that has left";
    std::map<std::string, const CallRecord *> left;
    for (const CallRecord &it : callers.records()) {
        if (it.left)
            left.emplace(it.id, &it);
    }
    for (const SoakedWorker &worker : site.workers()) {
        for (const test::ReceivedRequest &it : worker.worker->receivedRequests()) {
            const auto call = left.find(it.id);
            if (call == left.end()
                || !site.disturbances().undisturbed(AllGateways, call->second->sentAt, it.at))
                continue;
            ++finding.examined;
            if (it.at > call->second->endedAt + LeavingTime)
                finding.breaches.push_back(describe(*call->second, site));
        }
    }
    return finding;
}

Finding answered(const Callers &callers, Site &site, TimePoint now)
{
    constexpr Milliseconds limit = Site::RouteTimeout + AnswerSlack;
    return overCalls(
        "every request has its answer within its limit", callers, site,
        [&](const CallRecord &it) {
            return !it.left && (it.ended || now > it.sentAt + limit)
                && site.disturbances().undisturbed(it.gateway, it.sentAt, it.sentAt + limit);
        },
        [&](const CallRecord &it) {
            // One that crossed the close of its connection and went nowhere may be sent again.
            const TimePoint end = it.sentAt + limit;
            if (it.ended && it.status == 0)
                return runCount(it, site) == 0
                    || !site.disturbances().calm(it.gateway, it.sentAt, end);
            return it.ended && it.endedAt - it.sentAt <= limit;
        });
}

Finding reportedOnce(const Site &site)
{
    Finding finding;
    finding.promise = "a usage window has one report; fencing tokens have one holder and rise";
    uint64_t highest = 0;
    std::map<std::string, std::string> byWindow;
    std::map<uint64_t, std::string> holders;
    for (const UsageReport &it : site.reports()) {
        ++finding.examined;
        const size_t at = it.body.find("\"WindowId\":");
        const std::string window = at == std::string::npos
            ? it.body
            : it.body.substr(at, it.body.find_first_of(",}", at) - at);
        if (byWindow.try_emplace(window, it.body).first->second != it.body)
            finding.breaches.push_back(core::concat(byWindow[window], " and then ", it.body));
        if (it.token < highest)
            finding.breaches.push_back(core::concat("token ", it.token, " after ", highest));
        highest = std::max(highest, it.token);
        if (holders.try_emplace(it.token, it.holder).first->second != it.holder)
            finding.breaches.push_back(
                core::concat("token ", it.token, " of ", holders[it.token], " and ", it.holder));
    }
    return finding;
}

} // namespace

std::vector<Finding> checkPromises(const Callers &callers, Site &site, TimePoint now)
{
    return {
        wholeAnswers(callers, site),      notRun(callers, site),        comesBack(callers, site),
        atMostOnce(callers, site),        keysStay(site, callers),      leaving(callers, site, now),
        nothingForTheGone(callers, site), answered(callers, site, now), reportedOnce(site)};
}

double servedSince(const Callers &callers, TimePoint since)
{
    size_t asked = 0;
    size_t served = 0;
    for (const CallRecord &it : callers.records()) {
        if (it.sentAt < since || !it.ended || it.left)
            continue;
        ++asked;
        served += success(it) && it.whole ? 1 : 0;
    }
    return asked == 0 ? 0 : static_cast<double>(served) / static_cast<double>(asked);
}

} // namespace jujube::soak
