#include "fescuedeck/stream/coverage_check.h"

namespace fescuedeck {

std::optional<std::string> partitionFault(const std::vector<layer_range> &ranges, int layerCount)
{
    int next = 0;
    for (const layer_range &range : ranges) {
        if (range.begin != next)
            return "layers " + toString(range) + " follow layer " + std::to_string(next);
        if (range.size() <= 0)
            return "layers " + toString(range) + " are empty";
        next = range.end;
    }
    if (next != layerCount)
        return "layers end at " + std::to_string(next) + " of " + std::to_string(layerCount);
    return std::nullopt;
}

std::optional<std::string> coverageFault(const std::vector<accepted_hop> &hops, int attempt,
                                         int position, int layerCount)
{
    std::vector<layer_range> ranges;
    ranges.reserve(hops.size());
    for (const accepted_hop &hop : hops) {
        if (hop.attempt != attempt || hop.position != position)
            return "layers " + toString(hop.layers) + " belong to another attempt or position";
        ranges.push_back(hop.layers);
    }
    return partitionFault(ranges, layerCount);
}

} // namespace fescuedeck
