// One record of a stream of the platform's log.
#ifndef FESCUEDECK_BASE_LOG_RECORD_H
#define FESCUEDECK_BASE_LOG_RECORD_H

#include <cstdint>
#include <string>

#include "fescuedeck/base/time.h"

namespace fescuedeck {

struct log_record
{
    std::int64_t offset = 0; // consecutive within a stream
    std::string id;          // chosen by the appender; a retried append repeats it
    unix_millis time{};      // set by the log
    std::string body;        // JSON, from any writer, so not trusted
};

} // namespace fescuedeck

#endif
