// Counts the calls of a gateway to the store.
#ifndef FESCUEDECK_GATEWAY_STORE_CALL_COUNTERS_H
#define FESCUEDECK_GATEWAY_STORE_CALL_COUNTERS_H

#include "fescuedeck/gateway/platform_adapter.h"
#include "fescuedeck/telemetry/metrics.h"

namespace fescuedeck {

// Returns hooks that count each call as fescuedeck_store_calls_total{call,outcome}, where call is
// read_newest, read_from, write, join_lease or leave_lease, and outcome is ok or failed. A read of
// several pages counts once. counters must outlive the hooks.
store_hooks countStoreCalls(store_hooks store, metrics &counters);

} // namespace fescuedeck

#endif
