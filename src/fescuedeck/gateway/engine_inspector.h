// Finds out which engine of a chain has failed when requests through the chain stall.
//
// The first engine of a chain reports which engines its requests wait for. An engine that does not
// answer a report request at all counts as lost until it announces itself as a new incarnation or
// the time that suspicion_policy sets has passed. If the gateway could not connect to it, that
// applies only if the gateway reaches other endpoints meanwhile.
#ifndef FESCUEDECK_GATEWAY_ENGINE_INSPECTOR_H
#define FESCUEDECK_GATEWAY_ENGINE_INSPECTOR_H

#include <map>
#include <string>
#include <vector>

#include <boost/asio/spawn.hpp>

#include "fescuedeck/gateway/gateway_context.h"
#include "fescuedeck/gateway/placement_controller.h"

namespace fescuedeck {

struct engine_inspector_settings
{
    duration timeout = std::chrono::milliseconds(400); // of one report request
    // Minimum time between two report requests to one engine, because each request has a cost.
    duration minInterval = std::chrono::milliseconds(250);
};

// Not thread-safe. Must outlive its io_context's run.
class engine_inspector
{
public:
    explicit engine_inspector(gateway_context &context, engine_inspector_settings settings = {});

    // Requests a report from the engine to learn whether it still answers and which other engines
    // it waits for. Marks those engines as lost, and the engine itself if it does not answer, or if
    // it refuses requests although it executes no order and has free memory and its announced
    // layers. Returns at once;
    // does nothing if the engine is unknown, already lost, or was asked less than minInterval ago.
    void inspect(const std::string &id, engine_suspicion suspicion);

private:
    void fetchReport(const endpoint_ptr &engine, engine_suspicion suspicion,
                     boost::asio::yield_context yield);
    bool isAtFault(const call_result &result, time_point startedAt,
                   boost::asio::yield_context yield) const;
    bool refusesWithoutCause(const endpoint_record &engine, const engine_report &report) const;
    void applyReport(const endpoint_ptr &engine, engine_suspicion suspicion,
                     const engine_report &report);
    void markLost(const endpoint_ptr &engine, const char *evidence);

    gateway_context &m_context;
    const engine_inspector_settings m_settings;
    std::map<std::string, time_point> m_lastRequestAt; // by endpoint id
};

} // namespace fescuedeck

#endif
