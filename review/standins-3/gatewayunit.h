#pragma once

/** \file
 * Defines a gateway that runs as a child process, as the platform starts it.
 */

#include <cstdint>
#include <optional>
#include <string>
#include <sys/types.h>

namespace jujube::review {

/** Settings that differ between gateways; the others are those of the page's example. */
struct UnitSettings
{
    std::string name;
    std::string ip;
    std::string storeAddress;
    std::string platformAddress;
    uint64_t memoryMb = 260;
    bool requireFence = true;
};

/** Starts and ends the process of one machine. */
class GatewayUnit
{
public:
    /** \param folder takes the settings file and the log. */
    GatewayUnit(std::string program, const std::string &folder, UnitSettings settings);
    ~GatewayUnit();
    GatewayUnit(const GatewayUnit &) = delete;
    GatewayUnit &operator=(const GatewayUnit &) = delete;

    /** \param firstStart whether the whole system starts for the first time. */
    bool start(bool firstStart);
    void signal(int number) const;
    /** Kills the process and waits for its end. */
    void kill();
    /** Returns the status if the process has ended by itself. */
    std::optional<int> pollEnd();
    bool running() const { return m_pid > 0; }
    /** Resident memory in bytes; 0 if the process does not run. */
    uint64_t residentBytes() const;
    const UnitSettings &settings() const { return m_settings; }
    std::string clientAddress() const { return m_settings.ip + ":8368"; }
    std::string readyAddress() const { return m_settings.ip + ":8369"; }

private:
    bool writeSettings(bool firstStart) const;

    std::string m_program;
    std::string m_settingsPath;
    std::string m_logPath;
    UnitSettings m_settings;
    pid_t m_pid = 0;
};

} // namespace jujube::review
