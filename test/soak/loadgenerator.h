#pragma once

/** \file
 * Defines clients that send requests to gateways over persistent connections and record the
 * results.
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

/** Kind of a request; each has a route of its own in test::configJson(). */
enum class RequestKind {
    Order,
    Read,
    StreamOnce,
    StreamResume,
    Prompt,
    CrashingPrompt ///< A prompt that shares its first block with sound ones. Only if enabled.
};

/** Whether requests of a kind may be executed more than once. */
bool isRepeatable(RequestKind kind);
const char *kindName(RequestKind kind);
/** API key of a team "team-X". */
std::string keyOfTeam(const std::string &team);

/** One request and its response as the client observed them. */
struct RequestRecord
{
    std::string id;
    RequestKind kind = RequestKind::Order;
    std::string team = "team-a";
    uint32_t statedTokens = 0; ///< Sum of Token-Count; 0: not stated.
    size_t gateway = 0;        ///< Index of the gateway.
    core::TimePoint sentAt{};
    core::TimePoint endedAt{};
    uint32_t status = 0; ///< 0: no response.
    bool ended = false;
    bool complete = false;     ///< The response was received to its end.
    bool hasSeal = false;      ///< The response has the field Server-Seal.
    bool disconnected = false; ///< The client closed the connection before the end of the response.
    bool hasRetryAfter = false;   ///< The response has the field Retry-After.
    double retryAfterSeconds = 0; ///< 0 also if the field is not a number.
    std::string body;
};

/** Settings of the load: the gateways under test, the number of clients and the random seed. */
struct LoadSettings
{
    std::vector<std::string> gateways;              ///< Addresses.
    std::function<bool(size_t gateway)> inRotation; ///< Whether new connections may go to it.
    size_t count = 16;                              ///< Number of clients.
    std::string crashingBlock; ///< Block of the crashing prompts; empty: none are sent.
    std::function<std::string(std::mt19937_64 &)> drawTeam; ///< Not set: team-a for all requests.
    uint64_t seed = 1;
};

/** Simulates clients that each send one random request at a time. */
class LoadGenerator
{
public:
    LoadGenerator(boost::asio::io_context &io, LoadSettings settings);

    void start();
    /** Sends no further requests; those in flight run to their end. */
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
        bool overQuota = false; ///< Its last request was over the quota of its team.
        boost::asio::steady_timer pauseTimer;
        boost::asio::steady_timer timeoutTimer;
    };

    void scheduleNext(Client &client);
    void sendRequest(Client &client);
    bool connect(Client &client);
    void startTimeout(Client &client);
    void finishRequest(Client &client, bool complete);
    std::string renderMessage(RequestRecord &record);

    boost::asio::io_context &m_io;
    LoadSettings m_settings;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<Client>> m_clients;
    std::deque<RequestRecord> m_records; ///< A deque: handlers hold references to its elements.
    size_t m_inFlight = 0;
    uint64_t m_promptCount = 0;
    bool m_stopped = false;
};

} // namespace jujube::soak
