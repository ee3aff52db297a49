#include "entry/callerapi.h"

#include "core/keyhash.h"
#include "core/metrics.h"
#include "core/text.h"
#include "wire/json.h"

#include <absl/strings/str_split.h>

namespace jujube::entry {

namespace {

constexpr std::string_view ServicePrefix = "/v1/services/";
constexpr size_t MaxIdempotencyKeyBytes = 200;
constexpr core::Milliseconds NotConfirmedRetryAfter{1'000};
// A caller that reads slower than the answer is generated would otherwise exhaust the memory.
constexpr int64_t MaxUnsentBytes = 8L << 20U;

AnswerFailure refusal(int status, std::string code, std::string message)
{
    AnswerFailure failure;
    failure.outcome = core::Outcome::NotRun;
    failure.status = status;
    failure.code = std::move(code);
    failure.message = std::move(message);
    return failure;
}

// Refusal while the freshness rule forbids the use of this entry's configuration.
AnswerFailure configurationNotConfirmed()
{
    AnswerFailure failure = refusal(503, "configuration-not-confirmed",
                                    "this entry cannot tell whether the key is still valid");
    failure.retryAfter = NotConfirmedRetryAfter;
    return failure;
}

std::string errorBody(const AnswerFailure &failure)
{
    QJsonObject error;
    error["code"] = wire::qstring(failure.code);
    error["message"] = wire::qstring(failure.message);
    error["outcome"] = wire::qstring(core::outcomeName(failure.outcome));
    return wire::toJsonText(QJsonObject{{"error", error}});
}

// Sends a language answer to one caller, as a stream or as one response. Runs on the exchange's
// thread.
class CompletionDelivery
{
public:
    CompletionDelivery(const CompletionRequest &request, const std::string &id)
        : m_writer(request, id),
          m_stream(request.stream),
          m_startedAt(core::BootClock::now()),
          m_labels(core::concat("profile=\"", request.profile, "\""))
    {
    }

    void operator()(wire::Exchange &exchange, const AnswerPiece &piece)
    {
        if (!m_receivedPiece)
            core::recordDuration("jujube_first_token_ms", m_labels,
                                 core::BootClock::now() - m_startedAt);
        m_receivedPiece = true;
        if (!m_stream) {
            m_text += piece.text;
            return;
        }
        exchange.begin(200, "text/event-stream");
        exchange.write(m_writer.pieceEvent(piece.text));
        if (exchange.unsentBytes() > MaxUnsentBytes)
            exchange.abort();
    }

    void operator()(wire::Exchange &exchange, const CompletedAnswer &answer)
    {
        core::recordDuration("jujube_answer_ms", m_labels, core::BootClock::now() - m_startedAt);
        if (!m_stream) {
            wire::OutgoingResponse response;
            response.body = m_writer.completeResponse(m_text, answer.usage);
            exchange.send(response);
            return;
        }
        exchange.begin(200, "text/event-stream");
        exchange.write(m_writer.finalEvents(answer.usage));
        exchange.end();
    }

    void operator()(wire::Exchange &exchange, const AnswerFailure &failure)
    {
        if (!m_stream || !m_receivedPiece) {
            sendError(exchange, failure);
            return;
        }
        // The response has begun: an error event is sent, then the connection is cut, so that the
        // caller cannot mistake the partial answer for a complete one.
        exchange.write(core::concat("data: ", errorBody(failure), "\n\n"));
        exchange.abortAfterFlush();
    }

private:
    CompletionWriter m_writer;
    bool m_stream;
    bool m_receivedPiece = false;
    std::string m_text;
    core::TimePoint m_startedAt;
    std::string m_labels;
};

// Sends a service's answer to one caller.
struct ServiceDelivery
{
    void operator()(wire::Exchange & /*exchange*/, const AnswerPiece & /*piece*/) { }

    void operator()(wire::Exchange &exchange, const CompletedAnswer &answer)
    {
        wire::OutgoingResponse response;
        response.status = static_cast<int>(answer.status);
        response.contentType =
            answer.contentType.empty() ? "application/octet-stream" : answer.contentType;
        response.body = answer.body;
        exchange.send(response);
    }

    void operator()(wire::Exchange &exchange, const AnswerFailure &failure)
    {
        sendError(exchange, failure);
    }
};

// Returns a sink that passes events from the KJ thread to the exchange's own thread.
template <typename Delivery>
AnswerSink makeSink(const std::shared_ptr<wire::Exchange> &exchange,
                    std::shared_ptr<Delivery> delivery)
{
    return [exchange, delivery](AnswerEvent event) {
        exchange->post([delivery, event = std::move(event)](wire::Exchange &it) {
            std::visit([&](const auto &kind) { (*delivery)(it, kind); }, event);
        });
    };
}

// Detects a path such as "/open/../closed", which would match the route of "/open" here and reach
// "/closed" at the service.
bool hasDotSegment(std::string_view path)
{
    for (const absl::string_view segment :
         absl::StrSplit(core::toAbsl(path), absl::ByAnyChar("/\\"))) {
        if (segment == "." || segment == "..")
            return true;
    }
    return false;
}

std::string bearerToken(const wire::IncomingRequest &request)
{
    std::string_view value = request.header("Authorization");
    constexpr std::string_view scheme = "Bearer ";
    if (!value.starts_with(scheme))
        return {};
    return std::string(value.substr(scheme.size()));
}

} // namespace

void sendError(wire::Exchange &exchange, const AnswerFailure &failure)
{
    wire::OutgoingResponse response;
    response.status = failure.status;
    response.body = errorBody(failure);
    if (failure.retryAfter.count() > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(failure.retryAfter).count();
        response.headers.push_back({"Retry-After", core::concat(seconds)});
        response.headers.push_back({"X-Retry-After-Ms", core::concat(failure.retryAfter.count())});
    }
    exchange.send(response);
}

CallerApi::CallerApi(EntryView &view, std::chrono::seconds usageWindow, StartSession startSession)
    : m_view(view), m_usageWindow(usageWindow), m_startSession(std::move(startSession))
{
}

bool CallerApi::handle(const wire::IncomingRequest &request,
                       const std::shared_ptr<wire::Exchange> &exchange) const
{
    if (request.path.starts_with(ServicePrefix)) {
        serveService(request, exchange);
        return true;
    }
    if (request.path == "/v1/models" && request.method == "GET") {
        serveModels(request, exchange);
        return true;
    }
    const bool isTextCompletion = request.path == "/v1/completions";
    if (!isTextCompletion && request.path != "/v1/chat/completions")
        return false;
    if (request.method != "POST") {
        sendError(*exchange, refusal(405, "method-not-allowed", "use POST"));
        return true;
    }
    serveCompletion(isTextCompletion ? CompletionStyle::Text : CompletionStyle::Chat, request,
                    exchange);
    return true;
}

absl::StatusOr<CallerApi::Caller> CallerApi::authenticate(const wire::IncomingRequest &request,
                                                          const core::Configuration &config) const
{
    const auto presented = core::PresentedKey::parse(bearerToken(request));
    if (!presented)
        return absl::UnauthenticatedError("send a key as 'Authorization: Bearer jj_...'");
    const core::KeyRecord *record = config.key(presented->keyId);
    // An unknown key id takes as long to check as a wrong secret, so that timing reveals no key id.
    const core::KeyRecord placeholder{"", "", "00", std::string(64, '0')};
    if (!core::keyMatches(record ? *record : placeholder, *presented) || !record)
        return absl::UnauthenticatedError("the key is not valid");
    return Caller{record->team, record->keyId};
}

std::optional<CallerApi::Caller> CallerApi::authorize(const wire::IncomingRequest &request,
                                                      const core::Configuration &config,
                                                      wire::Exchange &exchange) const
{
    // Without a configuration every key would look invalid, and a stale configuration may still
    // contain a withdrawn key.
    if (!m_view.everConfirmed.load() || m_view.freshness.load() == policy::Freshness::CutOff) {
        sendError(exchange, configurationNotConfirmed());
        return std::nullopt;
    }
    const auto caller = authenticate(request, config);
    if (!caller.ok()) {
        sendError(exchange,
                  refusal(401, "unauthenticated", std::string(caller.status().message())));
        return std::nullopt;
    }
    return *caller;
}

void CallerApi::serveModels(const wire::IncomingRequest &request,
                            const std::shared_ptr<wire::Exchange> &exchange) const
{
    const auto config = m_view.configuration.load();
    const auto caller = authorize(request, *config, *exchange);
    if (!caller)
        return;
    QJsonArray data;
    for (const auto &[name, profile] : config->profiles()) {
        if (profile.allows(caller->team))
            data.append(QJsonObject{
                {"id", wire::qstring(name)}, {"object", "model"}, {"owned_by", "operators"}});
    }
    wire::OutgoingResponse response;
    response.body = wire::toJsonText(QJsonObject{{"object", "list"}, {"data", data}});
    exchange->send(response);
}

CallerRequest CallerApi::makeRequest(const Caller &caller, const core::Configuration &config,
                                     core::Milliseconds deadline) const
{
    CallerRequest result;
    result.keyId = caller.keyId;
    result.deadline = core::BootClock::now() + deadline;
    result.work.requestId = core::randomId();
    result.work.team = caller.team;
    const core::Team *team = config.team(caller.team);
    result.work.weight = team ? team->weight : 1.0;
    const auto wall = std::chrono::duration_cast<std::chrono::seconds>(core::wallTime());
    result.work.usageWindow =
        static_cast<uint64_t>(wall.count() - wall.count() % m_usageWindow.count());
    return result;
}

void CallerApi::serveCompletion(CompletionStyle style, const wire::IncomingRequest &request,
                                const std::shared_ptr<wire::Exchange> &exchange) const
{
    const auto config = m_view.configuration.load();
    const auto caller = authorize(request, *config, *exchange);
    if (!caller)
        return;
    auto completion = CompletionRequest::parse(style, request.body);
    if (!completion.ok()) {
        sendError(*exchange,
                  refusal(400, "invalid-request", std::string(completion.status().message())));
        return;
    }
    const core::Profile *profile = config->profile(completion->profile);
    if (!profile || !profile->allows(caller->team)) {
        sendError(*exchange,
                  refusal(404, "no-such-model",
                          core::concat("field 'model': no profile '", completion->profile,
                                       "' is open to this key")));
        return;
    }
    const absl::Status fits = completion->applyProfile(*profile);
    if (!fits.ok()) {
        sendError(*exchange, refusal(400, "invalid-request", std::string(fits.message())));
        return;
    }

    CallerRequest session = makeRequest(*caller, *config, profile->deadline);
    session.model = profile->model;
    session.work.kind = core::WorkKind::Language;
    session.work.profile = profile->name;
    session.work.prompt = completion->prompt;
    session.work.maxTokens = completion->maxTokens;
    session.work.priority = profile->priority;
    session.work.firstTokenObjective = profile->firstTokenObjective;
    session.work.idempotent = true;
    const auto delivery = std::make_shared<CompletionDelivery>(*completion, session.work.requestId);
    const SessionHandle handle = m_startSession(std::move(session), makeSink(exchange, delivery));
    exchange->onDisconnect(handle.onCallerDisconnected);
}

void CallerApi::serveService(const wire::IncomingRequest &request,
                             const std::shared_ptr<wire::Exchange> &exchange) const
{
    if (!m_view.everConfirmed.load()) {
        sendError(*exchange, configurationNotConfirmed());
        return;
    }
    const auto config = m_view.configuration.load();
    const std::string_view rest = std::string_view(request.path).substr(ServicePrefix.size());
    const size_t slash = rest.find('/');
    const std::string name(rest.substr(0, slash));
    const std::string path(slash == std::string_view::npos ? "/" : rest.substr(slash));
    if (hasDotSegment(path)) {
        sendError(
            *exchange,
            refusal(400, "invalid-request", core::concat("path '", path, "' has a dot segment")));
        return;
    }
    const core::Service *service = config->service(name);
    const core::ServiceRoute *route = service ? service->routeFor(path) : nullptr;

    Caller caller;
    if (!route || !route->open) {
        const auto authorized = authorize(request, *config, *exchange);
        if (!authorized)
            return;
        caller = *authorized;
    } else {
        caller.team = "open";
    }
    if (!route || (!route->open && !service->allows(caller.team))) {
        sendError(
            *exchange,
            refusal(404, "no-such-service", core::concat("no route for '", request.path, "'")));
        return;
    }
    const std::string_view idempotencyKey = request.header("Idempotency-Key");
    if (idempotencyKey.size() > MaxIdempotencyKeyBytes) {
        sendError(*exchange,
                  refusal(400, "invalid-request",
                          core::concat("header 'Idempotency-Key' has ", idempotencyKey.size(),
                                       " bytes; allowed: ", MaxIdempotencyKeyBytes)));
        return;
    }

    CallerRequest session = makeRequest(caller, *config, route->deadline);
    session.model = name;
    session.work.kind = core::WorkKind::Service;
    session.work.service = name;
    session.work.method = request.method;
    const std::string_view rawRest = std::string_view(request.rawPath).substr(ServicePrefix.size());
    const size_t rawSlash = rawRest.find('/');
    session.work.path =
        rawSlash == std::string_view::npos ? "/" : std::string(rawRest.substr(rawSlash));
    if (!request.query.empty())
        core::append(session.work.path, "?", request.query);
    // Only headers that describe content are forwarded; the API key never is.
    for (const char *header : {"Content-Type", "Accept", "Accept-Language"}) {
        const std::string_view value = request.header(header);
        if (!value.empty())
            session.work.headers.push_back({header, std::string(value)});
    }
    session.work.body = request.body;
    session.work.idempotent = route->idempotent;
    if (!route->idempotent && !idempotencyKey.empty()) {
        session.claimKey = core::concat(caller.team, "/", name, "/", idempotencyKey);
        session.fingerprint = core::stableHash(
            core::concat(request.method, " ", session.work.path, "\n", request.body));
    }
    const SessionHandle handle =
        m_startSession(std::move(session), makeSink(exchange, std::make_shared<ServiceDelivery>()));
    exchange->onDisconnect(handle.onCallerDisconnected);
}

} // namespace jujube::entry
