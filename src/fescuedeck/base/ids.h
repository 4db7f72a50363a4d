// Identifiers. UUIDv7 (RFC 9562) carries its creation time, which bounds the age of a key without a
// lookup.
#ifndef FESCUEDECK_BASE_IDS_H
#define FESCUEDECK_BASE_IDS_H

#include <optional>
#include <string>
#include <string_view>

#include "fescuedeck/base/random.h"
#include "fescuedeck/base/time.h"

namespace fescuedeck {

// Lower-case text form with hyphens.
std::string makeUuidV7(unix_millis now, const random_fn &random);
// Creation time of a UUIDv7; empty if the text is not a UUIDv7.
std::optional<unix_millis> uuidV7Time(std::string_view text);
// count random bytes, as lower-case hex.
std::string randomHex(int count, const random_fn &random);

} // namespace fescuedeck

#endif
