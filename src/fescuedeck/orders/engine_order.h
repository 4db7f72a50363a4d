// Orders to model engines, and the parts of the engines' reports that the orders depend on.
#ifndef FESCUEDECK_ORDERS_ENGINE_ORDER_H
#define FESCUEDECK_ORDERS_ENGINE_ORDER_H

#include <cstdint>
#include <string>
#include <vector>

#include "fescuedeck/base/error.h"
#include "fescuedeck/base/layer_range.h"

namespace fescuedeck {

// A layer range of one version of a model, with its adapters, that an engine holds or is to hold.
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

// Tells an engine everything that it is to hold. The engine drops each load that is not in the
// list.
struct engine_order
{
    std::string endpoint;
    std::string address;
    // An engine that checks the fencing number refuses an order whose number is lower than that of
    // an order that it has accepted.
    std::int64_t fencing = 0;
    std::vector<engine_load> loads;
};

// The content of an engine's answer to /v1/report, as far as orders depend on it.
struct load_report
{
    std::string incarnation; // changes when the engine process restarts
    bool isLeaving = false;
    std::vector<engine_load> loads;
};

// Returns the body of POST /v1/orders. modelLayers maps the name of each model to its number of
// layers, which an engine needs to know whether a range is the last one. A model that is not in it
// gets 0 layers.
std::string orderBody(const engine_order &order,
                      const std::vector<std::pair<std::string, int>> &modelLayers);

// Parses the body of an engine's report. Fails with InvalidMessage if the body is malformed.
result<load_report> parseLoadReport(const std::string &body);

} // namespace fescuedeck

#endif
