#include "fescuedeck/bundle/bundle_yaml.h"

#include <string>

#include <boost/algorithm/string/replace.hpp>
#include <catch2/catch.hpp>

#include "fescuedeck/base/hash.h"
#include "fescuedeck/bundle/bundle_index.h"
#include "fescuedeck/bundle/canonical_bundle.h"
#include "fescuedeck/bundle/check_bundle.h"

namespace fescuedeck {
namespace {

const std::string validYaml = R"(version: 3
parent: 2
models:
  - name: waiver
    version: "7"
    layers: 32
    adapters: [riders]
    max_tokens: 512
    first_token_deadline: 730ms
    step_deadline: 38ms
endpoints:
  - {id: e1, host: h1, failure_domain: merzouga, address: "127.0.0.1:9001", accelerator: a40,
     model: waiver, version: "7", layers: 0-16, tokens_per_second: 900, checks_fencing: true}
  - {id: e2, host: h2, failure_domain: erfoud, address: "127.0.0.1:9002", accelerator: l4,
     model: waiver, version: "7", layers: 16-32, tokens_per_second: 450.5, checks_fencing: false}
services:
  - name: desk
    prefix: /desk
    deadline: 2s
    max_staleness: 500ms
    operations:
      - {method: GET, path: /desk/waivers, idempotent: true}
      - {method: GET, path: /desk/waivers/next, idempotent: false}
    replicas:
      - {id: d1, host: h3, failure_domain: rissani, address: "[::1]:9100"}
workspaces:
  - name: tent
    token_hashes: [ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad]
    models: [waiver]
    services: [desk]
    weight: 2
    queue_limit: 64
approvers:
  - {key_id: amina, public_key: d75a980182b10ab7d54bfed3c964073a0ee172f3daa62325af021a68f707511a}
)";

std::string replaced(const std::string &from, const std::string &to)
{
    REQUIRE(validYaml.find(from) != std::string::npos);
    return boost::algorithm::replace_first_copy(validYaml, from, to);
}

std::string parseError(const std::string &yaml)
{
    const auto content = parseBundle(yaml);
    return content ? std::string() : content.error().detail;
}

std::string checkError(const std::string &yaml)
{
    const auto content = parseBundle(yaml);
    REQUIRE(content);
    const auto failures = checkBundle(content.value());
    return failures.empty() ? std::string() : failures.front().detail;
}

} // namespace

TEST_CASE("a bundle keeps its content through the canonical form", "[bundle]")
{
    // Guards against a field that one of the two directions forgets.
    const bundle content = parseBundle(validYaml).value();
    CHECK(checkBundle(content).empty());
    CHECK(content.models[0].stepDeadline == duration(38'000));
    CHECK(content.endpoints[1].layers == layer_range{ 16, 32 });
    const std::string canonical = canonicalBundle(content);
    CHECK(canonicalBundle(parseCanonicalBundle(canonical).value()) == canonical);
    CHECK(bundleHash(canonical) == sha256Hex(canonical));
}

TEST_CASE("only the canonical text of a bundle is accepted", "[bundle]")
{
    // Guards against two texts, and so two hashes, of one bundle.
    const std::string canonical = canonicalBundle(parseBundle(validYaml).value());
    CHECK_FALSE(parseCanonicalBundle(canonical + " "));
    CHECK_FALSE(parseCanonicalBundle(
            boost::algorithm::replace_first_copy(canonical, "38000us", "38ms")));
    CHECK_FALSE(parseCanonicalBundle("{"));
    CHECK_FALSE(parseCanonicalBundle("[]"));
}

TEST_CASE("a malformed field is refused with its path and line", "[bundle]")
{
    const auto [from, to, expected] = GENERATE(table<std::string, std::string, std::string>({
            { "step_deadline: 38ms", "step_deadline: 38", "models[0].step_deadline (line 10)" },
            { "38ms", "-1ms", "models[0].step_deadline (line 10)" },
            { "38ms", "99999999999999s", "models[0].step_deadline (line 10)" },
            { "layers: 32", "layers: 0", "models[0].layers (line 6)" },
            { "layers: 32", "layers: 32x", "models[0].layers (line 6)" },
            { "layers: 0-16", "layers: 16-0", "endpoints[0].layers" },
            { "layers: 0-16, ", "", "endpoints[0].layers (line 12): required" },
            { "weight: 2", "weight: nan", "workspaces[0].weight" },
            { "weight: 2", "wieght: 2", "workspaces[0].weight" },
            { "    weight: 2", "    colour: 2\n    weight: 2", "colour (line 31): unknown field" },
            { "models: [waiver]", "models: waiver", "workspaces[0].models" },
            { "checks_fencing: true", "checks_fencing: yes", "endpoints[0].checks_fencing" },
            { "parent: 2", "parent: 2\nparent: 1", "line 3: field parent is repeated" },
            { "parent: 2", "parent: [", "line " },
            { "version: 3", "version: 99999999999999999999", "version (line 1)" },
    }));
    CAPTURE(to);
    CHECK_THAT(parseError(replaced(from, to)), Catch::Contains(expected));
}

TEST_CASE("nested aliases cannot exhaust memory", "[bundle]")
{
    std::string yaml = "a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n";
    for (int i = 1; i < 12; ++i) {
        const std::string previous = "*a" + std::to_string(i - 1);
        yaml += "a" + std::to_string(i) + ": &a" + std::to_string(i) + " [" + previous;
        for (int j = 1; j < 10; ++j)
            yaml.append(", ").append(previous);
        yaml += "]\n";
    }
    CHECK_THAT(parseError(yaml), Catch::Contains("too large"));
}

TEST_CASE("an inconsistent bundle is refused with the path of the cause", "[bundle]")
{
    const auto [from, to, expected] = GENERATE(table<std::string, std::string, std::string>({
            { "version: 3", "version: 2", "version: 2 is not above its parent 2" },
            { "id: e2", "id: e1", "endpoints[1].id" },
            { "id: d1", "id: e1", "replicas[0].id" },
            { "127.0.0.1:9002", "127.0.0.1:9001", "endpoints[1].address" },
            { "127.0.0.1:9002", "desk.example:9002", "endpoints[1].address" },
            { "127.0.0.1:9002", "127.0.0.1:70000", "endpoints[1].address" },
            { "[::1]:9100", "::1:9100", "replicas[0].address" },
            { "layers: 16-32", "layers: 17-32", "covers layers 16-32" },
            { "layers: 16-32", "layers: 16-33", "endpoints[1].layers" },
            { "version: \"7\", layers: 16-32", "version: \"6\", layers: 16-32", "models[0]" },
            { "model: waiver, version: \"7\", layers: 0", "model: w, version: \"7\", layers: 0",
              "endpoints[0].model" },
            { "models: [waiver]", "models: [writer]", "workspaces[0].models[0]" },
            { "services: [desk]", "services: [orders]", "workspaces[0].services[0]" },
            { "ba7816", "BA7816", "workspaces[0].token_hashes[0]" },
            { "d75a98", "x75a98", "approvers[0].public_key" },
            { "prefix: /desk", "prefix: /v1/desk", "reserved" },
            { "prefix: /desk", "prefix: /desk/", "services[0].prefix" },
            { "path: /desk/waivers,", "path: /waivers,", "operations[0].path" },
            { "path: /desk/waivers/next", "path: /desk/waivers", "operations[1]" },
            { "services:\n",
              "services:\n  - {name: lots, prefix: /desk/lots, deadline: 1s, "
              "max_staleness: 1s, replicas: [{id: d9, host: h, failure_domain: f, "
              "address: '127.0.0.1:1'}]}\n",
              "ambiguous" },
    }));
    CAPTURE(to);
    CHECK_THAT(checkError(replaced(from, to)), Catch::Contains(expected));
}

TEST_CASE("a bundle without approvers is refused", "[bundle]")
{
    // Guards against a bundle after which no other could be signed.
    const std::string approvers = validYaml.substr(validYaml.find("approvers:"));
    CHECK_THAT(checkError(replaced(approvers, "approvers: []\n")),
               Catch::Contains("approvers: is empty"));
}

TEST_CASE("an operation is found by its longest path and unlisted ones are not idempotent",
          "[bundle]")
{
    // Guards against a write that is retried because a broader entry covers it.
    const bundle content = parseBundle(validYaml).value();
    const service_spec &desk = content.services[0];
    CHECK(findService(content, "/desk/waivers/1") == &desk);
    CHECK(findService(content, "/desks") == nullptr);
    CHECK(isIdempotent(desk, "GET", "/desk/waivers/1?full=1"));
    CHECK_FALSE(isIdempotent(desk, "GET", "/desk/waivers/next"));
    CHECK_FALSE(isIdempotent(desk, "POST", "/desk/waivers/1"));
    CHECK_FALSE(isIdempotent(desk, "GET", "/desk/waivers-signed"));
    CHECK_FALSE(isIdempotent(desk, "GET", "/desk/waivers/../sign"));
    CHECK_FALSE(isIdempotent(desk, "GET", "/desk/waivers/%2E%2e/sign"));
    CHECK_FALSE(isIdempotent(desk, "GET", "/desk/waivers//next"));
    CHECK_FALSE(isIdempotent(desk, "GET", "/desk/waivers/..%2fsign"));
}

TEST_CASE("the index finds workspaces by token hash and endpoints by id", "[bundle]")
{
    const bundle_index index(std::make_shared<bundle>(parseBundle(validYaml).value()));
    REQUIRE(index.findWorkspaceByTokenHash(sha256Hex("abc")) != nullptr);
    CHECK(index.findWorkspaceByTokenHash(sha256Hex("abc"))->name == "tent");
    CHECK(index.findWorkspaceByTokenHash(sha256Hex("abd")) == nullptr);
    CHECK(index.findEndpoint("d1")->host == "h3");
    CHECK(index.endpointsOfModel("waiver").size() == 2);
    CHECK(index.findModel("writer") == nullptr);
}

} // namespace fescuedeck
