// Typed records of the control stream, the part of the log that all routers share, and their JSON
// bodies. Writers of the stream use recordBody; only control_state, which replays the stream, needs
// parseControlRecord.
#ifndef FESCUEDECK_CONTROL_CONTROL_RECORD_H
#define FESCUEDECK_CONTROL_CONTROL_RECORD_H

#include <cstdint>
#include <string>
#include <variant>

#include "fescuedeck/base/error.h"
#include "fescuedeck/base/time.h"

namespace fescuedeck {

struct bundle_proposed
{
    std::int64_t version = 0;
    std::int64_t parent = 0;
    std::string hash;
    std::string content; // canonical form of the bundle, see canonicalBundle
};

struct bundle_signed
{
    std::int64_t version = 0;
    std::string hash;
    std::string keyId;
    std::string signature;
};

struct lease_requested
{
    std::string model;
    std::string holder; // id of the router
    // Offset of the lease record that this one renews or takes over; -1 if there is none.
    std::int64_t follows = -1;
    unix_millis leaseDuration{};
};

struct host_drained
{
    std::string host;
};

struct host_undrained
{
    std::string host;
};

struct request_quarantined
{
    std::string fingerprint;
    std::int64_t crashes = 0;
};

struct checkpoint_taken
{
    std::string state;       // text from control_state::checkpoint()
    std::int64_t covers = 0; // the state includes the effect of all records below this offset
    std::string mac;         // result of checkpointMac; empty if the writer has no key
};

// A record of a type that this version of the software does not know.
struct unknown_record
{
    std::string type;
};

using control_record
        = std::variant<bundle_proposed, bundle_signed, lease_requested, host_drained,
                       host_undrained, request_quarantined, checkpoint_taken, unknown_record>;

// Parses the JSON body of a record. The error is InvalidMessage and names the invalid field.
result<control_record> parseControlRecord(const std::string &body);
// Returns the JSON body of the record.
std::string recordBody(const control_record &record);

// Returns the code that proves that a router wrote the checkpoint. Only routers know the key, which
// all of them share.
std::string checkpointMac(const std::string &key, const std::string &state);

} // namespace fescuedeck

#endif
