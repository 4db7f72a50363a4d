#include "fescuedeck/gateway/domain_parts.h"

#include <algorithm>

namespace fescuedeck::detail {
namespace {

// Equal parts of the layers, at least as many as the domains need if each holds one of them. Empty
// if too few domains can hold a part.
std::vector<layer_range> splitLayers(int layers, const std::map<std::string, int> &capacities)
{
    for (int parts = 2; parts <= static_cast<int>(capacities.size()); ++parts) {
        const int size = (layers + parts - 1) / parts;
        const auto able = std::count_if(capacities.begin(), capacities.end(),
                                        [&](const auto &entry) { return entry.second >= size; });
        if (able < parts)
            continue;
        std::vector<layer_range> ranges;
        for (int part = 0; part < parts; ++part)
            ranges.push_back({ part * layers / parts, (part + 1) * layers / parts });
        return ranges;
    }
    return {};
}

// Number of layers of the part that the engines of a domain hold, counted once for each engine.
int heldLayers(const std::vector<placement_engine> &engines, const std::string &domain,
               const layer_range &part)
{
    int held = 0;
    for (const placement_engine &engine : engines) {
        const auto inPart = heldPart(engine.range, part);
        held += engine.failureDomain == domain && inPart ? inPart->size() : 0;
    }
    return held;
}

// Index of the part of which the engines of a domain hold most; empty if they hold none.
std::optional<std::size_t> partHeldBy(const std::vector<placement_engine> &engines,
                                      const std::string &domain,
                                      const std::vector<layer_range> &parts)
{
    std::optional<std::size_t> best;
    int mostHeld = 0;
    for (std::size_t part = 0; part < parts.size(); ++part) {
        const int held = heldLayers(engines, domain, parts[part]);
        if (held > mostHeld) {
            best = part;
            mostHeld = held;
        }
    }
    return best;
}

bool holdOnlyTheirParts(const std::vector<placement_engine> &engines,
                        const std::map<std::string, layer_range> &parts)
{
    return std::all_of(engines.begin(), engines.end(), [&](const placement_engine &engine) {
        const auto part = parts.find(engine.failureDomain);
        return part == parts.end() || !engine.range || part->second.contains(*engine.range);
    });
}

} // namespace

std::optional<layer_range> heldPart(const std::optional<layer_range> &held,
                                    const layer_range &target)
{
    if (!held)
        return std::nullopt;
    const layer_range part{ std::max(held->begin, target.begin) - target.begin,
                            std::min(held->end, target.end) - target.begin };
    return part.size() > 0 ? std::optional(part) : std::nullopt;
}

std::map<std::string, layer_range> partsOfDomains(int layers,
                                                  const std::vector<placement_engine> &engines,
                                                  const std::map<std::string, int> &capacities)
{
    const std::vector<layer_range> parts = splitLayers(layers, capacities);
    std::map<std::string, layer_range> chosen;
    if (parts.empty())
        return chosen;
    const int largestPart = parts.back().size();
    std::vector<std::vector<std::string>> holders(parts.size()); // domains that can hold the part
    std::vector<std::string> without;
    for (const auto &[domain, capacity] : capacities) {
        const auto held = partHeldBy(engines, domain, parts);
        if (held)
            chosen[domain] = parts[*held];
        if (capacity < largestPart)
            continue;
        if (held)
            holders[*held].push_back(domain);
        else
            without.push_back(domain);
    }
    const auto hasFewer = [](const auto &a, const auto &b) { return a.size() < b.size(); };
    for (const std::string &domain : without)
        std::min_element(holders.begin(), holders.end(), hasFewer)->push_back(domain);
    for (std::size_t part = 0; part < parts.size(); ++part) {
        for (const std::string &domain : holders[part])
            chosen[domain] = parts[part];
    }
    // The domains that are too small for a part help to hold the first one.
    for (const auto &[domain, capacity] : capacities)
        chosen.try_emplace(domain, parts.front());
    return holdOnlyTheirParts(engines, chosen) ? chosen : std::map<std::string, layer_range>();
}

} // namespace fescuedeck::detail
