#pragma once

/** \file
 * Defines a client that keeps its connection for several requests and decides how fast it reads.
 */

#include "caserecord.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace jujube::review {

/** One request of a client and what it got for it. */
struct CaseCall
{
    std::string id;
    uint32_t status = 0; ///< 0: no head was received.
    size_t bodyBytes = 0;
    std::optional<size_t> length; ///< Of the body, as the head states it.
    bool complete = false;
    bool ended = false; ///< Complete, or the connection is closed.
    std::string error;
    core::TimePoint sentAt{};
    core::TimePoint endedAt{};
};

/** How a client reads an answer: all at once, or with a pause of its own after some bytes. */
struct ReadPace
{
    size_t bytesBeforePause = 0;
    core::Milliseconds pause{}; ///< None: it reads at once.
    bool repeated = false;      ///< A pause after each such piece.
};

/** Sends requests one after another over one connection. */
class CaseClient : public std::enable_shared_from_this<CaseClient>
{
public:
    static std::shared_ptr<CaseClient> create(boost::asio::io_context &io, CaseRecord &record,
                                              std::string name);

    /** \param receiveBufferBytes of the kernel; 0: its default, which it enlarges by itself. */
    bool connect(const std::string &address, int receiveBufferBytes = 0);
    /** Sends a request. Its answer must state its length or have chunks. */
    std::shared_ptr<CaseCall> send(const std::string &method, const std::string &target,
                                   const std::string &id, ReadPace pace = {}, size_t bodyBytes = 0);
    void close();

private:
    CaseClient(boost::asio::io_context &io, CaseRecord &record, std::string name);

    void read();
    void readAfterPause();
    void onBytes(size_t n);
    void finish(bool complete, const std::string &error);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    CaseRecord &m_record;
    std::string m_name;
    std::string m_request;
    std::string m_head;
    std::string m_tail; ///< Last bytes of the answer.
    std::array<char, 16'384> m_buffer{};
    std::shared_ptr<CaseCall> m_call;
    ReadPace m_pace;
    size_t m_bytesSincePause = 0;
    bool m_paused = false;
};

} // namespace jujube::review
