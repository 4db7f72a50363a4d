// Reads one stream of the log for ever, from an offset on. Use one for each stream that a router
// folds; the hooks apply the records.
#ifndef FESCUEDECK_CLIENTS_LOG_FOLLOWER_H
#define FESCUEDECK_CLIENTS_LOG_FOLLOWER_H

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "fescuedeck/base/error.h"
#include "fescuedeck/base/random.h"
#include "fescuedeck/base/time.h"
#include "fescuedeck/clients/log_client.h"
#include "fescuedeck/net/backoff.h"

namespace fescuedeck {

namespace detail {
class log_follower_core;
} // namespace detail

struct log_follower_settings
{
    int pageLimit = 500;
    duration wait = std::chrono::seconds(5); // how long the log holds an empty answer back
    duration timeout = std::chrono::seconds(8);
    backoff_limits retry = { std::chrono::milliseconds(50), std::chrono::seconds(2) };
    // Pause after an empty page, which bounds the reads of a log that answers without waiting.
    duration pauseWhenEmpty = std::chrono::milliseconds(10);
};

// All hooks are called one at a time, in order, on any thread of the io_context.
struct log_follower_hooks
{
    // Reads a page, for example through log_client::read.
    std::function<result<log_page>(std::int64_t from, int limit, duration wait, duration timeout,
                                   boost::asio::yield_context yield)>
            read;
    // Called once for each offset, in increasing order.
    std::function<void(const log_record &)> onRecord;
    // The records [from, to) are lost to this reader, usually because the log no longer keeps them.
    std::function<void(std::int64_t from, std::int64_t to)> onGap;
    // Called when reading fails after a success, and with nullptr when it succeeds again.
    std::function<void(const failure *)> onOutage;
};

// Thread-safe.
class log_follower
{
public:
    log_follower(boost::asio::io_context &ioContext, log_follower_settings settings,
                 log_follower_hooks hooks, random_fn random);
    // Stops; a hook that runs at this moment finishes later.
    ~log_follower();
    log_follower(const log_follower &) = delete;
    log_follower &operator=(const log_follower &) = delete;

    // Call once.
    void start(std::int64_t from);
    // No hook is called after the one in progress, if any.
    void stop();

    // The next offset to be read.
    std::int64_t position() const;
    // Whether the last successful read reached the end of the stream.
    bool isCaughtUp() const;
    // Time since the last successful read, or since start() if there was none. An idle stream is
    // read successfully too.
    duration sinceLastRead(time_point now) const;

private:
    std::shared_ptr<detail::log_follower_core> m_core;
};

} // namespace fescuedeck

#endif
