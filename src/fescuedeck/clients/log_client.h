// Client of the append-only log. Use log_appender and log_follower for continuous work
// on a stream; this class makes single calls.
#ifndef FESCUEDECK_CLIENTS_LOG_CLIENT_H
#define FESCUEDECK_CLIENTS_LOG_CLIENT_H

#include <cstdint>
#include <string>
#include <vector>

#include <boost/asio/spawn.hpp>

#include "fescuedeck/base/error.h"
#include "fescuedeck/base/log_record.h"
#include "fescuedeck/base/time.h"
#include "fescuedeck/net/http_client.h"

namespace fescuedeck {

struct log_append
{
    std::string id;   // unique; a repeated append uses the same one
    std::string body; // JSON
};

struct log_page
{
    std::vector<log_record> records;
    std::int64_t next = 0;  // offset to read from after this page
    std::int64_t first = 0; // oldest offset that the log still has
};

struct log_append_result
{
    result<std::vector<std::int64_t>> offsets; // one per record, in order
    // False only if the log cannot have stored the records through this call.
    bool mayHaveLanded = false;
};

// Thread-safe. Failures are LogUnavailable (no usable answer in time), InvalidRequest (a body is
// not JSON, or the log refuses the request) and InvalidMessage (the answer has another form).
class log_client
{
public:
    // The client must outlive this object; address is ip:port.
    log_client(http_client &client, std::string address);

    result<std::vector<std::int64_t>> append(const std::string &stream,
                                             const std::vector<log_append> &records,
                                             duration timeout, boost::asio::yield_context yield);
    log_append_result tryAppend(const std::string &stream, const std::vector<log_append> &records,
                                duration timeout, boost::asio::yield_context yield);

    // Up to limit records from an offset on. The log holds the answer back for up to wait if it has
    // none; timeout must be greater than wait.
    result<log_page> read(const std::string &stream, std::int64_t from, int limit, duration wait,
                          duration timeout, boost::asio::yield_context yield);

private:
    http_client &m_client;
    const std::string m_address;
};

} // namespace fescuedeck

#endif
