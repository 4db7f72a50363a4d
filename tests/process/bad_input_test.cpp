// Requests that a router must refuse. Guards against an untyped error, a request that runs in spite
// of it, and a router that stops serving afterwards.
#include <catch2/catch.hpp>

#include "fleet_fixture.h"

namespace fescuedeck::process_tests {
namespace {

constexpr std::size_t bodyLimit = 1048576; // limits.body and limits.header by default
constexpr std::size_t headerLimit = 16384;

struct bad_request
{
    std::string name;
    http_request request;
    std::string kind;
};

http_request withBody(http_request request, const std::string &body)
{
    request.body = body;
    return request;
}

http_request withHeader(http_request request, const std::string &name, const std::string &value)
{
    std::vector<http_header> headers;
    for (const http_header &header : request.headers) {
        if (header.name != name)
            headers.push_back(header);
    }
    if (!value.empty())
        headers.push_back({ name, value });
    request.headers = headers;
    return request;
}

std::vector<bad_request> badRequests(const http_request &good)
{
    return {
        { "malformed JSON", withBody(good, R"({"model": "waiver", "prompt)"), "invalid_request" },
        { "unknown model", withBody(good, R"({"model": "none", "prompt": "a"})"), "not_found" },
        { "missing token", withHeader(good, "Authorization", ""), "unauthenticated" },
        { "wrong token", withHeader(good, "Authorization", "Bearer none"), "unauthenticated" },
        { "oversized body", withBody(good, std::string(bodyLimit + 1, 'a')), "too_large" },
        { "oversized header", withHeader(good, "X-Large", std::string(headerLimit, 'a')),
          "too_large" },
        { "unsupported field", withBody(good, R"({"model": "waiver", "prompt": "a", "n": 2})"),
          "invalid_request" },
    };
}

} // namespace

TEST_CASE("bad requests get a typed error and the router still serves", "[process]")
{
    fleet_options options;
    options.routers = 1;
    options.services = 0;
    fleet_fixture fleet(options);
    REQUIRE(fleet.waitUntilServing());
    const std::string &callers = fleet.routers[0].callers;
    const http_request good = fleet.draftRequest("seven riders", 8, false);
    for (const bad_request &bad : badRequests(good)) {
        INFO(bad.name);
        const call_result call = fleet.client.send(callers, bad.request);
        REQUIRE(call.response);
        const http_response &response = call.response.value();
        CHECK(response.status >= 400);
        CHECK(response.status < 500);
        const auto body = nlohmann::json::parse(response.body, nullptr, false);
        REQUIRE(body.is_object());
        CHECK(body["error"]["kind"] == bad.kind);
        CHECK_FALSE(body["error"].value("remedy", "").empty());
        CHECK(body["outcome"] == "not-run");

        const call_result next = fleet.client.send(callers, good);
        REQUIRE(next.response);
        const auto draft = nlohmann::json::parse(next.response.value().body, nullptr, false);
        REQUIRE(draft.is_object());
        CHECK(draft["choices"][0]["text"] == fleet.expectedText("seven riders", 8));
    }
}

} // namespace fescuedeck::process_tests
