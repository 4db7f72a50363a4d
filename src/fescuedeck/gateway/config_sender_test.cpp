#include "fescuedeck/gateway/config_sender.h"

#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

const time_point start{ std::chrono::hours(1) };
constexpr double linkRate = 1000; // bytes per second

class sender_fixture
{
public:
    explicit sender_fixture(double rate)
        : sender(rate, [this](const std::string &peer, const std::string &) {
            receivers.push_back(peer);
        })
    {
        sender.setText(std::string(100, 'x')); // 0.2 s at half the rate
    }

    std::vector<std::string> receivers;
    config_sender sender;
};

} // namespace

// Guards against a link that is full of copies, behind which digests and pages wait.
TEST_CASE("copies of the configuration use half of the link", "[gateway]")
{
    sender_fixture fixture(linkRate);
    for (const char *peer : { "a", "b", "c" })
        fixture.sender.request(peer, start);
    CHECK(fixture.receivers == std::vector<std::string>{ "a" });
    fixture.sender.update(start + std::chrono::milliseconds(50));
    CHECK(fixture.receivers.size() == 1);
    fixture.sender.update(start + std::chrono::milliseconds(150));
    CHECK(fixture.receivers == std::vector<std::string>{ "a", "b" });
}

TEST_CASE("a request for the configuration that has waited too long is dropped", "[gateway]")
{
    sender_fixture fixture(linkRate);
    fixture.sender.request("a", start);
    fixture.sender.request("b", start);
    fixture.sender.update(start + std::chrono::milliseconds(301));
    CHECK(fixture.receivers == std::vector<std::string>{ "a" });
}

TEST_CASE("a peer that asks again waits once", "[gateway]")
{
    sender_fixture fixture(linkRate);
    fixture.sender.request("a", start);
    fixture.sender.request("b", start);
    fixture.sender.request("b", start + std::chrono::milliseconds(50));
    fixture.sender.update(start + std::chrono::milliseconds(200));
    fixture.sender.update(start + std::chrono::milliseconds(400));
    CHECK(fixture.receivers == std::vector<std::string>{ "a", "b" });
}

TEST_CASE("without a known rate each request is answered at once", "[gateway]")
{
    sender_fixture fixture(0);
    for (const char *peer : { "a", "b", "c" })
        fixture.sender.request(peer, start);
    CHECK(fixture.receivers.size() == 3);
}

} // namespace fescuedeck
