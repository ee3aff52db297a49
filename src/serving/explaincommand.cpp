#include "serving/explaincommand.h"

#include "core/socketaddress.h"
#include "core/text.h"
#include "http/client.h"
#include "platform/requestcodec.h"

#include <boost/asio/io_context.hpp>

#include <ostream>

namespace jujube::serving {

namespace {

constexpr std::string_view Program = "jujube-gateway: ";
// About 1 kB for each endpoint of a service.
constexpr size_t MaxAnswerBytes = 16UL << 20U;

ExplainStatus fail(std::ostream &errors, ExplainStatus status, std::string_view why)
{
    errors << Program << why << '\n';
    return status;
}

bool isExplainAnswer(const http::Head &head)
{
    const std::string_view type = head.fields.find("Content-Type").value_or("");
    return type == ExplainTextType || type == ExplainJsonType;
}

std::string withoutLineEnd(std::string text)
{
    while (!text.empty() && text.back() == '\n')
        text.pop_back();
    return text;
}

} // namespace

ExplainStatus runExplainCommand(const ExplainQuery &query, const std::string &address,
                                core::Milliseconds timeout, std::ostream &output,
                                std::ostream &errors)
{
    if (const auto valid = platform::decodeExplainQuery(query); !valid.ok())
        return fail(errors, ExplainStatus::BadArguments,
                    "--" + std::string(core::toStd(valid.status().message())));
    if (!core::parseSocketAddress(address).ok())
        return fail(errors, ExplainStatus::BadArguments,
                    "the address " + address + " is not an IPv4 address and port");
    boost::asio::io_context io(1);
    http::Client client(io);
    http::Request request;
    request.head.method = "GET";
    request.head.target = encodeExplainTarget(query);
    http::CallResult result;
    client.call(
        address, std::move(request), timeout,
        [&](http::CallResult answer) { result = std::move(answer); },
        http::ConnectionMode::Dedicated, {}, MaxAnswerBytes);
    io.run();
    if (!result.response.ok())
        return fail(errors, ExplainStatus::Unreachable,
                    "the gateway at " + address + " cannot be reached: "
                        + std::string(core::toStd(result.response.status().message())));
    const http::Response &response = *result.response;
    if (!isExplainAnswer(response.head))
        return fail(errors, ExplainStatus::Unreachable,
                    "no gateway that explains requests answers at " + address);
    switch (response.head.status) {
    case http::status::Ok:
        output << response.body;
        return ExplainStatus::Explained;
    case http::status::Unauthorized:
    case http::status::NotFound:
        return fail(errors, ExplainStatus::Unknown, withoutLineEnd(response.body));
    case http::status::BadRequest:
        return fail(errors, ExplainStatus::BadArguments, withoutLineEnd(response.body));
    default:
        break;
    }
    return fail(errors, ExplainStatus::Unreachable,
                "the gateway at " + address
                    + " refuses to explain: " + withoutLineEnd(response.body));
}

} // namespace jujube::serving
