#include "serving/session.h"

#include "core/eventlog.h"
#include "core/metrics.h"
#include "core/text.h"
#include "platform/requestcodec.h"

#include <absl/strings/str_cat.h>
#include <algorithm>
#include <cmath>

namespace jujube::serving {

namespace {

using core::Milliseconds;
using core::TimePoint;
using ErrorCode = boost::system::error_code;

// Connecting within a region takes a few ms; a VM that has lost power does not answer at all.
constexpr Milliseconds ConnectTimeout{350}; ///< Unless it follows from the latency objective.
// A prompt can be prefilled again elsewhere, so the timeout of a prefill is not much longer than
// the prediction. The prediction misses work that other gateways have sent since their last gossip.
// It is near the median: a tenth of the prefills take more than twice as long.
constexpr Milliseconds PrefillTimeoutSlack{600}; // 90 % of prompts are prefilled within 250 ms.
constexpr int PrefillTimeoutFactor = 5;
// An engine that is this late has probably stopped answering and is suspected: otherwise two dozen
// prompts a second would follow.
constexpr Milliseconds SuspectSlack{200};
constexpr int SuspectFactor = 3;
// The same for a prediction of the time to the first token, which is about twice as long.
constexpr int FirstTokenTimeoutFactor = 3;
constexpr int FirstTokenSuspectFactor = 2;
constexpr Milliseconds SuspectPause{400};
// Failed connection attempts are not charged to the retry budget; this limit bounds them.
constexpr uint32_t MaxSends = 8;
constexpr uint32_t BaseEnginePriority = 3; ///< Leaves more urgent levels to requests in progress.
// Lowers the priority of a request that became late after its dispatch by as much as that of one
// that became late in the queue: two doublings of its key
// (policy::PromptQueueSettings::lateFactor).
constexpr uint32_t LatePriorityStep = 2;

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
      m_arrivedAt(m_request.arrivedAt),
      m_answerShare(services.answerBudget)
{
    const Route &route = *m_request.route;
    Milliseconds limit = route.timeout.count() > 0 ? route.timeout : Milliseconds(60'000);
    if (m_request.metadata.timeLeft)
        limit = std::min(limit, *m_request.metadata.timeLeft);
    m_deadline = m_arrivedAt + limit;
    m_chain = prefixChain(m_request.metadata);
    m_promptInfo = promptInfo(m_request.metadata, m_chain);
    m_sharedBlocks =
        QuarantineKeeper::sharedBlocks(m_request.service, m_request.metadata.prefixBlocks);
}

std::vector<policy::PrefixLink> prefixChain(const RequestMetadata &request)
{
    std::vector<policy::PrefixLink> chain;
    for (const PrefixBlock &part : request.prefixBlocks)
        policy::appendPrefixLink(chain, part.id, part.tokens);
    return chain;
}

policy::PromptInfo promptInfo(const RequestMetadata &request,
                              const std::vector<policy::PrefixLink> &chain)
{
    policy::PromptInfo info;
    info.tokens = request.promptTokens;
    // The last block belongs to this request alone; the one before is the last that requests share.
    if (chain.size() > 1)
        info.prefixHash = chain[chain.size() - 2].hash;
    return info;
}

Session::~Session()
{
    endSend(false);
}

void Session::start()
{
    m_services.open.insert(shared_from_this());
    const auto weak = weak_from_this();
    m_responder.onDisconnect([weak]() {
        if (const auto self = weak.lock())
            self->onClientDisconnected();
    });
    m_deadlineTimer.expires_at(std::chrono::steady_clock::now()
                               + (m_deadline - core::BootClock::now()));
    const auto self = shared_from_this();
    m_deadlineTimer.async_wait([self](const ErrorCode &ec) {
        if (!ec)
            self->onDeadline();
    });
    m_services.retryBudget(m_request.service).noteRequest(m_arrivedAt);
    if (estimateWork())
        startNextStep();
}

void Session::startNextStep()
{
    if (m_finished)
        return;
    if (timeLeft().count() <= 0) {
        onDeadline();
        return;
    }
    if (endIfQuarantined())
        return;
    if (needsPrefill())
        queuePrompt();
    else
        sendRun();
}

bool Session::needsPrefill() const
{
    return m_request.route->statesPromptBlocks && !m_prefillEngine && !m_prefillTried
        && m_runSends == 0 && m_request.metadata.lastEventId.empty() && m_promptInfo.tokens > 0;
}

void Session::queuePrompt()
{
    policy::WaitingPrompt prompt;
    prompt.routeName = m_request.route->name;
    prompt.rank = m_request.rank;
    prompt.team = m_request.team;
    prompt.expectedOutputTokens =
        expectedOutputTokens(outputRequest(), m_services.placement, m_services.outputLengths);
    prompt.info = m_promptInfo;
    prompt.arrivedAt = m_arrivedAt;
    prompt.firstTokenDueAt = m_arrivedAt + m_request.route->latencyObjective;
    prompt.deadlineAt = firstEventDeadline();
    prompt.failedEngines = m_avoidedEndpoints;
    const Milliseconds wait = m_services.promptScheduler.expectedWait(m_request.service, prompt);
    if (core::BootClock::now() + wait > prompt.deadlineAt) {
        if (m_services.promptScheduler.overuses(m_request.service, prompt.team))
            core::incrementCounter("jujube_overuse_refusals_total");
        fail(http::status::ServiceUnavailable,
             "the expected wait for an engine exceeds the deadline", retryAfterDelay());
        return;
    }
    const auto self = shared_from_this();
    PromptCallbacks callbacks;
    callbacks.onEngineAssigned = [self](const PrefillPlan &plan) {
        self->m_promptQueueId = 0;
        self->dispatchPrompt(plan);
    };
    callbacks.onNoUsableEngine = [self]() {
        self->m_promptQueueId = 0;
        self->m_prefillTried = true;
        self->startNextStep();
    };
    callbacks.onDeadlineUnreachable = [self]() {
        self->m_promptQueueId = 0;
        self->fail(http::status::ServiceUnavailable,
                   "the deadline can no longer be met; no engine was free in time",
                   self->retryAfterDelay());
    };
    m_promptQueueId = m_services.promptScheduler.add(m_request.service, std::move(prompt), m_chain,
                                                     std::move(callbacks));
}

void Session::leavePromptQueue()
{
    if (m_promptQueueId != 0)
        m_services.promptScheduler.remove(m_request.service, std::exchange(m_promptQueueId, 0));
}

policy::OutputRequest Session::outputRequest() const
{
    return {m_request.service, m_request.route->name, m_request.team,
            m_request.metadata.expectedOutputTokens, m_request.metadata.maxOutputTokens};
}

double expectedOutputTokens(const policy::OutputRequest &request,
                            const policy::PlacementSettings &placement,
                            const policy::OutputLengthEstimator &outputLengths)
{
    // Without an estimate from the client: answers use about half of their token limit.
    if (!placement.predictsByPace)
        return request.hint.value_or(request.maxOutputTokens / 2);
    return outputLengths.estimate(request).expected;
}

// Sends the prompt to its assigned engine, which prefills it for a decode engine or runs the whole
// request.
void Session::dispatchPrompt(const PrefillPlan &plan)
{
    if (endIfPointless())
        return;
    m_assignedAt = core::BootClock::now();
    m_prefillPlan = plan;
    if (plan.teamDelay)
        core::Event("prompt.delayed")
            .with("request", m_request.metadata.id)
            .with("team", m_request.team)
            .with("overuse", plan.teamDelay->overuse)
            .with("waited_ms", plan.teamDelay->waited.count());
    m_services.recordPrefillTokens(plan.choice.uncachedTokens);
    m_expectedOutputTokens =
        expectedOutputTokens(outputRequest(), m_services.placement, m_services.outputLengths);
    m_services.recordExpectedOutputTokens(m_expectedOutputTokens);
    if (!plan.engine->prefills()) {
        expectRunAt(*plan.engine, plan.choice.predictedFirstToken);
        m_prefillTried = true;
        sendRunTo(plan.engine);
        return;
    }
    m_services.prefixBlockGossip.recordSent(*plan.engine, m_chain, m_assignedAt);
    m_sentBacklogTokens = plan.choice.uncachedTokens;
    SendMetadata metadata;
    metadata.prefillOnly = true;
    metadata.fetchAddress = plan.fetchAddress;
    m_prefillSent = true;
    send(Purpose::Prefill, plan.engine, std::move(metadata));
    startPrefillTimeouts();
}

// Starts two timeouts in a row: after the first the engine is suspected and gets no prompts for a
// short time; after the second the prompt goes to another engine.
void Session::startPrefillTimeouts()
{
    const Milliseconds predicted = m_prefillPlan.choice.predictedPrefill;
    const bool byPace = m_prefillPlan.choice.byPace;
    const int timeoutFactor = byPace ? PrefillTimeoutFactor : FirstTokenTimeoutFactor;
    const Milliseconds suspect =
        predicted * (byPace ? SuspectFactor : FirstTokenSuspectFactor) + SuspectSlack;
    startPrefillTimer(suspect, [this, predicted, suspect, timeoutFactor]() {
        core::incrementCounter("jujube_engines_suspected_total");
        m_endpoint->pauseFor(core::BootClock::now(), SuspectPause);
        startPrefillTimer(predicted * timeoutFactor + PrefillTimeoutSlack - suspect, [this]() {
            // It takes at least as long.
            recordEngineSpeed(
                std::chrono::duration<double, std::milli>(core::BootClock::now() - m_sentAt)
                    .count());
            recordLostAnswer();
            handlePrefillFailure(true, "no answer to the prefill in time");
        });
    });
}

// Calls onExpired after a time unless the present prefill has ended by then.
void Session::startPrefillTimer(Milliseconds time, std::function<void()> onExpired)
{
    m_prefillTimer.expires_after(time);
    const auto self = shared_from_this();
    m_prefillTimer.async_wait(
        [self, sentAt = m_sentAt, onExpired = std::move(onExpired)](const ErrorCode &ec) {
            const bool waits = !ec && !self->m_finished && self->m_purpose == Purpose::Prefill
                && self->m_connection && self->m_sentAt == sentAt;
            if (waits)
                onExpired();
        });
}

EndpointPtr Session::chooseRunner()
{
    const TimePoint now = core::BootClock::now();
    std::vector<EndpointPtr> endpoints;
    std::vector<policy::PlacementCandidate> views;
    for (const EndpointPtr &it : m_services.endpoints.ofService(m_request.service)) {
        if (it->prefills() || m_avoidedEndpoints.contains(it->record.id))
            continue;
        endpoints.push_back(it);
        views.push_back(placementViewOf(*it, m_chain, now));
    }
    policy::applyHolds(views);
    const std::string &domain =
        m_prefillEngine ? m_prefillEngine->record.domain : m_services.domain;
    m_runChoice = {};
    if (m_plannedOutputTokens > 0)
        m_runChoice = policy::chooseRunner(
            views, policy::expectedRemainingTokens(m_plannedOutputTokens, streamedTokens()), domain,
            m_services.runSteps(m_request.service), m_services.placement, m_services.random);
    else
        m_runChoice.index = policy::chooseLeastLoadedEndpoint(views, domain, m_services.placement,
                                                              m_services.random);
    const auto index = m_runChoice.index;
    if (!index)
        return nullptr;
    if (views[*index].probe)
        endpoints[*index]->health.startProbe(now);
    return endpoints[*index];
}

void Session::sendRun()
{
    const EndpointPtr endpoint = m_runSends < MaxSends ? chooseRunner() : nullptr;
    if (!endpoint) {
        if (m_streaming)
            finishStream(false);
        else if (m_mayHaveRun)
            fail(http::status::BadGateway, "the run failed and no other endpoint is available");
        else
            fail(http::status::ServiceUnavailable, "no endpoint is available", retryAfterDelay());
        return;
    }
    if (!m_prefillEngine)
        m_prefillPlan = {};
    sendRunTo(endpoint);
}

void Session::sendRunTo(const EndpointPtr &endpoint)
{
    if (endIfPointless())
        return;
    ++m_runSends;
    ++m_runs;
    SendMetadata metadata;
    metadata.resumeAfter = m_eventFramer.lastId();
    m_sentBacklogTokens = 0;
    if (m_prefillEngine) {
        metadata.cacheSource = m_prefillEngine->record.address + "/" + m_cacheHandle.handle;
    } else if (m_prefillPlan.engine) {
        metadata.fetchAddress = m_prefillPlan.fetchAddress;
        m_sentBacklogTokens = m_prefillPlan.choice.uncachedTokens;
    } else if (m_promptInfo.tokens > 0) {
        m_sentBacklogTokens = m_promptInfo.tokens
            - std::min(m_promptInfo.tokens, endpoint->prefixCache.cachedTokens(m_chain));
    }
    if (!m_chain.empty())
        m_services.prefixBlockGossip.recordSent(*endpoint, m_chain, core::BootClock::now());
    send(Purpose::Run, endpoint, std::move(metadata));
}

// Engines order their queues by the same priorities as the gateways. While all engines are full,
// this orders requests that several gateways have sent at the same time.
uint32_t Session::enginePriority() const
{
    if (!m_prefillPlan.engine)
        return std::min(BaseEnginePriority + m_request.rank, policy::LowestEnginePriority);
    const TimePoint due = m_arrivedAt + m_request.route->latencyObjective;
    const bool becameLate = m_assignedAt <= due && core::BootClock::now() > due;
    return std::min(m_prefillPlan.priority + (becameLate ? LatePriorityStep : 0),
                    policy::LowestEnginePriority);
}

void Session::send(Purpose purpose, const EndpointPtr &endpoint, SendMetadata metadata)
{
    m_purpose = purpose;
    m_endpoint = endpoint;
    m_sentAt = core::BootClock::now();
    m_lastEventAt = {};
    m_earlierEvents += m_events.count();
    m_events = {};
    clearAnswer();
    m_head = {};
    m_answer = {};
    endpoint->limit.take(m_sentAt);
    ++endpoint->ownLoad.running;
    endpoint->hadRequests = true;
    endpoint->ownLoad.backlogTokens += m_sentBacklogTokens;
    updateWork();
    m_services.onLoadChanged();
    metadata.endpointId = endpoint->record.id;
    metadata.timeLeft = timeLeft();
    metadata.team = m_request.team;
    if (m_request.route->statesPromptBlocks)
        metadata.priority = enginePriority();
    const http::Head head = platform::encodeForEndpoint(m_request.message.head, metadata);
    core::Event event("request.sent");
    event.with("request", m_request.metadata.id)
        .with("for", purpose == Purpose::Prefill ? "prefill" : "run")
        .with("endpoint", endpoint->record.id)
        .with("sends", m_runSends)
        .with("running", endpoint->ownLoad.running + endpoint->peerLoad.running)
        .with("tokens", m_sentBacklogTokens)
        .with("backlog", endpoint->ownLoad.backlogTokens + endpoint->peerLoad.backlogTokens)
        .with("predicted_ms", m_prefillPlan.choice.predictedFirstToken.count())
        .with("left_ms", metadata.timeLeft.count());
    if (purpose == Purpose::Run && m_plannedOutputTokens > 0)
        event.with("expected_ms", m_runChoice.expectedTime.count())
            .with("work_left", std::llround(m_runChoice.workLeftTokens));
    m_connection = m_services.pool.acquire(endpoint->record.address);
    const auto self = shared_from_this();
    http::ExchangeHandler handler;
    handler.onHead = [self](const http::Head &answer) { return self->onHead(answer); };
    handler.onBody = [self](std::string &body) { self->onBody(body); };
    handler.onEnd = [self]() { self->onEnd(); };
    handler.onFailure = [self](http::Failure failure, const std::string &why) {
        self->onFailure(failure, why);
    };
    const Milliseconds connectTimeout = m_services.placement.avoidsUnreachable
        ? policy::connectTimeout(m_request.route->latencyObjective)
        : ConnectTimeout;
    // If no other endpoint may run the request, nothing is gained by giving this one up.
    const bool mayMove = purpose == Purpose::Prefill
        || (m_request.route->repeatable() && !m_relayingLargeAnswer && mayRunAgain());
    m_connection->send(http::renderRequest(head, m_request.message.body), head.method == "HEAD",
                       connectTimeout, std::move(handler),
                       mayMove ? http::StalledSend::GiveUp : http::StalledSend::Wait);
}

// The end of its connection makes the endpoint stop its work on the request.
void Session::endSend(bool keepConnection)
{
    m_prefillTimer.cancel();
    if (m_endpoint) {
        m_services.promptScheduler.scheduleDispatch();
        m_services.onLoadChanged();
        --m_endpoint->ownLoad.running;
        m_endpoint->ownLoad.backlogTokens -= std::exchange(m_sentBacklogTokens, 0);
        removeWork();
        m_endpoint = nullptr;
    }
    if (const auto connection = std::exchange(m_connection, nullptr)) {
        if (keepConnection)
            m_services.pool.release(connection);
        else
            connection->reset();
    }
}

} // namespace jujube::serving
