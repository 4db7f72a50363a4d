// The canonical form of a bundle: JSON with sorted keys and no white space. It is what the log
// stores and what is hashed and signed, so one bundle has exactly one canonical text.
#ifndef FESCUEDECK_BUNDLE_CANONICAL_BUNDLE_H
#define FESCUEDECK_BUNDLE_CANONICAL_BUNDLE_H

#include <string>

#include "fescuedeck/base/error.h"
#include "fescuedeck/bundle/bundle.h"

namespace fescuedeck {

std::string canonicalBundle(const bundle &content);

// Refuses text that canonicalBundle would write in another way. The error is InvalidBundle.
result<bundle> parseCanonicalBundle(const std::string &json);

// SHA-256 of the canonical text, lower-case hex.
std::string bundleHash(const std::string &canonical);

} // namespace fescuedeck

#endif
