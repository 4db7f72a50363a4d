#include "fescuedeck/gateway/admission_control.h"

#include <memory>
#include <vector>

#include <catch2/catch.hpp>

#include "fescuedeck/gateway/retry_after.h"
#include "fescuedeck/net/test_io.h"

namespace fescuedeck {
namespace {

using namespace std::chrono_literals;

constexpr double work = 900;

// Requests of one gateway for a service whose caches are filled to a share that the test sets.
class admission_fixture
{
public:
    admission_request request(int rank, duration time = 10s)
    {
        admission_request request;
        request.service = "model";
        request.workspace = "w";
        request.rank = rank;
        request.work = work;
        request.latestStart = steadyNow() + time;
        request.firstFill = fill.value_or(0);
        request.fill = [this] { return fill; };
        request.freeTokens = [this](double) { return free; };
        request.hasCallerLeft = [this] { return hasCallerLeft; };
        return request;
    }

    // Starts a coroutine that asks for admission and records its outcome under the name.
    void start(const std::string &name, const admission_request &request)
    {
        boost::asio::spawn(io.context(), [this, name, request](boost::asio::yield_context yield) {
            const admission_outcome outcome = control.admit(request, yield);
            outcomes[name] = outcome;
            order.push_back(name);
            if (outcome == admission_outcome::Admitted)
                fill = fillAfterAdmission;
        });
    }

    // Waits until the outcomes of that many requests are known.
    void waitForOutcomes(std::size_t count, boost::asio::yield_context yield)
    {
        const time_point limit = steadyNow() + 10s;
        while (outcomes.size() < count && steadyNow() < limit)
            sleepFor(5ms, yield);
    }

    std::string metricsText() const { return counters.prometheusText(); }

    test_io io{ 1 };
    gateway_settings settings;
    metrics counters;
    random_fn random = seededRandom(1);
    admission_control control{ settings, counters, random };
    std::optional<double> fill = 1.5;
    double fillAfterAdmission = 1.5; // one request takes the room that was free
    double free = 0;
    bool hasCallerLeft = false;
    std::map<std::string, admission_outcome> outcomes;
    std::vector<std::string> order;
};

} // namespace

// Guards against requests that begin in the order of their polling timers.
TEST_CASE("room goes to the most urgent waiting request, whoever came first", "[gateway]")
{
    admission_fixture test;
    test.settings.lowerRankShare = 0;
    test.io.run([&](boost::asio::yield_context yield) {
        test.start("low", test.request(2));
        test.start("middle", test.request(1));
        test.start("high", test.request(0));
        sleepFor(50ms, yield);
        CHECK(test.order.empty());
        CHECK(test.control.waiting()
              == waiting_work{ { { "model", 0 }, work },
                               { { "model", 1 }, work },
                               { { "model", 2 }, work } });
        CHECK(test.metricsText().find(R"(fescuedeck_admission_waiting{service="model",rank="2"} 1)")
              != std::string::npos);
        for (std::size_t i = 1; i <= 3; ++i) {
            test.fill = 0.5;
            test.control.onRoomChanged();
            test.waitForOutcomes(i, yield);
        }
        return 0;
    });
    CHECK(test.order == std::vector<std::string>{ "high", "middle", "low" });
    CHECK(test.control.waiting().empty());
}

// Guards against refusals while chains can still serve, and against a less urgent request that is
// the first to accept a fuller cache. Load: all chains are slightly over full for long.
TEST_CASE("three ranks wait for chains that stay slightly over full; none is refused", "[gateway]")
{
    admission_fixture test;
    const double slightlyOverFull = 1.2;
    test.fill = slightlyOverFull;
    test.fillAfterAdmission = slightlyOverFull;
    test.io.run([&](boost::asio::yield_context yield) {
        // So much work in flight takes so long that no further request is predicted to be in time.
        for (int i = 0; i < 5; ++i) {
            running_work answered(test.control, "model", 1);
            sleepFor(10ms, yield);
            answered.setAnswered();
        }
        const running_work inFlight(test.control, "model", 1);
        for (int i = 0; i < 4; ++i) {
            test.start("low", test.request(2, 1s));
            test.start("middle", test.request(1, 1s));
            test.start("high", test.request(0, 1s));
        }
        while (test.order.size() < 12 && !test.control.waiting().empty())
            sleepFor(5ms, yield);
        return 0;
    });
    std::vector<std::string> expected;
    for (const char *name : { "high", "middle", "low" })
        expected.insert(expected.end(), 4, name);
    CHECK(test.order == expected);
    CHECK(test.metricsText().find("fescuedeck_admission_refused_total") == std::string::npos);
}

// Guards against a queue in which nobody looks for room, because the front has changed without
// being woken.
TEST_CASE("a request that becomes the front when another one arrives is woken", "[gateway]")
{
    admission_fixture test;
    test.settings.lowerRankShare = 0.5;
    test.io.run([&](boost::asio::yield_context yield) {
        test.start("first high", test.request(0));
        test.start("low", test.request(1));
        sleepFor(30ms, yield);
        test.fill = 0.5;
        test.waitForOutcomes(1, yield);
        // The next one is the lower rank's by its share.
        test.start("high", test.request(0));
        sleepFor(30ms, yield);
        test.settings.lowerRankShare = 0;
        test.start("lowest", test.request(2));
        sleepFor(30ms, yield);
        test.fill = 0.5;
        sleepFor(200ms, yield);
        CHECK(test.order == std::vector<std::string>{ "first high", "high" });
        test.hasCallerLeft = true;
        test.control.onCallerLeft("model");
        test.waitForOutcomes(4, yield);
        return 0;
    });
}

// Guards against requests that are held although they can no longer be served.
TEST_CASE("a request whose time has passed is refused, and the next one takes its place",
          "[gateway]")
{
    admission_fixture test;
    test.io.run([&](boost::asio::yield_context yield) {
        test.start("first", test.request(0, 300ms));
        test.start("second", test.request(1, 60s));
        test.waitForOutcomes(1, yield);
        CHECK(test.outcomes.at("first") == admission_outcome::Refused);
        test.fill = 0.5;
        test.waitForOutcomes(2, yield);
        CHECK(test.outcomes.at("second") == admission_outcome::Admitted);
        return 0;
    });
    const std::string refused
            = R"(fescuedeck_admission_refused_total{service="model",rank="0",reason="expired"} 1)";
    CHECK(test.metricsText().find(refused) != std::string::npos);
}

// Guards against queues that only wait for engines that are gone, and for callers that have left.
TEST_CASE("requests leave the queue if no destination is usable or the caller has left",
          "[gateway]")
{
    admission_fixture test;
    test.io.run([&](boost::asio::yield_context yield) {
        test.start("first", test.request(0));
        test.start("second", test.request(0));
        sleepFor(30ms, yield);
        test.hasCallerLeft = true;
        test.control.onCallerLeft("model");
        test.waitForOutcomes(2, yield);
        CHECK(test.outcomes.at("second") == admission_outcome::CallerLeft);
        test.hasCallerLeft = false;
        test.start("third", test.request(0));
        sleepFor(30ms, yield);
        test.fill.reset();
        test.waitForOutcomes(3, yield);
        CHECK(test.outcomes.at("third") == admission_outcome::NoDestination);
        return 0;
    });
    CHECK(test.control.waiting().empty());
}

// Guards against gateways that each take all free capacity, against less urgent requests that
// overtake those waiting at peers, and against capacity that stays unused after a peer has died.
TEST_CASE("free capacity is shared with the work that waits at peers", "[gateway]")
{
    admission_fixture test;
    test.fill = 0.5;
    test.free = 4 * work;
    test.settings.lowerRankShare = 0;
    test.io.run([&](boost::asio::yield_context yield) {
        test.control.setPeersWaiting({ { { "model", 0 }, 100 * work } });
        test.start("low", test.request(1));
        sleepFor(50ms, yield);
        CHECK(test.order.empty());
        test.control.setPeersWaiting({});
        test.waitForOutcomes(1, yield);
        CHECK(test.outcomes.at("low") == admission_outcome::Admitted);
        test.fill = 0.5;
        // Less urgent work at peers does not delay this request.
        test.control.setPeersWaiting({ { { "model", 2 }, 100 * work } });
        test.start("high", test.request(1));
        test.waitForOutcomes(2, yield);
        CHECK(test.outcomes.at("high") == admission_outcome::Admitted);
        // A small part of the free capacity adds up until it suffices for a request.
        test.fill = 0.5;
        test.control.setPeersWaiting({ { { "model", 1 }, 9 * work } });
        test.start("equal", test.request(1));
        test.waitForOutcomes(3, yield);
        CHECK(test.outcomes.at("equal") == admission_outcome::Admitted);
        return 0;
    });
}

// Guards against changed waits in deployments without ranks: the wait ends at once when there is
// room, and at its limit a chain that is not much too full is accepted.
TEST_CASE("without ranks a request waits for room on its own", "[gateway]")
{
    admission_fixture test;
    const double after = GENERATE(0.9, 1.2, 1.5);
    test.io.run([&](boost::asio::yield_context yield) {
        boost::asio::spawn(test.io.context(), [&](boost::asio::yield_context other) {
            sleepFor(50ms, other);
            test.fill = after;
        });
        const admission_request request = test.request(9, after <= 1 ? 60s : 300ms);
        const admission_outcome outcome = test.control.waitForRoom(request, yield);
        CHECK((outcome == admission_outcome::Admitted) == (after <= 1.3));
        const bool hasWaitedToTheEnd = steadyNow() >= request.latestStart;
        CHECK(hasWaitedToTheEnd == (after > 1));
        return 0;
    });
    CHECK(test.control.waiting().empty());
    CHECK(test.metricsText().find("fescuedeck_admission") == std::string::npos);
}

// Guards against callers of less urgent ranks that return before the others and take their room.
TEST_CASE("refused callers return in the order of urgency", "[gateway]")
{
    const random_fn random = seededRandom(1);
    duration latest{};
    for (int rank = 0; rank < rankCount; ++rank) {
        duration least = 1h;
        duration most{};
        for (int i = 0; i < 100; ++i) {
            const duration delay = retryAfterForRank(rank, {}, random);
            least = std::min(least, delay);
            most = std::max(most, delay);
        }
        CHECK(least >= 800ms);
        CHECK(least >= latest);
        CHECK(most > least);
        latest = most;
    }
    CHECK(retryAfterForRank(0, 3s, random) >= 3s);
    CHECK(retryAfterForRank(0, 1h, random) < 10s);
}

} // namespace fescuedeck
