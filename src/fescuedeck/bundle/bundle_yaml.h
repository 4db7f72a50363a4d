// The YAML form of a bundle, which operators write. Field names are those of the aggregates in
// snake_case; a missing list is an empty one.
#ifndef FESCUEDECK_BUNDLE_BUNDLE_YAML_H
#define FESCUEDECK_BUNDLE_BUNDLE_YAML_H

#include <string>

#include "fescuedeck/base/error.h"
#include "fescuedeck/bundle/bundle.h"

namespace fescuedeck {

// Checks types, ranges, units and field names, but not how the fields relate: see checkBundle. The
// error is InvalidBundle and names the field's path, its line and the remedy.
result<bundle> parseBundle(const std::string &yaml);

} // namespace fescuedeck

#endif
