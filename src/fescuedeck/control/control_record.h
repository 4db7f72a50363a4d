// Typed records of the control stream and their JSON bodies. Writers of the stream use recordBody;
// only the fold (control_state.h) needs parseControlRecord.
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
    std::string content; // canonical form
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
    std::string holder;        // router id
    std::int64_t follows = -1; // offset of the lease record that this renews or takes over, or -1
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
    std::string state;       // control_state::checkpoint()
    std::int64_t covers = 0; // next offset of that state
    std::string mac;         // checkpointMac; empty if the writer has no key
};

// A record of a type that this version does not know.
struct unknown_record
{
    std::string type;
};

using control_record
        = std::variant<bundle_proposed, bundle_signed, lease_requested, host_drained,
                       host_undrained, request_quarantined, checkpoint_taken, unknown_record>;

// The error is InvalidMessage and names the field.
result<control_record> parseControlRecord(const std::string &body);
std::string recordBody(const control_record &record);

// Authenticates a checkpoint as written by a router, which shares the key with all others.
std::string checkpointMac(const std::string &key, const std::string &state);

} // namespace fescuedeck

#endif
