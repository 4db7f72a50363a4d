// Check that the hops behind a token ran every layer of the model exactly once, in order.
//
// Use it before a token is delivered, and in tests on the hop log of a draft.
#ifndef FESCUEDECK_STREAM_COVERAGE_CHECK_H
#define FESCUEDECK_STREAM_COVERAGE_CHECK_H

#include <optional>
#include <string>
#include <vector>

#include "fescuedeck/base/layer_range.h"

namespace fescuedeck {

// One hop whose answer passed every check.
struct accepted_hop
{
    int attempt = 0;
    int position = 0;
    layer_range layers;
    std::string endpoint;
    std::string incarnation;
};

// Empty if the ranges partition [0, layerCount) in the given order; otherwise a description of the
// first fault.
std::optional<std::string> partitionFault(const std::vector<layer_range> &ranges, int layerCount);

// Like partitionFault for the hops of one token; a hop of another attempt or position is a fault.
std::optional<std::string> coverageFault(const std::vector<accepted_hop> &hops, int attempt,
                                         int position, int layerCount);

} // namespace fescuedeck

#endif
