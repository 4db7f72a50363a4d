// Appends records to the log's streams on behalf of many coroutines. Use it for every append, so
// that the several hundred appends a second that the log sustains carry as many records as needed.
//
// All records that wait for a stream go into one append, and a stream has at most one append in
// flight. After a lost or slow answer the append is repeated with the same record ids; readers
// ignore a repeated id.
#ifndef FESCUEDECK_CLIENTS_LOG_APPENDER_H
#define FESCUEDECK_CLIENTS_LOG_APPENDER_H

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "fescuedeck/base/error.h"
#include "fescuedeck/base/random.h"
#include "fescuedeck/base/time.h"
#include "fescuedeck/clients/log_client.h"
#include "fescuedeck/net/backoff.h"

namespace fescuedeck {

namespace detail {
class log_appender_core;
} // namespace detail

struct log_appender_settings
{
    std::size_t maxBatchRecords = 256;
    std::size_t maxBatchBytes = 512 * 1024;
    std::size_t maxWaitingRecords = 4096; // per stream
    // Time after which an append counts as lost. A slow log raises it up to the maximum: to four
    // times the last successful append, and to twice its value after each timeout.
    duration attemptTimeout = std::chrono::seconds(1);
    duration maxAttemptTimeout = std::chrono::seconds(8);
    backoff_limits retry = { std::chrono::milliseconds(20), std::chrono::seconds(1) };
};

struct append_outcome
{
    result<std::int64_t> offset;
    // Set on failure if an append that may have reached the log carried the record: the record may
    // be in the stream, or may still land there.
    bool mayStillLand = false;
};

// Makes one append of several records, for example through log_client::tryAppend.
using append_fn = std::function<log_append_result(
        const std::string &stream, const std::vector<log_append> &records, duration timeout,
        boost::asio::yield_context yield)>;

// Thread-safe.
class log_appender
{
public:
    // random is called under a lock, from any thread.
    log_appender(boost::asio::io_context &ioContext, append_fn append,
                 log_appender_settings settings, random_fn random);
    // Waiting appends fail at their deadlines.
    ~log_appender();
    log_appender(const log_appender &) = delete;
    log_appender &operator=(const log_appender &) = delete;

    // Waits until the record is in the stream or the timeout has passed. Failures are
    // LogUnavailable (at the deadline), Overloaded (too many records wait) and InvalidRequest (the
    // log refuses the record).
    append_outcome append(const std::string &stream, log_append record, duration timeout,
                          boost::asio::yield_context yield);

private:
    std::shared_ptr<detail::log_appender_core> m_core;
};

} // namespace fescuedeck

#endif
