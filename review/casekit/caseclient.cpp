#include "caseclient.h"

#include "casefleet.h"
#include "http/message.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace jujube::review {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr std::string_view EndOfHead = "\r\n\r\n";
constexpr std::string_view EndOfChunks = "\r\n0\r\n\r\n";

// Reads the status and the length from the head of an answer.
void parseHead(const std::string &head, CaseCall &call)
{
    constexpr size_t statusAt = std::string_view("HTTP/1.1 ").size();
    constexpr std::string_view lengthField = "content-length: ";
    call.status = static_cast<uint32_t>(std::strtoul(head.c_str() + statusAt, nullptr, 10));
    std::string lower = head;
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    if (const size_t at = lower.find(lengthField); at != std::string::npos)
        call.length = std::strtoul(lower.c_str() + at + lengthField.size(), nullptr, 10);
}

} // namespace

std::shared_ptr<CaseClient> CaseClient::create(asio::io_context &io, CaseRecord &record,
                                               std::string name)
{
    return std::shared_ptr<CaseClient>(new CaseClient(io, record, std::move(name)));
}

CaseClient::CaseClient(asio::io_context &io, CaseRecord &record, std::string name)
    : m_socket(io), m_timer(io), m_record(record), m_name(std::move(name))
{
}

bool CaseClient::connect(const std::string &address, int receiveBufferBytes)
{
    const size_t colon = address.rfind(':');
    ErrorCode ec;
    m_socket.open(tcp::v4(), ec);
    if (!ec && receiveBufferBytes > 0)
        m_socket.set_option(asio::socket_base::receive_buffer_size(receiveBufferBytes), ec);
    if (ec)
        return false;
    m_socket.connect({asio::ip::make_address(address.substr(0, colon)),
                      static_cast<uint16_t>(std::stoul(address.substr(colon + 1)))},
                     ec);
    return !ec;
}

std::shared_ptr<CaseCall> CaseClient::send(const std::string &method, const std::string &target,
                                           const std::string &id, ReadPace pace, size_t bodyBytes)
{
    m_call = std::make_shared<CaseCall>();
    m_call->id = id;
    m_call->sentAt = core::BootClock::now();
    m_pace = pace;
    m_bytesSincePause = 0;
    m_paused = false;
    m_head.clear();
    m_tail.clear();
    m_request = core::concat(
        method, " ", target, " HTTP/1.1\r\nHost: ", CaseFleet::Host, "\r\nRequest-Id: ", id,
        "\r\nX-Api-Key: ", CaseFleet::Key, "\r\nDeadline-Ms: 10000\r\n",
        method == "GET" ? "" : core::concat("Content-Length: ", bodyBytes, "\r\n"), "\r\n");
    m_request.append(bodyBytes, 'x');
    m_record.add(m_name, " sends ", method, " ", target, " ", id,
                 bodyBytes > 0 ? core::concat(", body of ", bodyBytes, " bytes") : "");
    asio::async_write(m_socket, asio::buffer(m_request),
                      [self = shared_from_this()](const ErrorCode &ec, size_t) {
                          if (ec)
                              self->finish(false, ec.message());
                      });
    read();
    return m_call;
}

void CaseClient::read()
{
    m_socket.async_read_some(asio::buffer(m_buffer),
                             [self = shared_from_this()](const ErrorCode &ec, size_t n) {
                                 if (!self->m_call || self->m_call->ended)
                                     return;
                                 if (ec)
                                     self->finish(false, ec.message());
                                 else
                                     self->onBytes(n);
                             });
}

void CaseClient::onBytes(size_t n)
{
    CaseCall &call = *m_call;
    size_t body = n;
    if (call.status == 0) {
        m_head.append(m_buffer.data(), n);
        const size_t end = m_head.find(EndOfHead);
        if (end == std::string::npos) {
            read();
            return;
        }
        parseHead(m_head, call);
        body = m_head.size() - end - EndOfHead.size();
    }
    call.bodyBytes += body;
    m_bytesSincePause += n;
    if (call.length && call.bodyBytes >= *call.length) {
        finish(call.bodyBytes == *call.length, "");
        return;
    }
    // A body of chunks ends with an empty one.
    m_tail =
        (m_tail + std::string(m_buffer.data(), n))
            .substr(n + m_tail.size() > EndOfChunks.size() ? n + m_tail.size() - EndOfChunks.size()
                                                           : 0);
    if (!call.length && m_tail == EndOfChunks) {
        finish(true, "");
        return;
    }
    const bool pauses = m_pace.pause.count() > 0 && (m_pace.repeated || !m_paused)
        && m_bytesSincePause >= m_pace.bytesBeforePause;
    if (pauses)
        readAfterPause();
    else
        read();
}

void CaseClient::readAfterPause()
{
    m_paused = true;
    m_bytesSincePause = 0;
    m_timer.expires_after(m_pace.pause);
    m_timer.async_wait([self = shared_from_this()](const ErrorCode &ec) {
        if (!ec)
            self->read();
    });
}

void CaseClient::finish(bool complete, const std::string &error)
{
    if (!m_call || m_call->ended)
        return;
    m_call->ended = true;
    m_call->complete = complete;
    m_call->error = error;
    m_call->endedAt = core::BootClock::now();
    const auto taken =
        std::chrono::duration_cast<core::Milliseconds>(m_call->endedAt - m_call->sentAt);
    m_record.add(m_name, " got ", m_call->id, " status ", m_call->status, ", ", m_call->bodyBytes,
                 m_call->length ? core::concat(" of ", *m_call->length) : "", " bytes, ",
                 complete ? "complete" : core::concat("the connection ended: ", error), ", after ",
                 taken.count(), " ms");
}

void CaseClient::close()
{
    ErrorCode ignored;
    m_timer.cancel();
    m_socket.close(ignored);
}

} // namespace jujube::review
