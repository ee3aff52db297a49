#pragma once

/** \file
 * Defines a requester that keeps its channel and may read answers slowly.
 */

#include "record.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstddef>
#include <map>
#include <memory>
#include <string>

namespace jujube::review {

/** What became of the requests of all requesters. */
struct ReadingCounts
{
    size_t whole = 0;   ///< Answers with status 200 that were read to their end.
    size_t lost = 0;    ///< Channels that ended without the whole answer before the time limit.
    size_t late = 0;    ///< The same, shortly before the time limit or after it.
    size_t refused = 0; ///< Answers with another status.
    std::map<std::string, std::chrono::milliseconds> sentAt; ///< By request id.
};

/** Sends one order after the other on one channel, after a first request with a short answer.
 * Connects again if the channel has ended. */
class ReadingRequester : public std::enable_shared_from_this<ReadingRequester>
{
public:
    /** \param bytesPerSecond rate at which it reads; 0: at once.
     * \param period from an order to the next one, if it has ended by then. */
    ReadingRequester(boost::asio::io_context &io, std::string name, std::string address,
                     size_t bytesPerSecond, std::chrono::milliseconds period, Record &record,
                     ReadingCounts &counts);

    /** Sends the first request after a delay. */
    void start(std::chrono::milliseconds delay);
    /** Sends no further request. */
    void stop() { m_stopped = true; }

    static constexpr std::chrono::milliseconds TimeLimit{10'000};

private:
    void connect();
    void send();
    void read();
    void handleRead(size_t n);
    void handleEnd();
    void handleAnswer();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::string m_name;
    std::string m_address;
    size_t m_bytesPerSecond;
    std::chrono::milliseconds m_period;
    Record &m_record;
    ReadingCounts &m_counts;
    std::string m_output;
    std::string m_head;
    std::array<char, 8192> m_buf{};
    std::chrono::steady_clock::time_point m_sentAt{};
    size_t m_count = 0;
    size_t m_bodyBytes = 0; ///< Read of the answer's body.
    size_t m_length = 0;    ///< Of the body, once the head is complete.
    bool m_fresh = false;   ///< The channel has carried no request.
    bool m_headDone = false;
    bool m_stopped = false;
};

} // namespace jujube::review
