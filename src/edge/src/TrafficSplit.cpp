#include <wagtailrack/edge/TrafficSplit.h>

#include <algorithm>

namespace wagtailrack::edge {

std::string TrafficSplit::chooseFrom(const RouteRule& rule, Deficits& deficits)
{
    double total = 0;
    for (const WeightedService& share : rule.weightedServices)
        total += share.weight;
    std::erase_if(deficits, [&rule](const auto& deficit) {
        return std::none_of(rule.weightedServices.begin(), rule.weightedServices.end(),
            [&deficit](const WeightedService& share) { return share.service == deficit.first; });
    });
    const WeightedService* chosen = nullptr;
    for (const WeightedService& share : rule.weightedServices) {
        if (share.weight <= 0)
            continue;
        double& deficit = deficits[share.service];
        deficit += share.weight / total;
        if (!chosen || deficit > deficits[chosen->service])
            chosen = &share;
    }
    if (!chosen)
        return rule.weightedServices.front().service;
    deficits[chosen->service] -= 1;
    return chosen->service;
}

std::string TrafficSplit::choose(const RouteRule& rule)
{
    if (rule.weightedServices.size() == 1)
        return rule.weightedServices.front().service;
    return chooseFrom(rule, this->deficitsByRoute[rule.name]);
}

std::string TrafficSplit::preview(const RouteRule& rule) const
{
    if (rule.weightedServices.size() == 1)
        return rule.weightedServices.front().service;
    const auto known = this->deficitsByRoute.find(rule.name);
    Deficits deficits = known == this->deficitsByRoute.end() ? Deficits() : known->second;
    return chooseFrom(rule, deficits);
}

}
