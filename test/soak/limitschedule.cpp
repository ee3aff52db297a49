#include "soak/limitschedule.h"

#include "core/text.h"

#include <algorithm>

namespace jujube::soak {

namespace {

using core::Milliseconds;
using core::TimePoint;

constexpr Milliseconds Window{4'000};
// From a change of a limit until all gateways keep the new one.
constexpr Milliseconds ContactTime{3'000};
// An endpoint may get this multiple of its limit in a window, and some requests more.
constexpr double Tolerance = 1.5;
constexpr size_t ExtraRequests = 5;
constexpr Milliseconds ShortestLimit{9'000};
constexpr Milliseconds LongestLimit{13'000};

} // namespace

LimitSchedule::LimitSchedule(boost::asio::io_context &io, SoakDeployment &deployment, uint64_t seed)
    : m_deployment(deployment), m_timer(io), m_random(seed)
{
    const auto &endpoints = deployment.endpoints();
    for (size_t i = 0; i < endpoints.size(); ++i) {
        const bool last = i + 1 == endpoints.size();
        if (last || endpoints[i].service != endpoints[i + 1].service)
            m_changes[i] = {};
    }
}

void LimitSchedule::start()
{
    changeAll();
}

void LimitSchedule::stop()
{
    m_timer.cancel();
    for (const auto &[endpoint, changes] : m_changes)
        set(endpoint, std::nullopt);
}

void LimitSchedule::changeAll()
{
    const std::vector<std::optional<double>> limits{2.5, 5, 10, 20, std::nullopt};
    std::uniform_int_distribution<size_t> choice(0, limits.size() - 1);
    for (const auto &[endpoint, changes] : m_changes)
        set(endpoint, limits[choice(m_random)]);
    std::uniform_int_distribution<int64_t> time(ShortestLimit.count(), LongestLimit.count());
    m_timer.expires_after(Milliseconds(time(m_random)));
    m_timer.async_wait([this](const boost::system::error_code &ec) {
        if (!ec)
            changeAll();
    });
}

void LimitSchedule::set(size_t endpoint, std::optional<double> limit)
{
    m_changes[endpoint].push_back({core::BootClock::now(), limit});
    std::vector<http::Field> fields;
    if (limit)
        fields.push_back({"Server-Limit", core::concat(*limit)});
    m_deployment.endpoints()[endpoint].fake->setResponseFields(std::move(fields));
}

// Highest limit in force in a time; nothing if at some moment there was none.
std::optional<double> LimitSchedule::highestLimit(const std::vector<Change> &changes,
                                                  TimePoint from, TimePoint to) const
{
    std::optional<double> highest;
    for (size_t i = 0; i < changes.size(); ++i) {
        const TimePoint end = i + 1 < changes.size() ? changes[i + 1].at : TimePoint::max();
        if (changes[i].at > to || end < from)
            continue;
        if (!changes[i].limit)
            return std::nullopt;
        highest = std::max(highest.value_or(0), *changes[i].limit);
    }
    const bool covered = !changes.empty() && changes.front().at <= from;
    return covered ? highest : std::nullopt;
}

InvariantResult LimitSchedule::check(const LoadGenerator &load) const
{
    InvariantResult result;
    result.invariant = "gateways together keep the limits of endpoints";
    std::map<std::string, size_t> gatewayOf;
    for (const RequestRecord &it : load.records())
        gatewayOf.emplace(it.id, it.gateway);
    for (const auto &[index, changes] : m_changes) {
        const test::FakeEndpoint &endpoint = *m_deployment.endpoints()[index].fake;
        std::vector<TimePoint> times;
        for (const test::ReceivedRequest &it : endpoint.receivedRequests()) {
            const auto gateway = gatewayOf.find(it.id);
            if (gateway != gatewayOf.end()
                && m_deployment.disturbances().undisturbed(gateway->second, it.at, it.at))
                times.push_back(it.at);
        }
        for (size_t first = 0, last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] > Window)
                ++first;
            const auto limit =
                highestLimit(changes, times[last] - Window - ContactTime, times[last]);
            if (!limit)
                continue;
            ++result.examinedCount;
            const auto allowed = static_cast<size_t>(
                Tolerance * *limit * std::chrono::duration<double>(Window).count());
            if (last - first + 1 > allowed + ExtraRequests && result.breaches.empty())
                result.breaches.push_back(core::concat(last - first + 1, " requests in 4 s to ",
                                                       endpoint.id(), ", limit ", *limit));
        }
    }
    return result;
}

} // namespace jujube::soak
