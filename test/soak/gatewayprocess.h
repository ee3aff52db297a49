#pragma once

/** \file
 * Defines a gateway that runs as a process of its own, and the signals it is sent.
 */

#include "core/clock.h"

#include <absl/status/status.h>

#include <optional>
#include <string>
#include <sys/types.h>

namespace jujube::soak {

/** Where a gateway listens and whom it talks to. */
struct GatewayConfig
{
    std::string name;
    std::string ip;
    std::string clientAddress;
    std::string readyAddress;
    std::string storeAddress;
    std::string platformAddress;
};

/** One gateway. Only the process that was started here is ever signalled. */
class GatewayProcess
{
public:
    /** \param folder where the settings file and the log are written. */
    GatewayProcess(std::string program, std::string folder, GatewayConfig config);
    ~GatewayProcess();
    GatewayProcess(const GatewayProcess &) = delete;
    GatewayProcess &operator=(const GatewayProcess &) = delete;

    absl::Status start();
    /** Sends a signal, if the process lives. */
    void signal(int number);
    /** Looks whether the process has ended. \return how, if it has since the last look. */
    std::optional<int> pollExit();
    bool running() const { return m_pid > 0; }
    const GatewayConfig &config() const { return m_config; }

private:
    absl::Status writeSettings() const;
    std::string settingsPath() const;

    std::string m_program;
    std::string m_folder;
    GatewayConfig m_config;
    pid_t m_pid = 0;
};

} // namespace jujube::soak
