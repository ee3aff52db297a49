#include "casefleet.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace jujube::review {

namespace {

using core::Milliseconds;

constexpr const char *Program = "target/jujube-gateway"; // As in deploy/system.toml.
constexpr uint16_t StorePort = 7001;
constexpr uint16_t DutyPort = 7002;
constexpr uint16_t EndpointPort = 7100;
constexpr uint16_t ClientPort = 7200;
constexpr uint16_t ReadyPort = 7201;
constexpr uint16_t InternalPort = 7300;
constexpr uint32_t FirstGatewayHost = 10;
constexpr Milliseconds StartTime{15'000};
constexpr Milliseconds ProbeTime{500};
constexpr Milliseconds LoopStep{5};
constexpr size_t MaxGateways = 8;

constexpr const char *AccraFigures =
    "[Limits]\nCpuShare = 0.19\nCores = 1\nMemoryMb = 260\nMaxFds = 4100\nLinkMbps = 1000.0\n"
    "DiskMb = 0\n[Bounds]\nSeedLagS = 3\nAddrReuseS = 2\nContactMs = 3000\nAckMs = 4000\n"
    "CatchUpS = 4\nDrainMs = 2000\nGraceS = 8\nLossSlackMs = 200\nConfigApplyMs = 2000\n"
    "DowngradeSlackMs = 250\nOuterBoundMs = 5000\nRetryBudgetRatio = 0.2\nBudgetWindowS = 10\n"
    "RetryBudgetSlack = 58\nRequireFence = true\nLeaseMs = 3000\nThawSlackMs = 300\n"
    "ReportWindowS = 5\nUsageTolerance = 0.05\nUsageLateS = 10\nRecoveryS = 12\n"
    "TransitMs = 120\nRetryAfterS = 7.7\n";
constexpr const char *RigaGrownFigures =
    "[Limits]\nCpuShare = 0.5\nCores = 1\nMemoryMb = 160\nMaxFds = 4100\nLinkMbps = 200.0\n"
    "DiskMb = 0\n[Bounds]\nSeedLagS = 3\nAddrReuseS = 2\nContactMs = 4000\nAckMs = 6000\n"
    "CatchUpS = 6\nDrainMs = 3000\nGraceS = 8\nLossSlackMs = 200\nConfigApplyMs = 3000\n"
    "DowngradeSlackMs = 250\nOuterBoundMs = 6000\nRetryBudgetRatio = 0.2\nBudgetWindowS = 10\n"
    "RetryBudgetSlack = 84\nRequireFence = false\nLeaseMs = 3000\nThawSlackMs = 300\n"
    "ReportWindowS = 5\nUsageTolerance = 0.05\nUsageLateS = 10\nRecoveryS = 15\n"
    "TransitMs = 200\nRetryAfterS = 6.8\n";
constexpr int CannotRun = 2;

// Processes to end if this one is ended by a signal.
std::array<volatile pid_t, MaxGateways> startedPids{};

void endProcesses(int)
{
    for (const pid_t it : startedPids) {
        if (it > 0)
            kill(it, SIGKILL);
    }
    _exit(CannotRun);
}

} // namespace

CaseFleet::CaseFleet(boost::asio::io_context &io, CaseRecord &record, CaseSite site)
    : m_io(io),
      m_record(record),
      m_site(site),
      m_store(io),
      m_duties(
          io,
          [this](const http::Request &request, const http::Responder &responder) {
              const auto field = [&](const char *name) {
                  return std::string(request.head.fields.find(name).value_or(""));
              };
              m_dutyCalls.push_back({field("Duty-Holder"), field("Fence-Token"), request.body});
              http::Head head;
              head.status = http::status::Ok;
              responder.send(head, {});
          }),
      m_client(io)
{
    std::signal(SIGTERM, endProcesses);
    std::signal(SIGINT, endProcesses);
    // Addresses of its own for each run, as the ports are fixed.
    constexpr uint32_t hosts = 250;
    const auto pid = static_cast<uint32_t>(getpid());
    m_networkPrefix = core::concat("127.", 1 + pid / hosts % hosts, ".", 1 + pid % hosts, ".");
}

CaseFleet::~CaseFleet()
{
    for (const Process &it : m_gateways) {
        if (it.pid <= 0)
            continue;
        kill(it.pid, SIGCONT);
        kill(it.pid, SIGKILL);
        waitpid(it.pid, nullptr, 0);
    }
    std::error_code ignored;
    if (!m_folder.empty() && !std::getenv("KEEP"))
        std::filesystem::remove_all(m_folder, ignored);
}

std::string CaseFleet::address(uint32_t host, uint16_t port) const
{
    return core::concat(m_networkPrefix, host, ":", port);
}

bool CaseFleet::start()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "case-XXXXXX").string();
    if (!mkdtemp(pattern.data()))
        return false;
    m_folder = pattern;
    return m_store.listen(address(1, StorePort)).ok() && m_duties.listen(address(1, DutyPort)).ok();
}

test::FakeEndpoint *CaseFleet::addEndpoint(const std::string &service, serving::Stage stage)
{
    const std::string id = core::concat("i-", m_endpoints.size() + 1);
    auto endpoint = std::make_unique<test::FakeEndpoint>(m_io, id, stage);
    const auto port = static_cast<uint16_t>(EndpointPort + m_endpoints.size());
    if (!endpoint->listen(address(2, port)).ok())
        return nullptr;
    m_store.put("servers/" + id, endpoint->makeEntry(service, "accra-a"));
    m_endpoints.push_back(std::move(endpoint));
    return m_endpoints.back().get();
}

std::string CaseFleet::endpointAddress(size_t number) const
{
    return address(3, static_cast<uint16_t>(EndpointPort + number));
}

void CaseFleet::publishConfig(const std::vector<CaseRoute> &routes, const std::string &services)
{
    std::string list;
    for (const CaseRoute &it : routes)
        core::append(list, list.empty() ? "" : ",", R"({"Name":"r)", it.prefix, R"(","Host":")",
                     Host, R"(","PathPrefix":")", it.prefix, R"(","Kind":")", it.kind,
                     R"(","Service":")", it.service, R"(","TimeoutMs":)", it.timeout.count(),
                     R"(,"TargetLatencyMs":300,"TargetGapMs":400,"Priority":1)", it.more, "}");
    m_store.put("op/config",
                core::concat(R"({"Version":)", ++m_configVersion, R"(,"Routes":[)", list,
                             R"(],"Services":[)", services,
                             R"(],"Tenants":[{"Name":"team-a","ApiKeys":[")", Key,
                             R"("]}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,)",
                             R"("HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})"));
}

bool CaseFleet::writeSettings(const std::string &path, const Process &process) const
{
    std::ofstream out(path);
    out << "NodeName = \"" << process.name << "\"\nRole = \"gateway\"\nMachineClass = \"front\"\n"
        << "Serves = [\"front\"]\nIp = \"" << process.ip << "\"\nZone = \"accra-a\"\n"
        << "Region = \"accra\"\nInternalPorts = [" << InternalPort << ", " << InternalPort + 15
        << "]\nBootstrap = true\nDiscovery = \"platform\"\nHeartbeatMs = 1200\n"
        << "Contracts = [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", "
           "\"split\", \"stream\", \"engine\", \"tenants\", \"leader\", \"platform\"]\n"
        << "[Listen]\nFront = \"" << process.ip << ":" << ClientPort << "\"\nReady = \""
        << process.ip << ":" << ReadyPort << "\"\n"
        << (m_site == CaseSite::Accra ? AccraFigures : RigaGrownFigures)
        << "[Platform]\nAddress = \"" << address(1, StorePort) << "\"\nform = \"kv\"\nWritesPerS = "
        << (m_site == CaseSite::Accra ? "400\nReadsPerS = 2000" : "1200\nReadsPerS = 6000")
        << "\nHistoryS = 20\n"
           "ValueBytes = 1048576\nMinTtlMs = 1000\n"
        << "[CloudApi]\nAddress = \"" << address(1, DutyPort)
        << "\"\nRatePerS = 50.0\nDuties = [\"usage_report\", \"autoscale\"]\nDutyPerS = 50.0\n";
    out.close();
    return out.good();
}

bool CaseFleet::startGateway()
{
    Process process;
    const auto host = static_cast<uint32_t>(FirstGatewayHost + m_gateways.size());
    process.name = core::concat("front-accra-a-", m_gateways.size() + 1);
    process.ip = core::concat(m_networkPrefix, host);
    process.log = core::concat(m_folder, "/", process.name, ".log");
    const std::string settings = core::concat(m_folder, "/", process.name, ".toml");
    if (!writeSettings(settings, process))
        return false;
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr mode_t ownerOnly = 0600;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, process.log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, ownerOnly);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::string program = Program;
    std::string variable = core::concat("JUJUBECOURSE_NODE_FILE=", settings);
    char *const arguments[] = {program.data(), nullptr};
    char *const environment[] = {variable.data(), nullptr};
    const int failed =
        posix_spawn(&process.pid, Program, &actions, nullptr, arguments, environment);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0)
        return false;
    if (m_gateways.size() < startedPids.size())
        startedPids.at(m_gateways.size()) = process.pid;
    m_gateways.push_back(process);
    m_record.add("gateway ", process.name, " started at ", process.ip);
    return runUntil([this, ip = process.ip]() { return isReady(ip); }, StartTime);
}

bool CaseFleet::isReady(const std::string &ip)
{
    http::Request request;
    request.head.method = "GET";
    request.head.target = "/api/readiness";
    const auto status = std::make_shared<int>(0);
    m_client.call(
        core::concat(ip, ":", ReadyPort), std::move(request), ProbeTime,
        [status](const http::CallResult &result) {
            *status = result.response.ok() ? static_cast<int>(result.response->head.status) : -1;
        },
        http::ConnectionMode::Dedicated);
    while (*status == 0)
        runFor(LoopStep);
    return *status == static_cast<int>(http::status::Ok);
}

void CaseFleet::signalGateway(size_t gateway, int number)
{
    const Process &process = m_gateways.at(gateway);
    m_record.add("signal ", number, " to ", process.name);
    if (process.pid > 0)
        kill(process.pid, number);
}

bool CaseFleet::running(size_t gateway)
{
    Process &process = m_gateways.at(gateway);
    if (process.pid > 0 && waitpid(process.pid, nullptr, WNOHANG) == process.pid)
        startedPids.at(gateway) = process.pid = 0;
    return process.pid > 0;
}

std::string CaseFleet::clientAddress(size_t gateway) const
{
    return core::concat(m_gateways.at(gateway).ip, ":", ClientPort);
}

std::string CaseFleet::logPath(size_t gateway) const
{
    return m_gateways.at(gateway).log;
}

size_t CaseFleet::runCount(const std::string &requestId) const
{
    size_t runs = 0;
    for (const auto &it : m_endpoints)
        runs += it->runCount(requestId);
    return runs;
}

void CaseFleet::runFor(Milliseconds time)
{
    m_io.restart();
    m_io.run_for(time);
}

bool CaseFleet::runUntil(const std::function<bool()> &done, Milliseconds limit)
{
    const core::TimePoint end = core::BootClock::now() + limit;
    while (!done()) {
        if (core::BootClock::now() > end)
            return false;
        runFor(LoopStep);
    }
    return true;
}

} // namespace jujube::review
