#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace wagtailrack::process {

// Counters, gauges and latency summaries of this instance, by Boost.Accumulators. Lives for the process; may be called
// by any thread. Names are those of Prometheus: wagtailrack_<what>_<unit>.
class Metrics {
public:
    Metrics();
    ~Metrics();

    // `labels` is a list such as route="prices",outcome="done"; may be empty.
    void count(std::string_view name, std::string_view labels, double amount = 1);
    void setGauge(std::string_view name, std::string_view labels, double value);
    void observeSeconds(std::string_view name, std::string_view labels, double seconds);

    // Prometheus text format, version 0.0.4.
    std::string render() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

}
