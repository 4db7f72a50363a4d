#include "fescuedeck/clients/log_follower.h"

#include <mutex>

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include "fescuedeck/net/test_io.h"

namespace fescuedeck {
namespace {

using page_result = result<log_page>;

log_page page(const std::vector<std::int64_t> &offsets, std::int64_t next, std::int64_t first = 0)
{
    log_page made;
    made.next = next;
    made.first = first;
    for (const std::int64_t offset : offsets)
        made.records.push_back({ offset, "id", unix_millis(0), "{}" });
    return made;
}

// Follows a log that gives the scripted pages and then empty ones, and writes down the events.
class followed_script
{
public:
    explicit followed_script(std::vector<page_result> script)
        : m_script(std::move(script))
        , m_follower(m_io.context(), settings(), hooks(), seededRandom(1))
    {
    }
    ~followed_script()
    {
        m_follower.stop();
        m_io.stop();
    }

    std::vector<std::string> eventsFrom(std::int64_t from)
    {
        m_follower.start(from);
        REQUIRE(eventually([&] {
            const std::lock_guard lock(m_mutex);
            return m_reads > m_script.size() + 1;
        }));
        const std::lock_guard lock(m_mutex);
        return m_events;
    }

    log_follower &follower() { return m_follower; }

private:
    static log_follower_settings settings()
    {
        log_follower_settings fast;
        fast.retry = { duration(1), duration(2) };
        fast.pauseWhenEmpty = duration(1);
        return fast;
    }

    log_follower_hooks hooks()
    {
        log_follower_hooks hooks;
        hooks.read = [this](std::int64_t from, int, duration, duration,
                            boost::asio::yield_context) -> page_result {
            const std::lock_guard lock(m_mutex);
            const std::size_t read = m_reads++;
            return read < m_script.size() ? m_script[read] : page_result(page({}, from));
        };
        hooks.onRecord = [this](const log_record &entry) { note(std::to_string(entry.offset)); };
        hooks.onGap = [this](std::int64_t from, std::int64_t to) {
            note("gap " + std::to_string(from) + "-" + std::to_string(to));
        };
        hooks.onOutage = [this](const failure *cause) { note(cause ? "down" : "up"); };
        return hooks;
    }

    void note(const std::string &event)
    {
        const std::lock_guard lock(m_mutex);
        m_events.push_back(event);
    }

    std::mutex m_mutex;
    std::vector<std::string> m_events;
    std::size_t m_reads = 0;
    const std::vector<page_result> m_script;
    test_io m_io;
    log_follower m_follower;
};

using events = std::vector<std::string>;

} // namespace

TEST_CASE("records are passed on once, in order", "[clients]")
{
    // The second page overlaps the first, as after a repeated read.
    followed_script log({ page({ 2, 3 }, 4), page({ 3, 4 }, 5) });
    CHECK(log.eventsFrom(2) == events{ "2", "3", "4" });
    CHECK(log.follower().position() == 5);
    CHECK(log.follower().isCaughtUp());
}

TEST_CASE("a gap is reported", "[clients]")
{
    // Guards against folding a stream whose start the log no longer keeps as if it were complete.
    followed_script log({ page({ 5 }, 6, 5), page({ 8 }, 9, 5) });
    CHECK(log.eventsFrom(1) == events{ "gap 1-5", "5", "gap 6-8", "8" });
}

TEST_CASE("an outage is survived without loss", "[clients]")
{
    const failure down = makeFailure(errc::LogUnavailable, "scripted");
    // A page that ends before the position comes from a log that has lost records or lags.
    followed_script log({ page({ 0 }, 1), down, down, page({}, 0), page({ 1 }, 2), down });
    CHECK(log.eventsFrom(0) == events{ "0", "down", "up", "1", "down", "up" });
}

TEST_CASE("the age of the last successful read grows during an outage", "[clients]")
{
    test_io io;
    std::atomic<int> reads{ 0 };
    log_follower_hooks hooks;
    hooks.read = [&](std::int64_t, int, duration, duration,
                     boost::asio::yield_context) -> page_result {
        ++reads;
        return makeFailure(errc::LogUnavailable, "scripted");
    };
    log_follower follower(io.context(), {}, hooks, seededRandom(1));
    follower.start(0);
    REQUIRE(eventually([&] { return reads > 1; }));
    CHECK_FALSE(follower.isCaughtUp());
    CHECK(follower.sinceLastRead(steadyNow() + std::chrono::seconds(30))
          >= std::chrono::seconds(30));
    io.stop();
}

} // namespace fescuedeck
