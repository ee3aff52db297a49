#pragma once

/** \file
 * Defines requesters and workers that may read slowly.
 */

#include "record.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jujube::review {

/** What a worker has begun to run, by request id. */
using Runs = std::map<std::string, size_t>;

/** Splits "address:port". */
boost::asio::ip::tcp::endpoint endpointOf(const std::string &address);

/** A worker that runs each request once it has its whole body. */
class SlowWorker
{
public:
    /** \param bytesPerSecond rate at which it reads bodies and writes answers; 0: at once.
     * \param answerBytes length of its answers to reads and orders; others get a short one. */
    SlowWorker(boost::asio::io_context &io, const std::string &address, size_t bytesPerSecond,
               size_t answerBytes, Runs &runs);

    /** Sets a callback that is invoked with the id of each request as it begins to run. */
    void onRun(std::function<void(const std::string &)> callback) { m_onRun = std::move(callback); }

private:
    struct Connection;

    void accept();
    void readHead(const std::shared_ptr<Connection> &connection);
    void readBody(const std::shared_ptr<Connection> &connection);
    void answer(const std::shared_ptr<Connection> &connection);
    void writeAnswer(const std::shared_ptr<Connection> &connection);

    boost::asio::ip::tcp::acceptor m_acceptor;
    size_t m_bytesPerSecond;
    size_t m_answerBytes;
    Runs &m_runs;
    std::function<void(const std::string &)> m_onRun;
};

/** What the requesters send. */
struct TrafficSettings
{
    std::vector<size_t> bodyBytes;        ///< Of the requests in turn; empty: GET without a body.
    size_t bytesPerSecond = 0;            ///< Rate at which each requester sends.
    std::chrono::milliseconds bodyTurn{}; ///< After it all requesters send the next length.
    std::chrono::milliseconds period{};   ///< From one request of a requester to its next.
};

/** Sends one request after the other, each on a new connection. */
class Requester : public std::enable_shared_from_this<Requester>
{
public:
    using Outcomes = std::map<std::string, size_t>;

    Requester(boost::asio::io_context &io, std::string name, std::string address,
              const TrafficSettings &settings, Record &record, Outcomes &outcomes);

    /** Sends the first request after a delay. */
    void start(std::chrono::milliseconds delay);
    void stop() { m_stopped = true; }

private:
    void connect();
    void sendBody(size_t left);
    void readAnswer();
    void end(const std::string &outcome);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    boost::asio::steady_timer m_limit;
    std::string m_name;
    std::string m_address;
    const TrafficSettings &m_settings;
    Record &m_record;
    Outcomes &m_outcomes;
    std::string m_output;
    std::string m_answer;
    std::array<char, 16384> m_buf{};
    std::chrono::steady_clock::time_point m_sentAt{};
    size_t m_count = 0;
    bool m_active = false;
    bool m_stopped = false;
};

} // namespace jujube::review
