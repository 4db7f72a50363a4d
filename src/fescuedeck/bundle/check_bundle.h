// Checks how the fields of a bundle relate, after its form has been parsed.
#ifndef FESCUEDECK_BUNDLE_CHECK_BUNDLE_H
#define FESCUEDECK_BUNDLE_CHECK_BUNDLE_H

#include <vector>

#include "fescuedeck/base/error.h"
#include "fescuedeck/bundle/bundle.h"

namespace fescuedeck {

// Returns every problem found, each an InvalidBundle whose detail names the path and the remedy. An
// empty result guarantees that:
// - the version is above the parent and there is an approver;
// - names, ids, addresses and token hashes are unique and well-formed;
// - endpoints and workspaces refer to models and services of the bundle;
// - the endpoints of each model's version form at least one chain of ranges over all its layers;
// - no service prefix covers another or the routers' own paths under /v1.
// An endpoint with another version than its model's is permitted, for a gradual change, but does
// not count as coverage.
std::vector<failure> checkBundle(const bundle &content);

namespace detail {

// True for ip:port with a numeric address and a port from 1 to 65535; IPv6 is in brackets.
bool isAddress(const std::string &text);

} // namespace detail
} // namespace fescuedeck

#endif
