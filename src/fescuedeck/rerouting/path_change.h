// The answer of an engine to an order that changes the path of a running request.
#ifndef FESCUEDECK_REROUTING_PATH_CHANGE_H
#define FESCUEDECK_REROUTING_PATH_CHANGE_H

#include <string>

#include "fescuedeck/base/name_table.h"

namespace fescuedeck {

enum class path_change_outcome {
    Accepted,        // begun or done
    UnknownRequest,  // the engine has no such request
    PartUnavailable, // an engine of the path is not there or has no room
    Refused,         // not carried out, for another reason
    Unsupported,     // the engine does not know the operation
    Unknown,         // no usable answer: it may be carried out, now or later
};

constexpr name_table<path_change_outcome, 6> pathChangeOutcomeNames = { {
        { path_change_outcome::Accepted, "accepted" },
        { path_change_outcome::UnknownRequest, "unknown_request" },
        { path_change_outcome::PartUnavailable, "part_unavailable" },
        { path_change_outcome::Refused, "refused" },
        { path_change_outcome::Unsupported, "unsupported" },
        { path_change_outcome::Unknown, "unknown" },
} };

struct path_change_answer
{
    path_change_outcome outcome = path_change_outcome::Unknown;
    std::string address; // of the engine that is not there or has no room, if the answer names it
};

} // namespace fescuedeck

#endif
