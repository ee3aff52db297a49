#include "soak/callers.h"

#include "core/text.h"

#include <algorithm>

namespace jujube::soak {

namespace {

using core::Milliseconds;

constexpr Milliseconds ConnectTimeout{500};
// Longer than any route's time limit and than a gateway's pauses.
constexpr Milliseconds Patience{6'000};
constexpr Milliseconds LongestPause{60};
constexpr Milliseconds LongestStay{200}; ///< Of clients that leave early.
constexpr double LeavingShare = 0.05;
constexpr double MovingShare = 0.05; ///< Of requests that open a new connection all the same.

} // namespace

bool repeatable(CallKind kind)
{
    return kind == CallKind::Read || kind == CallKind::StreamResume;
}

const char *kindName(CallKind kind)
{
    switch (kind) {
    case CallKind::Order:
        return "order";
    case CallKind::Read:
        return "read";
    case CallKind::StreamOnce:
        return "stream";
    case CallKind::StreamResume:
        return "resumable stream";
    case CallKind::Prompt:
        return "prompt";
    }
    return "?";
}

Callers::Callers(boost::asio::io_context &io, CallerSettings settings)
    : m_io(io), m_settings(std::move(settings)), m_random(m_settings.seed)
{
}

void Callers::start()
{
    for (size_t i = 0; i < m_settings.count; ++i) {
        m_clients.push_back(std::make_unique<Client>(m_io));
        wait(*m_clients.back());
    }
}

void Callers::wait(Client &client)
{
    std::uniform_int_distribution<int64_t> pause(2, LongestPause.count());
    client.pause.expires_after(Milliseconds(pause(m_random)));
    client.pause.async_wait([this, &client](const boost::system::error_code &ec) {
        if (!ec && !m_stopped)
            ask(client);
    });
}

// A client keeps its connection for as long as it stays open, also while its gateway is leaving.
bool Callers::connect(Client &client)
{
    std::bernoulli_distribution moves(MovingShare);
    if (client.connection && client.connection->isReusable() && !moves(m_random))
        return true;
    if (client.connection)
        client.connection->close();
    std::vector<size_t> open;
    for (size_t i = 0; i < m_settings.gateways.size(); ++i) {
        if (m_settings.listed(i))
            open.push_back(i);
    }
    if (open.empty())
        return false;
    std::uniform_int_distribution<size_t> pick(0, open.size() - 1);
    client.gateway = open[pick(m_random)];
    client.connection = http::ClientConnection::create(m_io, m_settings.gateways[client.gateway]);
    return true;
}

std::string Callers::message(const CallRecord &record)
{
    http::Head head;
    head.method = record.kind == CallKind::Read ? "GET" : "POST";
    head.fields.add("Host", "test.example");
    head.fields.add("Request-Id", record.id);
    head.fields.add("X-Api-Key", "key-a");
    switch (record.kind) {
    case CallKind::Order:
        head.target = "/order/1";
        break;
    case CallKind::Read:
        head.target = "/read/1";
        break;
    case CallKind::StreamOnce:
        head.target = "/stream/once/1";
        break;
    case CallKind::StreamResume:
        head.target = "/stream/resume/1";
        break;
    case CallKind::Prompt: {
        head.target = "/stream/prompt/1";
        std::uniform_int_distribution<int> shared(1, 20);
        head.fields.add("Token-Count", "3000,40");
        head.fields.add("Prompt-Prefix",
                        core::concat("a1:800,b", shared(m_random), ":1200,c", ++m_next, ":1000"));
        break;
    }
    }
    return http::renderRequest(head, record.kind == CallKind::Read ? "" : "body of " + record.id);
}

void Callers::ask(Client &client)
{
    if (!connect(client)) {
        wait(client);
        return;
    }
    constexpr int kinds = 5;
    std::uniform_int_distribution<int> kind(0, kinds - 1);
    CallRecord &record = m_records.emplace_back();
    record.id = core::concat("s", m_settings.seed, "-", m_records.size());
    record.kind = static_cast<CallKind>(kind(m_random));
    record.gateway = client.gateway;
    record.sentAt = core::BootClock::now();
    client.record = &record;
    ++m_underWay;
    limit(client);
    http::ExchangeHandler handler;
    handler.onHead = [&record](const http::Head &head) {
        record.status = head.status;
        record.sealed = head.fields.find("Server-Seal").has_value();
        record.comesBack = head.fields.find("Retry-After").has_value();
        return true;
    };
    handler.onBody = [&record](std::string &bytes) {
        record.body += bytes;
        bytes.clear();
    };
    handler.onEnd = [this, &client]() { ended(client, true); };
    handler.onFailure = [this, &client](http::Failure, const std::string &) {
        ended(client, false);
    };
    client.connection->send(message(record), false, ConnectTimeout, std::move(handler));
}

// Some clients leave early; the others wait until no gateway may still answer.
void Callers::limit(Client &client)
{
    std::bernoulli_distribution leaves(LeavingShare);
    std::uniform_int_distribution<int64_t> stay(5, LongestStay.count());
    const bool early = client.record->kind != CallKind::Order && leaves(m_random);
    client.patience.expires_after(early ? Milliseconds(stay(m_random)) : Patience);
    client.patience.async_wait([this, &client](const boost::system::error_code &ec) {
        if (ec || !client.record)
            return;
        client.connection->close();
        client.record->left = true;
        ended(client, false);
    });
}

void Callers::ended(Client &client, bool whole)
{
    CallRecord &record = *std::exchange(client.record, nullptr);
    record.whole = whole;
    record.ended = true;
    record.endedAt = core::BootClock::now();
    client.patience.cancel();
    --m_underWay;
    wait(client);
}

} // namespace jujube::soak
