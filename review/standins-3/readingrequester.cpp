#include "readingrequester.h"

#include "slowtraffic.h"

#include <boost/asio/write.hpp>

#include <algorithm>

namespace jujube::review {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using std::chrono::milliseconds;

constexpr std::string_view EndOfHead = "\r\n\r\n";
// Its kernel holds little, as the windows on the platform are small.
constexpr int ReceiveBufferBytes = 16 * 1024;
constexpr size_t MsPerSecond = 1'000;
constexpr milliseconds MinPause{50};
constexpr milliseconds PauseAfterEnd{1'000};
// A channel that ends later may have met the time limit on the way.
constexpr milliseconds LimitMargin{1'500};

} // namespace

ReadingRequester::ReadingRequester(asio::io_context &io, std::string name, std::string address,
                                   size_t bytesPerSecond, milliseconds period, Record &record,
                                   ReadingCounts &counts)
    : m_socket(io),
      m_timer(io),
      m_name(std::move(name)),
      m_address(std::move(address)),
      m_bytesPerSecond(bytesPerSecond),
      m_period(period),
      m_record(record),
      m_counts(counts)
{
}

void ReadingRequester::start(milliseconds delay)
{
    m_timer.expires_after(delay);
    m_timer.async_wait([self = shared_from_this()](const ErrorCode &ec) {
        if (ec || self->m_stopped)
            return;
        if (self->m_socket.is_open())
            self->send();
        else
            self->connect();
    });
}

void ReadingRequester::connect()
{
    const auto self = shared_from_this();
    ErrorCode ignored;
    m_fresh = true;
    m_socket.open(tcp::v4(), ignored);
    if (m_bytesPerSecond > 0)
        m_socket.set_option(asio::socket_base::receive_buffer_size(ReceiveBufferBytes), ignored);
    m_socket.async_connect(endpointOf(m_address), [self](const ErrorCode &ec) {
        if (!ec) {
            self->send();
            return;
        }
        ErrorCode closeError;
        self->m_socket.close(closeError);
        self->start(PauseAfterEnd);
    });
}

void ReadingRequester::send()
{
    const auto self = shared_from_this();
    const std::string id = m_name + "-" + std::to_string(++m_count);
    m_head.clear();
    m_headDone = false;
    m_bodyBytes = m_length = 0;
    m_sentAt = std::chrono::steady_clock::now();
    const std::string path = m_fresh ? "/note/" : "/order/";
    m_output = "POST " + path + m_name + " HTTP/1.1\r\nHost: t.example\r\nRequest-Id: " + id
        + "\r\nX-Api-Key: key\r\nDeadline-Ms: " + std::to_string(TimeLimit.count())
        + "\r\nContent-Length: 5\r\n\r\norder";
    m_counts.sentAt[id] = m_record.elapsed();
    m_record.note("sent " + id + " " + path);
    asio::async_write(m_socket, asio::buffer(m_output),
                      [self](const ErrorCode &, size_t) { self->read(); });
}

void ReadingRequester::read()
{
    m_socket.async_read_some(asio::buffer(m_buf),
                             [self = shared_from_this()](const ErrorCode &ec, size_t n) {
                                 if (ec)
                                     self->handleEnd();
                                 else
                                     self->handleRead(n);
                             });
}

void ReadingRequester::handleRead(size_t n)
{
    if (m_headDone) {
        m_bodyBytes += n;
    } else {
        m_head.append(m_buf.data(), n);
        const size_t end = m_head.find(EndOfHead);
        if (end != std::string::npos) {
            constexpr std::string_view field = "Content-Length: ";
            const size_t at = m_head.find(field);
            m_headDone = true;
            m_length = at == std::string::npos ? 0 : std::stoul(m_head.substr(at + field.size()));
            m_bodyBytes = m_head.size() - end - EndOfHead.size();
        }
    }
    if (m_headDone && m_bodyBytes >= m_length) {
        handleAnswer();
        return;
    }
    if (m_bytesPerSecond == 0) {
        read();
        return;
    }
    m_timer.expires_after(milliseconds(n * MsPerSecond / m_bytesPerSecond));
    m_timer.async_wait([self = shared_from_this()](const ErrorCode &) { self->read(); });
}

void ReadingRequester::handleAnswer()
{
    const bool first = m_fresh;
    m_fresh = false;
    const bool ok = m_head.starts_with("HTTP/1.1 200");
    ++(ok ? m_counts.whole : m_counts.refused);
    m_record.note("answered " + m_name + "-" + std::to_string(m_count) + " " + m_head.substr(9, 3)
                  + " body " + std::to_string(m_bodyBytes));
    if (m_head.find("Connection: close") != std::string::npos) {
        ErrorCode ignored;
        m_socket.close(ignored);
    }
    const auto taken =
        std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - m_sentAt);
    start(first ? MinPause : std::max(m_period - taken, MinPause));
}

void ReadingRequester::handleEnd()
{
    const auto taken =
        std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - m_sentAt);
    const bool lost = taken < TimeLimit - LimitMargin;
    ++(lost ? m_counts.lost : m_counts.late);
    m_record.note("channel ended " + m_name + "-" + std::to_string(m_count) + " after "
                  + std::to_string(taken.count()) + " ms with " + std::to_string(m_bodyBytes)
                  + " of " + std::to_string(m_length) + " bytes");
    ErrorCode ignored;
    m_socket.close(ignored);
    start(PauseAfterEnd);
}

} // namespace jujube::review
