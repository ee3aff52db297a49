#include "soak/loadgenerator.h"

#include "core/text.h"

#include <algorithm>
#include <cstdlib>

namespace jujube::soak {

namespace {

using core::Milliseconds;

constexpr Milliseconds ConnectTimeout{500};
// Longer than the time limit of any route and than any pause of a gateway.
constexpr Milliseconds ClientTimeout{6'000};
constexpr Milliseconds MaxPause{60};
constexpr Milliseconds MaxPauseAfterRefusal{300}; ///< Of a request over the quota of its team.
constexpr Milliseconds MaxStay{200};              ///< Of clients that disconnect early.
constexpr double DisconnectShare = 0.05;
constexpr double CrashingShare = 0.05; ///< Of all requests, where crashing prompts are sent.
constexpr double ReconnectShare =
    0.05; ///< Of requests that open a new connection although the old one is reusable.

} // namespace

bool isRepeatable(RequestKind kind)
{
    return kind == RequestKind::Read || kind == RequestKind::StreamResume;
}

const char *kindName(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Order:
        return "order";
    case RequestKind::Read:
        return "read";
    case RequestKind::StreamOnce:
        return "stream";
    case RequestKind::StreamResume:
        return "resumable stream";
    case RequestKind::Prompt:
        return "prompt";
    case RequestKind::CrashingPrompt:
        return "crashing prompt";
    }
    return "?";
}

std::string keyOfTeam(const std::string &team)
{
    return "key-" + team.substr(std::string_view("team-").size());
}

LoadGenerator::LoadGenerator(boost::asio::io_context &io, LoadSettings settings)
    : m_io(io), m_settings(std::move(settings)), m_random(m_settings.seed)
{
}

void LoadGenerator::start()
{
    for (size_t i = 0; i < m_settings.count; ++i) {
        m_clients.push_back(std::make_unique<Client>(m_io));
        scheduleNext(*m_clients.back());
    }
}

void LoadGenerator::scheduleNext(Client &client)
{
    std::uniform_int_distribution<int64_t> pauseTimer(
        2, (client.overQuota ? MaxPauseAfterRefusal : MaxPause).count());
    client.pauseTimer.expires_after(Milliseconds(pauseTimer(m_random)));
    client.pauseTimer.async_wait([this, &client](const boost::system::error_code &ec) {
        if (!ec && !m_stopped)
            sendRequest(client);
    });
}

// A client reuses its connection as long as it is open, even while its gateway shuts down.
bool LoadGenerator::connect(Client &client)
{
    std::bernoulli_distribution reconnects(ReconnectShare);
    if (client.connection && client.connection->isReusable() && !reconnects(m_random))
        return true;
    if (client.connection)
        client.connection->close();
    std::vector<size_t> open;
    for (size_t i = 0; i < m_settings.gateways.size(); ++i) {
        if (m_settings.inRotation(i))
            open.push_back(i);
    }
    if (open.empty())
        return false;
    std::uniform_int_distribution<size_t> pick(0, open.size() - 1);
    client.gateway = open[pick(m_random)];
    client.connection = http::ClientConnection::create(m_io, m_settings.gateways[client.gateway]);
    return true;
}

std::string LoadGenerator::renderMessage(RequestRecord &record)
{
    http::Head head;
    head.method = record.kind == RequestKind::Read ? "GET" : "POST";
    head.fields.add("Host", "test.example");
    head.fields.add("Request-Id", record.id);
    head.fields.add("X-Api-Key", keyOfTeam(record.team));
    switch (record.kind) {
    case RequestKind::Order:
        head.target = "/order/1";
        break;
    case RequestKind::Read:
        head.target = "/read/1";
        break;
    case RequestKind::StreamOnce:
        head.target = "/stream/once/1";
        break;
    case RequestKind::StreamResume:
        head.target = "/stream/resume/1";
        break;
    case RequestKind::Prompt:
    case RequestKind::CrashingPrompt: {
        head.target = "/stream/prompt/1";
        std::uniform_int_distribution<int> shared(1, 20);
        constexpr uint32_t promptTokens = 3'000;
        constexpr uint32_t maxOutputTokens = 40;
        record.statedTokens = promptTokens + maxOutputTokens;
        head.fields.add("Token-Count", core::concat(promptTokens, ",", maxOutputTokens));
        head.fields.add("Prompt-Prefix",
                        core::concat("a1:800,",
                                     record.kind == RequestKind::CrashingPrompt
                                         ? m_settings.crashingBlock
                                         : core::concat("b", shared(m_random)),
                                     ":1200,c", ++m_promptCount, ":1000"));
        break;
    }
    }
    return http::renderRequest(head,
                               record.kind == RequestKind::Read ? "" : "body of " + record.id);
}

void LoadGenerator::sendRequest(Client &client)
{
    if (!connect(client)) {
        scheduleNext(client);
        return;
    }
    constexpr int soundKinds = 5;
    std::uniform_int_distribution<int> kind(0, soundKinds - 1);
    std::bernoulli_distribution crashes(CrashingShare);
    RequestRecord &record = m_records.emplace_back();
    record.id = core::concat("s", m_settings.seed, "-", m_records.size());
    record.kind = !m_settings.crashingBlock.empty() && crashes(m_random)
        ? RequestKind::CrashingPrompt
        : static_cast<RequestKind>(kind(m_random));
    if (m_settings.drawTeam)
        record.team = m_settings.drawTeam(m_random);
    record.gateway = client.gateway;
    record.sentAt = core::BootClock::now();
    client.record = &record;
    ++m_inFlight;
    startTimeout(client);
    http::ExchangeHandler handler;
    handler.onHead = [&record](const http::Head &head) {
        record.status = head.status;
        record.hasSeal = head.fields.find("Server-Seal").has_value();
        const auto retryAfter = head.fields.find("Retry-After");
        record.hasRetryAfter = retryAfter.has_value();
        record.retryAfterSeconds =
            std::strtod(std::string(retryAfter.value_or("")).c_str(), nullptr);
        return true;
    };
    handler.onBody = [&record](std::string &bytes) {
        record.body += bytes;
        bytes.clear();
    };
    handler.onEnd = [this, &client]() { finishRequest(client, true); };
    handler.onFailure = [this, &client](http::Failure, const std::string &) {
        finishRequest(client, false);
    };
    client.connection->send(renderMessage(record), false, ConnectTimeout, std::move(handler));
}

// Some clients disconnect early; the others wait until no gateway may still respond.
void LoadGenerator::startTimeout(Client &client)
{
    std::bernoulli_distribution leaves(DisconnectShare);
    std::uniform_int_distribution<int64_t> stay(5, MaxStay.count());
    const bool early = client.record->kind != RequestKind::Order && leaves(m_random);
    client.timeoutTimer.expires_after(early ? Milliseconds(stay(m_random)) : ClientTimeout);
    client.timeoutTimer.async_wait([this, &client](const boost::system::error_code &ec) {
        if (ec || !client.record)
            return;
        client.connection->close();
        client.record->disconnected = true;
        finishRequest(client, false);
    });
}

void LoadGenerator::finishRequest(Client &client, bool complete)
{
    RequestRecord &record = *std::exchange(client.record, nullptr);
    record.complete = complete;
    record.ended = true;
    record.endedAt = core::BootClock::now();
    client.overQuota = record.status == http::status::TooManyRequests;
    client.timeoutTimer.cancel();
    --m_inFlight;
    scheduleNext(client);
}

} // namespace jujube::soak
