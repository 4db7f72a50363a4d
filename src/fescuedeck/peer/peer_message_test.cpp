#include "fescuedeck/peer/peer_message.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "fescuedeck/base/random.h"

namespace fescuedeck {
namespace {

peer_digest sampleDigest()
{
    peer_digest digest;
    digest.version = 7;
    digest.hash = "ab";
    digest.offset = 99;
    digest.inFlight = { { "e1", 3 }, { "e2", 0 } };
    digest.suspects = { "e2" };
    digest.leaving = { "e3", "e4" };
    digest.drained = { "h1" };
    digest.quarantined = { "f1" };
    digest.crashes.crashes["e2@5"]
            = { std::chrono::milliseconds(70), { { "s1", { 1, { "f2" } } } }, { "f2", "f3" } };
    digest.quarantines["segment:s9"] = std::chrono::milliseconds(7000);
    digest.limits["e5@6"] = { 1.5, std::chrono::milliseconds(40), 2.5 };
    digest.limits["e6@7"] = { std::nullopt, std::chrono::milliseconds(50), 0 };
    digest.relayAddress = "10.1.0.40:7341";
    digest.reachesEndpoints = true;
    digest.isLastResort = true;
    digest.waiting = { { { "model", 0 }, 900 }, { { "model", 9 }, 1800.5 } };
    digest.crashes.begun = { { "s1", std::chrono::milliseconds(900) } };
    digest.tables = table_report{ store_access::Served, { { "endpoints", { 2, 41 } } } };
    return digest;
}

table_records sampleRecords()
{
    return { "endpoints", 2,     40,
             42,          false, { { "e1", "\xff{}", 40, false }, { "e2", "", 41, true } } };
}

crash_evidence sampleEvidence()
{
    crash_evidence evidence;
    evidence.fingerprint = "f1";
    evidence.endpoint = "e1";
    evidence.incarnation = "i1";
    evidence.startedAt = unix_millis(3);
    evidence.crashedAt = unix_millis(4);
    evidence.position = 12;
    evidence.ranAlone = true;
    return evidence;
}

// In hexadecimal digits, as gateways of an earlier version write them.
const std::string earlierDigest
        = "ac6d63726173685f7265706f727473a265626567756e80676372617368657381a4666167655f6d73"
          "18466b696e6361726e6174696f6e6465324035687265717565737473816266326873757370656374"
          "7381a36564657074680168726571756573747381626632677365676d656e7462733167647261696e"
          "65648064686173686069696e5f666c69676874a1626531fa40400000676c656176696e6780666f66"
          "6673657418636b71756172616e74696e6564816266316b71756172616e74696e657381a2636b6579"
          "6266316c72656d61696e696e675f6d73191b586e726571756573745f6c696d69747381a466616765"
          "5f6d7318286664656d616e64fa402000006b696e6361726e6174696f6e64653540366a7065725f73"
          "65636f6e64fa3fc00000687375737065637473816265326474797065666469676573746776657273"
          "696f6e07";
const std::string earlierRequest = "a264747970656e62756e646c655f726571756573746776657273696f6e05";
const std::string earlierState
        = "a26a636865636b706f696e74627b7d64747970656c62756e646c655f7374617465";
const std::string earlierHello
        = "a66463656c6c61616a6465706c6f796d656e746867617465776179736b696e6361726e6174696f6e"
          "626931656e6f6e6365643030666666726f7574657266686f73742d3164747970656568656c6c6f";
const std::string earlierProof = "a264686d616362303064747970656570726f6f66";

std::string bytesOf(const std::string &hex)
{
    constexpr int base = 16;
    std::string bytes;
    for (std::size_t at = 0; at + 1 < hex.size(); at += 2)
        bytes += static_cast<char>(std::stoi(hex.substr(at, 2), nullptr, base));
    return bytes;
}

std::string cborOf(const nlohmann::json &object)
{
    std::string frame;
    nlohmann::json::to_cbor(object, frame);
    return frame;
}

} // namespace

TEST_CASE("messages survive their CBOR form", "[peer]")
{
    const outcome_reply reply{ "key", outcome_status::Completed,
                               outcome_answer{ 201, "application/json", "{}" } };
    const peer_message messages[] = { peer_hello{ "d", "c", "r", "i", "n" },
                                      peer_proof{ "00" },
                                      sampleDigest(),
                                      bundle_request{ 5 },
                                      bundle_state{ "{}" },
                                      outcome_request{ "key" },
                                      reply,
                                      outcome_reply{ "key", outcome_status::InProgress, {} },
                                      announce_evidence{ { sampleEvidence() } },
                                      request_exclusive_run{ "f1", "e1", 7 },
                                      exclusive_run_reply{ "", 7, true, { sampleEvidence() } },
                                      announce_exclusive_run{ 7, unix_millis(5), 12 },
                                      release_exclusive_run{ 7 },
                                      sampleRecords() };
    for (const peer_message &message : messages) {
        const std::string frame = toCbor(message);
        const auto parsed = parsePeerMessage(frame);
        REQUIRE(parsed);
        CHECK(parsed.value().index() == message.index());
        CHECK(toCbor(parsed.value()) == frame);
    }
    const peer_digest digest
            = std::get<peer_digest>(parsePeerMessage(toCbor(sampleDigest())).value());
    CHECK(digest.inFlight == sampleDigest().inFlight);
    CHECK(digest.leaving == sampleDigest().leaving);
    const crash_report &report = digest.crashes.crashes.at("e2@5");
    CHECK(report.age == std::chrono::milliseconds(70));
    CHECK(report.suspects.at("s1").depth == 1);
    CHECK(report.suspects.at("s1").requests == std::set<std::string>{ "f2" });
    CHECK(report.requests == std::set<std::string>{ "f2", "f3" });
    CHECK(digest.quarantines.at("segment:s9") == std::chrono::seconds(7));
    CHECK(digest.limits.at("e5@6").perSecond == 1.5);
    CHECK(digest.limits.at("e5@6").age == std::chrono::milliseconds(40));
    CHECK(digest.limits.at("e5@6").demand == 2.5);
    CHECK_FALSE(digest.limits.at("e6@7").perSecond);
    CHECK(digest.relayAddress == "10.1.0.40:7341");
    CHECK(digest.reachesEndpoints);
    CHECK(digest.isLastResort);
    CHECK(digest.waiting == sampleDigest().waiting);
    REQUIRE(digest.tables);
    CHECK(digest.tables->access == store_access::Served);
    CHECK(digest.tables->positions.at("endpoints").next == 41);
    const auto records = std::get<table_records>(parsePeerMessage(toCbor(sampleRecords())).value());
    CHECK(records.records.at(0).value == "\xff{}");
    CHECK(records.records.at(1).isRemoval);
    CHECK(digest.crashes.begun.at("s1") == std::chrono::milliseconds(900));
}

// Guards against gateways that no longer exchange their state during an upgrade: gateways of an
// earlier version, without relays, write these frames.
TEST_CASE("frames of an earlier version are read", "[peer]")
{
    const auto hello = parsePeerMessage(bytesOf(earlierHello));
    REQUIRE(hello);
    CHECK(std::get<peer_hello>(hello.value()).router == "host-1");
    CHECK(parsePeerMessage(bytesOf(earlierProof)));
    const auto request = parsePeerMessage(bytesOf(earlierRequest));
    REQUIRE(request);
    CHECK(std::get<bundle_request>(request.value()).version == 5);
    const auto state = parsePeerMessage(bytesOf(earlierState));
    REQUIRE(state);
    CHECK(std::get<bundle_state>(state.value()).checkpoint == "{}");

    const auto parsed = parsePeerMessage(bytesOf(earlierDigest));
    REQUIRE(parsed);
    const auto &digest = std::get<peer_digest>(parsed.value());
    CHECK(digest.version == 7);
    CHECK(digest.offset == 99);
    CHECK(digest.inFlight.at("e1") == 3);
    CHECK(digest.suspects == std::set<std::string>{ "e2" });
    CHECK(digest.quarantines.at("f1") == std::chrono::milliseconds(7000));
    CHECK(digest.crashes.crashes.count("e2@5") == 1);
    CHECK(digest.limits.at("e5@6").perSecond == 1.5);
    CHECK(digest.relayAddress.empty());
    CHECK_FALSE(digest.reachesEndpoints);
    CHECK_FALSE(digest.isLastResort);
    CHECK(digest.waiting.empty());
}

// Guards against a loan that the receiver takes for another service or another number.
TEST_CASE("requests for retries and loans keep service and count", "[peer]")
{
    const auto request = parsePeerMessage(toCbor(retry_request{ "s", 3, 7 }));
    REQUIRE(request);
    CHECK(std::get<retry_request>(request.value()).service == "s");
    CHECK(std::get<retry_request>(request.value()).count == 3);
    CHECK(std::get<retry_request>(request.value()).requestedAt == 7);
    const auto loan = parsePeerMessage(toCbor(retry_loan{ "s", 2, 8 }));
    REQUIRE(loan);
    CHECK(std::get<retry_loan>(loan.value()).count == 2);
    CHECK(std::get<retry_loan>(loan.value()).requestedAt == 8);
    CHECK_FALSE(parsePeerMessage(toCbor(retry_loan{ "s", -1, 8 })));
    peer_digest digest;
    digest.retryOffers["s"] = 7;
    const auto parsed = parsePeerMessage(toCbor(digest));
    REQUIRE(parsed);
    CHECK(std::get<peer_digest>(parsed.value()).retryOffers.at("s") == 7);
}

TEST_CASE("damaged frames are failures, not exceptions", "[peer]")
{
    // Guards against one bad frame ending a router.
    const std::string frame = toCbor(sampleDigest());
    for (std::size_t size = 0; size < frame.size(); ++size)
        CHECK_FALSE(parsePeerMessage(frame.substr(0, size)));
    const random_fn random = seededRandom(GENERATE(1, 2, 3));
    for (int round = 0; round < 3000; ++round) {
        std::string damaged = frame;
        for (int i = 0; i < 3; ++i)
            damaged[uniformBelow(random, damaged.size())] = static_cast<char>(random());
        const auto parsed = parsePeerMessage(damaged);
        if (!parsed)
            CHECK(parsed.error().code == errc::InvalidMessage);
    }
}

TEST_CASE("oversized, deep and false lengths are refused", "[peer]")
{
    const std::string frame = toCbor(bundle_state{ std::string(5000, 'x') });
    CHECK(parsePeerMessage(frame));
    CHECK(parsePeerMessage(frame, maxHandshakeFrameBytes).error().code == errc::InvalidMessage);
    CHECK_FALSE(parsePeerMessage(std::string(1000000, '\x81'))); // nested arrays
    CHECK_FALSE(parsePeerMessage(std::string("\xbb\xff\xff\xff\xff\xff\xff\xff\xfe", 9)));
    CHECK_FALSE(parsePeerMessage(std::string("\x9b\x7f\xff\xff\xff\xff\xff\xff\xfe", 9)));
}

TEST_CASE("fields that are missing or out of range are refused", "[peer]")
{
    const auto object = nlohmann::json::from_cbor(toCbor(sampleDigest()));
    for (const auto &item : object.items()) {
        nlohmann::json lacking = object;
        lacking.erase(item.key());
        // Gateways of an earlier version send none of these.
        const bool isOptional = item.key() == "crash_reports" || item.key() == "request_limits"
                                || item.key() == "quarantines" || item.key() == "relay_address"
                                || item.key() == "reaches_endpoints" || item.key() == "last_resort"
                                || item.key() == "retry_offers" || item.key() == "waiting"
                                || item.key() == "tables";
        const auto parsed = parsePeerMessage(cborOf(lacking));
        CHECK(static_cast<bool>(parsed) == isOptional);
        // Guards against relaying to a gateway that does not say that it can serve a request.
        if (parsed && item.key() == "relay_address")
            CHECK(std::get<peer_digest>(parsed.value()).relayAddress.empty());
        if (parsed && item.key() == "reaches_endpoints")
            CHECK_FALSE(std::get<peer_digest>(parsed.value()).reachesEndpoints);
        if (parsed && item.key() == "last_resort")
            CHECK_FALSE(std::get<peer_digest>(parsed.value()).isLastResort);
        // Guards against sending table_records to a gateway that closes the connection on them.
        if (parsed && item.key() == "tables")
            CHECK_FALSE(std::get<peer_digest>(parsed.value()).tables);
        nlohmann::json wrong = object;
        wrong[item.key()] = nlohmann::json::binary({ 1, 2 });
        CHECK_FALSE(parsePeerMessage(cborOf(wrong)));
    }
    for (const char *pointer : { "/crash_reports/crashes",
                                 "/crash_reports/begun",
                                 "/crash_reports/crashes/0/incarnation",
                                 "/crash_reports/crashes/0/age_ms",
                                 "/crash_reports/crashes/0/suspects",
                                 "/crash_reports/crashes/0/suspects/0/segment",
                                 "/crash_reports/crashes/0/suspects/0/depth",
                                 "/crash_reports/crashes/0/suspects/0/requests",
                                 "/crash_reports/begun/0/segment",
                                 "/crash_reports/begun/0/age_ms",
                                 "/waiting/0/service",
                                 "/waiting/0/rank",
                                 "/waiting/0/work",
                                 "/quarantines/0/key",
                                 "/quarantines/0/remaining_ms",
                                 "/request_limits/0/incarnation",
                                 "/request_limits/0/age_ms",
                                 "/request_limits/0/demand",
                                 "/tables/access",
                                 "/tables/positions",
                                 "/tables/positions/0/table",
                                 "/tables/positions/0/epoch",
                                 "/tables/positions/0/next" }) {
        const nlohmann::json::json_pointer path(pointer);
        nlohmann::json lacking = object;
        lacking[path.parent_pointer()].erase(path.back());
        CHECK_FALSE(parsePeerMessage(cborOf(lacking)));
        nlohmann::json wrong = object;
        wrong[path] = nlohmann::json::binary({ 1, 2 });
        CHECK_FALSE(parsePeerMessage(cborOf(wrong)));
    }
    nlohmann::json negative = object;
    negative["in_flight"]["e1"] = -1;
    CHECK_FALSE(parsePeerMessage(cborOf(negative)));
    nlohmann::json huge = object;
    huge["version"] = 0xffffffffffffffffULL;
    CHECK_FALSE(parsePeerMessage(cborOf(huge)));
    nlohmann::json extended = object;
    extended["field_of_a_later_version"] = 1;
    CHECK(parsePeerMessage(cborOf(extended)));
    CHECK_FALSE(parsePeerMessage(cborOf({ { "type", "other" } })));
    CHECK_FALSE(parsePeerMessage(toCbor(peer_hello{ "d", "c", "line\nbreak", "i", "n" })));
}

} // namespace fescuedeck
