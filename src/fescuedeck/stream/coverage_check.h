// Checks that the hops of a token ran every layer of the model exactly once and in order.
//
// draft_stream checks each token before it delivers it, and tests check the hop log of a draft.
#ifndef FESCUEDECK_STREAM_COVERAGE_CHECK_H
#define FESCUEDECK_STREAM_COVERAGE_CHECK_H

#include <optional>
#include <string>
#include <vector>

#include "fescuedeck/base/layer_range.h"

namespace fescuedeck {

// One hop whose answer passed every check of draft_stream.
struct accepted_hop
{
    int attempt = 0;
    int position = 0;
    layer_range layers;
    std::string endpoint;
    std::string incarnation;
};

// Returns nothing if the ranges partition [0, layerCount) in the given order, otherwise a
// description of the first range that does not fit.
std::optional<std::string> partitionFault(const std::vector<layer_range> &ranges, int layerCount);

// Does the same check as partitionFault for the layers of a token's hops. Every hop must have the
// given attempt and position.
std::optional<std::string> coverageFault(const std::vector<accepted_hop> &hops, int attempt,
                                         int position, int layerCount);

} // namespace fescuedeck

#endif
