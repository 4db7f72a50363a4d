#include "fescuedeck/clients/log_follower.h"

#include <algorithm>
#include <atomic>

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

namespace fescuedeck::detail {

namespace asio = boost::asio;
using boost::system::error_code;

class log_follower_core : public std::enable_shared_from_this<log_follower_core>
{
public:
    log_follower_core(asio::io_context &ioContext, log_follower_settings followerSettings,
                      log_follower_hooks followerHooks, random_fn random)
        : m_settings(followerSettings)
        , m_hooks(std::move(followerHooks))
        , m_strand(asio::make_strand(ioContext))
        , m_pause(ioContext)
        , m_delays(m_settings.retry, std::move(random))
    {
    }

    void start(std::int64_t from);
    void stop();

    std::atomic<std::int64_t> position{ 0 };
    std::atomic<bool> isCaughtUp{ false };
    std::atomic<time_point> lastRead{ time_point() };

private:
    void run(const asio::yield_context &yield);
    bool readPage(const asio::yield_context &yield);
    void apply(const log_page &page);
    void skipTo(std::int64_t offset);
    void reportOutage(const failure *cause);
    void pause(duration time, const asio::yield_context &yield);

    const log_follower_settings m_settings;
    const log_follower_hooks m_hooks;
    asio::strand<asio::io_context::executor_type> m_strand;
    asio::steady_timer m_pause;
    backoff m_delays;
    std::atomic<bool> m_isStopped{ false };
    bool m_isOut = false;
};

void log_follower_core::start(std::int64_t from)
{
    position = from;
    lastRead = steadyNow();
    // Posted, because spawn() may call the hooks at once and the caller may hold a lock.
    asio::post(m_strand, [self = shared_from_this()] {
        asio::spawn(self->m_strand, [self](const asio::yield_context &yield) { self->run(yield); });
    });
}

void log_follower_core::stop()
{
    m_isStopped = true;
    asio::post(m_strand, [self = shared_from_this()] { self->m_pause.cancel(); });
}

void log_follower_core::run(const asio::yield_context &yield)
{
    while (!m_isStopped) {
        const std::int64_t before = position;
        if (!readPage(yield))
            pause(m_delays.next(), yield);
        else if (position == before)
            pause(m_settings.pauseWhenEmpty, yield);
    }
}

bool log_follower_core::readPage(const asio::yield_context &yield)
{
    auto page = m_hooks.read(position, m_settings.pageLimit, m_settings.wait, m_settings.timeout,
                             yield);
    if (m_isStopped)
        return true;
    if (page && page.value().next < position && page.value().first <= position) {
        page = makeFailure(errc::InvalidMessage,
                           "the log ends at " + std::to_string(page.value().next)
                                   + ", before offset " + std::to_string(position));
    }
    if (!page) {
        isCaughtUp = false;
        reportOutage(&page.error());
        return false;
    }
    m_delays.reset();
    reportOutage(nullptr);
    apply(page.value());
    lastRead = steadyNow();
    return true;
}

void log_follower_core::apply(const log_page &page)
{
    skipTo(page.first);
    for (const log_record &entry : page.records) {
        if (m_isStopped)
            return;
        if (entry.offset < position)
            continue;
        skipTo(entry.offset);
        m_hooks.onRecord(entry);
        position = entry.offset + 1;
    }
    const bool isFull = static_cast<int>(page.records.size()) >= m_settings.pageLimit;
    isCaughtUp = !isFull && position >= page.next;
}

void log_follower_core::skipTo(std::int64_t offset)
{
    if (offset <= position)
        return;
    if (m_hooks.onGap)
        m_hooks.onGap(position, offset);
    position = offset;
}

void log_follower_core::reportOutage(const failure *cause)
{
    const bool isOut = cause != nullptr;
    if (isOut == m_isOut)
        return;
    m_isOut = isOut;
    if (m_hooks.onOutage)
        m_hooks.onOutage(cause);
}

void log_follower_core::pause(duration time, const asio::yield_context &yield)
{
    if (m_isStopped)
        return;
    error_code ignored;
    m_pause.expires_after(time);
    m_pause.async_wait(yield[ignored]);
}

} // namespace fescuedeck::detail

namespace fescuedeck {

log_follower::log_follower(boost::asio::io_context &ioContext, log_follower_settings settings,
                           log_follower_hooks hooks, random_fn random)
    : m_core(std::make_shared<detail::log_follower_core>(ioContext, settings, std::move(hooks),
                                                         std::move(random)))
{
}

log_follower::~log_follower()
{
    m_core->stop();
}

void log_follower::start(std::int64_t from)
{
    m_core->start(from);
}

void log_follower::stop()
{
    m_core->stop();
}

std::int64_t log_follower::position() const
{
    return m_core->position;
}

bool log_follower::isCaughtUp() const
{
    return m_core->isCaughtUp;
}

duration log_follower::sinceLastRead(time_point now) const
{
    return std::max(duration::zero(), now - m_core->lastRead.load());
}

} // namespace fescuedeck
