// Computes the capacity of each model that a set of engines has with the layer ranges that they
// hold.
#ifndef FESCUEDECK_ORDERS_SERVING_CAPACITY_H
#define FESCUEDECK_ORDERS_SERVING_CAPACITY_H

#include <map>
#include <string>
#include <vector>

#include "fescuedeck/bundle/bundle.h"
#include "fescuedeck/orders/engine_order.h"

namespace fescuedeck::detail {

using engine_holdings = std::map<std::string, std::vector<engine_load>>; // by endpoint id

// Returns the load that the bundle wants the endpoint to hold.
engine_load wantedLoad(const bundle &content, const endpoint_spec &endpoint);

// Computes capacities from its own copy of the holdings, from which loads can be removed.
// Capacities are in tokens per second; each is computed at the first request and then cached. Not
// thread-safe.
class serving_capacity
{
public:
    // The bundle must outlive this object.
    serving_capacity(const bundle &content, engine_holdings held);

    const std::vector<engine_load> &loadsOf(const std::string &endpoint) const;

    // Returns the capacity of the model when each endpoint serves one of its loads of the model.
    // The result is the larger of two values:
    // - Every endpoint serves the load that the bundle wants, if it holds that load.
    // - Every endpoint serves another load, if it holds one.
    // During a change, in which endpoints hold old and new ranges, the result is a lower bound.
    double currentCapacity(const std::string &model);
    // Returns the capacity of the model when every endpoint holds what the bundle wants.
    double wantedCapacity(const std::string &model);
    // Removes the load from the copy and returns true if the model then still has the given share
    // of its wanted capacity, or no less capacity than before. Otherwise returns false and changes
    // nothing.
    bool removeIfSpare(const std::string &endpoint, const engine_load &load, double share);

private:
    // An endpoint that holds, or is to hold, a range of a model.
    struct candidate
    {
        const endpoint_spec *endpoint;
        engine_load wanted; // may be of another model
    };

    const std::vector<candidate> &candidatesOf(const std::string &model);
    double computeCapacity(const std::string &model, const engine_holdings &held);
    // Each endpoint serves its wanted load if wantedFirst is true and any other load if it is
    // false, as far as it holds one.
    double computeCapacity(const std::string &model, const engine_holdings &held, bool wantedFirst);

    const bundle &m_bundle;
    engine_holdings m_held;
    std::map<std::string, std::vector<candidate>> m_candidates; // by model
    std::map<std::string, double> m_currentCapacity;            // by model
    std::map<std::string, double> m_wantedCapacity;             // by model
};

} // namespace fescuedeck::detail

#endif
