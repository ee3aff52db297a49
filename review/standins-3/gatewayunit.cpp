#include "gatewayunit.h"

#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace jujube::review {

GatewayUnit::GatewayUnit(std::string program, const std::string &folder, UnitSettings settings)
    : m_program(std::move(program)),
      m_settingsPath(folder + "/" + settings.name + ".toml"),
      m_logPath(folder + "/" + settings.name + ".log"),
      m_settings(std::move(settings))
{
}

GatewayUnit::~GatewayUnit()
{
    kill();
}

bool GatewayUnit::writeSettings(bool firstStart) const
{
    std::ofstream out(m_settingsPath);
    out << "NodeName = \"" << m_settings.name
        << "\"\nRole = \"gateway\"\nMachineClass = \"front\"\n"
        << "Serves = [\"front\"]\nIp = \"" << m_settings.ip
        << "\"\nZone = \"a\"\nRegion = \"r\"\nInternalPorts = [7780,7795]\nBootstrap = "
        << (firstStart ? "true" : "false")
        << "\nDiscovery = \"platform\"\nEntry = \"vip\"\nHeartbeatMs = 1200\n"
           "Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"split\","
           "\"stream\",\"engine\",\"tenants\",\"leader\",\"platform\"]\n[Zones]\na = \"r\"\n"
           "[Listen]\nFront = \""
        << clientAddress() << "\"\nReady = \"" << readyAddress()
        << "\"\n[Limits]\nCpuShare = 0.19\nCores = 1\nMemoryMb = " << m_settings.memoryMb
        << "\nMaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = 0\n[Bounds]\nSeedLagS = 3\n"
           "AddrReuseS = 2\nContactMs = 3000\nAckMs = 4000\nCatchUpS = 4\nDrainMs = 2000\n"
           "GraceS = 8\nLossSlackMs = 200\nConfigApplyMs = 2000\nDowngradeSlackMs = 250\n"
           "OuterBoundMs = 5000\nStrictRevoke = false\nRevokeMs = 5000\nRetryBudgetRatio = 0.2\n"
           "BudgetWindowS = 10\nRetryBudgetSlack = 58\nRequireFence = "
        << (m_settings.requireFence ? "true" : "false")
        << "\nLeaseMs = 3000\nThawSlackMs = 300\nReportWindowS = 5\nUsageTolerance = 0.05\n"
           "UsageLateS = 10\nRecoveryS = 12\nTransitMs = 120\nRetryAfterS = 7.7\n"
           "[Platform]\nAddress = \""
        << m_settings.storeAddress
        << "\"\nform = \"kv\"\nWritesPerS = 400\nReadsPerS = 2000\nHistoryS = 20\n"
           "ValueBytes = 1048576\nMinTtlMs = 1000\n[CloudApi]\nAddress = \""
        << m_settings.platformAddress
        << "\"\nRatePerS = 50.0\nDuties = [\"usage_report\"]\nDutyPerS = 50.0\n";
    out.close();
    return bool(out);
}

bool GatewayUnit::start(bool firstStart)
{
    if (!writeSettings(firstStart))
        return false;
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr mode_t ownerOnly = 0600;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, m_logPath.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, ownerOnly);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::string variable = "JUJUBECOURSE_NODE_FILE=" + m_settingsPath;
    char *const arguments[] = {m_program.data(), nullptr};
    char *const environment[] = {variable.data(), nullptr};
    const int failed =
        posix_spawn(&m_pid, m_program.c_str(), &actions, nullptr, arguments, environment);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0)
        m_pid = 0;
    return failed == 0;
}

void GatewayUnit::signal(int number) const
{
    if (m_pid > 0)
        ::kill(m_pid, number);
}

void GatewayUnit::kill()
{
    if (m_pid <= 0)
        return;
    signal(SIGCONT);
    signal(SIGKILL);
    waitpid(m_pid, nullptr, 0);
    m_pid = 0;
}

std::optional<int> GatewayUnit::pollEnd()
{
    int status = 0;
    if (m_pid <= 0 || waitpid(m_pid, &status, WNOHANG) != m_pid)
        return std::nullopt;
    m_pid = 0;
    return status;
}

uint64_t GatewayUnit::residentBytes() const
{
    constexpr std::string_view field = "VmRSS:";
    constexpr uint64_t bytesPerKilobyte = 1024;
    if (m_pid <= 0)
        return 0;
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(field))
            return std::stoull(line.substr(field.size())) * bytesPerKilobyte;
    }
    return 0;
}

} // namespace jujube::review
