// What the commands need from outside: the log, the routers, clocks. Production code fills the
// hooks with network clients, tests with fakes on virtual time.
#ifndef FESCUEDECK_CTL_CTL_HOOKS_H
#define FESCUEDECK_CTL_CTL_HOOKS_H

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "fescuedeck/base/error.h"
#include "fescuedeck/base/log_record.h"
#include "fescuedeck/base/random.h"
#include "fescuedeck/base/time.h"
#include "fescuedeck/net/http_message.h"

namespace fescuedeck {

struct control_page
{
    std::vector<log_record> records; // empty at the end of the stream
    std::int64_t first = 0;          // oldest offset that the log still has
};

struct ctl_hooks
{
    // Appends to the control stream; only id and body are used. After a failure the records may
    // have been stored.
    std::function<result<std::vector<std::int64_t>>(const std::vector<log_record> &, duration)>
            append;
    // Reads the control stream from an offset on.
    std::function<result<control_page>(std::int64_t, duration)> read;
    // Calls an address, ip:port.
    std::function<result<http_response>(const std::string &, const http_request &, duration)> call;
    std::function<void(duration)> sleep;
    clock_fn now;
    wall_clock_fn wallNow;
    random_fn random;
};

} // namespace fescuedeck

#endif
