#pragma once

/** \file
 * Defines a fake of the platform: key-value service, endpoint orders, usage reports, VM list and
 * weight store.
 */

#include "core/clock.h"
#include "fakes/fakeserver.h"

#include <memory>
#include <string>

namespace jujube::test {

struct FakePlatformOptions
{
    core::Milliseconds vmListLag{3'000}; ///< Delay until the list of VMs shows a change.
    double weightBytesPerSecond = 2e9;   ///< Total rate of the weight store.
};

/** The fake platform, used by the program fake-platform and by tests in one process.
 *
 * Faults in addition to those of FakeServer:
 * - kv_outage: connections of KV calls are closed without an effect.
 * - kv_lose_answers: KV writes take effect, but their connections are closed without a response.
 * - kv_delay_ms: responses to KV calls are delayed.
 * - report_lose_answers: as kv_lose_answers, for usage reports and endpoint orders.
 * - leaving_vm: name of a VM that the platform is about to take away.
 */
class FakePlatform
{
public:
    explicit FakePlatform(FakePlatformOptions options);
    ~FakePlatform();

    /** Serves until SIGTERM. */
    int run(const std::string &address);
    /** Serves on a free loopback port in the background. \return the address. */
    std::string start();
    void setFault(const char *name, double value);
    /** Number of records of one kind in the history. */
    size_t countOf(const std::string &kind) const;

private:
    class State;

    std::unique_ptr<State> m_state;
};

} // namespace jujube::test
