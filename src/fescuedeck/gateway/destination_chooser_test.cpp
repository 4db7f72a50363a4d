#include "fescuedeck/gateway/destination_chooser.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

class chooser_fixture
{
public:
    chooser_fixture()
        : m_client(m_io)
        , context({}, {}, m_io, m_client, seededRandom(1))
    {
        for (const char *id : { "e1", "e2" }) {
            endpoint_entry entry;
            entry.id = id;
            entry.service = "desk";
            entry.slots = 8;
            context.endpoints.announce(entry, 1, steadyNow());
        }
        context.endpoints.find("e2")->inFlight = 1; // e1 is the better choice
    }

    std::string choose()
    {
        const auto to = chooser.choose();
        return to ? to->first->entry.id : "none";
    }

private:
    boost::asio::io_context m_io;
    http_client m_client;

public:
    gateway_context context;
    destination_chooser chooser{ context, "desk", nullptr, 1 };
};

} // namespace

TEST_CASE("a request avoids excluded endpoints", "[gateway]")
{
    chooser_fixture fixture;
    CHECK(fixture.choose() == "e1");
    CHECK(fixture.chooser.hasAlternativeTo(*fixture.chooser.choose()));
    fixture.chooser.exclude("e1");
    CHECK(fixture.choose() == "e2");
    CHECK_FALSE(fixture.chooser.hasAlternativeTo(*fixture.chooser.choose()));
    fixture.chooser.exclude("e2");
    CHECK(fixture.choose() == "none");
    CHECK_FALSE(fixture.chooser.hasMetLimit());
    fixture.chooser.clearExcluded();
    CHECK(fixture.choose() == "e1");
}

// Guards against a request that waits although another endpoint accepts it.
TEST_CASE("a request passes over an endpoint whose request limit is used up", "[gateway]")
{
    chooser_fixture fixture;
    request_limiter &limits = fixture.context.requestLimits;
    limits.observe("e1@0", 0.001, steadyNow());
    CHECK(fixture.choose() == "e2");
    CHECK(fixture.chooser.hasMetLimit());
    limits.observe("e2@0", 0.001, steadyNow());
    CHECK(fixture.choose() == "none");
    limits.observe("e1@0", std::nullopt, steadyNow());
    CHECK(fixture.choose() == "e1");
}

TEST_CASE("a request that waits counts once as demand", "[gateway]")
{
    chooser_fixture fixture;
    fixture.context.requestLimits.observe("e1@0", 0.001, steadyNow());
    for (int i = 0; i < 50; ++i)
        fixture.choose();
    const auto demand = fixture.context.requestLimits.reports(steadyNow()).at("e1@0").demand;
    CHECK(demand < 1);
    fixture.chooser.beginAttempt(*fixture.chooser.choose());
    fixture.choose();
    CHECK(fixture.context.requestLimits.reports(steadyNow()).at("e1@0").demand > demand);
}

} // namespace fescuedeck
