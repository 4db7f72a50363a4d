// How much of each model a set of engines can serve with the layer ranges that they hold.
#ifndef FESCUEDECK_ORDERS_SERVING_CAPACITY_H
#define FESCUEDECK_ORDERS_SERVING_CAPACITY_H

#include <map>
#include <string>
#include <vector>

#include "fescuedeck/bundle/bundle.h"
#include "fescuedeck/orders/engine_order.h"

namespace fescuedeck::detail {

using engine_holdings = std::map<std::string, std::vector<engine_load>>; // by endpoint id

engine_load wantedLoad(const bundle &content, const endpoint_spec &endpoint);

// Works on a copy of the holdings, from which loads can be removed. Capacities are in tokens per
// second and are computed when first asked for. Not thread-safe.
class serving_capacity
{
public:
    // The bundle must outlive this object.
    serving_capacity(const bundle &content, engine_holdings held);

    const std::vector<engine_load> &loadsOf(const std::string &endpoint) const;

    // Capacity where each endpoint uses one of its loads of the model: for all endpoints the
    // bundle's if they have it, or for all of them another if they have one. A lower bound during a
    // change, in which endpoints hold old and new ranges.
    double currentCapacity(const std::string &model);
    // Capacity once every endpoint holds what the bundle wants.
    double wantedCapacity(const std::string &model);
    // Removes the load if the rest then has a share of the wanted capacity, or no less than before.
    bool removeIfSpare(const std::string &endpoint, const engine_load &load, double share);

private:
    struct candidate
    {
        const endpoint_spec *endpoint;
        engine_load wanted;
    };

    const std::vector<candidate> &candidatesOf(const std::string &model);
    double computeCapacity(const std::string &model, const engine_holdings &held);
    double computeCapacity(const std::string &model, const engine_holdings &held, bool wantedFirst);

    const bundle &m_bundle;
    engine_holdings m_held;
    std::map<std::string, std::vector<candidate>> m_candidates; // by model
    std::map<std::string, double> m_currentCapacity;            // by model
    std::map<std::string, double> m_wantedCapacity;             // by model
};

} // namespace fescuedeck::detail

#endif
