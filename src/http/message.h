#pragma once

/** \file
 * Defines HTTP/1.1 messages: their heads, an incremental parser and functions that serialize them.
 */

#include "http/bufferbudget.h"

#include <boost/beast/http/basic_parser.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujube::http {

struct Field
{
    std::string name;
    std::string value;
};

/** Header fields in the order of the message. Names compare without regard to case. */
class Fields
{
public:
    void add(std::string_view name, std::string_view value);
    /** Returns the value of the first field of this name, if there is one. */
    std::optional<std::string_view> find(std::string_view name) const;
    size_t count(std::string_view name) const;
    void remove(std::string_view name);
    const std::vector<Field> &all() const { return m_fields; }

private:
    std::vector<Field> m_fields;
};

/** Compares two field names without regard to ASCII case. */
bool equalIgnoreCase(std::string_view a, std::string_view b);

/** The start line and header fields of a request or response. */
struct Head
{
    std::string method;  ///< Requests only.
    std::string target;  ///< Requests only: path and query, not decoded.
    uint32_t status = 0; ///< Responses only.
    std::string reason;  ///< Responses only.
    Fields fields;
    std::optional<uint64_t> contentLength;
    bool chunked = false;
    bool closeDelimited = false; ///< Responses only: the body ends when the peer closes.
    bool keepAlive = true;
};

struct Request
{
    Head head;
    std::string body;
    std::shared_ptr<BufferShare> bodyShare{}; ///< Of the body, if its size counts in a budget.
};

struct Response
{
    Head head;
    std::string body;
};

/** Incremental parser of a single HTTP message; each message needs a new object. */
template <bool IsRequest>
class MessageParser final : private boost::beast::http::basic_parser<IsRequest>
{
public:
    using Base = boost::beast::http::basic_parser<IsRequest>;
    using ErrorCode = boost::system::error_code;

    /** \param maxHeadBytes Limit of the head, of each chunk header and of the trailer; a larger one
     * is a parse error. */
    explicit MessageParser(uint32_t maxHeadBytes);

    /** Declares that the response answers a HEAD request and therefore has no body. */
    void expectNoBody() { Base::skip(true); }

    /** Parses bytes from the front of \a buf and removes them, up to the end of the message.
     *
     * Bytes that follow the message stay in \a buf. Body bytes are appended to body(). An
     * incomplete message is not an error; the next call continues it. Of an incomplete message,
     * \a buf keeps at most the limit of the head.
     */
    ErrorCode consume(std::string &buf);
    /** Handles the end of the connection. \return an error unless it completes the message. */
    ErrorCode consumeEof();

    bool headDone() const { return m_headDone; }
    bool done() const { return m_done; }
    bool started() const { return Base::got_some(); }
    Head &head() { return m_head; }
    /** Body bytes received so far; the consumer clears what it has processed. */
    std::string &body() { return m_body; }

private:
    using StringView = boost::beast::string_view;

    void on_request_impl(boost::beast::http::verb method, StringView name, StringView target,
                         int version, ErrorCode &ec) override;
    void on_response_impl(int code, StringView reason, int version, ErrorCode &ec) override;
    void on_field_impl(boost::beast::http::field id, StringView name, StringView value,
                       ErrorCode &ec) override;
    void on_header_impl(ErrorCode &ec) override;
    void on_body_init_impl(const boost::optional<uint64_t> &length, ErrorCode &ec) override;
    size_t on_body_impl(StringView body, ErrorCode &ec) override;
    void on_chunk_header_impl(uint64_t size, StringView extensions, ErrorCode &ec) override;
    size_t on_chunk_body_impl(uint64_t remain, StringView body, ErrorCode &ec) override;
    void on_finish_impl(ErrorCode &ec) override;

    Head m_head;
    std::string m_body;
    size_t m_maxHeadBytes = 0;
    bool m_headDone = false;
    bool m_done = false;
};

extern template class MessageParser<true>;
extern template class MessageParser<false>;
using RequestParser = MessageParser<true>;
using ResponseParser = MessageParser<false>;

/** Whether a field is hop-by-hop, that is, concerns one connection and is not forwarded. */
bool isHopByHop(std::string_view name, const Fields &fields);

/** Serializes a request; a Content-Length field is added for its body. */
std::string renderRequest(const Head &head, std::string_view body);

/** How the body of a response is delimited. */
enum class Framing { Length, Chunked, None };

/** Serializes a response head. Its fields must not include Content-Length or Transfer-Encoding. */
std::string renderResponseHead(const Head &head, Framing framing, uint64_t length, bool keepAlive);

/** Serializes one chunk of a chunked body. Empty data gives an empty string, because a chunk of
 * length 0 would end the body. */
std::string renderChunk(std::string_view data);
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

/** Status codes that the serving path sends or tests for. */
namespace status {
inline constexpr uint32_t Ok = 200;
inline constexpr uint32_t Accepted = 202;
inline constexpr uint32_t FirstRedirect = 300;
inline constexpr uint32_t BadRequest = 400;
inline constexpr uint32_t Unauthorized = 401;
inline constexpr uint32_t Forbidden = 403;
inline constexpr uint32_t NotFound = 404;
inline constexpr uint32_t RequestTimeout = 408;
inline constexpr uint32_t Conflict = 409;
inline constexpr uint32_t ContentTooLarge = 413;
inline constexpr uint32_t Misdirected = 421;
inline constexpr uint32_t TooManyRequests = 429;
inline constexpr uint32_t HeadTooLarge = 431;
inline constexpr uint32_t FirstServerError = 500;
inline constexpr uint32_t BadGateway = 502;         ///< Failed; the request may have run.
inline constexpr uint32_t ServiceUnavailable = 503; ///< The request was not run and never will be.
inline constexpr uint32_t GatewayTimeout = 504; ///< No response in time; the request may have run.

/** Whether a status is in the range 200 to 299. */
constexpr bool isSuccess(uint32_t status)
{
    return status >= Ok && status < FirstRedirect;
}
} // namespace status

/** Returns the standard reason phrase of a status. */
std::string_view reasonPhrase(uint32_t status);

} // namespace jujube::http
