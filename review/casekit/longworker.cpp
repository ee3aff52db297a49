#include "longworker.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>

namespace jujube::review {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr core::Milliseconds EventInterval{400};
constexpr std::string_view EndOfHead = "\r\n\r\n";

// Value of a header field in the bytes of a head.
std::string fieldOf(const std::string &head, const std::string &name)
{
    const std::string start = core::concat("\r\n", name, ": ");
    const size_t at = head.find(start);
    if (at == std::string::npos)
        return {};
    const size_t begin = at + start.size();
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

} // namespace

struct LongWorker::Connection
{
    explicit Connection(tcp::socket accepted)
        : socket(std::move(accepted)), timer(socket.get_executor())
    {
    }

    tcp::socket socket;
    asio::steady_timer timer;
    std::array<char, 16'384> buffer{};
    std::string input;
    std::string output;
    std::string requestId;
    size_t bodyLeft = 0;
    core::TimePoint workEndsAt{};
    size_t events = 0;
    bool working = false;
    bool answered = false;
};

LongWorker::LongWorker(asio::io_context &io, CaseRecord &record, std::string id, WorkStart start,
                       AfterAnswer after, core::Milliseconds workTime, AnswerKind kind)
    : m_io(io),
      m_acceptor(io),
      m_record(record),
      m_id(std::move(id)),
      m_start(start),
      m_after(after),
      m_workTime(workTime),
      m_kind(kind)
{
}

LongWorker::~LongWorker() = default;

bool LongWorker::listen(const std::string &address)
{
    m_address = address;
    const size_t colon = address.rfind(':');
    const tcp::endpoint endpoint(asio::ip::make_address(address.substr(0, colon)),
                                 static_cast<uint16_t>(std::stoul(address.substr(colon + 1))));
    ErrorCode ec;
    m_acceptor.open(endpoint.protocol(), ec);
    if (!ec)
        m_acceptor.set_option(asio::socket_base::reuse_address(true), ec);
    if (!ec)
        m_acceptor.bind(endpoint, ec);
    if (!ec)
        m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (!ec)
        accept();
    return !ec;
}

std::string LongWorker::makeEntry(const std::string &service) const
{
    return core::concat(R"({"Service":")", service, R"(","Address":")", m_address,
                        R"(","Zone":"accra-a","Version":"v1","Slots":6,"State":"ready",)",
                        R"("ColdLeftMs":0,"Sequence":1,"born":1800000000000})");
}

size_t LongWorker::runCount(const std::string &requestId) const
{
    const auto it = m_runs.find(requestId);
    return it == m_runs.end() ? 0 : it->second;
}

void LongWorker::accept()
{
    m_acceptor.async_accept([this](const ErrorCode &ec, tcp::socket socket) {
        if (ec)
            return;
        readHead(std::make_shared<Connection>(std::move(socket)));
        accept();
    });
}

void LongWorker::readHead(const std::shared_ptr<Connection> &connection)
{
    if (connection->input.find(EndOfHead) != std::string::npos) {
        handleHead(connection);
        return;
    }
    connection->socket.async_read_some(asio::buffer(connection->buffer),
                                       [this, connection](const ErrorCode &ec, size_t n) {
                                           if (ec) {
                                               end(connection, ec.message());
                                               return;
                                           }
                                           connection->input.append(connection->buffer.data(), n);
                                           readHead(connection);
                                       });
}

void LongWorker::handleHead(const std::shared_ptr<Connection> &connection)
{
    const size_t headBytes = connection->input.find(EndOfHead) + EndOfHead.size();
    const std::string head = connection->input.substr(0, headBytes);
    connection->input.erase(0, headBytes);
    connection->requestId = fieldOf(head, "Request-Id");
    connection->bodyLeft = std::strtoul(fieldOf(head, "Content-Length").c_str(), nullptr, 10);
    connection->answered = false;
    const size_t n = std::min(connection->bodyLeft, connection->input.size());
    connection->input.erase(0, n);
    connection->bodyLeft -= n;
    if (m_start == WorkStart::AfterBody && connection->bodyLeft > 0)
        readBody(connection);
    else
        work(connection);
}

void LongWorker::readBody(const std::shared_ptr<Connection> &connection)
{
    const size_t most = std::min(connection->bodyLeft, connection->buffer.size());
    connection->socket.async_read_some(asio::buffer(connection->buffer.data(), most),
                                       [this, connection](const ErrorCode &ec, size_t n) {
                                           if (ec) {
                                               end(connection, ec.message());
                                               return;
                                           }
                                           connection->bodyLeft -= n;
                                           if (connection->bodyLeft > 0)
                                               readBody(connection);
                                           else if (connection->answered)
                                               readHead(connection);
                                           else
                                               work(connection);
                                       });
}

void LongWorker::work(const std::shared_ptr<Connection> &connection)
{
    ++m_runs[connection->requestId];
    m_record.add(m_id, " begins to work on ", connection->requestId, ", ", connection->bodyLeft,
                 " bytes of its body are not read yet");
    connection->working = true;
    watchForClose(connection);
    if (m_kind == AnswerKind::Events) {
        connection->workEndsAt = core::BootClock::now() + m_workTime;
        connection->events = 0;
        write(connection,
              core::concat("HTTP/1.1 200 OK\r\nRequest-Id: ", connection->requestId,
                           "\r\nServer-Seal: ", m_id,
                           ".seal\r\nContent-Type: text/event-stream\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n"),
              [this, connection]() { writeEvents(connection); });
        return;
    }
    connection->timer.expires_after(m_workTime);
    connection->timer.async_wait([this, connection](const ErrorCode &ec) {
        if (!ec && connection->working)
            answer(connection);
    });
}

void LongWorker::writeEvents(const std::shared_ptr<Connection> &connection)
{
    if (core::BootClock::now() >= connection->workEndsAt) {
        write(connection, "0\r\n\r\n", [this, connection]() { handleAnswered(connection); });
        return;
    }
    const std::string event =
        core::concat("id: ", ++connection->events, "\ndata: ", connection->requestId, "\n\n");
    write(connection, core::concat(absl::Hex(event.size()), "\r\n", event, "\r\n"),
          [this, connection]() {
              connection->timer.expires_after(EventInterval);
              connection->timer.async_wait([this, connection](const ErrorCode &ec) {
                  if (!ec && connection->working)
                      writeEvents(connection);
              });
          });
}

void LongWorker::write(const std::shared_ptr<Connection> &connection, std::string bytes,
                       std::function<void()> done)
{
    connection->output = std::move(bytes);
    asio::async_write(connection->socket, asio::buffer(connection->output),
                      [this, connection, done = std::move(done)](const ErrorCode &ec, size_t) {
                          if (ec)
                              end(connection, ec.message());
                          else
                              done();
                      });
}

// The end of the connection is visible without a read: the kernel reports an error.
void LongWorker::watchForClose(const std::shared_ptr<Connection> &connection)
{
    connection->socket.async_wait(asio::socket_base::wait_error,
                                  [this, connection](const ErrorCode &ec) {
                                      if (!ec && connection->working)
                                          end(connection, "the gateway has reset the connection");
                                  });
}

void LongWorker::answer(const std::shared_ptr<Connection> &connection)
{
    const std::string body = core::concat("receipt of ", connection->requestId);
    write(connection,
          core::concat("HTTP/1.1 200 OK\r\nRequest-Id: ", connection->requestId,
                       "\r\nServer-Seal: ", m_id, ".seal\r\n",
                       m_after == AfterAnswer::Closes ? "Connection: close\r\n" : "",
                       "Content-Length: ", body.size(), "\r\n\r\n", body),
          [this, connection]() { handleAnswered(connection); });
}

void LongWorker::handleAnswered(const std::shared_ptr<Connection> &connection)
{
    connection->working = false;
    connection->answered = true;
    m_record.add(m_id, " has answered ", connection->requestId, " with 200, ", connection->bodyLeft,
                 " bytes of its body are not read yet");
    if (m_after == AfterAnswer::Closes)
        end(connection, "");
    else if (connection->bodyLeft > 0)
        readBody(connection);
    else
        readHead(connection);
}

void LongWorker::end(const std::shared_ptr<Connection> &connection, const std::string &why)
{
    if (connection->working)
        m_record.add(m_id, " stops its work on ", connection->requestId, ": ", why);
    connection->working = false;
    ErrorCode ignored;
    connection->timer.cancel();
    connection->socket.close(ignored);
}

} // namespace jujube::review
