// Finds out which engine of a chain has failed when requests through the chain fall silent.
//
// The first engine of a chain names those that its requests wait for. An engine that does not
// answer at all is lost until it announces itself as another incarnation or answers again.
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
    duration timeout = std::chrono::milliseconds(400); // of one question
    // Least time between two questions to one engine, as each is priced.
    duration minInterval = std::chrono::milliseconds(250);
};

// Not thread-safe. Must outlive its io_context's run.
class engine_inspector
{
public:
    explicit engine_inspector(gateway_context &context, engine_inspector_settings settings = {});

    // Asks the engine which others it waits for, and whether it lives. Returns at once.
    void inspect(const std::string &id, engine_suspicion suspicion);

private:
    void fetchReport(const endpoint_ptr &engine, engine_suspicion suspicion,
                     boost::asio::yield_context yield);
    void applyReport(const endpoint_ptr &engine, engine_suspicion suspicion,
                     const engine_report &report);
    void markLost(const endpoint_ptr &engine, const char *evidence);

    gateway_context &m_context;
    const engine_inspector_settings m_settings;
    std::map<std::string, time_point> m_lastRequestAt; // by endpoint
};

} // namespace fescuedeck

#endif
