// Each test names the load that it addresses. Loads run in virtual time.
#include <array>
#include <map>
#include <vector>

#include <catch2/catch.hpp>

#include "fescuedeck/admission/rank_queue.h"

using namespace fescuedeck;

namespace {

constexpr double usualWork = 900;
constexpr duration objective = std::chrono::milliseconds(1200);
const time_point start{ std::chrono::hours(1) };

duration seconds(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

// One stream of arrivals at a constant rate.
struct arrivals
{
    int rank = 0;
    std::string workspace;
    double perSecond = 0;
    double from = 0; // seconds
    double until = 0;
    double work = usualWork;
};

struct rank_totals
{
    int arrived = 0;
    int begun = 0;
    double work = 0; // admitted
    double share() const { return arrived == 0 ? 1 : static_cast<double>(begun) / arrived; }
};

// A gateway whose engines complete a constant amount of work per second.
class simulated_load
{
public:
    explicit simulated_load(double servedPerSecond, rank_queue_settings settings = {})
        : m_rate(servedPerSecond)
        , m_queue(settings)
    {
    }

    void run(const std::vector<arrivals> &streams, double untilSeconds)
    {
        constexpr double step = 0.005;
        std::vector<double> due(streams.size(), 0);
        for (double now = 0; now < untilSeconds; now += step) {
            m_now = start + seconds(now);
            for (std::size_t i = 0; i < streams.size(); ++i) {
                if (now < streams[i].from || now >= streams[i].until)
                    continue;
                for (due[i] += streams[i].perSecond * step; due[i] >= 1; due[i] -= 1)
                    arrive(streams[i]);
            }
            const double rate = now >= lossAt ? m_rate * rateAfterLoss : m_rate;
            m_room = m_queue.isEmpty() ? std::min(m_room + rate * step, usualWork)
                                       : m_room + rate * step;
            admit();
        }
    }

    double lossAt = 1e9; // seconds
    double rateAfterLoss = 1;
    bool repeatsAtOnce = false; // a refused client sends its request again
    std::array<rank_totals, rankCount> totals;
    std::map<std::string, double> workOf; // admitted, by workspace
    int lateStarts = 0;

private:
    void arrive(const arrivals &from)
    {
        ++totals[static_cast<std::size_t>(from.rank)].arrived;
        constexpr int repeats = 3;
        for (int i = 0; i < (repeatsAtOnce ? repeats : 1); ++i) {
            const push_result result = m_queue.push(
                    { ++m_lastId, from.workspace, from.rank, from.work, false, m_now + objective },
                    m_now, m_rate);
            if (result.outcome == push_outcome::Waiting)
                return;
        }
    }

    void admit()
    {
        while (const waiting_request *next = m_queue.front()) {
            if (next->latestStart < m_now) {
                ++lateStarts;
                m_queue.remove(next->id);
                continue;
            }
            if (m_room < next->work)
                return;
            m_room -= next->work;
            rank_totals &total = totals[static_cast<std::size_t>(next->rank)];
            ++total.begun;
            total.work += next->work;
            workOf[next->workspace] += next->work;
            m_queue.popFront();
        }
    }

    const double m_rate;
    rank_queue m_queue;
    double m_room = 0;
    time_point m_now = start;
    std::uint64_t m_lastId = 0;
};

waiting_request request(std::uint64_t id, int rank, const std::string &workspace = "w",
                        double work = usualWork)
{
    return { id, workspace, rank, work, false, start + std::chrono::hours(1) };
}

} // namespace

TEST_CASE("Rank queue: requests that have begun come first, then ranks, then arrivals",
          "[admission][rank_queue]")
{
    rank_queue queue;
    queue.push(request(1, 2), start, 0);
    queue.push(request(2, 0, "w", 5000), start, 0);
    queue.push(request(3, 0, "w", 10), start, 0);
    waiting_request begun = request(4, 9);
    begun.hasBegun = true;
    queue.push(begun, start, 0);
    queue.push(request(5, 42), start, 0); // out of range: counts as 9
    std::vector<std::uint64_t> order;
    for (; queue.front() != nullptr; queue.popFront())
        order.push_back(queue.front()->id);
    CHECK(order == std::vector<std::uint64_t>{ 4, 2, 3, 1, 5 });
}

TEST_CASE("Rank queue: a full queue refuses the newest request of the least urgent rank",
          "[admission][rank_queue]")
{
    rank_queue queue({ 0.1, 3 });
    queue.push(request(1, 2, "a"), start, 0);
    queue.push(request(2, 2, "b"), start, 0);
    queue.push(request(3, 1), start, 0);
    CHECK(queue.push(request(4, 2), start, 0).outcome == push_outcome::QueueFull);
    const push_result urgent = queue.push(request(5, 0), start, 0);
    CHECK(urgent.outcome == push_outcome::Waiting);
    CHECK(urgent.displaced == 2u);
    CHECK(queue.size() == 3);
    CHECK_FALSE(queue.remove(2));
    CHECK(queue.remove(1));
    CHECK(queue.workOf(2) == 0);
}

TEST_CASE("Load: a burst of the least urgent kind delays no more urgent request",
          "[admission][rank_queue][load]")
{
    simulated_load load(10 * usualWork);
    load.run({ { 0, "a", 4, 0, 30 }, { 1, "b", 3, 0, 30 }, { 2, "c", 30, 5, 25 } }, 32);
    CHECK(load.totals[0].share() == 1);
    CHECK(load.totals[1].share() == 1);
    CHECK(load.totals[2].share() < 0.5);
}

TEST_CASE("Load: a burst of a middle kind leaves the least urgent one its share",
          "[admission][rank_queue][load]")
{
    simulated_load load(10 * usualWork);
    load.run({ { 0, "a", 4, 0, 40 }, { 1, "b", 40, 0, 40 }, { 2, "c", 10, 0, 40 } }, 40);
    CHECK(load.totals[0].share() > 0.98);
    const double work = load.totals[0].work + load.totals[1].work + load.totals[2].work;
    CHECK(load.totals[2].work > 0.05 * work);
    CHECK(load.totals[1].share() < 0.5);
}

TEST_CASE("Load: all kinds at 2.2 times the usual rate are served in the order of their ranks",
          "[admission][rank_queue][load]")
{
    simulated_load load(10 * usualWork);
    load.run({ { 0, "a", 7, 0, 60 }, { 1, "b", 7, 0, 60 }, { 2, "c", 8, 0, 60 } }, 60);
    CHECK(load.totals[0].share() > 0.95);
    CHECK(load.totals[0].share() > load.totals[1].share());
    CHECK(load.totals[1].share() > load.totals[2].share());
    // Nothing starves, and little that was accepted has waited in vain.
    CHECK(load.totals[2].begun > 0);
    const int arrived = load.totals[0].arrived + load.totals[1].arrived + load.totals[2].arrived;
    CHECK(load.lateStarts < arrived / 20);
}

TEST_CASE("Load: while two ranks wait, the lower one gets its share of the work",
          "[admission][rank_queue][load]")
{
    const double share = GENERATE(0.0, 0.1, 0.5);
    rank_queue queue({ share, 4000 });
    std::uint64_t id = 0;
    for (int i = 0; i < 1000; ++i) {
        queue.push(request(++id, 0, "a", 100), start, 0);
        queue.push(request(++id, 3, "b", 300), start, 0);
        queue.push(request(++id, 7, "c", 50), start, 0);
    }
    std::array<double, rankCount> work{};
    double total = 0;
    while (total < 60000) {
        work[static_cast<std::size_t>(queue.front()->rank)] += queue.front()->work;
        total += queue.front()->work;
        queue.popFront();
    }
    CHECK((work[3] + work[7]) / total == Approx(share).margin(0.01));
    CHECK(work[7] / total == Approx(share * share).margin(0.01));
}

TEST_CASE("Load: one workspace with ten times its usual load takes nothing from the others",
          "[admission][rank_queue][load]")
{
    simulated_load load(10 * usualWork);
    load.run({ { 1, "greedy", 30, 0, 40 }, { 1, "b", 3, 0, 40 }, { 1, "c", 3, 0, 40 } }, 40);
    CHECK(load.workOf["b"] >= 0.95 * 3 * 40 * usualWork);
    CHECK(load.workOf["c"] >= 0.95 * 3 * 40 * usualWork);
}

TEST_CASE("Load: clients that repeat at once gain nothing over the others",
          "[admission][rank_queue][load]")
{
    simulated_load load(10 * usualWork);
    load.repeatsAtOnce = true;
    load.run({ { 0, "a", 5, 0, 30 }, { 2, "c", 40, 0, 30 } }, 30);
    CHECK(load.totals[0].share() > 0.98);
}

TEST_CASE("Load: a service that loses a quarter of its engines sheds the least urgent rank first",
          "[admission][rank_queue][load]")
{
    simulated_load load(10 * usualWork);
    load.lossAt = 10;
    load.rateAfterLoss = 0.75;
    load.run({ { 0, "a", 4, 0, 40 }, { 1, "b", 2, 0, 40 }, { 2, "c", 4, 0, 40 } }, 40);
    CHECK(load.totals[0].share() > 0.98);
    CHECK(load.totals[1].share() > 0.9);
    CHECK(load.totals[2].share() < 0.9);
}

TEST_CASE("Load: equal ranks are served by arrival within a workspace",
          "[admission][rank_queue][load]")
{
    rank_queue queue;
    for (std::uint64_t id = 1; id <= 100; ++id)
        queue.push(request(id, 3, "w", id % 2 == 0 ? 10 : 5000), start, 0);
    for (std::uint64_t id = 1; id <= 100; ++id) {
        REQUIRE(queue.front()->id == id);
        queue.popFront();
    }
}

TEST_CASE("Rank queue: a request that cannot begin in time is refused at once",
          "[admission][rank_queue]")
{
    rank_queue queue;
    waiting_request first = request(1, 1);
    first.latestStart = start + objective;
    CHECK(queue.push(first, start, usualWork).outcome == push_outcome::Waiting);
    waiting_request second = first;
    second.id = 2;
    CHECK(queue.push(second, start, usualWork).outcome == push_outcome::Waiting);
    waiting_request third = first;
    third.id = 3;
    CHECK(queue.push(third, start, usualWork).outcome == push_outcome::TooLate);
    waiting_request urgent = third;
    urgent.rank = 0;
    CHECK(queue.push(urgent, start, usualWork).outcome == push_outcome::Waiting);
    CHECK(queue.predictedWait("w", 1, usualWork, start, 0) == duration::zero());
    CHECK(queue.predictedWait("w", 1, usualWork, start, usualWork) > std::chrono::seconds(2));
}

TEST_CASE("Load: 4, 30 and 142 gateways together admit no more than is free",
          "[admission][rank_queue][load]")
{
    const int gateways = GENERATE(4, 30, 142);
    constexpr double free = 20000;
    constexpr double share = 0.1;
    double urgent = 0;
    double lower = 0;
    for (int i = 0; i < gateways; ++i) {
        // Gateway i has i + 1 requests of each rank.
        const double own = (i + 1) * usualWork;
        const double all = gateways * (gateways + 1) / 2.0 * usualWork;
        urgent += admissibleWork(free, 0, own, all - own, share);
        lower += admissibleWork(free, all, own, all - own, share);
    }
    CHECK(urgent == Approx(free));
    CHECK(lower
          == Approx(std::max(free * share, free - gateways * (gateways + 1) / 2.0 * usualWork)));
    CHECK(admissibleWork(free, 0, usualWork, 0, share) == free);
    CHECK(admissibleWork(0, 0, usualWork, 0, share) == 0);
}
