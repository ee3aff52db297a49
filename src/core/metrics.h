#pragma once

/** \file
 * Defines the metrics of a process: counters, gauges and latency histograms.
 */

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace jujube::core {

/** Adds to a counter. \a labels is empty or a Prometheus label list such as team="a". */
void incrementCounter(std::string_view name, std::string_view labels = {}, uint64_t amount = 1);

/** Sets a gauge; \a labels as in incrementCounter(). */
void setGauge(std::string_view name, std::string_view labels, double value);

/** Removes a gauge, so that labels which come and go do not accumulate. */
void removeGauge(std::string_view name, std::string_view labels);

/** Records one duration in a histogram with logarithmic buckets from 0.1 ms to 100 s. */
void recordDuration(std::string_view name, std::string_view labels, std::chrono::nanoseconds value);

/** Records one value without a unit in a histogram with the same buckets, from 0.1. */
void recordRatio(std::string_view name, std::string_view labels, double value);

/** All metrics in the Prometheus text format. */
std::string renderMetrics();

} // namespace jujube::core
