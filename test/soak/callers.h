#pragma once

/** \file
 * Defines clients that keep asking gateways over kept connections and record what they get.
 */

#include "core/clock.h"
#include "http/clientconnection.h"

#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace jujube::soak {

enum class RequestKind { Order, Read, StreamOnce, StreamResume, Prompt };

/** Whether requests of a kind may run more than once. */
bool isRepeatable(RequestKind kind);
const char *kindName(RequestKind kind);

/** One request as its client saw it. */
struct RequestRecord
{
    std::string id;
    RequestKind kind = RequestKind::Order;
    size_t gateway = 0;
    core::TimePoint sentAt{};
    core::TimePoint endedAt{};
    uint32_t status = 0; ///< 0: no answer came.
    bool ended = false;
    bool complete = false;      ///< The answer came to its orderly end.
    bool hasSeal = false;       ///< It bears a worker's signature.
    bool disconnected = false;  ///< The client closed the connection before the end.
    bool hasRetryAfter = false; ///< The answer says when to come back.
    std::string body;
};

/** What callers need to know of the deployment. */
struct LoadSettings
{
    std::vector<std::string> gateways;              ///< Addresses.
    std::function<bool(size_t gateway)> inRotation; ///< Whether new connections may go there.
    size_t count = 16;
    uint64_t seed = 1;
};

class LoadGenerator
{
public:
    LoadGenerator(boost::asio::io_context &io, LoadSettings settings);

    void start();
    /** Lets the requests under way end and sends no further ones. */
    void stop() { m_stopped = true; }
    size_t inFlight() const { return m_inFlight; }
    const std::deque<RequestRecord> &records() const { return m_records; }

private:
    struct Client
    {
        explicit Client(boost::asio::io_context &io) : pauseTimer(io), timeoutTimer(io) { }
        std::shared_ptr<http::ClientConnection> connection;
        size_t gateway = 0;
        RequestRecord *record = nullptr;
        boost::asio::steady_timer pauseTimer;
        boost::asio::steady_timer timeoutTimer;
    };

    void scheduleNext(Client &client);
    void sendRequest(Client &client);
    bool connect(Client &client);
    void startTimeout(Client &client);
    void finishRequest(Client &client, bool complete);
    std::string renderMessage(const RequestRecord &record);

    boost::asio::io_context &m_io;
    LoadSettings m_settings;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<Client>> m_clients;
    std::deque<RequestRecord> m_records; ///< Elements stay where they are.
    size_t m_inFlight = 0;
    uint64_t m_nextIndex = 0;
    bool m_stopped = false;
};

} // namespace jujube::soak
