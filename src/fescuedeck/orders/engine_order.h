// Orders to model engines and the parts of their reports that orders depend on.
#ifndef FESCUEDECK_ORDERS_ENGINE_ORDER_H
#define FESCUEDECK_ORDERS_ENGINE_ORDER_H

#include <cstdint>
#include <string>
#include <vector>

#include "fescuedeck/base/error.h"
#include "fescuedeck/base/layer_range.h"

namespace fescuedeck {

// A layer range of one version of a model, with its adapters, as an engine holds it.
struct engine_load
{
    std::string model;
    std::string version;
    layer_range layers;
    std::vector<std::string> adapters;

    friend bool operator==(const engine_load &a, const engine_load &b)
    {
        return a.model == b.model && a.version == b.version && a.layers == b.layers
               && a.adapters == b.adapters;
    }
    friend bool operator!=(const engine_load &a, const engine_load &b) { return !(a == b); }
};

// States everything that the engine is to hold; it drops what the list lacks.
struct engine_order
{
    std::string endpoint;
    std::string address;
    std::int64_t fencing = 0;
    std::vector<engine_load> loads;
};

// From an engine's /v1/report.
struct load_report
{
    std::string incarnation;
    bool isLeaving = false;
    std::vector<engine_load> loads;
};

// Body of POST /v1/orders. modelLayers gives the number of layers of a model, which engines need to
// know whether a range is the last.
std::string orderBody(const engine_order &order,
                      const std::vector<std::pair<std::string, int>> &modelLayers);
// The error is InvalidMessage.
result<load_report> parseLoadReport(const std::string &body);

} // namespace fescuedeck

#endif
