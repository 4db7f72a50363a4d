#include "fescuedeck/gateway/retry_lending.h"

#include <memory>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

const time_point start{ std::chrono::hours(1) };
constexpr duration forever = std::chrono::hours(1);

// Gateways that share 100 fixed retries and whose messages arrive at once unless they are lost.
class lending_group
{
public:
    explicit lending_group(int gateways)
    {
        const retry_budget_limits limits{ 0, 100, std::chrono::seconds(10) };
        for (int i = 0; i < gateways; ++i) {
            m_budgets.push_back(std::make_unique<gateway_retry_budget>(limits));
            m_budgets.back()->setDueFraction(1.0 / gateways, time_point::min());
            m_budgets.back()->recordRequest("s", start);
            retry_lending_hooks hooks;
            hooks.send = [this, i](const std::string &peer, const peer_message &message) {
                deliver(i, std::stoi(peer), message);
            };
            hooks.reserved = [this](const std::string &) { return reserved; };
            m_members.push_back(
                    std::make_unique<retry_lending>(*m_budgets.back(), std::move(hooks)));
        }
    }

    void exchangeOffers()
    {
        for (std::size_t from = 0; from < m_members.size(); ++from) {
            for (std::size_t to = 0; to < m_members.size(); ++to) {
                if (to != from)
                    m_members[to]->recordOffers(std::to_string(from), m_members[from]->offers(now),
                                                now + forever);
            }
        }
    }

    // Takes and borrows retries at the first gateways, as many as there are to be had within a
    // third of the window.
    int takeAll(std::size_t takers)
    {
        int taken = 0;
        for (int round = 0; round < 100; ++round) {
            for (std::size_t i = 0; i < takers; ++i) {
                while (m_budgets[i]->takeRetry("s", now))
                    ++taken;
                m_members[i]->borrow("s", now);
            }
            now += std::chrono::milliseconds(30);
        }
        return taken;
    }

    void deliverDelayedLoans()
    {
        for (const auto &[target, loan] : m_delayedLoans)
            m_members[target]->onLoan(loan, now);
    }

    retry_lending &member(std::size_t gateway) { return *m_members[gateway]; }
    gateway_retry_budget &budget(std::size_t gateway) { return *m_budgets[gateway]; }

    time_point now = start;
    int reserved = 0;
    bool losesLoans = false;
    bool delaysLoans = false;

private:
    void deliver(int from, int to, const peer_message &message)
    {
        const auto target = static_cast<std::size_t>(to);
        if (const auto *request = std::get_if<retry_request>(&message))
            m_members[target]->onRequest(std::to_string(from), *request, now);
        else if (delaysLoans)
            m_delayedLoans.emplace_back(target, std::get<retry_loan>(message));
        else if (!losesLoans)
            m_members[target]->onLoan(std::get<retry_loan>(message), now);
    }

    std::vector<std::unique_ptr<gateway_retry_budget>> m_budgets;
    std::vector<std::unique_ptr<retry_lending>> m_members;
    std::vector<std::pair<std::size_t, retry_loan>> m_delayedLoans; // with their receivers
};

} // namespace

// Guards against streams that end because the gateway they run through has used up its part of the
// retries, while others have used none of theirs. Load: one gateway holds all streams of an engine
// that is lost.
TEST_CASE("a gateway that needs many retries gets those that others do not need", "[gateway]")
{
    lending_group group(10);
    group.exchangeOffers();
    const int alone = 9; // nine tenths of a tenth of 100
    CHECK(group.takeAll(1) >= 4 * alone);
}

// Guards against breaking the limit of the deployment when all gateways run short together and
// know only old offers.
TEST_CASE("gateways that borrow by old offers stay within the limit together", "[gateway]")
{
    for (const int gateways : { 4, 30, 142 }) {
        lending_group group(gateways);
        group.exchangeOffers();
        CHECK(group.takeAll(static_cast<std::size_t>(gateways)) <= 100);
    }
}

// Guards against a lender that keeps too little for its own streams.
TEST_CASE("reserved retries are not lent", "[gateway]")
{
    lending_group group(2);
    group.reserved = 45; // as many as each gateway has
    group.exchangeOffers();
    CHECK(group.takeAll(1) == 45);
    CHECK(group.budget(1).available("s", group.now) == Approx(45));
}

// Guards against retries that count at neither gateway, or that are used long after the lender has
// stopped counting them.
TEST_CASE("a loan that is lost or not used in time is used up", "[gateway]")
{
    lending_group group(2);
    group.exchangeOffers();
    group.losesLoans = true;
    CHECK(group.takeAll(1) == 45);
    CHECK(group.budget(1).available("s", group.now) < 45);
    group.budget(0).addLoan("s", 3, group.now);
    CHECK(group.budget(0).available("s", group.now) == Approx(3));
    CHECK(group.budget(0).available("s", group.now + std::chrono::seconds(1)) <= 0);
}

// Guards against a retry that counts twice: a loan that arrives late, for example at a process that
// was paused, and is used when the lender has its retries back.
TEST_CASE("a loan expires by the time of its request, not of its arrival", "[gateway]")
{
    lending_group group(2);
    group.exchangeOffers();
    group.delaysLoans = true;
    CHECK(group.takeAll(1) == 45);
    group.now += std::chrono::seconds(9);
    group.deliverDelayedLoans();
    CHECK(group.budget(0).available("s", group.now)
          == Approx(group.budget(0).ownAvailable("s", group.now)));
}

// Guards against requests that are held for loans that nobody offers.
TEST_CASE("a gateway learns at once that no loan will arrive", "[gateway]")
{
    lending_group group(2);
    CHECK_FALSE(group.member(0).borrow("s", group.now));
    group.exchangeOffers();
    group.delaysLoans = true;
    CHECK(group.member(0).borrow("s", group.now));
    // Requests that come meanwhile may get a part of the loans.
    CHECK(group.member(0).borrow("s", group.now + std::chrono::milliseconds(20)));
    CHECK_FALSE(group.member(0).borrow("other", group.now));
    // Ends because the offers have all been asked for.
    group.takeAll(1);
    CHECK_FALSE(group.member(0).borrow("s", group.now));
}

} // namespace fescuedeck
