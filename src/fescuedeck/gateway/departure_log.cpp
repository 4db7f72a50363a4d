#include "fescuedeck/gateway/departure_log.h"

#include "fescuedeck/telemetry/event_line.h"

namespace fescuedeck {

void logDeparture(metrics &counters, const std::string &endpoint, departure_source source)
{
    const std::string name(nameOf(departureSourceNames, source));
    counters.counterOf("fescuedeck_departures_total", { { "source", name } }).add();
    event_line("endpoint_leaving").field("endpoint", endpoint).field("source", name);
}

} // namespace fescuedeck
