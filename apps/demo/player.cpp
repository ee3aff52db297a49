/** \file
 * Program jujube-player: plays a trace against running entries and prints a summary.
 */

#include "core/eventlog.h"
#include "core/text.h"
#include "demo/caller.h"
#include "demo/summary.h"
#include "wire/processmain.h"

#include <absl/strings/str_split.h>
#include <gflags/gflags.h>
#include <QCoreApplication>

#include <fstream>
#include <iostream>

DEFINE_string(trace, "", "CSV trace to play (required)");
DEFINE_string(entries, "", "addresses of the entries, separated by commas (required)");
DEFINE_string(keys, "", "TEAM=KEY pairs, separated by commas");
DEFINE_string(platform, "", "address of the platform stand-in, to compare usage reports");
DEFINE_string(engines, "", "addresses of engine stand-ins, to count role changes");
DEFINE_string(record, "", "write one JSON line for each request to this file");
DEFINE_string(run_name, "run", "makes request bodies unique across runs");
DEFINE_double(speed, 1.0, "factor on the rate at which the trace is played");
DEFINE_int32(max_tries, 5, "attempts of a request that is refused as \"not run\"");
DEFINE_bool(tolerate, false,
            "exit 0 even if requests were refused or lost, as in a run with faults");
DEFINE_int32(settle_s, 20, "longest wait in seconds for the usage reports after the last answer");

namespace {

using namespace jujube;

constexpr core::Milliseconds ProgressInterval{2'000};
constexpr core::Milliseconds PollInterval{500};

class Player
{
public:
    Player(wire::IoContext &io, kj::WaitScope &waitScope, std::vector<demo::TraceRow> rows)
        : m_io(io),
          m_waitScope(waitScope),
          m_http(io),
          m_rows(std::move(rows)),
          m_caller(io, settings())
    {
    }

    int run()
    {
        playAll().promise().wait(m_waitScope);
        writeRecords();
        std::cout << "\n" << demo::summaryTable(m_records);
        const bool usageMatches = FLAGS_platform.empty() || compareUsage();
        countRoleChanges();
        const bool allCorrect = demo::allAnswersCorrect(m_records);
        if (!allCorrect)
            std::cout << "not every answer was complete and correct\n";
        return (allCorrect && usageMatches) || FLAGS_tolerate ? wire::ExitOk : wire::ExitFailure;
    }

private:
    static demo::CallerSettings settings()
    {
        demo::CallerSettings settings;
        settings.entries = absl::StrSplit(FLAGS_entries, ',', absl::SkipEmpty());
        settings.maxTries = static_cast<uint32_t>(FLAGS_max_tries);
        settings.runName = FLAGS_run_name;
        for (const absl::string_view pair : absl::StrSplit(FLAGS_keys, ',', absl::SkipEmpty())) {
            const std::pair<std::string, std::string> it =
                absl::StrSplit(pair, absl::MaxSplits('=', 1));
            settings.keys[it.first] = it.second;
        }
        return settings;
    }

    wire::Task<void> playAll()
    {
        const core::TimePoint start = core::BootClock::now();
        core::TimePoint nextProgress = start + ProgressInterval;
        for (size_t i = 0; i < m_rows.size(); ++i) {
            const auto due = start
                + std::chrono::duration_cast<std::chrono::nanoseconds>(m_rows[i].at / FLAGS_speed);
            while (core::BootClock::now() < due)
                co_await m_io.sleep(std::max(
                    core::Milliseconds(1),
                    std::chrono::duration_cast<core::Milliseconds>(due - core::BootClock::now())));
            wire::coroutineTasks().add(playOne(m_rows[i], i));
            if (core::BootClock::now() >= nextProgress) {
                printProgress();
                nextProgress += ProgressInterval;
            }
        }
        while (m_records.size() < m_rows.size()) {
            co_await m_io.sleep(PollInterval);
            printProgress();
        }
    }

    wire::Task<void> playOne(demo::TraceRow row, uint64_t number)
    {
        const demo::CallRecord record = co_await m_caller.play(row, number);
        m_records.push_back(record);
    }

    void printProgress() const
    {
        std::cerr << "  " << m_records.size() << " of " << m_rows.size() << " requests ended\n";
    }

    void writeRecords() const
    {
        if (FLAGS_record.empty())
            return;
        std::ofstream file(FLAGS_record);
        for (const demo::CallRecord &it : m_records)
            file << wire::toJsonText(it.toJson()) << "\n";
    }

    std::string fetchHistory(const std::string &address)
    {
        wire::HttpRequest request;
        request.address = address;
        request.path = "/history";
        const auto response = m_http.send(request, {}).promise().wait(m_waitScope);
        return response.ok() ? response->body : std::string();
    }

    // A usage report arrives after its window has closed, so the comparison waits for the reports.
    bool compareUsage()
    {
        const demo::UsageByTeam served = demo::servedUsage(m_records);
        demo::UsageByTeam reported;
        const core::TimePoint deadline =
            core::BootClock::now() + std::chrono::seconds(FLAGS_settle_s);
        do {
            m_io.sleep(PollInterval).wait(m_waitScope);
            reported = demo::reportedUsage(fetchHistory(FLAGS_platform));
        } while (!matchesServed(reported, served) && core::BootClock::now() < deadline);
        std::cout << "\nusage (prompt + output tokens)\n";
        for (const auto &[team, usage] : served) {
            std::cout << "  " << team << ": served " << usage.promptTokens << " + "
                      << usage.outputTokens << ", reported " << reported[team].promptTokens << " + "
                      << reported[team].outputTokens
                      << (reported[team] == usage ? "  equal\n" : "  DIFFERENT\n");
        }
        return matchesServed(reported, served);
    }

    static bool matchesServed(demo::UsageByTeam reported, const demo::UsageByTeam &served)
    {
        return std::all_of(served.begin(), served.end(),
                           [&reported](const auto &it) { return reported[it.first] == it.second; });
    }

    void countRoleChanges()
    {
        int changes = 0;
        for (const absl::string_view engine :
             absl::StrSplit(FLAGS_engines, ',', absl::SkipEmpty())) {
            const std::string text = fetchHistory(std::string(engine));
            for (const absl::string_view line : absl::StrSplit(text, '\n', absl::SkipEmpty())) {
                const auto object = wire::parseObject(core::toStd(line));
                if (object.ok() && wire::stringMember(*object, "kind") == "engine.role")
                    ++changes;
            }
        }
        if (!FLAGS_engines.empty())
            std::cout << "role changes: " << changes << "\n";
    }

    wire::IoContext &m_io;
    kj::WaitScope &m_waitScope;
    wire::HttpClient m_http;
    std::vector<demo::TraceRow> m_rows;
    demo::Caller m_caller;
    std::vector<demo::CallRecord> m_records;
};

} // namespace

int main(int argc, char *argv[])
{
    gflags::SetUsageMessage("plays a trace against running entries");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto rows = demo::loadTrace(FLAGS_trace);
    if (!rows.ok() || FLAGS_entries.empty()) {
        std::cerr << "jujube-player: "
                  << (rows.ok() ? "give the entries with --entries" : rows.status().message())
                  << "\n";
        return wire::ExitUsage;
    }
    core::startEventLog("player", false);
    auto io = kj::setupAsyncIo();
    const wire::CoroutineScope scope;
    wire::IoContext context{*io.provider, *io.lowLevelProvider, io.provider->getTimer()};
    Player player(context, io.waitScope, std::move(*rows));
    return player.run();
}
