#include <wagtailrack/process/Metrics.h>

// extended_p_square_quantile.hpp of Boost 1.74 uses std::ostringstream without including it.
#include <sstream>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <map>
#include <mutex>

namespace wagtailrack::process {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::array<double, 4> quantiles = { 0.5, 0.9, 0.99, 0.999 };

using LatencySummary = accumulators::accumulator_set<double,
    accumulators::stats<accumulators::tag::count, accumulators::tag::sum,
        accumulators::tag::extended_p_square_quantile>>;

LatencySummary makeSummary() { return LatencySummary(accumulators::extended_p_square_probabilities = quantiles); }

using Labels = std::string;
template <typename Value> using Family = std::map<std::string, std::map<Labels, Value, std::less<>>, std::less<>>;

// The value under `name` and `labels`, made by `make` when it is new.
template <typename Value, typename Make>
Value& find(Family<Value>& family, std::string_view name, std::string_view labels, Make make)
{
    auto byName = family.find(name);
    if (byName == family.end())
        byName = family.emplace(std::string(name), std::map<Labels, Value, std::less<>>()).first;
    auto byLabels = byName->second.find(labels);
    if (byLabels == byName->second.end())
        byLabels = byName->second.emplace(std::string(labels), make()).first;
    return byLabels->second;
}

std::string braces(const std::string& labels) { return labels.empty() ? "" : "{" + labels + "}"; }

void renderNumbers(std::ostream& stream, const Family<double>& family, const char* type)
{
    for (const auto& [name, byLabels] : family) {
        stream << "# TYPE " << name << ' ' << type << '\n';
        for (const auto& [labels, value] : byLabels)
            stream << name << braces(labels) << ' ' << value << '\n';
    }
}

void renderSummary(
    std::ostream& stream, const std::string& name, const std::string& labels, const LatencySummary& summary)
{
    // The P-square estimate needs more samples than it has markers.
    constexpr size_t minimumSamples = 2 * quantiles.size() + 3;
    if (accumulators::count(summary) >= minimumSamples) {
        for (const double probability : quantiles) {
            const double value = accumulators::quantile(summary, accumulators::quantile_probability = probability);
            stream << name << '{' << labels << (labels.empty() ? "" : ",") << "quantile=\"" << probability << "\"} "
                   << value << '\n';
        }
    }
    stream << name << "_sum" << braces(labels) << ' ' << accumulators::sum(summary) << '\n';
    stream << name << "_count" << braces(labels) << ' ' << accumulators::count(summary) << '\n';
}

}

class Metrics::Implementation {
public:
    mutable std::mutex mutex;
    Family<double> counters;
    Family<double> gauges;
    Family<LatencySummary> summaries;
};

Metrics::Metrics()
    : implementation(std::make_unique<Implementation>())
{
}

Metrics::~Metrics() = default;

void Metrics::count(std::string_view name, std::string_view labels, double amount)
{
    const std::lock_guard lock(this->implementation->mutex);
    find(this->implementation->counters, name, labels, [] { return 0.0; }) += amount;
}

void Metrics::setGauge(std::string_view name, std::string_view labels, double value)
{
    const std::lock_guard lock(this->implementation->mutex);
    find(this->implementation->gauges, name, labels, [] { return 0.0; }) = value;
}

void Metrics::observeSeconds(std::string_view name, std::string_view labels, double seconds)
{
    const std::lock_guard lock(this->implementation->mutex);
    find(this->implementation->summaries, name, labels, makeSummary)(seconds);
}

std::string Metrics::render() const
{
    std::ostringstream stream;
    const std::lock_guard lock(this->implementation->mutex);
    renderNumbers(stream, this->implementation->counters, "counter");
    renderNumbers(stream, this->implementation->gauges, "gauge");
    for (const auto& [name, byLabels] : this->implementation->summaries) {
        stream << "# TYPE " << name << " summary\n";
        for (const auto& [labels, summary] : byLabels)
            renderSummary(stream, name, labels, summary);
    }
    return stream.str();
}

}
