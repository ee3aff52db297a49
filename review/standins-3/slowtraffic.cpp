#include "slowtraffic.h"

#include <boost/asio/write.hpp>

#include <algorithm>
#include <charconv>

namespace jujube::review {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using std::chrono::milliseconds;

constexpr std::string_view EndOfHead = "\r\n\r\n";
// A slow reader leaves the rest in the kernels, whose windows are small on the platform.
constexpr int ReceiveBufferBytes = 32 * 1024;
constexpr size_t ReadBytes = 8UL * 1024;
constexpr size_t SendBytes = 32UL * 1024;
constexpr size_t SmallAnswerBytes = 800;
constexpr size_t MsPerSecond = 1'000;
constexpr milliseconds RequestTime{10'000};
constexpr milliseconds MinPause{100};

std::string fieldOf(const std::string &head, const std::string &name)
{
    const size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return {};
    const size_t begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

size_t numberOf(const std::string &text)
{
    size_t n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

} // namespace

tcp::endpoint endpointOf(const std::string &address)
{
    const size_t colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)),
            static_cast<uint16_t>(std::stoul(address.substr(colon + 1)))};
}

struct SlowWorker::Connection
{
    explicit Connection(tcp::socket accepted)
        : socket(std::move(accepted)), timer(socket.get_executor())
    {
    }

    tcp::socket socket;
    asio::steady_timer timer;
    std::array<char, ReadBytes> buf{};
    std::string input;
    std::string requestId;
    std::string output;
    size_t sentBytes = 0; ///< Of output.
    size_t bodyLeft = 0;
    bool largeAnswer = false;
};

SlowWorker::SlowWorker(asio::io_context &io, const std::string &address, size_t bytesPerSecond,
                       size_t answerBytes, Runs &runs)
    : m_acceptor(io), m_bytesPerSecond(bytesPerSecond), m_answerBytes(answerBytes), m_runs(runs)
{
    const tcp::endpoint endpoint = endpointOf(address);
    m_acceptor.open(endpoint.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    if (bytesPerSecond > 0)
        m_acceptor.set_option(asio::socket_base::receive_buffer_size(ReceiveBufferBytes));
    m_acceptor.bind(endpoint);
    m_acceptor.listen();
    accept();
}

void SlowWorker::accept()
{
    m_acceptor.async_accept([this](const ErrorCode &ec, tcp::socket socket) {
        if (!ec)
            readHead(std::make_shared<Connection>(std::move(socket)));
        accept();
    });
}

void SlowWorker::readHead(const std::shared_ptr<Connection> &connection)
{
    connection->socket.async_read_some(
        asio::buffer(connection->buf), [this, connection](const ErrorCode &ec, size_t n) {
            if (ec)
                return;
            connection->input.append(connection->buf.data(), n);
            const size_t end = connection->input.find(EndOfHead);
            if (end == std::string::npos) {
                readHead(connection);
                return;
            }
            const std::string head = connection->input.substr(0, end + 2);
            const size_t received = connection->input.size() - end - EndOfHead.size();
            connection->input.clear();
            connection->largeAnswer =
                head.starts_with("GET") || head.find(" /order/") != std::string::npos;
            connection->requestId = fieldOf(head, "Request-Id");
            const size_t length = numberOf(fieldOf(head, "Content-Length"));
            connection->bodyLeft = length - std::min(length, received);
            readBody(connection);
        });
}

void SlowWorker::readBody(const std::shared_ptr<Connection> &connection)
{
    if (connection->bodyLeft == 0) {
        answer(connection);
        return;
    }
    connection->socket.async_read_some(
        asio::buffer(connection->buf.data(), std::min(ReadBytes, connection->bodyLeft)),
        [this, connection](const ErrorCode &ec, size_t n) {
            if (ec)
                return;
            connection->bodyLeft -= n;
            if (m_bytesPerSecond == 0) {
                readBody(connection);
                return;
            }
            connection->timer.expires_after(milliseconds(n * MsPerSecond / m_bytesPerSecond));
            connection->timer.async_wait(
                [this, connection](const ErrorCode &) { readBody(connection); });
        });
}

void SlowWorker::answer(const std::shared_ptr<Connection> &connection)
{
    ++m_runs[connection->requestId];
    if (m_onRun)
        m_onRun(connection->requestId);
    const size_t bytes = connection->largeAnswer ? m_answerBytes : SmallAnswerBytes;
    connection->output = "HTTP/1.1 200 OK\r\nRequest-Id: " + connection->requestId
        + "\r\nServer-Seal: seal\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n"
        + std::string(bytes, 'a');
    connection->sentBytes = 0;
    writeAnswer(connection);
}

void SlowWorker::writeAnswer(const std::shared_ptr<Connection> &connection)
{
    const size_t left = connection->output.size() - connection->sentBytes;
    if (left == 0) {
        readHead(connection);
        return;
    }
    const size_t most = m_bytesPerSecond == 0 ? left : std::min(left, ReadBytes);
    asio::async_write(
        connection->socket, asio::buffer(connection->output.data() + connection->sentBytes, most),
        [this, connection](const ErrorCode &ec, size_t n) {
            if (ec)
                return;
            connection->sentBytes += n;
            if (m_bytesPerSecond == 0) {
                writeAnswer(connection);
                return;
            }
            connection->timer.expires_after(milliseconds(n * MsPerSecond / m_bytesPerSecond));
            connection->timer.async_wait(
                [this, connection](const ErrorCode &) { writeAnswer(connection); });
        });
}

Requester::Requester(asio::io_context &io, std::string name, std::string address,
                     const TrafficSettings &settings, Record &record, Outcomes &outcomes)
    : m_socket(io),
      m_timer(io),
      m_limit(io),
      m_name(std::move(name)),
      m_address(std::move(address)),
      m_settings(settings),
      m_record(record),
      m_outcomes(outcomes)
{
}

void Requester::start(milliseconds delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([self = shared_from_this()](const ErrorCode &ec) {
        if (!ec)
            self->connect();
    });
}

void Requester::connect()
{
    if (m_stopped)
        return;
    m_active = true;
    m_sentAt = std::chrono::steady_clock::now();
    m_answer.clear();
    const auto self = shared_from_this();
    m_limit.expires_after(RequestTime);
    m_limit.async_wait([self](const ErrorCode &ec) {
        if (!ec)
            self->end("no answer in time");
    });
    m_socket = tcp::socket(m_socket.get_executor());
    m_socket.async_connect(endpointOf(m_address), [self](const ErrorCode &ec) {
        if (ec) {
            self->end("no connection");
            return;
        }
        size_t bytes = 0;
        if (!self->m_settings.bodyBytes.empty()) {
            const auto turn = self->m_record.elapsed() / self->m_settings.bodyTurn;
            bytes = self->m_settings
                        .bodyBytes[static_cast<size_t>(turn) % self->m_settings.bodyBytes.size()];
        }
        const std::string id = self->m_name + "-" + std::to_string(++self->m_count);
        self->m_output = (bytes > 0 ? "POST /upload/" : "GET /read/") + self->m_name
            + " HTTP/1.1\r\nHost: t.example\r\nRequest-Id: " + id
            + "\r\nX-Api-Key: key\r\nDeadline-Ms: " + std::to_string(RequestTime.count()) + "\r\n"
            + (bytes > 0 ? "Content-Length: " + std::to_string(bytes) + "\r\n" : "") + "\r\n";
        self->m_record.note("sent " + id + " body " + std::to_string(bytes));
        self->readAnswer();
        self->sendBody(bytes);
    });
}

void Requester::sendBody(size_t left)
{
    const auto self = shared_from_this();
    const size_t n = std::min(left, SendBytes);
    m_output.append(n, 'b');
    asio::async_write(m_socket, asio::buffer(m_output),
                      [self, left, n](const ErrorCode &ec, size_t) {
                          self->m_output.clear();
                          if (ec || !self->m_active || left == n)
                              return;
                          self->m_timer.expires_after(
                              milliseconds(n * MsPerSecond / self->m_settings.bytesPerSecond));
                          self->m_timer.async_wait([self, left, n](const ErrorCode &waitError) {
                              if (!waitError && self->m_active)
                                  self->sendBody(left - n);
                          });
                      });
}

void Requester::readAnswer()
{
    const auto self = shared_from_this();
    m_socket.async_read_some(asio::buffer(m_buf), [self](const ErrorCode &ec, size_t n) {
        if (!self->m_active)
            return;
        if (ec) {
            self->end("connection closed");
            return;
        }
        self->m_answer.append(self->m_buf.data(), n);
        const size_t end = self->m_answer.find(EndOfHead);
        if (end == std::string::npos) {
            self->readAnswer();
            return;
        }
        const std::string status = self->m_answer.substr(9, 3);
        const size_t length =
            numberOf(fieldOf(self->m_answer.substr(0, end + 2), "Content-Length"));
        if (self->m_answer.size() < end + EndOfHead.size() + length) {
            self->readAnswer();
            return;
        }
        self->end(status);
    });
}

void Requester::end(const std::string &outcome)
{
    if (!std::exchange(m_active, false))
        return;
    m_limit.cancel();
    ErrorCode ignored;
    m_socket.close(ignored);
    ++m_outcomes[outcome];
    m_record.note("ended " + m_name + "-" + std::to_string(m_count) + " " + outcome);
    const auto taken = std::chrono::steady_clock::now() - m_sentAt;
    start(std::chrono::duration_cast<milliseconds>(
        std::max<std::chrono::steady_clock::duration>(m_settings.period - taken, MinPause)));
}

} // namespace jujube::review
