#include "fescuedeck/clients/log_appender.h"

#include <future>
#include <memory>
#include <mutex>
#include <set>

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "fescuedeck/net/http_server.h"
#include "fescuedeck/net/test_io.h"

namespace fescuedeck {
namespace {

using id_list = std::vector<std::string>;

// A log whose answers a test scripts; keeps the ids of each append.
class scripted_log
{
public:
    using answer_fn = std::function<log_append_result(const id_list &, boost::asio::yield_context)>;

    explicit scripted_log(answer_fn answer)
        : m_answer(std::move(answer))
    {
    }

    append_fn hook()
    {
        return [this](const std::string &, const std::vector<log_append> &records, duration,
                      boost::asio::yield_context yield) {
            id_list ids;
            for (const log_append &record : records)
                ids.push_back(record.id);
            {
                const std::lock_guard lock(m_mutex);
                m_appends.push_back(ids);
            }
            return m_answer(ids, yield);
        };
    }

    std::vector<id_list> appends()
    {
        const std::lock_guard lock(m_mutex);
        return m_appends;
    }

private:
    std::mutex m_mutex;
    answer_fn m_answer;
    std::vector<id_list> m_appends;
};

log_append_result stored(const id_list &ids, std::int64_t first)
{
    std::vector<std::int64_t> offsets;
    for (std::size_t i = 0; i < ids.size(); ++i)
        offsets.push_back(first + static_cast<std::int64_t>(i));
    return { offsets, true };
}

log_append_result lost(bool mayHaveLanded)
{
    return { makeFailure(errc::LogUnavailable, "scripted"), mayHaveLanded };
}

void waitUntil(const std::function<bool()> &condition, boost::asio::yield_context yield)
{
    boost::asio::steady_timer timer(detail::executorOf(yield));
    while (!condition()) {
        timer.expires_after(std::chrono::milliseconds(1));
        timer.async_wait(yield);
    }
}

append_outcome appendOne(test_io &io, log_appender &appender, const std::string &id,
                         duration timeout = testWaitLimit)
{
    return io.run([&](boost::asio::yield_context yield) {
        return appender.append("control", { id, "{}" }, timeout, yield);
    });
}

} // namespace

TEST_CASE("records that wait for a stream go into one append", "[clients]")
{
    std::atomic<bool> mayAnswer{ false };
    std::atomic<int> inFlight{ 0 };
    std::atomic<int> mostInFlight{ 0 };
    std::atomic<int> nextOffset{ 0 };
    scripted_log log([&](const id_list &ids, boost::asio::yield_context yield) {
        mostInFlight = std::max(mostInFlight.load(), ++inFlight);
        waitUntil([&] { return mayAnswer.load(); }, yield);
        --inFlight;
        return stored(ids, nextOffset.fetch_add(static_cast<int>(ids.size())));
    });
    test_io io;
    log_appender appender(io.context(), log.hook(), {}, seededRandom(1));
    std::vector<std::shared_ptr<awaited_value<std::int64_t>>> offsets;
    for (int i = 0; i < 20; ++i) {
        auto offset = std::make_shared<awaited_value<std::int64_t>>();
        offsets.push_back(offset);
        boost::asio::spawn(io.context(), [&, i, offset](boost::asio::yield_context yield) {
            const log_append record = { "r" + std::to_string(i), "{}" };
            const auto outcome = appender.append("control", record, testWaitLimit, yield);
            offset->set(outcome.offset ? outcome.offset.value() : -1);
        });
        if (i == 0)
            REQUIRE(eventually([&] { return inFlight == 1; }));
    }
    mayAnswer = true;
    std::set<std::int64_t> distinct;
    for (const auto &offset : offsets)
        distinct.insert(offset->wait());
    CHECK(distinct.size() == 20);
    CHECK(*distinct.begin() == 0);
    CHECK(mostInFlight == 1);
    CHECK(log.appends().size() < 20);
}

TEST_CASE("an append with a lost answer is repeated with the same ids", "[clients]")
{
    // Guards against a second record for one decision, which a fold could not recognise.
    std::mutex mutex;
    std::vector<std::string> storedIds;
    test_io io;
    http_server server(io.context(), {}, [&](http_exchange &exchange) {
        const auto body = nlohmann::json::parse(exchange.request().body);
        const std::lock_guard lock(mutex);
        storedIds.push_back(body["records"][0]["id"]);
        if (storedIds.size() == 1) {
            exchange.startStream({}); // an answer that breaks off
            return;
        }
        exchange.respond({ 200, {}, R"({"offsets":[41]})" });
    });
    REQUIRE_FALSE(server.listen("127.0.0.1:0"));
    http_client client(io.context());
    log_client log(client, loopback(server.port()));
    const append_fn append = [&](const std::string &stream, const std::vector<log_append> &records,
                                 duration timeout, boost::asio::yield_context yield) {
        return log.tryAppend(stream, records, timeout, yield);
    };
    log_appender appender(io.context(), append, {}, seededRandom(1));
    const auto outcome = appendOne(io, appender, "only");
    REQUIRE(outcome.offset);
    CHECK(outcome.offset.value() == 41);
    CHECK(storedIds == id_list{ "only", "only" });
}

TEST_CASE("a record that misses its deadline is reported truthfully", "[clients]")
{
    // Guards against "not run" while a claim may still land, and against sending it afterwards.
    const bool mayHaveLanded = GENERATE(false, true);
    scripted_log log([&](const id_list &ids, boost::asio::yield_context) {
        return ids.front() == "late" ? lost(mayHaveLanded) : stored(ids, 5);
    });
    // With one thread and this pause the first append ends before the deadline and the second one
    // comes after it, however slow the machine is.
    test_io io(1);
    log_appender_settings settings;
    settings.retry = { std::chrono::milliseconds(200), std::chrono::milliseconds(200) };
    log_appender appender(io.context(), log.hook(), settings, seededRandom(1));
    const auto outcome = appendOne(io, appender, "late", std::chrono::milliseconds(50));
    REQUIRE_FALSE(outcome.offset);
    CHECK(outcome.offset.error().code == errc::LogUnavailable);
    CHECK(outcome.mayStillLand == mayHaveLanded);
    CHECK(appendOne(io, appender, "next").offset.value() == 5);
    CHECK(log.appends() == std::vector<id_list>{ { "late" }, { "next" } });
}

TEST_CASE("a deadline during an append reports that the record may land", "[clients]")
{
    std::atomic<bool> mayAnswer{ false };
    scripted_log log([&](const id_list &, boost::asio::yield_context yield) {
        waitUntil([&] { return mayAnswer.load(); }, yield);
        return lost(false);
    });
    test_io io(1); // the append begins before any timer is handled
    log_appender appender(io.context(), log.hook(), {}, seededRandom(1));
    const auto outcome = appendOne(io, appender, "slow", std::chrono::milliseconds(50));
    CHECK_FALSE(outcome.offset);
    CHECK(outcome.mayStillLand);
    mayAnswer = true;
}

TEST_CASE("a record that the log refuses does not hold up the others", "[clients]")
{
    std::atomic<int> waiting{ 0 };
    scripted_log log([&](const id_list &ids, boost::asio::yield_context yield) {
        waitUntil([&] { return waiting == 8; }, yield);
        const bool hasBad = std::find(ids.begin(), ids.end(), "r5") != ids.end();
        if (hasBad)
            return log_append_result{ makeFailure(errc::InvalidRequest, "scripted"), false };
        return stored(ids, 0);
    });
    test_io io;
    log_appender appender(io.context(), log.hook(), {}, seededRandom(1));
    std::vector<std::future<append_outcome>> outcomes;
    for (int i = 0; i < 8; ++i) {
        outcomes.push_back(std::async(std::launch::async, [&, i] {
            ++waiting;
            return appendOne(io, appender, "r" + std::to_string(i));
        }));
    }
    for (int i = 0; i < 8; ++i) {
        const auto outcome = outcomes[static_cast<std::size_t>(i)].get();
        CHECK(outcome.offset.has_value() == (i != 5));
        CHECK_FALSE(outcome.mayStillLand);
    }
}

} // namespace fescuedeck
