// Withdraws what this gateway has found out about endpoints while its own links to them failed.
#ifndef FESCUEDECK_GATEWAY_FINDING_WITHDRAWAL_H
#define FESCUEDECK_GATEWAY_FINDING_WITHDRAWAL_H

#include "fescuedeck/gateway/gateway_context.h"

namespace fescuedeck {

// What has failed since that time has failed because of the links, so the endpoints are not blamed
// for it. Does nothing and returns false if no peer reaches endpoints either: then these have
// failed rather than the links, and requests that crash them must still be counted.
bool withdrawFindings(gateway_context &context, time_point since);

} // namespace fescuedeck

#endif
