#pragma once

/** \file
 * Defines a stand-in of a worker that may begin to work before it has read the body of a request.
 */

#include "caserecord.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace jujube::review {

/** When the worker begins to work on a request, and reads its body. */
enum class WorkStart {
    AfterBody, ///< It reads the whole body first.
    AfterHead  ///< It reads the body only after its answer, and keeps the connection.
};

/** What the worker does with the connection once it has answered. */
enum class AfterAnswer {
    KeepsConnection, ///< It reads what is left of the body first.
    Closes           ///< It says so in its answer.
};

/** How the worker answers. */
enum class AnswerKind {
    Document, ///< Once its work is done.
    Events    ///< A stream of events while it works.
};

/** Runs the requests of a service, and answers each with 200. It stops its work if the connection
 * ends. */
class LongWorker
{
public:
    LongWorker(boost::asio::io_context &io, CaseRecord &record, std::string id, WorkStart start,
               AfterAnswer after, core::Milliseconds workTime,
               AnswerKind kind = AnswerKind::Document);
    ~LongWorker();
    LongWorker(const LongWorker &) = delete;
    LongWorker &operator=(const LongWorker &) = delete;

    bool listen(const std::string &address);
    /** Entry of the worker in the store, as JSON. */
    std::string makeEntry(const std::string &service) const;
    const std::string &id() const { return m_id; }
    /** Number of times that it began to work on a request. */
    size_t runCount(const std::string &requestId) const;

private:
    struct Connection;

    void accept();
    void readHead(const std::shared_ptr<Connection> &connection);
    void handleHead(const std::shared_ptr<Connection> &connection);
    void readBody(const std::shared_ptr<Connection> &connection);
    void work(const std::shared_ptr<Connection> &connection);
    void watchForClose(const std::shared_ptr<Connection> &connection);
    void answer(const std::shared_ptr<Connection> &connection);
    void writeEvents(const std::shared_ptr<Connection> &connection);
    void write(const std::shared_ptr<Connection> &connection, std::string bytes,
               std::function<void()> done);
    void handleAnswered(const std::shared_ptr<Connection> &connection);
    void end(const std::shared_ptr<Connection> &connection, const std::string &why);

    boost::asio::io_context &m_io;
    boost::asio::ip::tcp::acceptor m_acceptor;
    CaseRecord &m_record;
    std::string m_id;
    std::string m_address;
    WorkStart m_start;
    AfterAnswer m_after;
    core::Milliseconds m_workTime;
    AnswerKind m_kind;
    std::map<std::string, size_t> m_runs;
};

} // namespace jujube::review
