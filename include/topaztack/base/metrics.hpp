#pragma once

#include <topaztack/base/time.hpp>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

/// @file
/// Counters, gauges and latency histograms, printed as Prometheus text. Recording takes no lock.

namespace topaztack {

class Counter {
public:
    void add(std::uint64_t amount = 1) { this->total.fetch_add(amount, std::memory_order_relaxed); }
    std::uint64_t value() const { return this->total.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> total { 0 };
};

class Gauge {
public:
    void set(std::int64_t value) { this->level.store(value, std::memory_order_relaxed); }
    void add(std::int64_t amount) { this->level.fetch_add(amount, std::memory_order_relaxed); }
    std::int64_t value() const { return this->level.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> level { 0 };
};

/// @brief Durations in buckets that grow by a factor of about 1.26, from 1 us to 1000 s (Boost.Histogram, atomic
/// cells).
class LatencyHistogram {
public:
    LatencyHistogram();
    ~LatencyHistogram();

    void record(Duration duration);

    /// @brief Upper edge of the bucket that holds the quantile; zero if nothing was recorded.
    Duration quantile(double fraction) const;

    std::uint64_t count() const;

    /// @brief Appends the Prometheus lines of this histogram, in seconds.
    void print(std::string_view name, std::string_view labels, std::string& text) const;

private:
    struct Cells;
    std::unique_ptr<Cells> cells;
    std::atomic<std::uint64_t> sumMicroseconds { 0 };
};

/// @brief Owns a process's metrics. Asking again for the same name and labels gives the same object.
class MetricsRegistry {
public:
    MetricsRegistry();
    ~MetricsRegistry();

    /// @param labels Prometheus labels without braces, such as `pool="lm-rollout"`; may be empty.
    Counter& counter(std::string_view name, std::string_view help, std::string_view labels = {});
    Gauge& gauge(std::string_view name, std::string_view help, std::string_view labels = {});
    LatencyHistogram& latency(std::string_view name, std::string_view help, std::string_view labels = {});

    /// @brief All metrics in Prometheus text format.
    std::string prometheusText() const;

private:
    struct Families;
    std::unique_ptr<Families> families;
};

} // namespace topaztack
