#include "http/message.h"

#include "core/httpstatus.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <charconv>
#include <limits>

namespace jujube::http {

namespace {

namespace beast = boost::beast;

std::string_view view(beast::string_view text)
{
    return {text.data(), text.size()};
}

char lower(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c + ('a' - 'A')) : c;
}

void appendFields(std::string &out, const Fields &fields)
{
    for (const Field &field : fields.all()) {
        out += field.name;
        out += ": ";
        out += field.value;
        out += "\r\n";
    }
}

bool listContains(std::string_view list, std::string_view token)
{
    while (!list.empty()) {
        const size_t comma = std::min(list.find(','), list.size());
        std::string_view item = list.substr(0, comma);
        while (!item.empty() && (item.front() == ' ' || item.front() == '\t'))
            item.remove_prefix(1);
        while (!item.empty() && (item.back() == ' ' || item.back() == '\t'))
            item.remove_suffix(1);
        if (equalIgnoreCase(item, token))
            return true;
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return false;
}

} // namespace

bool equalIgnoreCase(std::string_view a, std::string_view b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](char x, char y) { return lower(x) == lower(y); });
}

void Fields::add(std::string_view name, std::string_view value)
{
    m_fields.push_back({std::string(name), std::string(value)});
}

std::optional<std::string_view> Fields::find(std::string_view name) const
{
    for (const Field &field : m_fields) {
        if (equalIgnoreCase(field.name, name))
            return field.value;
    }
    return std::nullopt;
}

size_t Fields::count(std::string_view name) const
{
    return static_cast<size_t>(
        std::count_if(m_fields.begin(), m_fields.end(),
                      [name](const Field &field) { return equalIgnoreCase(field.name, name); }));
}

void Fields::remove(std::string_view name)
{
    std::erase_if(m_fields,
                  [name](const Field &field) { return equalIgnoreCase(field.name, name); });
}

template <bool IsRequest>
MessageParser<IsRequest>::MessageParser(uint32_t maxHeadBytes) : m_maxHeadBytes(maxHeadBytes)
{
    Base::eager(true);
    Base::header_limit(maxHeadBytes);
    // The consumer of the body enforces the configured limit.
    Base::body_limit(std::numeric_limits<uint64_t>::max());
}

template <bool IsRequest>
typename MessageParser<IsRequest>::ErrorCode MessageParser<IsRequest>::consume(std::string &buf)
{
    ErrorCode ec;
    while (!m_done && !buf.empty()) {
        const size_t n = Base::put(boost::asio::const_buffer(buf.data(), buf.size()), ec);
        buf.erase(0, n);
        if (ec == beast::http::error::need_more) {
            ec = {};
            break;
        }
        if (ec || n == 0)
            break;
    }
    // Beast limits the head only: it waits for the end of a chunk header or trailer of any size.
    if (!ec && m_headDone && !m_done && buf.size() > m_maxHeadBytes)
        ec = beast::http::error::buffer_overflow;
    return ec;
}

template <bool IsRequest>
typename MessageParser<IsRequest>::ErrorCode MessageParser<IsRequest>::consumeEof()
{
    ErrorCode ec;
    if (!Base::got_some())
        return beast::http::error::end_of_stream;
    Base::put_eof(ec);
    if (!ec && !m_done)
        ec = beast::http::error::partial_message;
    return ec;
}

template <bool IsRequest>
void MessageParser<IsRequest>::on_request_impl(beast::http::verb method, StringView name,
                                               StringView target, int version, ErrorCode &ec)
{
    m_head.method = view(name);
    m_head.target = view(target);
}

template <bool IsRequest>
void MessageParser<IsRequest>::on_response_impl(int code, StringView reason, int version,
                                                ErrorCode &ec)
{
    m_head.status = static_cast<uint32_t>(code);
    if (!core::isValidHttpStatus(m_head.status))
        ec = beast::http::error::bad_status;
    m_head.reason = view(reason);
}

template <bool IsRequest>
void MessageParser<IsRequest>::on_field_impl(beast::http::field id, StringView name,
                                             StringView value, ErrorCode &ec)
{
    // Peers interpret any transfer coding other than a single "chunked" differently, which allows
    // request smuggling.
    if (id == beast::http::field::transfer_encoding
        && (!equalIgnoreCase(view(value), "chunked")
            || m_head.fields.count("transfer-encoding") > 0))
        ec = beast::http::error::bad_transfer_encoding;
    m_head.fields.add(view(name), view(value));
}

template <bool IsRequest> void MessageParser<IsRequest>::on_header_impl(ErrorCode &ec)
{
    m_head.keepAlive = Base::keep_alive();
    m_head.chunked = Base::chunked();
    if (const auto length = Base::content_length())
        m_head.contentLength = *length;
    m_head.closeDelimited = !IsRequest && Base::need_eof();
    m_headDone = true;
}

template <bool IsRequest>
void MessageParser<IsRequest>::on_body_init_impl(const boost::optional<uint64_t> &length,
                                                 ErrorCode &ec)
{
}

template <bool IsRequest>
size_t MessageParser<IsRequest>::on_body_impl(StringView body, ErrorCode &ec)
{
    m_body.append(body.data(), body.size());
    return body.size();
}

template <bool IsRequest>
void MessageParser<IsRequest>::on_chunk_header_impl(uint64_t size, StringView extensions,
                                                    ErrorCode &ec)
{
}

template <bool IsRequest>
size_t MessageParser<IsRequest>::on_chunk_body_impl(uint64_t remain, StringView body, ErrorCode &ec)
{
    m_body.append(body.data(), body.size());
    return body.size();
}

template <bool IsRequest> void MessageParser<IsRequest>::on_finish_impl(ErrorCode &ec)
{
    m_done = true;
}

template class MessageParser<true>;
template class MessageParser<false>;

bool isHopByHop(std::string_view name, const Fields &fields)
{
    constexpr std::string_view names[] = {"connection",
                                          "keep-alive",
                                          "proxy-connection",
                                          "proxy-authenticate",
                                          "proxy-authorization",
                                          "te",
                                          "trailer",
                                          "transfer-encoding",
                                          "upgrade",
                                          "expect"};
    if (std::any_of(std::begin(names), std::end(names),
                    [name](std::string_view it) { return equalIgnoreCase(it, name); }))
        return true;
    for (const Field &field : fields.all()) {
        if (equalIgnoreCase(field.name, "connection") && listContains(field.value, name))
            return true;
    }
    return false;
}

std::string renderRequest(const Head &head, std::string_view body)
{
    std::string out;
    out.reserve(512 + body.size());
    out += head.method;
    out += ' ';
    out += head.target;
    out += " HTTP/1.1\r\n";
    appendFields(out, head.fields);
    if (!body.empty() || (head.method != "GET" && head.method != "HEAD")) {
        out += "Content-Length: ";
        out += std::to_string(body.size());
        out += "\r\n";
    }
    out += "\r\n";
    out += body;
    return out;
}

std::string renderResponseHead(const Head &head, Framing framing, uint64_t length, bool keepAlive)
{
    std::string out;
    out.reserve(384);
    out += "HTTP/1.1 ";
    out += std::to_string(head.status);
    out += ' ';
    out += head.reason.empty() ? reasonPhrase(head.status) : std::string_view(head.reason);
    out += "\r\n";
    appendFields(out, head.fields);
    if (framing == Framing::Length) {
        out += "Content-Length: ";
        out += std::to_string(length);
        out += "\r\n";
    } else if (framing == Framing::Chunked) {
        out += "Transfer-Encoding: chunked\r\n";
    }
    if (!keepAlive)
        out += "Connection: close\r\n";
    out += "\r\n";
    return out;
}

std::string renderChunk(std::string_view data)
{
    if (data.empty())
        return {};
    char buf[20];
    const auto end = std::to_chars(std::begin(buf), std::end(buf), data.size(), 16).ptr;
    std::string out(std::begin(buf), end);
    out += "\r\n";
    out += data;
    out += "\r\n";
    return out;
}

std::string_view reasonPhrase(uint32_t status)
{
    return view(beast::http::obsolete_reason(static_cast<beast::http::status>(status)));
}

} // namespace jujube::http
