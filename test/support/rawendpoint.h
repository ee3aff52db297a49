#pragma once

/** \file
 * Defines an endpoint that answers a request before it has read the request's body.
 */

#include "core/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jujube::test {

/** What the endpoint does with a connection once it has written its answer. */
enum class AfterAnswer {
    KeepsOpen, ///< It reads nothing more.
    ReadsOn,   ///< It reads the rest of the body and keeps the connection.
    Closes,    ///< If a part of the body is not read, the kernel resets the connection.
    Resets,
    ShutsDown, ///< It ends its direction in order and reads on.
};

/** Begins to work on each request when it has the head, writes the given bytes once the work is
 * done, and does not check them. */
class RawEndpoint
{
public:
    /** Listens on "address:port". */
    RawEndpoint(boost::asio::io_context &io, const std::string &address);
    ~RawEndpoint();
    RawEndpoint(const RawEndpoint &) = delete;
    RawEndpoint &operator=(const RawEndpoint &) = delete;

    /** Its entry in the store, as JSON. */
    std::string makeEntry(const std::string &service) const;
    const std::string &address() const { return m_address; }
    /** Sets what it answers; "{id}" stands for the id of the request. */
    void setAnswer(std::string bytes, AfterAnswer after);
    /** Sets an answer that it writes in pieces, with a pause before each but the first. */
    void setPieces(std::vector<std::string> pieces, core::Milliseconds pause, AfterAnswer after);
    void setWorkTime(core::Milliseconds time) { m_workTime = time; }
    /** Number of times that it began to work on a request. */
    size_t runCount(const std::string &requestId) const;
    /** Number of requests whose connection ended while it worked on them. */
    size_t abandonedRuns() const { return m_abandonedRuns; }
    size_t readBytes() const { return m_readBytes; }
    /** Whether a connection is established that was not accepted yet. */
    bool hasWaitingConnection();

private:
    struct Connection;

    void accept();
    void readHead(const std::shared_ptr<Connection> &connection);
    void work(const std::shared_ptr<Connection> &connection);
    void answer(const std::shared_ptr<Connection> &connection, size_t piece);
    void handleAnswered(const std::shared_ptr<Connection> &connection);
    void readOn(const std::shared_ptr<Connection> &connection);

    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_address;
    std::vector<std::string> m_pieces; ///< Of the answer; none: it does not answer.
    core::Milliseconds m_pause{};
    AfterAnswer m_after = AfterAnswer::KeepsOpen;
    core::Milliseconds m_workTime{30};
    std::map<std::string, size_t> m_runs;
    size_t m_abandonedRuns = 0;
    size_t m_readBytes = 0;
};

/** An answer with status 200, a seal, a length and the body "answer to {id}", for ids of two
 * characters. */
std::string sealedAnswer(const std::string &moreFields = {});

} // namespace jujube::test
