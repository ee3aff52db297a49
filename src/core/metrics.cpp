#include "core/metrics.h"
#include "core/text.h"

#include <boost/histogram.hpp>

#include <map>
#include <mutex>

namespace jujube::core {

namespace {

namespace bh = boost::histogram;

constexpr int BucketCount = 60;
constexpr double LowestMs = 0.1;
constexpr double HighestMs = 100'000;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using LatencyHistogram = decltype(bh::make_histogram(LogAxis(BucketCount, LowestMs, HighestMs)));

struct Latency
{
    LatencyHistogram histogram = bh::make_histogram(LogAxis(BucketCount, LowestMs, HighestMs));
    double sum = 0;
    uint64_t count = 0;
};

struct Registry
{
    std::mutex mutex;
    std::map<std::string, uint64_t> counters;
    std::map<std::string, double> gauges;
    std::map<std::string, std::map<std::string, Latency>> latencies;
};

Registry &registry()
{
    static Registry instance;
    return instance;
}

std::string series(std::string_view name, std::string_view labels)
{
    return labels.empty() ? std::string(name) : concat(name, "{", labels, "}");
}

void renderLatency(std::string &out, const std::string &name, const std::string &labels,
                   const Latency &latency)
{
    const std::string separator = labels.empty() ? "" : ",";
    const auto &axis = latency.histogram.axis();
    auto cumulative = static_cast<uint64_t>(latency.histogram.at(-1));
    for (int i = 0; i < axis.size(); ++i) {
        cumulative += static_cast<uint64_t>(latency.histogram.at(i));
        append(out, name, "_bucket{", labels, separator, "le=\"", axis.bin(i).upper(), "\"} ",
               cumulative, "\n");
    }
    append(out, name, "_bucket{", labels, separator, "le=\"+Inf\"} ", latency.count, "\n");
    append(out, series(name + "_sum", labels), " ", latency.sum, "\n");
    append(out, series(name + "_count", labels), " ", latency.count, "\n");
}

} // namespace

void incrementCounter(std::string_view name, std::string_view labels, uint64_t amount)
{
    Registry &metrics = registry();
    const std::lock_guard guard(metrics.mutex);
    metrics.counters[series(name, labels)] += amount;
}

void setGauge(std::string_view name, std::string_view labels, double value)
{
    Registry &metrics = registry();
    const std::lock_guard guard(metrics.mutex);
    metrics.gauges[series(name, labels)] = value;
}

void removeGauge(std::string_view name, std::string_view labels)
{
    Registry &metrics = registry();
    const std::lock_guard guard(metrics.mutex);
    metrics.gauges.erase(series(name, labels));
}

void recordDuration(std::string_view name, std::string_view labels, std::chrono::nanoseconds value)
{
    recordRatio(name, labels, std::chrono::duration<double, std::milli>(value).count());
}

void recordRatio(std::string_view name, std::string_view labels, double value)
{
    Registry &metrics = registry();
    const std::lock_guard guard(metrics.mutex);
    Latency &latency = metrics.latencies[std::string(name)][std::string(labels)];
    latency.histogram(value);
    latency.sum += value;
    ++latency.count;
}

std::string renderMetrics()
{
    Registry &metrics = registry();
    const std::lock_guard guard(metrics.mutex);
    std::string out;
    for (const auto &[name, value] : metrics.counters)
        append(out, name, " ", value, "\n");
    for (const auto &[name, value] : metrics.gauges)
        append(out, name, " ", value, "\n");
    for (const auto &[name, byLabels] : metrics.latencies) {
        for (const auto &[labels, latency] : byLabels)
            renderLatency(out, name, labels, latency);
    }
    return out;
}

} // namespace jujube::core
