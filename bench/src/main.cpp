#include "Benchmark.h"

#include <cstdio>
#include <string_view>

using namespace wagtailrack::bench;

static constexpr Benchmark benchmarks[] = {
    { "blocks", "look-up table of client blocks: memory, load time, look-ups a second", &runBlockTable },
    { "order", "ordering of instances at different numbers of members", &runOrder },
    { "lookup", "answers of LookupService a second and their latency", &runLookup },
    { "shares", "slot shares at different numbers of members", &runShares },
    { "gate", "admissions of the shift gate a second", &runGate },
    { "experiment", "three strategies on six failure domains, decisions only", &runExperiment },
    { "configuration", "decoding and route look-ups at different numbers of routes; base64", &runConfiguration },
    { "membership", "gossip of instances: which of them are taken for alive, and its cost", &runMembership },
    { "placement", "choice of a server among 102 for one request", &runPlacement },
};

int main(int argumentCount, char** arguments)
{
    for (const Benchmark& benchmark : benchmarks) {
        if (argumentCount == 2 && benchmark.name == std::string_view(arguments[1])) {
            benchmark.run();
            return 0;
        }
    }
    std::fprintf(stderr, "usage: wagtailrack-microbench SUBCOMMAND\n");
    for (const Benchmark& benchmark : benchmarks)
        std::fprintf(stderr, "  %-14s %s\n", benchmark.name, benchmark.summary);
    return 2;
}
