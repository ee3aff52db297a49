/** \file
 * Benchmark of the latency that an entry and an agent add to a request. By default 64 clients
 * alternate between requests through the entry and requests straight to the fake service.
 *
 * Expects a running fleet (scripts/demo --stay). Prints the medians and their difference; the
 * target for an entry is a difference of less than 1 ms.
 */

#include "core/eventlog.h"
#include "wire/httpclient.h"
#include "wire/json.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <cstdio>

DEFINE_string(entry, "127.0.0.1:17081", "address of the entry");
DEFINE_string(engine, "127.0.0.1:17301", "address of a fake engine");
DEFINE_string(service, "127.0.0.1:17401", "address of a fake service");
DEFINE_string(key, "", "API key of a team");
DEFINE_int32(callers, 64, "number of concurrent clients");
DEFINE_int32(requests, 30, "requests of each client on each path");

namespace {

using namespace jujube;

struct CallPath
{
    const char *name;
    std::vector<double> ms;
};

// A stock query to the fake service. It costs the service almost nothing, so that the step time of
// an engine does not hide the latency of the path.
wire::HttpRequest stockRequest(bool direct)
{
    wire::HttpRequest request;
    request.address = direct ? FLAGS_service : FLAGS_entry;
    request.path = direct ? "/stock/1" : "/v1/services/orders/stock/1";
    if (!direct)
        request.headers.push_back({"Authorization", "Bearer " + FLAGS_key});
    return request;
}

wire::Task<void> runClient(wire::IoContext &io, wire::HttpClient &http, CallPath &direct,
                           CallPath &viaEntry, int number)
{
    co_await io.sleep(core::Milliseconds(number % 50));
    for (int i = 0; i < FLAGS_requests * 2; ++i) {
        const bool goesDirect = (i + number) % 2 == 0;
        const core::TimePoint startedAt = core::BootClock::now();
        const auto response = co_await http.send(stockRequest(goesDirect), {});
        const std::chrono::duration<double, std::milli> elapsed =
            core::BootClock::now() - startedAt;
        if (response.ok() && response->status == 200)
            (goesDirect ? direct : viaEntry).ms.push_back(elapsed.count());
        co_await io.sleep(core::Milliseconds(40 + number % 20));
    }
}

double quantile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[static_cast<size_t>(share * double(values.size() - 1))];
}

} // namespace

int main(int argc, char *argv[])
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    core::startEventLog("entrycost", false);
    auto io = kj::setupAsyncIo();
    const wire::CoroutineScope scope;
    wire::IoContext context{*io.provider, *io.lowLevelProvider, io.provider->getTimer()};
    wire::HttpClient http(context);
    CallPath direct{"straight", {}};
    CallPath viaEntry{"through entry and agent", {}};
    kj::Vector<kj::Promise<void>> calls;
    for (int i = 0; i < FLAGS_callers; ++i)
        calls.add(runClient(context, http, direct, viaEntry, i));
    kj::joinPromises(calls.releaseAsArray()).wait(io.waitScope);
    for (const CallPath &it : {direct, viaEntry})
        std::printf("%-24s %zu responses, median %.3f ms, 95th percentile %.3f ms\n", it.name,
                    it.ms.size(), quantile(it.ms, 0.5), quantile(it.ms, 0.95));
    std::printf("added at the median: %.3f ms\n",
                quantile(viaEntry.ms, 0.5) - quantile(direct.ms, 0.5));
    return 0;
}
