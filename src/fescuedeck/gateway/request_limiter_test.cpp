#include "fescuedeck/gateway/request_limiter.h"

#include <algorithm>
#include <cstddef>
#include <vector>

#include <catch2/catch.hpp>

#include "fescuedeck/base/random.h"

namespace fescuedeck {
namespace {

const time_point start{ std::chrono::hours(1) };
const std::string engine = "e1@1";
constexpr duration step = std::chrono::milliseconds(1);

// Gateways that send requests to one endpoint at random times and exchange reports.
class limited_endpoint
{
public:
    // rates: requests per second that each gateway wants to send.
    explicit limited_endpoint(std::vector<double> rates)
        : m_rates(std::move(rates))
    {
        for (std::size_t i = 0; i < m_rates.size(); ++i)
            m_gateways.emplace_back(seededRandom(i + 1));
    }

    // The endpoint states this limit from now on, in a response to the first gateway.
    void state(double perSecond) { m_gateways[0].observe(engine, perSecond, m_now); }

    void run(duration time)
    {
        for (const time_point end = m_now + time; m_now < end; m_now += step) {
            for (std::size_t i = 0; i < m_gateways.size(); ++i)
                sendAtRandom(i);
            if ((m_now - start) % exchangeInterval < step)
                exchange();
        }
    }

    // Greatest number of requests within four seconds.
    int mostInWindow(duration window = std::chrono::seconds(4)) const
    {
        int most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < m_sent.size(); ++last) {
            while (m_sent[last] - m_sent[first] > window)
                ++first;
            most = std::max(most, static_cast<int>(last - first + 1));
        }
        return most;
    }

    void forget() { m_sent.clear(); }
    int sent() const { return static_cast<int>(m_sent.size()); }
    std::vector<double> &rates() { return m_rates; }

private:
    static constexpr duration exchangeInterval = std::chrono::milliseconds(300);

    void sendAtRandom(std::size_t i)
    {
        if (uniformReal(m_random) >= m_rates[i] * std::chrono::duration<double>(step).count())
            return;
        request_limiter &limits = m_gateways[i];
        limits.recordDemand(engine, m_now);
        if (!limits.allows(engine, m_now))
            return;
        limits.take(engine, m_now);
        m_sent.push_back(m_now);
    }

    void exchange()
    {
        std::vector<request_limit_reports> reports;
        for (const request_limiter &gateway : m_gateways)
            reports.push_back(gateway.reports(m_now));
        for (std::size_t i = 0; i < m_gateways.size(); ++i) {
            std::map<std::string, double> demand;
            for (std::size_t other = 0; other < reports.size(); ++other) {
                if (other == i)
                    continue;
                m_gateways[i].merge(reports[other], m_now);
                for (const auto &[incarnation, report] : reports[other])
                    demand[incarnation] += report.demand;
            }
            m_gateways[i].setPeerDemand(demand);
        }
    }

    std::vector<double> m_rates;
    std::vector<request_limiter> m_gateways;
    random_fn m_random = seededRandom(1000);
    time_point m_now = start;
    std::vector<time_point> m_sent;
};

// One and a half times the limit and five more within four seconds.
double mostAllowed(double perSecond)
{
    return 1.5 * 4 * perSecond + 5;
}

} // namespace

// Guards against gateways that each keep to the limit and exceed it together.
TEST_CASE("gateways together stay within the limit of an endpoint and use most of it", "[gateway]")
{
    const double limit = GENERATE(1.0, 2.5, 10.0);
    const std::vector<double> rates
            = GENERATE(std::vector<double>{ 19 }, std::vector<double>{ 15, 2, 0.5, 9 },
                       std::vector<double>(40, 0.4), std::vector<double>(118, 2.8));
    limited_endpoint endpoint(rates);
    endpoint.run(std::chrono::seconds(4));
    endpoint.state(limit);
    endpoint.run(std::chrono::seconds(3));
    endpoint.forget();
    constexpr int seconds = 20;
    endpoint.run(std::chrono::seconds(seconds));
    CHECK(endpoint.mostInWindow() <= mostAllowed(limit));
    CHECK(endpoint.sent() >= 0.6 * limit * seconds);
    SECTION("also when the demand moves between gateways")
    {
        std::reverse(endpoint.rates().begin(), endpoint.rates().end());
        endpoint.run(std::chrono::seconds(seconds));
        CHECK(endpoint.mostInWindow() <= mostAllowed(limit));
    }
}

TEST_CASE("an endpoint without a limit gets all requests", "[gateway]")
{
    limited_endpoint endpoint({ 10, 10 });
    endpoint.run(std::chrono::seconds(10));
    CHECK(endpoint.sent() > 150);
}

TEST_CASE("the newest response decides whether there is a limit, on all gateways", "[gateway]")
{
    request_limiter first(seededRandom(1));
    request_limiter second(seededRandom(2));
    CHECK(first.observe(engine, 2, start));
    CHECK_FALSE(first.observe(engine, 2, start + step));
    second.merge(first.reports(start + step), start + step);
    CHECK(second.limitOf(engine) == 2.0);
    CHECK(first.observe(engine, std::nullopt, start + 2 * step));
    // An older report does not bring the limit back, and the end of the limit is told.
    first.merge(second.reports(start + 3 * step), start + 3 * step);
    CHECK_FALSE(first.limitOf(engine));
    second.merge(first.reports(start + 3 * step), start + 3 * step);
    CHECK_FALSE(second.limitOf(engine));
}

TEST_CASE("a restarted endpoint has no limit, and idle endpoints are forgotten", "[gateway]")
{
    request_limiter limits(seededRandom(1));
    limits.observe(engine, 0.1, start);
    limits.recordDemand(engine, start);
    CHECK_FALSE(limits.allows(engine, start));
    CHECK(limits.allows("e1@2", start));
    limits.expire(start + std::chrono::minutes(3));
    CHECK(limits.reports(start).empty());
}

} // namespace fescuedeck
