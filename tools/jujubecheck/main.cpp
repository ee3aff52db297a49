/** \file
 * Program jujube-check: checks the recorded history of a run against the guarantees of the system.
 */

#include "jujubecheck/checks.h"
#include "wire/processmain.h"

#include <gflags/gflags.h>

#include <cstdio>
#include <iostream>

DEFINE_string(run, "", "folder with the history files of the run (required)");

int main(int argc, char *argv[])
{
    using namespace jujube;
    gflags::SetUsageMessage("checks the history of a run; exit code 0 if no guarantee was broken");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto history = check::History::load(FLAGS_run);
    if (!history.ok()) {
        std::cerr << "jujube-check: " << history.status().message() << "\n";
        return wire::ExitUsage;
    }
    size_t breaches = 0;
    for (const check::CheckResult &it : check::checkAll(*history)) {
        std::printf("%-62s %6zu examined  %s\n", it.guarantee.c_str(), it.examined,
                    it.breaches.empty() ? (it.examined == 0 ? "not exercised" : "held") : "BROKEN");
        for (const std::string &breach : it.breaches)
            std::printf("    %s\n", breach.c_str());
        breaches += it.breaches.size();
    }
    std::printf("breaches: %zu\n", breaches);
    return breaches == 0 ? wire::ExitOk : wire::ExitFailure;
}
