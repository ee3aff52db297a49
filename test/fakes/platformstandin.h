#pragma once

/** \file
 * Defines the stand-in for the platform: key-value service, endpoint orders, usage reports, VM list
 * and weight store.
 */

#include "core/clock.h"
#include "fakes/fakeserver.h"

#include <memory>
#include <string>

namespace jujube::test {

struct FakePlatformOptions
{
    core::Milliseconds vmListLag{3'000}; ///< How far the list of VMs lags behind.
    double weightBytesPerSecond = 2e9;   ///< Bytes a second that the weight store serves in all.
};

/** The platform stand-in, for the program fake-platform and for tests in one process.
 *
 * Faults beside the common ones: kv_outage (KV calls alone are cut), kv_lose_answers (KV writes
 * take effect and their answers are lost), kv_delay_ms, report_lose_answers (usage reports and
 * endpoint orders likewise), leaving_vm (a VM that the platform takes away).
 */
class FakePlatform
{
public:
    explicit FakePlatform(FakePlatformOptions options);
    ~FakePlatform();

    /** Serves until SIGTERM. */
    int run(const std::string &address);
    /** Serves on a free port in the background and returns the address. */
    std::string start();
    void setFault(const char *name, double value);
    /** Records of one kind received so far. */
    size_t countOf(const std::string &kind) const;

private:
    class State;

    std::unique_ptr<State> m_state;
};

} // namespace jujube::test
