#include "fescuedeck/clients/log_appender.h"

#include <algorithm>
#include <deque>
#include <map>
#include <mutex>
#include <optional>

#include <boost/asio/associated_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "fescuedeck/net/tcp_socket.h"

namespace fescuedeck::detail {

namespace asio = boost::asio;
using boost::system::error_code;

// A record and the coroutine that waits for it. The mutable members are protected by the mutex of
// the core, except for the timer, which is used on the strand of the coroutine.
struct waiting_append
{
    waiting_append(log_append waitingRecord, const asio::any_io_executor &executor)
        : record(std::move(waitingRecord))
        , strand(executor)
        , timer(executor)
    {
    }

    const log_append record;
    const asio::any_io_executor strand;
    asio::steady_timer timer;
    std::optional<result<std::int64_t>> offset;
    bool isInFlight = false;
    bool mayHaveLanded = false; // through an earlier append
    bool isAbandoned = false;   // its deadline has passed; it is not sent again
};

using append_batch = std::vector<std::shared_ptr<waiting_append>>;

struct append_stream
{
    std::deque<std::shared_ptr<waiting_append>> waiting;
    bool isRunning = false;
    // Halved when the log refuses a batch, down to the one record that is at fault.
    std::size_t batchLimit = 0;
};

class log_appender_core : public std::enable_shared_from_this<log_appender_core>
{
public:
    log_appender_core(asio::io_context &ioContext, append_fn append, log_appender_settings settings,
                      random_fn random)
        : m_ioContext(ioContext)
        , m_append(std::move(append))
        , m_settings(settings)
        , m_random(std::move(random))
    {
    }

    append_outcome append(const std::string &stream, log_append record, duration timeout,
                          asio::yield_context yield);
    void stop();

private:
    append_stream newStream() const { return { {}, false, m_settings.maxBatchRecords }; }
    bool enqueue(const std::string &stream, const std::shared_ptr<waiting_append> &item);
    append_outcome finish(waiting_append &item);
    void startStream(const std::string &stream);
    void runStream(const std::string &stream, const asio::yield_context &yield);
    append_batch takeBatch(const std::string &stream);
    void settle(const std::string &stream, const append_batch &batch,
                const log_append_result &outcome);
    static void complete(const std::shared_ptr<waiting_append> &item, result<std::int64_t> offset);
    duration nextTimeout(duration current, duration elapsed, bool succeeded) const;

    asio::io_context &m_ioContext;
    const append_fn m_append;
    const log_appender_settings m_settings;
    std::mutex m_mutex; // leaf lock
    random_fn m_random;
    std::map<std::string, append_stream> m_streams;
    bool m_isStopped = false;
};

append_outcome log_appender_core::append(const std::string &stream, log_append record,
                                         duration timeout, asio::yield_context yield)
{
    const auto item = std::make_shared<waiting_append>(std::move(record), executorOf(yield));
    item->timer.expires_after(timeout);
    if (!enqueue(stream, item)) {
        return { makeFailure(errc::Overloaded, "too many records wait for stream " + stream),
                 false };
    }
    // settle() cancels the timer on this strand, so not before the wait has begun.
    error_code ignored;
    item->timer.async_wait(yield[ignored]);
    return finish(*item);
}

bool log_appender_core::enqueue(const std::string &stream,
                                const std::shared_ptr<waiting_append> &item)
{
    const std::lock_guard lock(m_mutex);
    append_stream &target = m_streams.try_emplace(stream, newStream()).first->second;
    if (target.waiting.size() >= m_settings.maxWaitingRecords)
        return false;
    target.waiting.push_back(item);
    if (!target.isRunning && !m_isStopped) {
        target.isRunning = true;
        startStream(stream);
    }
    return true;
}

append_outcome log_appender_core::finish(waiting_append &item)
{
    const std::lock_guard lock(m_mutex);
    item.isAbandoned = true;
    const bool mayStillLand = item.isInFlight || item.mayHaveLanded;
    if (item.offset)
        return { *item.offset, item.offset->has_error() && mayStillLand };
    const std::string state = mayStillLand ? "unconfirmed" : "not written";
    return { makeFailure(errc::LogUnavailable, "log record " + item.record.id + " is " + state),
             mayStillLand };
}

// Posted, because spawn() runs the coroutine at once and the caller holds the lock.
void log_appender_core::startStream(const std::string &stream)
{
    asio::post(m_ioContext, [self = shared_from_this(), stream] {
        asio::spawn(self->m_ioContext, [self, stream](const asio::yield_context &yield) {
            self->runStream(stream, yield);
        });
    });
}

void log_appender_core::runStream(const std::string &stream, const asio::yield_context &yield)
{
    asio::steady_timer pause(m_ioContext);
    backoff delays(m_settings.retry, [this] {
        const std::lock_guard lock(m_mutex);
        return m_random();
    });
    duration timeout = m_settings.attemptTimeout;
    for (auto batch = takeBatch(stream); !batch.empty(); batch = takeBatch(stream)) {
        std::vector<log_append> records;
        for (const auto &item : batch)
            records.push_back(item->record);
        const time_point start = steadyNow();
        const auto outcome = m_append(stream, records, timeout, yield);
        const bool succeeded = outcome.offsets.has_value();
        timeout = nextTimeout(timeout, steadyNow() - start, succeeded);
        settle(stream, batch, outcome);
        if (succeeded) {
            delays.reset();
            continue;
        }
        error_code ignored;
        pause.expires_after(delays.next());
        pause.async_wait(yield[ignored]);
    }
}

// Marks the stream as not running if nothing waits.
append_batch log_appender_core::takeBatch(const std::string &stream)
{
    const std::lock_guard lock(m_mutex);
    append_stream &source = m_streams.at(stream);
    append_batch batch;
    std::size_t bytes = 0;
    while (!m_isStopped && !source.waiting.empty() && batch.size() < source.batchLimit) {
        const std::shared_ptr<waiting_append> item = source.waiting.front();
        bytes += item->isAbandoned ? 0 : item->record.body.size();
        if (!batch.empty() && bytes > m_settings.maxBatchBytes)
            break;
        source.waiting.pop_front();
        if (item->isAbandoned)
            continue;
        item->isInFlight = true;
        batch.push_back(item);
    }
    source.isRunning = !batch.empty();
    return batch;
}

void log_appender_core::settle(const std::string &stream, const append_batch &batch,
                               const log_append_result &outcome)
{
    const std::lock_guard lock(m_mutex);
    append_stream &source = m_streams.at(stream);
    const bool isRefused = !outcome.offsets && outcome.offsets.error().code == errc::InvalidRequest;
    if (outcome.offsets)
        source.batchLimit = std::min(source.batchLimit * 2, m_settings.maxBatchRecords);
    else if (isRefused)
        source.batchLimit = std::max<std::size_t>(batch.size() / 2, 1);
    for (std::size_t i = batch.size(); i > 0; --i) {
        const std::shared_ptr<waiting_append> &item = batch[i - 1];
        item->isInFlight = false;
        item->mayHaveLanded = item->mayHaveLanded || outcome.mayHaveLanded;
        if (outcome.offsets)
            complete(item, outcome.offsets.value()[i - 1]);
        else if (isRefused && batch.size() == 1)
            complete(item, outcome.offsets.error());
        else if (!item->isAbandoned)
            source.waiting.push_front(item);
    }
}

void log_appender_core::complete(const std::shared_ptr<waiting_append> &item,
                                 result<std::int64_t> offset)
{
    item->offset = std::move(offset);
    asio::post(item->strand, [item] { item->timer.cancel(); });
}

duration log_appender_core::nextTimeout(duration current, duration elapsed, bool succeeded) const
{
    const duration wanted = succeeded ? elapsed * 4 : current * 2;
    return std::clamp(wanted, m_settings.attemptTimeout, m_settings.maxAttemptTimeout);
}

void log_appender_core::stop()
{
    const std::lock_guard lock(m_mutex);
    m_isStopped = true;
}

} // namespace fescuedeck::detail

namespace fescuedeck {

log_appender::log_appender(boost::asio::io_context &ioContext, append_fn append,
                           log_appender_settings settings, random_fn random)
    : m_core(std::make_shared<detail::log_appender_core>(ioContext, std::move(append), settings,
                                                         std::move(random)))
{
}

log_appender::~log_appender()
{
    m_core->stop();
}

append_outcome log_appender::append(const std::string &stream, log_append record, duration timeout,
                                    boost::asio::yield_context yield)
{
    const auto core = m_core;
    return core->append(stream, std::move(record), timeout, yield);
}

} // namespace fescuedeck
