#include <topaztack/base/metrics.hpp>

#include <boost/histogram.hpp>

#include <map>
#include <mutex>

namespace topaztack {

namespace {

    namespace histogram = boost::histogram;

    constexpr unsigned bucketsPerDecade = 10;
    constexpr double leastMicroseconds = 1;
    constexpr double mostMicroseconds = 1e9;
    constexpr unsigned bucketCount = 9 * bucketsPerDecade;

    using AtomicCell = histogram::accumulators::count<std::uint64_t, true>;
    using LogAxis = histogram::axis::regular<double, histogram::axis::transform::log>;
    using Buckets = histogram::histogram<std::tuple<LogAxis>, histogram::dense_storage<AtomicCell>>;

    Buckets makeBuckets()
    {
        return histogram::make_histogram_with(
            histogram::dense_storage<AtomicCell> {}, LogAxis { bucketCount, leastMicroseconds, mostMicroseconds });
    }

    std::string braced(std::string_view labels)
    {
        if (labels.empty())
            return {};
        return "{" + std::string(labels) + "}";
    }

} // namespace

struct LatencyHistogram::Cells {
    Buckets buckets { makeBuckets() };
};

LatencyHistogram::LatencyHistogram()
    : cells(std::make_unique<Cells>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(Duration duration)
{
    const double microseconds = std::chrono::duration<double, std::micro>(duration).count();
    this->cells->buckets(microseconds);
    this->sumMicroseconds.fetch_add(static_cast<std::uint64_t>(microseconds), std::memory_order_relaxed);
}

std::uint64_t LatencyHistogram::count() const
{
    std::uint64_t total = 0;
    for (auto&& cell : histogram::indexed(this->cells->buckets, histogram::coverage::all))
        total += cell->value();
    return total;
}

Duration LatencyHistogram::quantile(double fraction) const
{
    const auto wanted = static_cast<std::uint64_t>(fraction * static_cast<double>(this->count()));
    std::uint64_t seen = 0;
    for (auto&& cell : histogram::indexed(this->cells->buckets, histogram::coverage::all)) {
        seen += cell->value();
        if (seen <= wanted)
            continue;
        const double edge = std::min(cell.bin().upper(), mostMicroseconds);
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::micro>(edge));
    }
    return Duration::zero();
}

void LatencyHistogram::print(std::string_view name, std::string_view labels, std::string& text) const
{
    const std::string prefix = labels.empty() ? std::string {} : std::string(labels) + ",";
    std::uint64_t seen = 0;
    for (auto&& cell : histogram::indexed(this->cells->buckets, histogram::coverage::all)) {
        seen += cell->value();
        if (cell->value() == 0 || cell.bin().upper() > mostMicroseconds)
            continue;
        text += std::string(name) + "_bucket{" + prefix + "le=\"" + std::to_string(cell.bin().upper() / 1e6) + "\"} "
            + std::to_string(seen) + "\n";
    }
    text += std::string(name) + "_bucket{" + prefix + "le=\"+Inf\"} " + std::to_string(seen) + "\n";
    text += std::string(name) + "_sum" + braced(labels) + " "
        + std::to_string(static_cast<double>(this->sumMicroseconds.load(std::memory_order_relaxed)) / 1e6) + "\n";
    text += std::string(name) + "_count" + braced(labels) + " " + std::to_string(seen) + "\n";
}

struct MetricsRegistry::Families {
    template <typename Metric> struct Family {
        std::string help;
        std::map<std::string, std::unique_ptr<Metric>, std::less<>> members;
    };

    template <typename Metric> using FamilyMap = std::map<std::string, Family<Metric>, std::less<>>;

    template <typename Metric>
    Metric& find(FamilyMap<Metric>& families, std::string_view name, std::string_view help, std::string_view labels)
    {
        const std::lock_guard guard(this->lock);
        auto& family = families[std::string(name)];
        family.help = std::string(help);
        auto& member = family.members[std::string(labels)];
        if (!member)
            member = std::make_unique<Metric>();
        return *member;
    }

    template <typename Metric>
    static void printValues(const FamilyMap<Metric>& families, std::string_view type, std::string& text)
    {
        for (const auto& [name, family] : families) {
            text += "# HELP " + name + " " + family.help + "\n# TYPE " + name + " " + std::string(type) + "\n";
            for (const auto& [labels, member] : family.members)
                text += name + braced(labels) + " " + std::to_string(member->value()) + "\n";
        }
    }

    mutable std::mutex lock;
    FamilyMap<Counter> counters;
    FamilyMap<Gauge> gauges;
    FamilyMap<LatencyHistogram> latencies;
};

MetricsRegistry::MetricsRegistry()
    : families(std::make_unique<Families>())
{
}

MetricsRegistry::~MetricsRegistry() = default;

Counter& MetricsRegistry::counter(std::string_view name, std::string_view help, std::string_view labels)
{
    return this->families->find(this->families->counters, name, help, labels);
}

Gauge& MetricsRegistry::gauge(std::string_view name, std::string_view help, std::string_view labels)
{
    return this->families->find(this->families->gauges, name, help, labels);
}

LatencyHistogram& MetricsRegistry::latency(std::string_view name, std::string_view help, std::string_view labels)
{
    return this->families->find(this->families->latencies, name, help, labels);
}

std::string MetricsRegistry::prometheusText() const
{
    const std::lock_guard guard(this->families->lock);
    std::string text;
    Families::printValues(this->families->counters, "counter", text);
    Families::printValues(this->families->gauges, "gauge", text);
    for (const auto& [name, family] : this->families->latencies) {
        text += "# HELP " + name + " " + family.help + "\n# TYPE " + name + " histogram\n";
        for (const auto& [labels, member] : family.members)
            member->print(name, labels, text);
    }
    return text;
}

} // namespace topaztack
