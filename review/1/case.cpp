/** \file
 * Case 1: an endpoint's body without end takes the memory of the gateway, which is killed with all
 * requests that it carries.
 */

#include "core/text.h"
#include "review/deployment.h"

#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <set>

namespace {

using namespace jujube;
using namespace std::chrono_literals;
using review::Verdict;

constexpr size_t MemoryLimitMb = 260;      // MemoryMb in the settings.
constexpr double LinkBytesPerMs = 125'000; // LinkMbps in the settings.
constexpr core::Milliseconds WorkTime{200};
constexpr core::Milliseconds ChatTimeout{10'000};
constexpr core::Milliseconds OrderTimeout{2'500};
// Clients abandon a stream after a pause of four times its objective.
constexpr core::Milliseconds ChatObjective{600};
constexpr core::Milliseconds ChatPatience = ChatObjective * 4;
constexpr core::Milliseconds BetweenChats{25};
constexpr core::Milliseconds RestartDelay{500};
constexpr core::Milliseconds BeforeTrouble{2'000};
constexpr core::Milliseconds TroubleTime{5'000};
constexpr core::Milliseconds AfterTrouble{4'000};
constexpr core::Milliseconds PieceInterval{2};
constexpr size_t OneInAnswers = 50; ///< Of the faulty endpoint, one answer in so many is spoiled.
constexpr int Gateways = 2;
constexpr int OrderClients = 6; ///< Of each gateway.
constexpr size_t AllowedLosses = 3;

struct Node
{
    review::GatewayProcess *gateway = nullptr;
    core::TimePoint endedAt{};
    size_t kills = 0;
    bool ended = false;
};

/** A client that sends one order after another on a kept connection. */
struct OrderClient
{
    size_t node = 0;
    size_t number = 0;
    size_t sent = 0;
    size_t onConnection = 0; ///< Orders sent on the present connection.
    std::shared_ptr<http::ClientConnection> connection;
};

class Case
{
public:
    Case(review::Deployment &deployment, bool trouble)
        : m_it(deployment),
          m_trouble(trouble),
          m_orders(deployment.io(),
                   [this](const http::Request &request, const http::Responder &responder) {
                       runOrder(request, responder);
                   }),
          m_faultyChats(deployment.io(),
                        [this](const http::Request &request, const http::Responder &responder) {
                            runChat(request, responder, spoilsNext());
                        }),
          m_soundChats(deployment.io(),
                       [this](const http::Request &request, const http::Responder &responder) {
                           runChat(request, responder, false);
                       })
    {
    }

    Verdict run()
    {
        if (!start())
            return Verdict::NotRun;
        for (size_t i = 0; i < m_nodes.size(); ++i) {
            for (int j = 0; j < OrderClients; ++j) {
                m_clients.push_back(std::make_unique<OrderClient>());
                m_clients.back()->node = i;
                m_clients.back()->number = m_clients.size();
                sendOrder(*m_clients.back());
            }
        }
        const core::TimePoint begin = core::BootClock::now();
        m_troubleFrom = begin + BeforeTrouble;
        const core::TimePoint end = begin + BeforeTrouble + TroubleTime + AfterTrouble;
        core::TimePoint nextChat = core::BootClock::now();
        while (core::BootClock::now() < end) {
            m_it.runFor(10ms);
            if (core::BootClock::now() >= nextChat) {
                nextChat += BetweenChats;
                for (size_t i = 0; i < m_nodes.size(); ++i)
                    sendChat(i);
            }
            for (Node &node : m_nodes)
                actAsPlatform(node);
        }
        m_stopped = true;
        m_it.runFor(OrderTimeout);
        size_t kills = 0;
        for (const Node &node : m_nodes)
            kills += node.kills;
        m_it.record(core::concat(m_answered, " orders answered; ", kills,
                                 " gateways killed over their memory; ", m_lost,
                                 " orders passed on from kept connections that closed without an "
                                 "answer"));
        return m_lost > AllowedLosses ? Verdict::Broken : Verdict::Held;
    }

private:
    bool start()
    {
        const std::string routes =
            review::routeJson("/chat/", "streaming", "llm", ChatTimeout,
                              core::concat(R"(,"TargetLatencyMs":)", ChatObjective.count()))
            + "," + review::routeJson("/order/", "non_idempotent", "app", OrderTimeout);
        m_it.store().put("op/config",
                         review::configJson(1, routes, R"({"Name":"app"},{"Name":"llm"})"));
        uint16_t port = 7100;
        for (http::Server *server : {&m_orders, &m_faultyChats, &m_soundChats}) {
            const std::string address = m_it.address(4, port++);
            if (!server->listen(address).ok())
                return false;
            m_entries.push_back(std::make_unique<test::FakeEndpoint>(
                m_it.io(), core::concat("i-", m_entries.size() + 1), serving::Stage::None));
            m_entries.back()->setAdvertisedAddress(address);
            m_it.registerEndpoint(*m_entries.back(), server == &m_orders ? "app" : "llm", "ready");
        }
        for (int i = 0; i < Gateways; ++i) {
            review::GatewayOptions options;
            options.name = core::concat("front-", i + 1);
            Node node;
            node.gateway = m_it.addGateway(options);
            if (!node.gateway)
                return false;
            m_nodes.push_back(node);
        }
        return m_it.waitReady(10s);
    }

    // Kills a gateway that exceeds its memory, and starts it again.
    void actAsPlatform(Node &node)
    {
        if (node.ended) {
            if (core::BootClock::now() - node.endedAt < RestartDelay)
                return;
            node.ended = !node.gateway->start();
            m_it.record(node.gateway->name + " starts again");
            return;
        }
        const size_t megabytes = node.gateway->residentMb();
        if (megabytes > MemoryLimitMb) {
            m_it.record(core::concat(node.gateway->name, " has ", megabytes, " MB: SIGKILL"));
            node.gateway->signal(SIGKILL);
            ++node.kills;
        }
        if (!node.gateway->running()) {
            m_it.record(node.gateway->name + " has ended");
            node.ended = true;
            node.endedAt = core::BootClock::now();
        }
    }

    static http::Head answerHead(const std::string &id)
    {
        http::Head head;
        head.status = http::status::Ok;
        head.fields.add("Request-Id", id);
        head.fields.add("Server-Seal", "seal");
        return head;
    }

    void runOrder(const http::Request &request, const http::Responder &responder)
    {
        const std::string id(request.head.fields.find("Request-Id").value_or(""));
        m_ran.insert(id);
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_it.io(), WorkTime);
        timer->async_wait([timer, responder, id](const boost::system::error_code &) {
            responder.send(answerHead(id), "done " + id);
        });
    }

    // Whether the faulty endpoint spoils the answer that it gives now.
    bool spoilsNext()
    {
        const core::TimePoint now = core::BootClock::now();
        return m_trouble && m_troubleFrom != core::TimePoint{} && now >= m_troubleFrom
            && now < m_troubleFrom + TroubleTime && m_chatAnswers++ % OneInAnswers == 0;
    }

    void runChat(const http::Request &request, const http::Responder &responder, bool spoiled)
    {
        const std::string id(request.head.fields.find("Request-Id").value_or(""));
        http::Head head = answerHead(id);
        head.fields.add("Content-Type", "text/event-stream");
        responder.begin(head, http::Framing::Chunked, 0);
        responder.write(test::eventText(id, 1));
        if (!spoiled) {
            responder.write(test::eventText(id, 2));
            responder.finish();
            return;
        }
        m_it.record("the endpoint answers " + id + " without end, inside a chunk header");
        responder.sendRaw("10;");
        const auto open = std::make_shared<bool>(true);
        responder.onDisconnect([this, open, id]() {
            *open = false;
            m_it.record("the gateway closes the connection of " + id);
        });
        writeWithoutEnd(responder, open, core::BootClock::now());
    }

    // Writes as fast as the gateway's link carries.
    void writeWithoutEnd(const http::Responder &responder, const std::shared_ptr<bool> &open,
                         core::TimePoint last)
    {
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_it.io(), PieceInterval);
        timer->async_wait([this, timer, responder, open, last](const auto &) {
            if (!*open || m_stopped)
                return;
            const core::TimePoint now = core::BootClock::now();
            const double ms = std::chrono::duration<double, std::milli>(now - last).count();
            constexpr size_t mostUnsent = 1UL << 20U;
            if (responder.unsentBytes() < mostUnsent)
                responder.sendRaw(std::string(static_cast<size_t>(ms * LinkBytesPerMs), 'x'));
            writeWithoutEnd(responder, open, now);
        });
    }

    void sendOrder(OrderClient &client)
    {
        if (m_stopped)
            return;
        const std::string id = core::concat("o", client.number, "-", ++client.sent);
        if (!client.connection || !client.connection->isReusable()) {
            client.connection = http::ClientConnection::create(
                m_it.io(), m_nodes[client.node].gateway->clientAddress);
            client.onConnection = 0;
        }
        ++client.onConnection;
        http::Head head;
        head.method = "POST";
        head.target = "/order/1";
        head.fields.add("Host", "test.example");
        head.fields.add("Request-Id", id);
        head.fields.add("X-Api-Key", "key-a");
        head.fields.add("Deadline-Ms", std::to_string(OrderTimeout.count()));
        http::ExchangeHandler handler;
        handler.onHead = [](const http::Head &) { return true; };
        handler.onBody = [](std::string &bytes) { bytes.clear(); };
        handler.onEnd = [this, &client]() {
            ++m_answered;
            // The connection becomes idle when this callback has returned.
            boost::asio::post(m_it.io(), [this, &client]() { sendOrder(client); });
        };
        handler.onFailure = [this, &client, id](http::Failure, const std::string &why) {
            if (m_ran.contains(id)) {
                m_it.record(core::concat("order ", id,
                                         " was run; its connection closed without an "
                                         "answer: ",
                                         why, client.onConnection > 1 ? " (kept)" : " (new)"));
                m_lost += client.onConnection > 1 ? 1 : 0;
            }
            client.connection = nullptr;
            const auto timer = std::make_shared<boost::asio::steady_timer>(m_it.io(), WorkTime);
            timer->async_wait([this, timer, &client](const auto &) { sendOrder(client); });
        };
        client.connection->send(http::renderRequest(head, {}), false, OrderTimeout,
                                std::move(handler));
    }

    void sendChat(size_t node)
    {
        review::ClientRequest request;
        request.address = m_nodes[node].gateway->clientAddress;
        request.target = "/chat/1";
        request.id = core::concat("c", ++m_chatsSent);
        request.timeLimit = ChatTimeout;
        request.patience = ChatPatience;
        request.quiet = true;
        m_it.send(request);
    }

    review::Deployment &m_it;
    bool m_trouble;
    http::Server m_orders;
    http::Server m_faultyChats;
    http::Server m_soundChats;
    std::vector<std::unique_ptr<test::FakeEndpoint>> m_entries; ///< Only for the store.
    core::TimePoint m_troubleFrom{};
    std::vector<Node> m_nodes;
    std::vector<std::unique_ptr<OrderClient>> m_clients;
    std::set<std::string> m_ran; ///< Ids of the orders that the endpoint has begun.
    size_t m_chatAnswers = 0;
    size_t m_chatsSent = 0;
    size_t m_answered = 0;
    size_t m_lost = 0;
    bool m_stopped = false;
};

} // namespace

int main(int argc, char **argv)
{
    return review::runCase(argc, argv, [](review::Deployment &deployment, bool trouble) {
        return Case(deployment, trouble).run();
    });
}
