#include "jujubereplay/workload.h"

#include "core/text.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <random>
#include <sstream>

namespace jujube::replay {

namespace {

using namespace std::chrono_literals;

constexpr core::Milliseconds WorkloadDuration = 30min;
constexpr core::Milliseconds SwingDuration = 3min;

constexpr std::array<ProfileObjectives, 4> Profiles{{
    {"document", 4, 4'000ms, 30'000ms},
    {"summary", 4, 2'000ms, 60'000ms},
    {"chat", 6, 460ms, 15'000ms},
    {"classify", 7, 460ms, 5'000ms},
}};

// Uniform draw. The result of std::uniform_int_distribution differs between standard libraries.
uint32_t drawBetween(std::mt19937_64 &random, uint32_t low, uint32_t high)
{
    return low + static_cast<uint32_t>(random() % (high - low + 1));
}

double drawUnit(std::mt19937_64 &random)
{
    return static_cast<double>(random() >> 11U) / 9'007'199'254'740'992.0;
}

// Share of requests with long prompts, from 0 to 1, at a time of the workload.
double promptHeavyShare(Scenario scenario, core::Milliseconds at)
{
    if (scenario != Scenario::Accra && scenario != Scenario::Amman)
        return 0.5;
    // Falls from high to low at 6 and 18 minutes and rises back at 12 and 24 minutes. With the
    // sizes in drawRequest(), the ratio of prompt to output tokens changes from about 10:1 to 1:4
    // and back.
    const double high = 0.95;
    const double low = 0.02;
    double share = high;
    for (int i = 0; i < 4; ++i) {
        const core::Milliseconds begin = 6min * (i + 1);
        const double progress =
            std::clamp((at - begin).count() / double(SwingDuration.count()), 0.0, 1.0);
        const double from = i % 2 == 0 ? high : low;
        const double to = i % 2 == 0 ? low : high;
        if (at >= begin)
            share = from + (to - from) * progress;
    }
    return share;
}

// Requests per second. Amman's rate follows one sine period over the workload.
double arrivalRate(Scenario scenario, core::Milliseconds at)
{
    switch (scenario) {
    case Scenario::Accra:
        return 29;
    case Scenario::Amman: {
        const double phase = at.count() / double(WorkloadDuration.count()) * 2 * 3.14159265358979;
        return 17 + 6 * std::sin(phase);
    }
    case Scenario::Steady:
        return 29;
    case Scenario::Flood:
        return 58;
    case Scenario::Moderate:
        return 22;
    }
    return 20;
}

std::string drawTeam(Scenario scenario, std::mt19937_64 &random)
{
    // Eight teams of unequal size.
    constexpr std::array<double, 8> shares{0.28, 0.22, 0.18, 0.10, 0.08, 0.06, 0.05, 0.03};
    if (scenario == Scenario::Flood && drawUnit(random) < 0.5)
        return "team-5"; // About ten times its usual share.
    double left = drawUnit(random);
    for (size_t i = 0; i < shares.size(); ++i) {
        left -= shares[i];
        if (left < 0)
            return core::concat("team-", i + 1);
    }
    return "team-1";
}

ReplayRequest drawRequest(Scenario scenario, core::Milliseconds at, std::mt19937_64 &random)
{
    ReplayRequest request;
    request.at = at;
    request.team = drawTeam(scenario, random);
    const double kind = drawUnit(random);
    const bool promptHeavy = drawUnit(random) < promptHeavyShare(scenario, at);
    if (kind < 0.5 && promptHeavy) {
        request.profile = "document";
        request.promptTokens = drawBetween(random, 1'500, 6'000);
        request.outputTokens = drawBetween(random, 100, 400);
        // Half of the requests share one of 40 documents; the others have a document of their own.
        request.document = drawUnit(random) < 0.5 ? drawBetween(random, 1, 40)
                                                  : drawBetween(random, 1'000'000, 2'000'000);
    } else if (kind < 0.5) {
        request.profile = "summary";
        request.promptTokens = drawBetween(random, 60, 200);
        request.outputTokens = drawBetween(random, 500, 1'500);
        request.document = drawBetween(random, 100, 400);
    } else if (kind < 0.8) {
        request.profile = "chat";
        request.promptTokens = drawBetween(random, 40, 160);
        request.outputTokens = drawBetween(random, 40, 160);
        request.document = drawBetween(random, 1'000, 1'200);
    } else {
        request.profile = "classify";
        request.promptTokens = drawBetween(random, 40, 120);
        request.outputTokens = drawBetween(random, 1, 4);
        request.document = drawBetween(random, 2'000, 2'040);
    }
    return request;
}

std::vector<FleetEvent> drawEvents(Scenario scenario, uint32_t engines, std::mt19937_64 &random)
{
    if (scenario != Scenario::Accra && scenario != Scenario::Amman)
        return {};
    const uint32_t crashed = drawBetween(random, 0, engines - 1);
    const uint32_t drained = (crashed + 1 + drawBetween(random, 0, engines - 2)) % engines;
    const uint32_t withdrawn =
        (crashed + 1) % engines == drained ? (drained + 1) % engines : (crashed + 1) % engines;
    return {{4min, FleetEvent::Kind::Crash, crashed, 8s},
            {14min, FleetEvent::Kind::Drain, drained, 60s},
            {27min, FleetEvent::Kind::Withdraw, withdrawn, 0s}};
}

const char *kindName(FleetEvent::Kind kind)
{
    switch (kind) {
    case FleetEvent::Kind::Crash:
        return "crash";
    case FleetEvent::Kind::Drain:
        return "drain";
    case FleetEvent::Kind::Withdraw:
        return "withdraw";
    }
    return "crash";
}

} // namespace

const ProfileObjectives &objectivesOf(const std::string &profile)
{
    for (const ProfileObjectives &it : Profiles) {
        if (profile == it.name)
            return it;
    }
    return Profiles[2];
}

Workload generate(Scenario scenario, uint64_t seed, double load)
{
    std::mt19937_64 random(seed);
    Workload workload;
    workload.name = scenario == Scenario::Amman ? "amman" : "accra";
    workload.duration = WorkloadDuration;
    workload.engines = scenario == Scenario::Amman ? 9 : 12;
    workload.domains = scenario == Scenario::Amman ? 4 : 3;
    double atMs = 0;
    while (true) {
        const double rate = load * arrivalRate(scenario, core::Milliseconds(int64_t(atMs)));
        atMs += -std::log(1 - drawUnit(random)) * 1'000 / rate;
        if (atMs >= WorkloadDuration.count())
            break;
        workload.requests.push_back(
            drawRequest(scenario, core::Milliseconds(int64_t(atMs)), random));
    }
    workload.events = drawEvents(scenario, workload.engines, random);
    return workload;
}

std::string Workload::toCsv() const
{
    std::string csv =
        core::concat("workload,", name, ",", duration.count(), ",", engines, ",", domains, "\n");
    for (const FleetEvent &it : events)
        core::append(csv, "event,", it.at.count(), ",", kindName(it.kind), ",", it.engine, ",",
                     it.duration.count(), "\n");
    for (const ReplayRequest &it : requests)
        core::append(csv, "request,", it.at.count(), ",", it.team, ",", it.profile, ",",
                     it.promptTokens, ",", it.outputTokens, ",", it.document, "\n");
    return csv;
}

absl::StatusOr<Workload> Workload::fromCsv(const std::string &text)
{
    Workload workload;
    std::istringstream in(text);
    std::string line;
    int number = 0;
    while (std::getline(in, line)) {
        ++number;
        const std::vector<std::string> columns = absl::StrSplit(line, ',');
        std::vector<int64_t> numbers(columns.size(), 0);
        for (size_t i = 0; i < columns.size(); ++i)
            (void)absl::SimpleAtoi(columns[i], &numbers[i]);
        if (columns[0] == "workload" && columns.size() == 5) {
            workload.name = columns[1];
            workload.duration = core::Milliseconds(numbers[2]);
            workload.engines = static_cast<uint32_t>(numbers[3]);
            workload.domains = static_cast<uint32_t>(numbers[4]);
        } else if (columns[0] == "event" && columns.size() == 5) {
            const auto kind = columns[2] == "crash" ? FleetEvent::Kind::Crash
                : columns[2] == "drain"             ? FleetEvent::Kind::Drain
                                                    : FleetEvent::Kind::Withdraw;
            workload.events.push_back({core::Milliseconds(numbers[1]), kind,
                                       static_cast<uint32_t>(numbers[3]),
                                       core::Milliseconds(numbers[4])});
        } else if (columns[0] == "request" && columns.size() == 7) {
            workload.requests.push_back({core::Milliseconds(numbers[1]), columns[2], columns[3],
                                         static_cast<uint32_t>(numbers[4]),
                                         static_cast<uint32_t>(numbers[5]),
                                         static_cast<uint32_t>(numbers[6])});
        } else {
            return absl::InvalidArgumentError(
                core::concat("line ", number, " is neither a workload, an event nor a request"));
        }
    }
    if (workload.engines == 0)
        return absl::InvalidArgumentError("no workload line");
    return workload;
}

} // namespace jujube::replay
