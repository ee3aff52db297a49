#include "agent/engineclient.h"

#include "core/text.h"
#include "wire/json.h"

namespace jujube::agent {

namespace {

constexpr core::Milliseconds ShortCallTimeout{1'000};
constexpr core::Milliseconds OrderTimeout{2'000};
// Engines send an empty line at least every 500 ms while a request is queued or running.
constexpr core::Milliseconds EngineIdleTimeout{2'500};

wire::HttpLimits shortLimits(core::Milliseconds total)
{
    wire::HttpLimits limits;
    limits.totalTimeout = total;
    limits.progressTimeout = total;
    return limits;
}

// Parses a stream of newline-separated JSON objects into pieces and the final record.
class GenerationParser
{
public:
    explicit GenerationParser(EngineClient::OnPiece onPiece) : m_onPiece(std::move(onPiece)) { }

    void feed(std::string_view bytes)
    {
        m_pending.append(bytes);
        GeneratedPiece piece;
        size_t begin = 0;
        for (size_t end = m_pending.find('\n'); end != std::string::npos;
             end = m_pending.find('\n', begin)) {
            parseLine(std::string_view(m_pending).substr(begin, end - begin), piece);
            begin = end + 1;
        }
        m_pending.erase(0, begin);
        if (piece.tokens > 0)
            m_onPiece(piece);
    }

    const GenerationResult &result() const { return m_result; }
    const std::string &error() const { return m_error; }

private:
    void parseLine(std::string_view line, GeneratedPiece &piece)
    {
        if (line.empty())
            return;
        const auto object = wire::parseObject(line);
        if (!object.ok()) {
            m_error = "malformed line from the engine";
            return;
        }
        if (object->contains("error")) {
            m_error = wire::stringMember(*object, "error");
            return;
        }
        if (object->contains("text")) {
            piece.text += wire::stringMember(*object, "text");
            piece.tokens += static_cast<uint32_t>(wire::uintMember(*object, "tokens"));
            return;
        }
        m_result.complete = object->value("done").toBool();
        m_result.usage = {wire::uintMember(*object, "prompt_tokens"),
                          wire::uintMember(*object, "cached_tokens"),
                          wire::uintMember(*object, "output_tokens")};
    }

    EngineClient::OnPiece m_onPiece;
    std::string m_pending;
    GenerationResult m_result;
    std::string m_error;
};

} // namespace

EngineClient::EngineClient(wire::HttpClient &http, std::string address)
    : m_http(http), m_address(std::move(address))
{
}

wire::Task<absl::StatusOr<GenerationResult>> EngineClient::generate(wire::WorkMessage work,
                                                                    OnPiece onPiece)
{
    QJsonObject body;
    body["request_id"] = wire::qstring(work.requestId);
    body["prompt"] = wire::qstring(work.prompt);
    body["max_tokens"] = static_cast<int>(work.maxTokens);
    body["resume_tokens"] = static_cast<int>(work.resumeTokens);
    body["priority"] = static_cast<int>(work.priority);

    wire::HttpRequest request;
    request.address = m_address;
    request.method = "POST";
    request.path = "/v1/generate";
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = wire::toJsonText(body);
    wire::HttpLimits limits;
    limits.totalTimeout = work.timeLeft;
    limits.progressTimeout = EngineIdleTimeout;

    auto parser = std::make_shared<GenerationParser>(std::move(onPiece));
    const auto response = co_await m_http.stream(
        std::move(request), limits, [parser](std::string_view bytes) { parser->feed(bytes); });
    if (!response.ok())
        co_return response.status();
    if (response->status != 200)
        co_return absl::UnavailableError(core::concat("engine answered ", response->status));
    if (!parser->error().empty())
        co_return absl::UnavailableError(core::concat("engine: ", parser->error()));
    co_return parser->result();
}

wire::Task<absl::StatusOr<wire::HttpResponse>> EngineClient::callService(wire::WorkMessage work)
{
    wire::HttpRequest request;
    request.address = m_address;
    request.method = work.method;
    request.path = work.path;
    request.body = work.body;
    for (const wire::MessageHeader &it : work.headers)
        request.headers.push_back({it.name, it.value});
    request.headers.push_back({"X-Request-Id", work.requestId});
    wire::HttpLimits limits;
    limits.totalTimeout = work.timeLeft;
    limits.progressTimeout = work.timeLeft;
    co_return co_await m_http.send(std::move(request), limits);
}

wire::Task<absl::Status> EngineClient::cancel(std::string requestId)
{
    QJsonObject body;
    body["request_id"] = wire::qstring(requestId);
    wire::HttpRequest request;
    request.address = m_address;
    request.method = "POST";
    request.path = "/v1/cancel";
    request.body = wire::toJsonText(body);
    const auto response = co_await m_http.send(std::move(request), shortLimits(ShortCallTimeout));
    co_return response.status();
}

wire::Task<absl::StatusOr<EngineState>> EngineClient::fetchState()
{
    wire::HttpRequest request;
    request.address = m_address;
    request.path = "/v1/state";
    const auto response = co_await m_http.send(std::move(request), shortLimits(ShortCallTimeout));
    if (!response.ok())
        co_return response.status();
    const auto object = wire::parseObject(response->body);
    if (!object.ok())
        co_return absl::UnavailableError("engine: malformed state");
    EngineState state;
    state.role = core::roleFromName(wire::stringMember(*object, "role"));
    state.ready = object->value("ready").toBool();
    state.slots = static_cast<uint32_t>(wire::uintMember(*object, "slots"));
    state.freeKvPieces = static_cast<uint32_t>(wire::uintMember(*object, "free_kv_pieces"));
    state.lastOrder = {wire::uintMember(*object, "last_term"),
                       wire::uintMember(*object, "last_sequence")};
    co_return state;
}

wire::Task<absl::Status> EngineClient::orderRole(core::Role role, state::OrderNumber number,
                                                 wire::SendGuard guard)
{
    QJsonObject body;
    body["order"] = "role";
    body["role"] = wire::qstring(core::roleName(role));
    body["term"] = wire::jsonNumber(number.term);
    body["sequence"] = wire::jsonNumber(number.sequence);
    wire::HttpRequest request;
    request.address = m_address;
    request.method = "POST";
    request.path = "/v1/orders";
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = wire::toJsonText(body);
    const auto response =
        co_await m_http.sendGuarded(std::move(request), shortLimits(OrderTimeout), guard);
    if (!response.ok())
        co_return response.status();
    if (response->status == 200 || response->status == 202)
        co_return absl::OkStatus();
    if (response->status == 409)
        co_return absl::FailedPreconditionError("the engine has seen a newer order");
    co_return absl::UnavailableError(core::concat("engine answered ", response->status));
}

wire::Task<bool> EngineClient::isServiceAlive()
{
    wire::HttpRequest request;
    request.address = m_address;
    request.path = "/healthz";
    const auto response = co_await m_http.send(std::move(request), shortLimits(ShortCallTimeout));
    co_return response.ok();
}

} // namespace jujube::agent
