/** \file
 * The gateway's process: settings, signals and the event loop.
 */

#include "core/eventlog.h"
#include "core/text.h"
#include "launcher/gatewaymain.h"
#include "platform/settings.h"
#include "serving/explaincommand.h"
#include "serving/gateway.h"

#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>

DEFINE_string(
    settings, "",
    "path of the settings file; default: the value of the platform's environment variable");
DEFINE_bool(check, false, "validate the settings file and exit");
DEFINE_bool(explain, false,
            "ask a running gateway where a request would go now, and why, and exit");
DEFINE_string(host, "", "explain: host of the request");
DEFINE_string(path, "", "explain: path of the request");
DEFINE_string(key, "", "explain: API key of the request");
DEFINE_string(tokens, "", "explain: PROMPT,MAX, tokens of the prompt and of the longest output");
DEFINE_string(hint, "", "explain: output tokens as estimated by the client");
DEFINE_string(prefix, "", "explain: ID:TOKENS,..., blocks of the prompt with hexadecimal ids");
DEFINE_string(address, "",
              "explain: IP:PORT of the gateway's metrics; default: by the settings file");
DEFINE_bool(json, false, "explain: answer in JSON");

namespace {

constexpr int ExitFailure = 1;
constexpr int ExitUsage = 2;

// A signal that has arrived during the start is handled then.
void unblockReloadSignal()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    sigprocmask(SIG_UNBLOCK, &signals, nullptr);
}

std::string settingsPath()
{
    if (!FLAGS_settings.empty())
        return FLAGS_settings;
    const char *path = std::getenv(jujube::platform::SettingsVariable);
    return path ? path : "";
}

// Returns the first argument that is not a flag of this program. The flag library ends the process
// with status 1 at such an argument.
std::optional<std::string> unknownFlag(int argc, char **argv)
{
    for (int i = 1; i < argc; ++i) {
        const std::string argument = argv[i];
        const size_t begin = argument.find_first_not_of('-');
        if (begin == 0 || begin == std::string::npos)
            continue;
        const std::string name = argument.substr(begin, argument.find('=') - begin);
        gflags::CommandLineFlagInfo info;
        if (!gflags::GetCommandLineFlagInfo(name.c_str(), &info))
            return argument;
    }
    return std::nullopt;
}

// Runs the command --explain. \return the exit status.
int explain(int argc, char **argv)
{
    using jujube::serving::ExplainStatus;
    constexpr jujube::core::Milliseconds timeout{3'000};
    if (argc > 1) {
        std::cerr << "jujube-gateway: unexpected argument " << argv[1] << '\n';
        return ExitUsage;
    }
    std::string address = FLAGS_address;
    if (address.empty()) {
        const auto settings = jujube::platform::loadSettings(settingsPath());
        if (!settings.ok()) {
            std::cerr << "jujube-gateway: " << settings.status().message() << '\n';
            return ExitUsage;
        }
        address = jujube::core::concat(settings->ip, ":", jujube::serving::MetricsPort);
    }
    const jujube::serving::ExplainQuery query{FLAGS_host, FLAGS_path,   FLAGS_key, FLAGS_tokens,
                                              FLAGS_hint, FLAGS_prefix, FLAGS_json};
    return static_cast<int>(
        jujube::serving::runExplainCommand(query, address, timeout, std::cout, std::cerr));
}

// Handles SIGHUP by a reload, SIGTERM and SIGINT by a drain.
void handleSignals(boost::asio::signal_set &signals, jujube::serving::Gateway &gateway,
                   boost::asio::io_context &io)
{
    signals.async_wait([&](const boost::system::error_code &ec, int signal) {
        if (ec)
            return;
        if (signal == SIGHUP) {
            const auto settings = jujube::platform::loadSettings(settingsPath());
            if (settings.ok())
                gateway.reload(*settings);
            else
                jujube::core::Event("gateway.reload.failed")
                    .with("why", settings.status().message());
        } else {
            gateway.drain([&io]() { io.stop(); });
        }
        handleSignals(signals, gateway, io);
    });
}

} // namespace

int runGateway(int argc, char **argv)
{
    gflags::SetUsageMessage("routes client requests to the endpoints of the fleet");
    const bool explains = std::any_of(
        argv + 1, argv + argc, [](const char *it) { return std::string(it) == "--explain"; });
    if (const auto flag = explains ? unknownFlag(argc, argv) : std::nullopt) {
        std::cerr << "jujube-gateway: unknown flag " << *flag << '\n';
        return ExitUsage;
    }
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_explain)
        return explain(argc, argv);
    const auto settings = jujube::platform::loadSettings(settingsPath());
    if (!settings.ok()) {
        std::cerr << "jujube-gateway: " << settings.status().message() << '\n';
        return ExitUsage;
    }
    if (FLAGS_check) {
        std::cout << "the settings of " << settings->name << " are valid\n";
        return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    constexpr size_t maxEvents =
        500; // In memory; the platform stores the log output, and the rest is in the metrics.
    jujube::core::startEventLog(settings->name,
                                {jujube::core::LogTarget::StandardOutput, maxEvents});
    boost::asio::io_context io(1);
    jujube::serving::Gateway gateway(io, *settings);
    boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGHUP);
    handleSignals(signals, gateway, io);
    unblockReloadSignal();
    if (const absl::Status status = gateway.start(); !status.ok()) {
        jujube::core::Event("gateway.failed").with("why", status.message());
        std::cerr << "jujube-gateway: " << status.message() << '\n';
        return ExitFailure;
    }
    io.run();
    jujube::core::flushEventLog();
    // Skips destructors: the kernel closes the connections, and no state has to be saved.
    std::_Exit(0);
}
