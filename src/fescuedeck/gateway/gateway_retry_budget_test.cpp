#include "fescuedeck/gateway/gateway_retry_budget.h"

#include <algorithm>
#include <cstdint>
#include <numeric>
#include <optional>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "fescuedeck/base/random.h"

namespace fescuedeck {
namespace {

const time_point start{ std::chrono::hours(1) };
const time_point longAgo = time_point::min();
const retry_budget_limits limits{ 0.2, 100, std::chrono::seconds(10) };

gateway_retry_budget budgetWith(double fraction, retry_budget_limits ofDeployment = limits)
{
    gateway_retry_budget budget(ofDeployment);
    budget.setDueFraction(fraction, longAgo);
    return budget;
}

int takeAll(gateway_retry_budget &budget, time_point now)
{
    int taken = 0;
    while (budget.takeRetry("s", now))
        ++taken;
    return taken;
}

// Hosts whose gateways start, join the table of gateways, read it late, die and start again, and
// that take and lend every retry they can.
class changing_deployment
{
public:
    explicit changing_deployment(std::uint64_t seed)
        : m_random(seededRandom(seed))
    {
    }

    void change(time_point now)
    {
        if (m_hosts.size() < maxHosts && uniformReal(m_random) < 0.02)
            addHost();
        for (host &each : m_hosts) {
            if (!each.budget && uniformReal(m_random) < 0.03)
                start(each, now);
            else if (each.budget && uniformReal(m_random) < 0.002)
                each.budget.reset();
            if (each.budget)
                join(each, now);
        }
    }

    // Returns the number of retries used.
    int useRetries(time_point now)
    {
        int used = 0;
        for (host &each : m_hosts) {
            if (!each.budget || uniformReal(m_random) < 0.9)
                continue;
            borrow(each, now);
            used += takeAll(*each.budget, now);
        }
        return used;
    }

    double sumOfFractions(time_point now) const
    {
        double sum = 0;
        for (const host &each : m_hosts)
            sum += each.budget ? each.budget->fraction(now) : 0;
        return sum;
    }

    void startAll(time_point now)
    {
        for (host &each : m_hosts) {
            if (!each.budget)
                start(each, now);
            join(each, now);
        }
    }

private:
    static constexpr std::size_t maxHosts = 20;

    struct host
    {
        std::optional<gateway_retry_budget> budget; // none while the gateway does not run
        time_point startedAt{};
        duration readLag{};
        double joinChance = 1; // in each step; small while the store accepts few writes
        std::optional<time_point> joinedAt; // when the host was written to the table
    };

    void addHost()
    {
        host added;
        added.joinChance = uniformReal(m_random) < 0.5 ? 0.1 : 0.002;
        m_hosts.push_back(std::move(added));
    }

    void start(host &each, time_point now)
    {
        each.budget.emplace(retry_budget_limits{ 0, limits.sharedRetries, limits.window });
        each.startedAt = now;
        constexpr duration maxReadLag = std::chrono::milliseconds(1900);
        each.readLag = std::chrono::duration_cast<duration>(maxReadLag * uniformReal(m_random));
    }

    void join(host &each, time_point now)
    {
        const time_point readUntil = now - each.readLag;
        if (readUntil < each.startedAt)
            return;
        if (!each.joinedAt && uniformReal(m_random) < each.joinChance)
            each.joinedAt = now;
        int inTable = 0;
        for (const host &other : m_hosts)
            inTable += other.joinedAt && *other.joinedAt <= readUntil ? 1 : 0;
        const bool isInTable = each.joinedAt && *each.joinedAt <= readUntil;
        each.budget->setDueFraction(fixedRetriesFraction(isInTable, inTable), now);
    }

    void borrow(host &borrower, time_point now)
    {
        host &lender = m_hosts[uniformBelow(m_random, m_hosts.size())];
        constexpr int loanSize = 4;
        const bool isLent
                = &lender != &borrower && lender.budget && lender.budget->lend("s", loanSize, now);
        if (isLent)
            borrower.budget->addLoan("s", loanSize, now);
    }

    random_fn m_random;
    std::vector<host> m_hosts;
};

} // namespace

TEST_CASE("gateways share the fixed retries, and each service has its own budget", "[gateway]")
{
    gateway_retry_budget budget = budgetWith(0.25);
    CHECK(takeAll(budget, start) == 22); // nine tenths of a quarter of 100
    CHECK(budget.available("other", start) > 22);
}

// Guards against a budget that refills slowly. If many streams lose their engine about one window
// after many others did, they would find no retries, and their callers would disconnect.
TEST_CASE("used retries are available again one window later", "[gateway]")
{
    gateway_retry_budget budget = budgetWith(0.25);
    CHECK(takeAll(budget, start) == 22);
    CHECK(takeAll(budget, start + std::chrono::seconds(10)) == 0);
    CHECK(takeAll(budget, start + std::chrono::milliseconds(11300)) == 22);
}

// Guards against gateways whose parts add up to more than the limit of the deployment, because some
// count themselves before the others do, or divide by what they cannot know.
TEST_CASE("each gateway in the table has an equal part of the fixed retries", "[gateway]")
{
    CHECK(fixedRetriesFraction(true, 4) == Approx(0.25));
    CHECK(fixedRetriesFraction(true, 1) == Approx(1));
    CHECK(fixedRetriesFraction(false, 4) == 0);
    CHECK(fixedRetriesFraction(false, 0) == 0);
}

TEST_CASE("a smaller fraction applies at once and a larger one after more than a window",
          "[gateway]")
{
    gateway_retry_budget budget = budgetWith(0.25);
    budget.setDueFraction(0.1, start);
    CHECK(budget.fraction(start) == Approx(0.1));
    budget.setDueFraction(0.5, start + std::chrono::seconds(5));
    CHECK(budget.fraction(start + std::chrono::seconds(17)) == Approx(0.1));
    CHECK(budget.fraction(start + std::chrono::seconds(20)) == Approx(0.5));
}

// Guards against a gateway that uses its fixed retries again after a restart, and against a start
// of hundreds of gateways that each take a part before they know how many they are.
TEST_CASE("a gateway that has just started has no fixed retries", "[gateway]")
{
    gateway_retry_budget budget(limits);
    CHECK(budget.available("s", start) <= 0);
    budget.setDueFraction(0.25, start);
    CHECK(budget.available("s", start + limits.window) <= 0);
    CHECK(takeAll(budget, start + std::chrono::seconds(15)) == 22);
}

// Guards against parts that add up to more than the limit in small and large deployments, or that
// are lost in rounding.
TEST_CASE("equal parts use the fixed retries in deployments of any size", "[gateway]")
{
    for (const int gateways : { 4, 35, 118, 640 }) {
        gateway_retry_budget budget({ 0, 774, std::chrono::seconds(10) });
        CHECK(budget.available("s", start) <= 0);
        budget.setDueFraction(fixedRetriesFraction(true, gateways), start);
        const time_point afterDelay = start + std::chrono::seconds(15);
        CHECK(budget.available("s", afterDelay) * gateways <= 774);
        CHECK(budget.available("s", afterDelay) * gateways > 600);
    }
}

TEST_CASE("requests in the window add their share to the budget", "[gateway]")
{
    gateway_retry_budget budget = budgetWith(0.01);
    for (int i = 0; i < 200; ++i)
        budget.recordRequest("s", start);
    CHECK(takeAll(budget, start) == 36);
    CHECK(takeAll(budget, start + std::chrono::seconds(12)) == 0);
}

// Guards against breaking the limit of the deployment. In every window, the retries of all gateways
// together must not exceed a share of the requests in it plus the fixed retries.
TEST_CASE("gateways that take every retry they can stay within the limit in every window",
          "[gateway]")
{
    const random_fn random = seededRandom(7);
    constexpr int gateways = 4;
    std::vector<gateway_retry_budget> budgets(gateways, budgetWith(1.0 / gateways));
    constexpr duration step = std::chrono::milliseconds(50);
    constexpr int steps = 1200;
    std::vector<int> requests(steps);
    std::vector<int> retries(steps);
    for (int i = 0; i < steps; ++i) {
        const time_point now = start + i * step;
        for (gateway_retry_budget &budget : budgets) {
            const bool isRequest = uniformReal(random) < 0.8;
            const bool isBurst = uniformReal(random) < 0.02;
            if (isRequest)
                budget.recordRequest("s", now);
            requests[i] += isRequest ? 1 : 0;
            retries[i] += isBurst ? takeAll(budget, now) : 0;
        }
    }
    const auto window = static_cast<int>(limits.window / step);
    for (int begin = 0; begin + window <= steps; ++begin) {
        int requestsIn = 0;
        int retriesIn = 0;
        for (int i = begin; i < begin + window; ++i) {
            requestsIn += requests[i];
            retriesIn += retries[i];
        }
        // Windows at the start of the traffic contain few requests, but the limit holds there as
        // well.
        REQUIRE(retriesIn <= limits.share * requestsIn + limits.sharedRetries);
    }
}

// Guards against more retries than the deployment may have while gateways start, join, die and
// return in any order, and read the table of gateways at different times.
TEST_CASE("the parts of all gateways add up to at most the limit in every window", "[gateway]")
{
    const int seed = GENERATE(range(1, 21));
    CAPTURE(seed);
    changing_deployment deployment(seed);
    constexpr duration step = std::chrono::milliseconds(50);
    constexpr int steps = 1200;
    std::vector<int> retries(steps);
    for (int i = 0; i < steps; ++i) {
        const time_point now = start + i * step;
        deployment.change(now);
        REQUIRE(deployment.sumOfFractions(now) < 1.001);
        retries[i] = deployment.useRetries(now);
    }
    const auto window = static_cast<int>(limits.window / step);
    for (int begin = 0; begin + window <= steps; ++begin) {
        const auto first = retries.begin() + begin;
        REQUIRE(std::accumulate(first, first + window, 0) <= limits.sharedRetries);
    }
    constexpr int calmSteps = 4000;
    time_point now = start + steps * step;
    for (int i = 0; i < calmSteps; ++i, now += step)
        deployment.startAll(now);
    CHECK(deployment.sumOfFractions(now) == Approx(1));
}

} // namespace fescuedeck
