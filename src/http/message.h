#pragma once

/** \file
 * Defines HTTP/1.1 messages as the serving path handles them: heads, incremental parsing, writing.
 */

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

/** Header fields in the order in which they came; names compare without case. */
class Fields
{
public:
    void add(std::string_view name, std::string_view value);
    /** The first value of a field, or nothing. */
    std::optional<std::string_view> find(std::string_view name) const;
    size_t count(std::string_view name) const;
    void remove(std::string_view name);
    const std::vector<Field> &all() const { return m_fields; }

private:
    std::vector<Field> m_fields;
};

bool equalIgnoreCase(std::string_view a, std::string_view b);

/** A request or response head. */
struct Head
{
    std::string method;  ///< Requests only.
    std::string target;  ///< Requests only: path and query as sent.
    uint32_t status = 0; ///< Responses only.
    std::string reason;  ///< Responses only.
    Fields fields;
    std::optional<uint64_t> contentLength;
    bool chunked = false;
    bool closeDelimited = false; ///< Responses only: the body ends with the connection.
    bool keepAlive = true;
};

struct Request
{
    Head head;
    std::string body;
};

struct Response
{
    Head head;
    std::string body;
};

/** Parses one message from a byte stream. One object for each message. */
template <bool IsRequest>
class MessageParser final : private boost::beast::http::basic_parser<IsRequest>
{
public:
    using Base = boost::beast::http::basic_parser<IsRequest>;
    using ErrorCode = boost::system::error_code;

    /** \param maxHeadBytes a larger head is an error. */
    explicit MessageParser(uint32_t maxHeadBytes);

    /** The response belongs to a HEAD request and has no body. */
    void expectNoBody() { Base::skip(true); }

    /** Consumes bytes from the front of \a buf as far as the message reaches.
     *
     * Bytes behind the message stay in \a buf. Body bytes collect in body(). A lack of further
     * bytes is no error.
     */
    ErrorCode consume(std::string &buf);
    /** The connection ended. \return an error unless that completes the message. */
    ErrorCode consumeEof();

    bool headDone() const { return m_headDone; }
    bool done() const { return m_done; }
    bool started() const { return Base::got_some(); }
    Head &head() { return m_head; }
    /** Body bytes that have not been taken yet. */
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
    bool m_headDone = false;
    bool m_done = false;
};

extern template class MessageParser<true>;
extern template class MessageParser<false>;
using RequestParser = MessageParser<true>;
using ResponseParser = MessageParser<false>;

/** Whether a field concerns one connection only and is not forwarded. */
bool isHopByHop(std::string_view name, const Fields &fields);

/** Text of a request with a body of known length. */
std::string renderRequest(const Head &head, std::string_view body);

/** How the body of a response is delimited. */
enum class Framing { Length, Chunked, None };

/** Text of a response head; the fields must not frame the body themselves. */
std::string renderResponseHead(const Head &head, Framing framing, uint64_t length, bool keepAlive);

/** One chunk of a chunked body. Empty data yields nothing, for an empty chunk would end it. */
std::string renderChunk(std::string_view data);
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

/** Statuses that the serving path gives or looks for. */
namespace status {
inline constexpr uint32_t Ok = 200;
inline constexpr uint32_t Accepted = 202;
inline constexpr uint32_t FirstRedirect = 300;
inline constexpr uint32_t BadRequest = 400;
inline constexpr uint32_t Unauthorized = 401;
inline constexpr uint32_t NotFound = 404;
inline constexpr uint32_t RequestTimeout = 408;
inline constexpr uint32_t Conflict = 409;
inline constexpr uint32_t ContentTooLarge = 413;
inline constexpr uint32_t Misdirected = 421;
inline constexpr uint32_t TooManyRequests = 429;
inline constexpr uint32_t HeadTooLarge = 431;
inline constexpr uint32_t FirstServerError = 500;
inline constexpr uint32_t BadGateway = 502;         ///< Failed; promises nothing.
inline constexpr uint32_t ServiceUnavailable = 503; ///< A promise: not run, and never will be.
inline constexpr uint32_t GatewayTimeout = 504;     ///< No answer in time; promises nothing.

/** Whether a status tells of success. */
constexpr bool isSuccess(uint32_t status)
{
    return status >= Ok && status < FirstRedirect;
}
} // namespace status

/** The usual reason phrase of a status. */
std::string_view reasonPhrase(uint32_t status);

} // namespace jujube::http
