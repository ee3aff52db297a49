/** \file
 * Program jujube-replay: replays workloads against the product's policy classes and compares the
 * result with baseline policies and the clairvoyant bound.
 */

#include "core/text.h"
#include "jujubereplay/bound.h"
#include "jujubereplay/policies.h"
#include "jujubereplay/report.h"
#include "jujubereplay/simulation.h"
#include "wire/processmain.h"

#include <absl/strings/str_split.h>
#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

DEFINE_string(scenario, "accra", "accra, amman, steady, flood or moderate");
DEFINE_string(trace, "", "replay the workload in this CSV file instead of a generated one");
DEFINE_string(write_trace, "", "write the generated workload to this CSV file and exit");
DEFINE_double(load, 1.0, "factor on the arrival rate");
DEFINE_int32(first_seed, 1, "first seed");
DEFINE_int32(seeds, 1, "number of seeds");
DEFINE_string(policies, "a,b,c,ours", "policies to compare, separated by commas; see --list");
DEFINE_bool(list, false, "list the policies and exit");
DEFINE_string(json, "", "write the results as JSON to this file");
DEFINE_string(svg, "", "write a plot of the first seed's last policy to this file");

namespace {

using namespace jujube;

const std::map<std::string, replay::Scenario> Scenarios{{"accra", replay::Scenario::Accra},
                                                        {"amman", replay::Scenario::Amman},
                                                        {"steady", replay::Scenario::Steady},
                                                        {"flood", replay::Scenario::Flood},
                                                        {"moderate", replay::Scenario::Moderate}};

absl::StatusOr<replay::Workload> workloadFor(uint64_t seed)
{
    if (FLAGS_trace.empty())
        return replay::generate(Scenarios.at(FLAGS_scenario), seed, FLAGS_load);
    std::ifstream file(FLAGS_trace);
    std::ostringstream text;
    text << file.rdbuf();
    return replay::Workload::fromCsv(text.str());
}

int replayAll(const std::vector<replay::Policy> &policies)
{
    replay::Report report;
    for (int i = 0; i < FLAGS_seeds; ++i) {
        const uint64_t seed = static_cast<uint64_t>(FLAGS_first_seed) + static_cast<uint64_t>(i);
        const auto workload = workloadFor(seed);
        if (!workload.ok()) {
            std::cerr << "jujube-replay: " << FLAGS_trace << ": " << workload.status().message()
                      << "\n";
            return wire::ExitUsage;
        }
        report.addBound(seed, replay::clairvoyantBound(*workload));
        for (const replay::Policy &policy : policies) {
            const replay::RunResult result = replay::simulate(*workload, policy, seed);
            report.addRun(seed, result);
            if (i == 0 && !FLAGS_svg.empty())
                std::ofstream(FLAGS_svg) << replay::plot(*workload, result);
        }
    }
    std::cout << report.table();
    if (!FLAGS_json.empty())
        std::ofstream(FLAGS_json) << report.json();
    return wire::ExitOk;
}

} // namespace

int main(int argc, char *argv[])
{
    gflags::SetUsageMessage("replays workloads against routing, queueing and role policies");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto all = replay::namedPolicies();
    if (FLAGS_list) {
        for (const auto &[key, policy] : all)
            std::cout << key << ": " << policy.name << "\n";
        return wire::ExitOk;
    }
    if (!Scenarios.contains(FLAGS_scenario)) {
        std::cerr << "jujube-replay: --scenario is '" << FLAGS_scenario
                  << "'; allowed: accra, amman, steady, flood, moderate\n";
        return wire::ExitUsage;
    }
    if (!FLAGS_write_trace.empty()) {
        std::ofstream file(FLAGS_write_trace);
        file << workloadFor(static_cast<uint64_t>(FLAGS_first_seed))->toCsv();
        return file.flush() ? wire::ExitOk : wire::ExitFailure;
    }
    std::vector<replay::Policy> policies;
    for (const absl::string_view key : absl::StrSplit(FLAGS_policies, ',', absl::SkipEmpty())) {
        const auto it = all.find(std::string(key));
        if (it == all.end()) {
            std::cerr << "jujube-replay: no policy '" << key << "'; see --list\n";
            return wire::ExitUsage;
        }
        policies.push_back(it->second);
    }
    return replayAll(policies);
}
