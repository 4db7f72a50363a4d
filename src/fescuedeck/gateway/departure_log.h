// Logs and counts from where this gateway learns that an endpoint is leaving.
#ifndef FESCUEDECK_GATEWAY_DEPARTURE_LOG_H
#define FESCUEDECK_GATEWAY_DEPARTURE_LOG_H

#include <string>

#include "fescuedeck/base/name_table.h"
#include "fescuedeck/telemetry/metrics.h"

namespace fescuedeck {

enum class departure_source {
    Table,  // its announcement in the endpoint table
    Digest, // a peer that knows the table better
};

constexpr name_table<departure_source, 2> departureSourceNames = { {
        { departure_source::Table, "table" },
        { departure_source::Digest, "digest" },
} };

void logDeparture(metrics &counters, const std::string &endpoint, departure_source source);

} // namespace fescuedeck

#endif
