/** \file
 * Tests that invalid requests are refused with the name of the invalid field, and that oversized
 * ones are refused without being buffered.
 */

#include "entry/completionrequest.h"
#include "support/loop.h"
#include "support/scriptedserver.h"
#include "wire/httpclient.h"

#include <criterion/criterion.h>

using namespace jujube;
using entry::CompletionRequest;
using entry::CompletionStyle;

namespace {

std::string messageOf(CompletionStyle style, const char *body)
{
    return CompletionRequest::parse(style, body).status().ToString();
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

Test(completion, unknown_fields_are_tolerated)
{
    const auto request = CompletionRequest::parse(
        CompletionStyle::Chat,
        R"({"model":"chat","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}],
                "temperature":0.2,"seed":7,"tools":[]})");
    cr_assert(request.ok(), "%s", request.status().ToString().c_str());
    cr_assert_eq(request->prompt, "user: hi\n");
}

Test(completion, an_error_names_the_field_of_a_wrong_type)
{
    cr_assert(contains(messageOf(CompletionStyle::Text, "[]"), "not a JSON object"));
    cr_assert(contains(messageOf(CompletionStyle::Text, "{"), "not JSON"));
    cr_assert(contains(messageOf(CompletionStyle::Text, R"({"prompt":"x"})"), "'model'"));
    cr_assert(
        contains(messageOf(CompletionStyle::Text, R"({"model":"m","prompt":5})"), "'prompt'"));
    cr_assert(
        contains(messageOf(CompletionStyle::Text, R"({"model":"m","prompt":"x","max_tokens":-1})"),
                 "'max_tokens'"));
    cr_assert(
        contains(messageOf(CompletionStyle::Text, R"({"model":"m","prompt":"x","stream":"yes"})"),
                 "'stream'"));
    cr_assert(
        contains(messageOf(CompletionStyle::Chat, R"({"model":"m","messages":[{"role":"user"}]})"),
                 "messages[0].content"));
}

Test(completion, an_error_names_the_exceeded_limit_of_the_profile)
{
    core::Profile profile;
    profile.name = "chat";
    profile.maxOutputTokens = 10;
    profile.maxPromptTokens = 2;
    auto request = CompletionRequest::parse(CompletionStyle::Text,
                                            R"({"model":"chat","prompt":"x","max_tokens":11})");
    cr_assert(contains(request->applyProfile(profile).ToString(), "'max_tokens' is 11"));
    request = CompletionRequest::parse(CompletionStyle::Text,
                                       R"({"model":"chat","prompt":"a long prompt"})");
    cr_assert(contains(request->applyProfile(profile).ToString(), "allows at most 2"));
}

Test(httpserver, an_oversized_body_is_refused_before_it_is_read)
{
    test::Loop loop;
    wire::HttpServerLimits limits;
    limits.maxBodyBytes = 10'000;
    const test::ScriptedServer server(
        [](const auto &, const auto &exchange) { exchange->send({}); }, limits);
    wire::HttpClient client(loop.io());
    wire::HttpRequest request;
    request.address = server.address();
    request.method = "POST";
    request.body = std::string(9'000, 'x');
    cr_assert_eq(loop.wait(client.send(request, {}))->status, 200U);
    request.body = std::string(11'000, 'x');
    const auto refused = loop.wait(client.send(request, {}));
    cr_assert(refused.ok(), "%s", refused.status().ToString().c_str());
    cr_assert_eq(refused->status, 413U);
    cr_assert(contains(refused->body, "not-run"));
    cr_assert_eq(server.receivedPaths().size(), 1U);
}

Test(httpserver, an_oversized_header_is_refused)
{
    test::Loop loop;
    const test::ScriptedServer server(
        [](const auto &, const auto &exchange) { exchange->send({}); });
    wire::HttpClient client(loop.io());
    wire::HttpRequest request;
    request.address = server.address();
    request.headers.push_back({"X-Long", std::string(20'000, 'h')});
    const auto refused = loop.wait(client.send(request, {}));
    cr_assert(refused.ok(), "%s", refused.status().ToString().c_str());
    cr_assert_eq(refused->status, 431U);
    cr_assert(server.receivedPaths().empty());
}

Test(httpserver, a_port_in_use_is_an_error)
{
    test::Loop loop;
    const test::ScriptedServer server(
        [](const auto &, const auto &exchange) { exchange->send({}); });
    const auto second = wire::HttpServer::create(server.address(), 1, {}, nullptr);
    cr_assert_not(second.ok());
    cr_assert(contains(second.status().ToString(), server.address()));
}
