#include "serving/session.h"

#include "core/eventlog.h"
#include "core/metrics.h"
#include "core/text.h"
#include "platform/requestcodec.h"

#include <algorithm>

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;
using ErrorCode = boost::system::error_code;

// A connection inside a region takes a few ms; a VM that lost its power does not answer at all.
constexpr Milliseconds ConnectTimeout{350};
// A prompt may be read again elsewhere, so a silent engine is not waited for much longer than the
// prediction: it is off by the work of other gateways that the last datagrams did not tell.
constexpr Milliseconds PrefillSlack{600}; // Nine of ten prompts are read within 250 ms.
constexpr int PrefillPatience = 3;
// An engine this late has probably gone dark: two dozen prompts a second must not follow.
constexpr Milliseconds SuspectSlack{200};
constexpr int SuspectPatience = 2;
constexpr Milliseconds SuspectPause{400};
// Connection attempts that fail reach nobody and are free, but not without end.
constexpr uint32_t MaxSends = 8;
// Refused callers return spread over this time, so that they do not come back as one burst.
constexpr Milliseconds ComeBackLeast{400};
constexpr Milliseconds ComeBackSpread{1'200};
constexpr uint32_t FirstEnginePriority = 3; ///< Leaves room above for work that was begun.
// A request that has become late on its way yields by as much as one that was late in the queue.
constexpr uint32_t LatePriorityStep = 2;
constexpr Milliseconds HandleReleaseTimeout{1'000};

} // namespace

std::shared_ptr<Session> Session::create(SessionServices &services, AdmittedRequest request,
                                         http::Responder responder)
{
    return std::shared_ptr<Session>(
        new Session(services, std::move(request), std::move(responder)));
}

Session::Session(SessionServices &services, AdmittedRequest request, http::Responder responder)
    : m_services(services),
      m_request(std::move(request)),
      m_responder(std::move(responder)),
      m_deadlineTimer(services.io),
      m_prefillTimer(services.io),
      m_arrived(core::BootClock::now())
{
    const Route &route = *m_request.route;
    Milliseconds limit = route.timeout.count() > 0 ? route.timeout : Milliseconds(60'000);
    if (m_request.facts.timeLeft)
        limit = std::min(limit, *m_request.facts.timeLeft);
    m_deadline = m_arrived + limit;
    for (const PromptPart &part : m_request.facts.parts)
        policy::appendPrefixBlock(m_chain, part.id, part.tokens);
    m_prompt.tokens = m_request.facts.promptTokens;
    // The last part is the request's own; the one before is the last that others share.
    if (m_chain.size() > 1)
        m_prompt.prefixHash = m_chain[m_chain.size() - 2].hash;
}

Session::~Session()
{
    release(false);
}

void Session::start()
{
    const auto weak = weak_from_this();
    m_responder.onClientGone([weak]() {
        if (const auto self = weak.lock())
            self->clientGone();
    });
    m_deadlineTimer.expires_at(std::chrono::steady_clock::now()
                               + (m_deadline - core::BootClock::now()));
    const auto self = shared_from_this();
    m_deadlineTimer.async_wait([self](const ErrorCode &ec) {
        if (!ec)
            self->timedOut();
    });
    m_services.budget(m_request.service).noteRequest(m_arrived);
    next();
}

// Decides what the request needs next: its prompt read, or an endpoint to run it.
void Session::next()
{
    if (m_finished)
        return;
    if (timeLeft().count() <= 0) {
        timedOut();
        return;
    }
    if (wantsPrefill())
        waitForEngine();
    else
        sendRun();
}

bool Session::wantsPrefill() const
{
    return m_request.route->promptParts && !m_handleAt && !m_prefillTried && m_sends == 0
        && m_request.facts.lastEvent.empty() && m_prompt.tokens > 0;
}

void Session::waitForEngine()
{
    policy::WaitingPrompt prompt;
    prompt.routeName = m_request.route->name;
    prompt.rank = m_request.rank;
    prompt.info = m_prompt;
    prompt.arrivedAt = m_arrived;
    prompt.firstTokenDueAt = m_arrived + m_request.route->objective;
    prompt.deadlineAt = firstEventBy();
    prompt.failedEngines = m_avoid;
    const Milliseconds wait = m_services.prompts.expectedWait(m_request.service, prompt);
    if (core::BootClock::now() + wait > prompt.deadlineAt) {
        fail(http::status::ServiceUnavailable, "the queue is longer than the client waits",
             comeBack());
        return;
    }
    const auto self = shared_from_this();
    PromptCallbacks callbacks;
    callbacks.onEngine = [self](const ReadPlan &plan) {
        self->m_waitId = 0;
        self->assigned(plan);
    };
    callbacks.onNoEngine = [self]() {
        self->m_waitId = 0;
        self->m_prefillTried = true;
        self->next();
    };
    callbacks.onHopeless = [self]() {
        self->m_waitId = 0;
        self->fail(http::status::ServiceUnavailable,
                   "it waited for an engine until it was too late", self->comeBack());
    };
    m_waitId =
        m_services.prompts.add(m_request.service, std::move(prompt), m_chain, std::move(callbacks));
}

void Session::stopWaiting()
{
    if (m_waitId != 0)
        m_services.prompts.remove(m_request.service, std::exchange(m_waitId, 0));
}

double Session::expectedOutput() const
{
    // Without an estimate of the client: answers take up half of their limit, more or less.
    return m_request.facts.expectedOutput.value_or(m_request.facts.maxOutputTokens / 2);
}

// An engine has room for the prompt: it reads it for another one to decode, or runs it whole.
void Session::assigned(const ReadPlan &plan)
{
    if (abandoned())
        return;
    m_assignedAt = core::BootClock::now();
    m_plan = plan;
    m_services.notePromptTokens(plan.choice.uncachedTokens);
    m_services.noteOutputTokens(expectedOutput());
    if (!plan.engine->prefills()) {
        m_prefillTried = true;
        sendRunTo(plan.engine);
        return;
    }
    m_services.partNews.note(*plan.engine, m_chain, m_assignedAt);
    m_sentTokens = plan.choice.uncachedTokens;
    SendFacts facts;
    facts.prefillOnly = true;
    facts.fetchFrom = plan.fetchFrom;
    send(Purpose::Prefill, plan.engine, std::move(facts));
    armPrefillTimer();
}

// First the engine is suspected, and gets no further prompts for a moment; then the prompt is given
// to another one.
void Session::armPrefillTimer()
{
    const Milliseconds predicted = m_plan.choice.predictedFirstToken;
    const Milliseconds suspect = predicted * SuspectPatience + SuspectSlack;
    waitForPrefill(suspect, [this, predicted, suspect]() {
        core::countMetric("jujube_engines_suspected_total");
        m_endpoint->pause(core::BootClock::now(), SuspectPause);
        waitForPrefill(predicted * PrefillPatience + PrefillSlack - suspect, [this]() {
            noteBroken();
            prefillFailed(true, "no answer in time");
        });
    });
}

// Calls back unless the present prefill has ended by then.
void Session::waitForPrefill(Milliseconds time, std::function<void()> late)
{
    m_prefillTimer.expires_after(time);
    const auto self = shared_from_this();
    m_prefillTimer.async_wait(
        [self, sentAt = m_sentAt, late = std::move(late)](const ErrorCode &ec) {
            const bool waits = !ec && !self->m_finished && self->m_purpose == Purpose::Prefill
                && self->m_connection && self->m_sentAt == sentAt;
            if (waits)
                late();
        });
}

EndpointPtr Session::chooseRunner()
{
    const TimePoint now = core::BootClock::now();
    std::vector<EndpointPtr> endpoints;
    std::vector<policy::PlacementCandidate> views;
    for (const EndpointPtr &it : m_services.endpoints.ofService(m_request.service)) {
        if (it->prefills() || m_avoid.contains(it->record.id))
            continue;
        endpoints.push_back(it);
        views.push_back(viewOf(*it, m_chain, now));
    }
    const std::string &domain = m_handleAt ? m_handleAt->record.domain : m_services.domain;
    const auto index =
        policy::chooseLeastLoadedEndpoint(views, domain, m_services.placement, m_services.random);
    if (!index)
        return nullptr;
    if (views[*index].probe)
        endpoints[*index]->health.startProbe(now);
    return endpoints[*index];
}

void Session::sendRun()
{
    const EndpointPtr endpoint = m_sends < MaxSends ? chooseRunner() : nullptr;
    if (!endpoint) {
        if (m_streaming)
            finishStream(false);
        else if (m_mayHaveRun)
            fail(http::status::BadGateway, "it failed, and no other endpoint can take it");
        else
            fail(http::status::ServiceUnavailable, "no endpoint can take it now", comeBack());
        return;
    }
    if (!m_handleAt)
        m_plan = {};
    sendRunTo(endpoint);
}

void Session::sendRunTo(const EndpointPtr &endpoint)
{
    if (abandoned())
        return;
    ++m_sends;
    ++m_runs;
    SendFacts facts;
    facts.resumeAfter = m_frames.lastId();
    m_sentTokens = 0;
    if (m_handleAt) {
        facts.cacheSource = m_handleAt->record.address + "/" + m_handle.handle;
    } else if (m_plan.engine) {
        facts.fetchFrom = m_plan.fetchFrom;
        m_sentTokens = m_plan.choice.uncachedTokens;
    } else if (m_prompt.tokens > 0) {
        m_sentTokens =
            m_prompt.tokens - std::min(m_prompt.tokens, endpoint->parts.cachedTokens(m_chain));
    }
    if (!m_chain.empty())
        m_services.partNews.note(*endpoint, m_chain, core::BootClock::now());
    send(Purpose::Run, endpoint, std::move(facts));
}

// The engines order what waits there as the gateways' queues do: while they are full, what other
// gateways sent in the same moment is put in order there.
uint32_t Session::enginePriority() const
{
    if (!m_plan.engine)
        return std::min(FirstEnginePriority + m_request.rank, policy::LowestEnginePriority);
    const TimePoint due = m_arrived + m_request.route->objective;
    const bool becameLate = m_assignedAt <= due && core::BootClock::now() > due;
    return std::min(m_plan.priority + (becameLate ? LatePriorityStep : 0),
                    policy::LowestEnginePriority);
}

void Session::send(Purpose purpose, const EndpointPtr &endpoint, SendFacts facts)
{
    m_purpose = purpose;
    m_endpoint = endpoint;
    m_sentAt = core::BootClock::now();
    m_eventAt = {};
    m_body.clear();
    m_head = {};
    m_answer = {};
    ++endpoint->own.running;
    endpoint->own.backlogTokens += m_sentTokens;
    m_services.loadChanged();
    facts.endpointId = endpoint->record.id;
    facts.timeLeft = timeLeft();
    facts.team = m_request.team;
    if (m_request.route->promptParts)
        facts.priority = enginePriority();
    const http::Head head = platform::encodeForEndpoint(m_request.message.head, facts);
    core::Event("request.sent")
        .with("request", m_request.facts.id)
        .with("for", purpose == Purpose::Prefill ? "prefill" : "run")
        .with("endpoint", endpoint->record.id)
        .with("sends", m_sends)
        .with("running", endpoint->own.running + endpoint->peers.running)
        .with("tokens", m_sentTokens)
        .with("backlog", endpoint->own.backlogTokens + endpoint->peers.backlogTokens)
        .with("predicted_ms", m_plan.choice.predictedFirstToken.count())
        .with("left_ms", facts.timeLeft.count());
    m_connection = m_services.pool.take(endpoint->record.address);
    const auto self = shared_from_this();
    http::ExchangeHandler handler;
    handler.onHead = [self](const http::Head &answer) { return self->onHead(answer); };
    handler.onBody = [self](std::string &body) { self->onBody(body); };
    handler.onEnd = [self]() { self->onEnd(); };
    handler.onFailure = [self](http::Failure failure, const std::string &why) {
        self->onFailure(failure, why);
    };
    m_connection->send(http::renderRequest(head, m_request.message.body), head.method == "HEAD",
                       ConnectTimeout, std::move(handler));
}

// Ends the accounting of the send under way. Its connection goes back to the pool, or is closed,
// which makes the endpoint stop.
void Session::release(bool keepConnection)
{
    m_prefillTimer.cancel();
    if (m_endpoint) {
        m_services.prompts.wake();
        m_services.loadChanged();
        --m_endpoint->own.running;
        m_endpoint->own.backlogTokens -= std::exchange(m_sentTokens, 0);
        m_endpoint = nullptr;
    }
    if (const auto connection = std::exchange(m_connection, nullptr)) {
        if (keepConnection)
            m_services.pool.put(connection);
        else
            connection->close();
    }
}

void Session::dropHandle()
{
    if (!m_handleAt || m_sends > 0)
        return;
    const EndpointPtr at = std::exchange(m_handleAt, nullptr);
    m_services.caller.call(
        at->record.address, platform::releaseHandleCall(m_handle.handle, at->record.id),
        HandleReleaseTimeout,
        [at, handle = m_handle.handle](const http::CallResult &result) {
            if (result.response.ok())
                noteNotices(*at, platform::decodeAnswer(result.response->head),
                            core::BootClock::now());
            if (!result.response.ok())
                core::Event("handle.release.failed")
                    .with("handle", handle)
                    .with("why", result.response.status().message());
        },
        http::Connections::Own);
}

void Session::fail(uint32_t status, const std::string &why, Milliseconds retryAfter)
{
    if (m_finished)
        return;
    core::Event("request.failed")
        .with("request", m_request.facts.id)
        .with("status", status)
        .with("why", why)
        .with("config", m_request.config->version)
        .with("retry_after_ms", retryAfter.count());
    m_responder.send(platform::ownAnswer(status, m_request.facts.id, retryAfter), {});
    finish("failed", status);
}

void Session::finish(std::string_view outcome, uint32_t status)
{
    if (std::exchange(m_finished, true))
        return;
    stopWaiting();
    dropHandle();
    release(false);
    m_deadlineTimer.cancel();
    core::Event("request.end")
        .with("request", m_request.facts.id)
        .with("route", m_request.route->name)
        .with("outcome", outcome)
        .with("status", status)
        .with("sends", m_sends)
        .with("assigned_ms", sinceArrival(m_assignedAt))
        .with("read_ms", sinceArrival(m_readAt))
        .with("first_ms", sinceArrival(m_firstAt))
        .with("ms", sinceArrival(core::BootClock::now()));
    core::countMetric("jujube_requests_total", core::concat("outcome=\"", outcome, "\""));
}

int64_t Session::sinceArrival(TimePoint at) const
{
    return at == TimePoint{} ? -1
                             : std::chrono::duration_cast<Milliseconds>(at - m_arrived).count();
}

void Session::clientGone()
{
    if (m_finished)
        return;
    // Work that must not run twice is left to its end: breaking it off would leave the client with
    // an effect that may or may not have happened.
    if (m_connection && m_purpose == Purpose::Run
        && m_request.route->kind == RouteKind::AtMostOnce) {
        m_detached = true;
        return;
    }
    release(false);
    finish("client-left", 0);
}

void Session::timedOut()
{
    if (m_finished)
        return;
    const bool running = m_connection && m_purpose == Purpose::Run;
    release(false);
    if (m_streaming) {
        m_responder.abort();
        finish("timed-out", m_head.status);
    } else if (running || m_mayHaveRun) {
        fail(http::status::GatewayTimeout, "no answer within the time limit");
    } else {
        fail(http::status::ServiceUnavailable, "no endpoint took it within the time limit",
             comeBack());
    }
}

// Events are handled in the order in which the loop gets to them: a close or a deadline may have
// come before the event that leads to this send, and wait behind it.
bool Session::abandoned()
{
    if (m_finished)
        return true;
    if (m_responder.clientLeft()) {
        core::countMetric("jujube_sends_abandoned_total");
        clientGone();
        return true;
    }
    if (timeLeft().count() <= 0) {
        timedOut();
        return true;
    }
    return false;
}

TimePoint Session::firstEventBy() const
{
    const Milliseconds patience = m_request.route->patience;
    return patience.count() > 0 ? std::min(m_deadline, m_arrived + patience) : m_deadline;
}

Milliseconds Session::timeLeft() const
{
    return std::chrono::floor<Milliseconds>(m_deadline - core::BootClock::now());
}

Milliseconds Session::comeBack()
{
    std::uniform_int_distribution<int64_t> spread(0, ComeBackSpread.count());
    const auto declined =
        m_services.endpoints.backoffLeft(m_request.service, core::BootClock::now());
    return std::max(ComeBackLeast, declined.value_or(Milliseconds(0)))
        + Milliseconds(spread(m_services.random));
}

} // namespace jujube::serving
