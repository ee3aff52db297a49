#include "review/deployment.h"

#include "core/eventlog.h"
#include "core/text.h"
#include "platform/settings.h"

#include <boost/asio/steady_timer.hpp>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace jujube::review {

namespace {

using core::Milliseconds;

constexpr uint16_t StorePort = 7001;
constexpr uint16_t PlatformPort = 7002;
constexpr uint16_t EndpointPort = 7100;
constexpr uint16_t ClientPort = 7200;
constexpr uint16_t ReadyPort = 7201;
constexpr uint16_t FirstInternalPort = 7300;
constexpr uint32_t FirstGatewayHost = 10;
constexpr Milliseconds LoopStep{5};
constexpr Milliseconds ConnectTimeout{1'000};

// The bounds are those of the users' small sites unless the options say otherwise.
std::string settingsText(const GatewayOptions &options, const GatewayProcess &gateway,
                         const std::string &ip, const std::string &store,
                         const std::string &platform)
{
    return core::concat(
        "NodeName = \"", options.name, "\"\nRole = \"gateway\"\nMachineClass = \"front\"\n",
        "Serves = [\"front\"]\nIp = \"", ip, "\"\nZone = \"a\"\nRegion = \"r\"\nInternalPorts = [",
        FirstInternalPort, ", ", FirstInternalPort + 15,
        "]\nBootstrap = true\nDiscovery = \"platform\"\nHeartbeatMs = 1200\n[Zones]\na = \"r\"\n",
        "[Listen]\nFront = \"", gateway.clientAddress, "\"\nReady = \"", gateway.readyAddress,
        "\"\n[Limits]\nCpuShare = ", options.cpuShare,
        "\nCores = 1\nMemoryMb = 260\nMaxFds = 4100\nLinkMbps = ", options.linkMbps,
        "\n[Bounds]\nContactMs = ", options.contactTime.count(),
        "\nDrainMs = ", options.drainTime.count(),
        "\nGraceS = ", static_cast<double>(options.grace.count()) / 1000,
        "\nLossSlackMs = 200\nConfigApplyMs = ", options.configTime.count(),
        "\nRetryBudgetRatio = 0.2\nBudgetWindowS = 10\n",
        "RetryBudgetSlack = 58\nRequireFence = ", options.fenced ? "true" : "false",
        "\nLeaseMs = 3000\nThawSlackMs = 300\n",
        "ReportWindowS = 5\nUsageLateS = 10\nRecoveryS = 12\n[Platform]\nAddress = \"", store,
        "\"\nform = \"kv\"\nWritesPerS = 400\nReadsPerS = 2000\nHistoryS = 20\n",
        "ValueBytes = 1048576\nMinTtlMs = 1000\n[CloudApi]\nAddress = \"", platform,
        "\"\nRatePerS = 50.0\nDuties = [\"usage_report\"]\nDutyPerS = 50.0\n");
}

std::string temporaryFolder()
{
    std::string path = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    return mkdtemp(path.data()) ? path : std::string();
}

} // namespace

GatewayProcess::~GatewayProcess()
{
    if (m_pid <= 0)
        return;
    kill(m_pid, SIGCONT);
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
}

void GatewayProcess::writeSettings(const std::string &text) const
{
    std::filesystem::create_directories(m_folder);
    std::ofstream(settingsPath()) << text;
}

bool GatewayProcess::start()
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr mode_t ownerOnly = 0600;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logPath().c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, ownerOnly);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::string program = m_program;
    std::string variable = core::concat(platform::SettingsVariable, "=", settingsPath());
    char *const arguments[] = {program.data(), nullptr};
    char *const environment[] = {variable.data(), nullptr};
    const int failed =
        posix_spawn(&m_pid, m_program.c_str(), &actions, nullptr, arguments, environment);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0)
        m_pid = 0;
    return failed == 0;
}

void GatewayProcess::signal(int number) const
{
    if (m_pid > 0)
        kill(m_pid, number);
}

bool GatewayProcess::running()
{
    if (m_pid > 0 && waitpid(m_pid, nullptr, WNOHANG) == m_pid)
        m_pid = 0;
    return m_pid > 0;
}

size_t GatewayProcess::residentMb() const
{
    std::ifstream status(core::concat("/proc/", m_pid, "/status"));
    std::string word;
    size_t kilobytes = 0;
    while (status >> word) {
        if (word == "VmRSS:" && status >> kilobytes)
            break;
    }
    return kilobytes / 1024;
}

Deployment::Deployment(std::string program, const std::string &recordPath)
    : m_program(std::move(program)),
      m_folder(temporaryFolder()),
      m_record(recordPath, std::ios::trunc),
      m_startedAt(core::BootClock::now()),
      m_store(m_io),
      m_platform(m_io,
                 [this](const http::Request &request, const http::Responder &responder) {
                     handleReport(request, responder);
                 }),
      m_httpClient(m_io)
{
    // A loopback network derived from the process id, so that cases can run in parallel.
    const auto pid = static_cast<uint32_t>(getpid());
    constexpr uint32_t hosts = 250;
    m_networkPrefix = core::concat("127.", 1 + pid / hosts % hosts, ".", 1 + pid % hosts, ".");
}

Deployment::~Deployment()
{
    m_gateways.clear();
    if (!m_folder.empty() && !std::getenv("REVIEW_KEEP")) {
        std::error_code ec;
        std::filesystem::remove_all(m_folder, ec);
    } else {
        std::fprintf(stderr, "%s\n", m_folder.c_str());
    }
}

bool Deployment::listen()
{
    return !m_folder.empty() && m_record && m_store.listen(address(1, StorePort)).ok()
        && m_platform.listen(address(1, PlatformPort)).ok();
}

std::string Deployment::address(uint32_t host, uint16_t port) const
{
    return core::concat(m_networkPrefix, host, ":", port);
}

test::FakeEndpoint &Deployment::addEndpoint(const std::string &service, serving::Stage stage)
{
    const std::string id = core::concat("i-", m_endpoints.size() + 1);
    const auto port = static_cast<uint16_t>(EndpointPort + m_endpoints.size());
    m_endpoints.push_back(std::make_unique<test::FakeEndpoint>(m_io, id, stage));
    test::FakeEndpoint &endpoint = *m_endpoints.back();
    if (!endpoint.listen(address(2, port)).ok())
        record("an endpoint cannot listen");
    registerEndpoint(endpoint, service, "ready");
    return endpoint;
}

void Deployment::registerEndpoint(test::FakeEndpoint &endpoint, const std::string &service,
                                  const std::string &state)
{
    m_store.put("servers/" + endpoint.id(), endpoint.makeEntry(service, "a", state));
}

std::string Deployment::storeAddress() const
{
    return address(1, StorePort);
}

GatewayProcess *Deployment::addGateway(const GatewayOptions &options)
{
    const auto host = static_cast<uint32_t>(FirstGatewayHost + m_gateways.size());
    auto gateway = std::make_unique<GatewayProcess>(m_program, m_folder + "/" + options.name);
    gateway->name = options.name;
    gateway->clientAddress = address(host, ClientPort);
    gateway->readyAddress = address(host, ReadyPort);
    gateway->writeSettings(
        settingsText(options, *gateway, core::concat(m_networkPrefix, host),
                     options.storeAddress.empty() ? storeAddress() : options.storeAddress,
                     address(1, PlatformPort)));
    if (!gateway->start())
        return nullptr;
    m_gateways.push_back(std::move(gateway));
    return m_gateways.back().get();
}

bool Deployment::isReady(const GatewayProcess &gateway)
{
    uint32_t status = 0;
    bool done = false;
    http::Request request;
    request.head.method = "GET";
    request.head.target = "/api/readiness";
    m_httpClient.call(
        gateway.readyAddress, std::move(request), ConnectTimeout,
        [&](const http::CallResult &result) {
            status = result.response.ok() ? result.response->head.status : 0;
            done = true;
        },
        http::ConnectionMode::Dedicated);
    runUntil([&]() { return done; }, ConnectTimeout * 2);
    return status == http::status::Ok;
}

bool Deployment::waitReady(Milliseconds limit)
{
    const core::TimePoint end = core::BootClock::now() + limit;
    for (const auto &it : m_gateways) {
        while (!isReady(*it)) {
            if (core::BootClock::now() > end)
                return false;
            runFor(Milliseconds(50));
        }
    }
    return true;
}

std::shared_ptr<Outcome> Deployment::send(const ClientRequest &request)
{
    auto outcome = std::make_shared<Outcome>();
    outcome->sentAt = core::BootClock::now();
    http::Head head;
    head.method = request.method;
    head.target = request.target;
    head.fields.add("Host", "test.example");
    head.fields.add("Request-Id", request.id);
    head.fields.add("X-Api-Key", "key-a");
    head.fields.add("Deadline-Ms", std::to_string(request.timeLimit.count()));
    for (const http::Field &it : request.fields)
        head.fields.add(it.name, it.value);
    outcome->lastBytesAt = outcome->sentAt;
    if (!request.quiet)
        record(core::concat("client sends ", request.id, " ", request.method, " ", request.target,
                            " to ", request.address));
    const auto connection = http::ClientConnection::create(m_io, request.address);
    const auto end = [this, outcome, id = request.id,
                      quiet = request.quiet](const std::string &error) {
        outcome->error = error;
        outcome->complete = error.empty();
        outcome->ended = true;
        outcome->endedAt = core::BootClock::now();
        if (quiet && error.empty())
            return;
        record(core::concat("client ", id, " status ", outcome->status, ", ", outcome->body.size(),
                            " bytes, ", error.empty() ? "complete" : "cut: " + error));
    };
    http::ExchangeHandler handler;
    handler.onHead = [outcome](const http::Head &it) {
        outcome->status = it.status;
        outcome->fields = it.fields;
        return true;
    };
    handler.onBody = [outcome](std::string &bytes) {
        outcome->lastBytesAt = core::BootClock::now();
        outcome->body += bytes;
        bytes.clear();
    };
    handler.onEnd = [end]() { end({}); };
    handler.onFailure = [end](http::Failure, const std::string &why) {
        end(why.empty() ? "closed" : why);
    };
    connection->send(http::renderRequest(head, request.body), false, ConnectTimeout,
                     std::move(handler));
    std::erase_if(m_connections,
                  [](const auto &it) { return !it->isOpen() && it.use_count() == 1; });
    m_connections.push_back(connection);
    if (request.patience.count() > 0)
        leaveAfterPause(outcome, connection, request.patience);
    return outcome;
}

void Deployment::leaveAfterPause(const std::shared_ptr<Outcome> &outcome,
                                 const std::shared_ptr<http::ClientConnection> &connection,
                                 Milliseconds patience)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_io, patience / 10);
    timer->async_wait([this, timer, outcome, connection, patience](const auto &) {
        if (outcome->ended)
            return;
        if (core::BootClock::now() - outcome->lastBytesAt < patience) {
            leaveAfterPause(outcome, connection, patience);
            return;
        }
        connection->close();
        outcome->ended = true;
        outcome->error = "the client has left";
        outcome->endedAt = core::BootClock::now();
    });
}

void Deployment::handleReport(const http::Request &request, const http::Responder &responder)
{
    const auto field = [&](const char *name) {
        return std::string(request.head.fields.find(name).value_or(""));
    };
    m_reports.push_back({field("Duty-Holder"), field("Fence-Token"), request.body});
    record(core::concat("platform gets ", request.body, " from ", m_reports.back().holder,
                        ", token ", m_reports.back().fencingToken));
    http::Head head;
    head.status = http::status::Ok;
    responder.send(head, {});
}

void Deployment::runFor(Milliseconds time)
{
    m_io.restart();
    m_io.run_for(time);
}

bool Deployment::runUntil(const std::function<bool()> &done, Milliseconds limit)
{
    const core::TimePoint end = core::BootClock::now() + limit;
    while (!done()) {
        if (core::BootClock::now() > end)
            return false;
        runFor(LoopStep);
    }
    return true;
}

Milliseconds Deployment::elapsed() const
{
    return std::chrono::duration_cast<Milliseconds>(core::BootClock::now() - m_startedAt);
}

void Deployment::record(const std::string &line)
{
    m_record << elapsed().count() << " ms  " << line << std::endl;
}

int runCase(int argc, char **argv, const std::function<Verdict(Deployment &, bool trouble)> &run)
{
    if (argc != 3) {
        std::fprintf(stderr, "usage: %s GATEWAY RECORD\n", argv[0]);
        return static_cast<int>(Verdict::NotRun);
    }
    std::signal(SIGPIPE, SIG_IGN);
    core::startEventLog("review", core::LogSettings{core::LogTarget::None, 100});
    const char *trouble = std::getenv("TROUBLE");
    Deployment deployment(argv[1], argv[2]);
    if (!deployment.listen()) {
        std::fprintf(stderr, "%s: cannot listen or write the record\n", argv[0]);
        return static_cast<int>(Verdict::NotRun);
    }
    const Verdict verdict = run(deployment, !trouble || std::strcmp(trouble, "0") != 0);
    deployment.record(verdict == Verdict::Held         ? "the rule held"
                          : verdict == Verdict::Broken ? "THE RULE WAS BROKEN"
                                                       : "the case could not run");
    return static_cast<int>(verdict);
}

std::string routeJson(const std::string &prefix, const std::string &kind,
                      const std::string &service, Milliseconds timeout, const std::string &more)
{
    return core::concat(R"({"Name":"r)", prefix, R"(","Host":"test.example","PathPrefix":")",
                        prefix, R"(","Kind":")", kind, R"(","Service":")", service,
                        R"(","TimeoutMs":)", timeout.count(),
                        R"(,"TargetLatencyMs":300,"Priority":1,"TargetGapMs":200)", more, "}");
}

std::string configJson(uint64_t version, const std::string &routes, const std::string &services)
{
    return core::concat(R"({"Version":)", version, R"(,"Routes":[)", routes, R"(],"Services":[)",
                        services, R"(],"Tenants":[{"Name":"team-a","ApiKeys":["key-a"]}]})");
}

} // namespace jujube::review
