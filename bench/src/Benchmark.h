#pragma once

#include <chrono>

namespace wagtailrack::bench {

// One subcommand of wagtailrack-microbench; prints its figures to standard output.
struct Benchmark {
    const char* name;
    const char* summary;
    void (*run)();
};

void runBlockTable();
void runOrder();
void runLookup();
void runShares();
void runGate();
void runExperiment();
void runConfiguration();
void runMembership();
void runPlacement();

// Seconds that `work` takes.
template <typename Work> double secondsOf(Work work)
{
    const auto start = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

}
