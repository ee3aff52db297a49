/** \file
 * Sums the load that gateways put on an endpoint and adds what the endpoint itself reports.
 */

#include "serving/endpoints.h"

#include <algorithm>

namespace jujube::serving {

OutstandingLoad &OutstandingLoad::operator+=(const OutstandingLoad &other)
{
    // A wrong figure of one gateway must not wrap around.
    const auto sum = [](uint32_t a, uint32_t b) { return a + std::min(b, UINT32_MAX - a); };
    running = sum(running, other.running);
    backlogTokens = sum(backlogTokens, other.backlogTokens);
    remainingTokens = sum(remainingTokens, other.remainingTokens);
    return *this;
}

// Requests of the report may have ended since, so what it states beyond the known ones fades.
void addReportedLoad(policy::PlacementCandidate &view, const Endpoint &endpoint,
                     core::TimePoint now)
{
    const auto age = now - endpoint.reportedAt;
    if (endpoint.reportedAt == core::TimePoint{} || age >= policy::LoadReportLifetime)
        return;
    const ReportedLoad &report = endpoint.report;
    const double fresh = 1
        - std::chrono::duration<double>(std::max(age, core::BootClock::duration(0)))
            / std::chrono::duration<double>(policy::LoadReportLifetime);
    const double excess = static_cast<double>(report.running) + report.waiting - view.running;
    view.reported = excess > 0 ? view.running + excess * fresh : 0;
    view.reportsWaiting = report.waiting > 0;
}

} // namespace jujube::serving
