/** \file
 * Tests the command --explain with the program and a running gateway.
 */

#include "core/metrics.h"
#include "support/deployment.h"
#include "wire/json.h"

#include <criterion/criterion.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <future>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

using namespace jujube;
using namespace std::chrono_literals;
using test::Deployment;

namespace {

struct Result
{
    int status = -1;
    std::string output; ///< Of both streams.
};

Result execute(const std::string &arguments)
{
    Result result;
    const std::string command = std::string(JUJUBE_GATEWAY) + " " + arguments + " 2>&1";
    FILE *pipe = popen(command.c_str(), "r");
    char buffer[4096];
    for (size_t n = 0; (n = fread(buffer, 1, sizeof(buffer), pipe)) > 0;)
        result.output.append(buffer, n);
    result.status = WEXITSTATUS(pclose(pipe));
    return result;
}

// All metrics but those of the event loop, which each tick changes.
std::string metricsWithoutLoop()
{
    std::istringstream all(core::renderMetrics());
    std::string kept;
    for (std::string line; std::getline(all, line);)
        kept += line.find("jujube_loop_late") == std::string::npos ? line + "\n" : "";
    return kept;
}

// Runs the program while the gateway serves.
Result runProgram(Deployment &deployment, const std::string &arguments)
{
    auto result = std::async(std::launch::async, execute, arguments);
    deployment.runUntil([&]() { return result.wait_for(0s) == std::future_status::ready; }, 20s);
    return result.get();
}

} // namespace

// Guards against errors without a cause or with the wrong exit status, and against a command that
// needs the listening ports: its settings are those of the gateway that runs.
Test(explaincommand, the_program_explains_by_a_running_gateway_or_names_the_error, .timeout = 60)
{
    Deployment it;
    it.addEndpoint("model", serving::Stage::Prefill);
    it.addEndpoint("model", serving::Stage::Decode);
    it.publishConfig(1);
    it.startGateway();
    const std::string client = it.clientAddress(0);
    const std::string ip = client.substr(0, client.find(':'));
    const auto path = std::filesystem::temp_directory_path()
        / ("explaincommand-" + std::to_string(getpid()) + ".toml");
    std::ofstream(path) << "NodeName = \"n\"\nZone = \"a\"\nIp = \"" << ip
                        << "\"\nInternalPorts = [7300, 7300]\n[Listen]\nFront = \"" << client
                        << "\"\nReady = \"" << ip << ":7201\"\n[Platform]\nAddress = \"" << ip
                        << ":1\"\n";
    const std::string settings = "--settings " + path.string() + " --explain ";
    const std::string request = "--host test.example --path /stream/prompt/1 --key key-a "
                                "--tokens 6600,380 --hint 300 --prefix a1:6000,b2:600 ";
    const Result text = runProgram(it, settings + request);
    cr_assert_eq(text.status, 0, "%s", text.output.c_str());
    cr_assert(text.output.find("prefill     i-1: lowest predicted time") != std::string::npos, "%s",
              text.output.c_str());
    cr_assert(text.output.find("run         i-2: smallest share") != std::string::npos);
    const Result json = runProgram(it, settings + request + "--json");
    const auto object = wire::parseObject(json.output);
    cr_assert(object.ok(), "%s", json.output.c_str());
    cr_assert_eq((*object)["candidates"].toArray().size(), 2);
    cr_assert_eq(wire::stringMember((*object)["run"].toObject(), "endpoint"), "i-2");
    const auto expect = [&](const std::string &arguments, int status, const char *why) {
        const Result result = runProgram(it, arguments);
        cr_expect_eq(result.status, status, "%s: %d", arguments.c_str(), result.status);
        cr_expect(result.output.find(why) != std::string::npos, "%s: %s", arguments.c_str(),
                  result.output.c_str());
    };
    expect(settings + "--host other --path /x", 4, "no route for other/x");
    expect(settings + "--host test.example --path /order/1 --key k", 4, "unknown key");
    expect(settings + "--host test.example --path /order/1", 4, "needs a key");
    expect(settings + "--path /x", 2, "--host is missing");
    expect(settings + request + "--tokens 12", 2, "--tokens must be");
    expect(settings + request + "surplus", 2, "unexpected argument surplus");
    expect(settings + request + "--unknown=1", 2, "unknown");
    expect(settings + request + "--address nowhere", 2, "nowhere is not an IPv4 address");
    expect("--settings /nonexistent --explain " + request, 2, "/nonexistent");
    expect(settings + request + "--address " + ip + ":9", 3, "cannot be reached");
    expect(settings + request + "--address " + ip + ":7201", 3, "no gateway that explains");
    std::filesystem::remove(path);
}

// Guards against an explanation that changes something: two equal decode engines, so that each run
// is drawn. Each request goes where the explanation before it says, and the figures of all metrics
// and the requests that endpoints got are those of the requests alone.
Test(explaincommand, requests_go_where_the_explanation_says, .timeout = 60)
{
    Deployment it;
    auto &first = it.addEndpoint("app");
    auto &second = it.addEndpoint("app");
    it.publishConfig(1);
    it.startGateway();
    it.runFor(500ms);
    const std::string client = it.clientAddress(0);
    const std::string address = client.substr(0, client.find(':')) + ":9464";
    http::Client httpClient(it.io());
    const auto explain = [&]() {
        std::string endpoint;
        http::Request request;
        request.head.method = "GET";
        request.head.target = "/explain?host=test.example&path=/read/1&key=key-a&format=json";
        bool done = false;
        httpClient.call(address, std::move(request), 5s, [&](const http::CallResult &result) {
            const auto object = wire::parseObject(result.response->body);
            endpoint = wire::stringMember((*object)["run"].toObject(), "endpoint");
            done = true;
        });
        cr_assert(it.runUntil([&]() { return done; }));
        return endpoint;
    };
    int right = 0;
    int toFirst = 0;
    constexpr int requests = 40;
    for (int i = 0; i < requests; ++i) {
        const std::string metrics = metricsWithoutLoop();
        const size_t before = first.receivedRequests().size() + second.receivedRequests().size();
        std::string explained;
        for (int j = 0; j < 5; ++j)
            explained = explain();
        cr_assert_eq(first.receivedRequests().size() + second.receivedRequests().size(), before);
        cr_assert_eq(metrics, metricsWithoutLoop());
        const size_t atFirst = first.receivedRequests().size();
        cr_assert_eq(it.sendRequest("GET", "/read/1", "r" + std::to_string(i)).status(), 200U);
        const bool wentToFirst = first.receivedRequests().size() > atFirst;
        toFirst += wentToFirst ? 1 : 0;
        right += explained == (wentToFirst ? first.id() : second.id()) ? 1 : 0;
    }
    // Draws of the gateway's timers may come between an explanation and its request.
    cr_assert_geq(right, requests * 9 / 10, "%d", right);
    cr_assert(toFirst > 5 && toFirst < requests - 5, "%d", toFirst);
}
