/** \file
 * Tests of limits that endpoints name in their answers.
 */

#include "support/deployment.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <list>

using namespace jujube;
using namespace std::chrono_literals;
using test::Deployment;

namespace {

constexpr core::Milliseconds Window{4'000};
constexpr core::Milliseconds SettlingTime{3'000}; ///< From the first answer that names a limit.

// Requests that an endpoint may get in a window: half more than its limit, and a few.
size_t allowedInWindow(double limit)
{
    return static_cast<size_t>(1.5 * limit * std::chrono::duration<double>(Window).count()) + 5;
}

// Most requests in one window, of those received from a time on.
size_t mostInWindow(const test::FakeEndpoint &endpoint, core::TimePoint from)
{
    std::vector<core::TimePoint> times;
    for (const auto &it : endpoint.receivedRequests()) {
        if (it.at >= from)
            times.push_back(it.at);
    }
    size_t most = 0;
    for (size_t first = 0, last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] > Window)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

size_t receivedSince(const test::FakeEndpoint &endpoint, core::TimePoint from)
{
    const auto &requests = endpoint.receivedRequests();
    return static_cast<size_t>(std::count_if(requests.begin(), requests.end(),
                                             [&](const auto &it) { return it.at >= from; }));
}

// Sends reads to all gateways in turn.
class Load
{
public:
    Load(Deployment &deployment, size_t gateways) : m_deployment(deployment), m_gateways(gateways)
    {
    }

    void run(core::Milliseconds time, core::Milliseconds interval)
    {
        const core::TimePoint end = core::BootClock::now() + time;
        while (core::BootClock::now() < end) {
            const auto answer = std::make_shared<test::ClientResponse>();
            m_open.emplace_back(m_deployment.startRequest("/read/1",
                                                          "r" + std::to_string(++m_count), answer,
                                                          {}, m_count % m_gateways),
                                answer);
            m_deployment.runFor(interval);
            collect();
        }
    }

    size_t answered() const { return m_answered; }
    size_t refused() const { return m_refused; }

private:
    void collect()
    {
        for (auto it = m_open.begin(); it != m_open.end();) {
            const auto &[connection, answer] = *it;
            if (!answer->complete && answer->error.empty()) {
                ++it;
                continue;
            }
            ++(answer->status() == 200 ? m_answered : m_refused);
            connection->close();
            it = m_open.erase(it);
        }
    }

    Deployment &m_deployment;
    size_t m_gateways;
    size_t m_count = 0;
    size_t m_answered = 0;
    size_t m_refused = 0;
    std::list<
        std::pair<std::shared_ptr<http::ClientConnection>, std::shared_ptr<test::ClientResponse>>>
        m_open;
};

std::vector<http::Field> limitField(const std::string &value)
{
    return {{"Server-Limit", value}};
}

} // namespace

// Guards against an endpoint in need that gets far more requests than the limit that it names
// (LIMIT): no gateway read the limit, and all of them together have to keep it.
Test(limits, all_gateways_together_keep_the_limit_of_an_endpoint)
{
    constexpr size_t gateways = 6;
    constexpr double limit = 5;
    Deployment it;
    auto &limited = it.addEndpoint("app");
    auto &other = it.addEndpoint("app");
    it.publishConfig(1);
    for (size_t i = 0; i < gateways; ++i)
        it.startGateway();
    limited.setResponseFields(limitField("5"));
    Load load(it, gateways);
    load.run(SettlingTime, 25ms);
    const core::TimePoint settled = core::BootClock::now();
    load.run(8s, 25ms);
    cr_assert_leq(mostInWindow(limited, settled), allowedInWindow(limit));
    // What the limit leaves is used, and the rest goes to the other endpoint.
    cr_assert_geq(receivedSince(limited, settled), static_cast<size_t>(limit * 8 / 2));
    cr_assert_geq(receivedSince(other, settled), 200U);
    cr_assert_eq(load.refused(), 0U);
}

// Guards against requests that are held until they time out, and against clients that are not told
// when to return, if all endpoints of a service name limits.
Test(limits, clients_are_told_when_to_return_if_every_endpoint_names_a_limit)
{
    Deployment it;
    auto &endpoint = it.addEndpoint("app");
    it.publishConfig(1);
    it.startGateway();
    endpoint.setResponseFields(limitField("2"));
    cr_assert_eq(it.sendRequest("GET", "/read/1", "r1").status(), 200U);
    const auto from = core::BootClock::now();
    size_t served = 0;
    for (int i = 0; i < 30; ++i) {
        const auto answer = it.sendRequest("GET", "/read/1", "r2");
        served += answer.status() == 200 ? 1 : 0;
        cr_assert(answer.status() == 200 || answer.status() == 503);
        if (answer.status() == 503)
            cr_assert_gt(std::stod("0" + answer.field("Retry-After")), 0.0);
        it.runFor(100ms);
    }
    const double seconds = std::chrono::duration<double>(core::BootClock::now() - from).count();
    cr_assert_geq(served, 3U);
    cr_assert_leq(served, static_cast<size_t>(2 * seconds) + 1);
    endpoint.setResponseFields({});
    cr_assert(it.runUntil([&]() {
        return it.sendRequest("GET", "/read/1", "r3").status() == 200
            && it.sendRequest("GET", "/read/1", "r4").status() == 200;
    }));
}

// Guards against prompts that are refused although a limit leaves room for them in time.
Test(limits, prompts_wait_for_engines_that_name_limits)
{
    Deployment it;
    auto &engine = it.addEndpoint("model", serving::Stage::Decode);
    it.publishConfig(1);
    it.startGateway();
    engine.setResponseFields(limitField("4"));
    const std::vector<http::Field> prompt{{"Token-Count", "100,10"},
                                          {"Prompt-Prefix", "a:50,b:50"}};
    std::vector<std::shared_ptr<test::ClientResponse>> answers;
    std::vector<std::shared_ptr<http::ClientConnection>> clients;
    for (int i = 0; i < 4; ++i) {
        answers.push_back(std::make_shared<test::ClientResponse>());
        clients.push_back(
            it.startRequest("/stream/prompt/1", "p" + std::to_string(i), answers.back(), prompt));
        it.runFor(100ms);
    }
    cr_assert(it.runUntil([&]() {
        return std::all_of(answers.begin(), answers.end(), [](const auto &answer) {
            return answer->complete && answer->status() == 200;
        });
    }));
    for (const auto &client : clients)
        client->close();
}

// Guards against a gateway that restarts without knowing a limit: its peers tell it.
Test(limits, a_gateway_that_has_started_learns_limits_from_its_peers)
{
    Deployment it;
    auto &limited = it.addEndpoint("app");
    it.publishConfig(1);
    it.startGateway();
    limited.setResponseFields(limitField("0.5"));
    cr_assert_eq(it.sendRequest("GET", "/read/1", "r1").status(), 200U);
    it.startGateway();
    it.runFor(500ms);
    const size_t before = limited.receivedRequests().size();
    for (int i = 0; i < 20; ++i)
        it.sendRequest("GET", "/read/1", "r2", {}, {}, 1);
    cr_assert_leq(limited.receivedRequests().size(), before + 1);
}
