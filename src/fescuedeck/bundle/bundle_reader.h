// Strict reader of a bundle from a JSON tree. Use parseBundle or parseCanonicalBundle instead; both
// build on this file.
#ifndef FESCUEDECK_BUNDLE_BUNDLE_READER_H
#define FESCUEDECK_BUNDLE_BUNDLE_READER_H

#include <map>
#include <string>

#include <nlohmann/json.hpp>

#include "fescuedeck/base/error.h"
#include "fescuedeck/bundle/bundle.h"

namespace fescuedeck::detail {

// Line of each field of the source, by path such as "endpoints[3].layers". Empty without a source.
using line_map = std::map<std::string, int>;

// Scalars may be JSON values of their type or, as YAML has them, strings. Unknown and missing
// fields, wrong types and values out of range are errors that name the path and the line.
result<bundle> readBundle(const nlohmann::json &tree, const line_map &lines);

// " (line N)" for the path or the nearest enclosing one; empty if no line is known.
std::string lineSuffix(const line_map &lines, std::string path);

} // namespace fescuedeck::detail

#endif
