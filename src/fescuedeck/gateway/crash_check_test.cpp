#include "fescuedeck/gateway/crash_check.h"

#include <catch2/catch.hpp>

#include "fescuedeck/net/http_server.h"
#include "fescuedeck/net/test_io.h"

namespace fescuedeck {
namespace {

const request_identity lookup{ "f1", {} };

class check_fixture
{
public:
    check_fixture()
        : m_client(m_io.context())
        , m_context({}, {}, m_io.context(), m_client, seededRandom(1))
    {
        REQUIRE_FALSE(m_server.listen("127.0.0.1:0"));
        m_endpoint->entry.id = "e1";
        m_endpoint->entry.address = loopback(m_server.port());
    }
    ~check_fixture() { m_io.stop(); }

    // From now on the address of the endpoint refuses connections.
    void closeEndpoint()
    {
        using tcp = boost::asio::ip::tcp;
        tcp::acceptor acceptor(m_io.context(),
                               tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        m_endpoint->entry.address = loopback(acceptor.local_endpoint().port());
    }
    // The endpoint closes the connection of the request this many times.
    void loseAnswers(int count)
    {
        m_io.run([&](boost::asio::yield_context) {
            for (int i = 0; i < count; ++i)
                recordCrashIfDown(m_context, lookup, m_endpoint);
            return true;
        });
    }
    bool isQuarantined()
    {
        return m_io.run([&](boost::asio::yield_context) {
            return m_context.crashes.isQuarantined(lookup, steadyNow());
        });
    }
    std::size_t openedConnections() const { return m_client.idleConnections(); }

private:
    test_io m_io{ 1 };
    http_server m_server{ m_io.context(), {}, [](http_exchange &exchange) {
                             exchange.respond({ 200, {}, "" });
                         } };
    http_client m_client;
    gateway_context m_context;
    const endpoint_ptr m_endpoint = std::make_shared<endpoint_record>();
};

} // namespace

// Guards against sound requests that all gateways refuse for minutes because live endpoints have
// lost some of their answers.
TEST_CASE("an endpoint that accepts connections has not crashed", "[gateway]")
{
    check_fixture fixture;
    fixture.loseAnswers(6);
    REQUIRE(eventually([&] { return fixture.openedConnections() == 6; }));
    CHECK_FALSE(fixture.isQuarantined());
}

// Guards against a request that goes on crashing endpoints.
TEST_CASE("an endpoint that accepts no connection has crashed", "[gateway]")
{
    check_fixture fixture;
    fixture.closeEndpoint();
    fixture.loseAnswers(2);
    CHECK_FALSE(fixture.isQuarantined());
    fixture.loseAnswers(1);
    CHECK(eventually([&] { return fixture.isQuarantined(); }));
}

} // namespace fescuedeck
