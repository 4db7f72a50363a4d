#include "fescuedeck/gateway/table_readers.h"

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

using std::chrono::milliseconds;

constexpr duration lifetime = milliseconds(1500);
constexpr duration patience = milliseconds(500);

// The gateways of a failure domain as one of them sees them.
struct domain_fixture
{
    peer_directory domain{ lifetime };
    time_point now{ std::chrono::seconds(100) };

    void hear(const std::string &host, store_access access, table_position position = {})
    {
        peer_digest digest;
        digest.tables = table_report{ access, { { "endpoints", position } } };
        domain.onDigest(host, digest, now);
    }
    void hearEarlierVersion(const std::string &host) { domain.onDigest(host, {}, now); }
    bool reads(table_readers &readers, store_access own = store_access::Unused)
    {
        readers.update(domain, own, now);
        return readers.isReader();
    }
};

} // namespace

// Load: 142 gateways, of which 47 or 48 share a failure domain.
TEST_CASE("the first three gateways of a domain read the tables", "[gateway][tables]")
{
    domain_fixture f;
    table_readers third("h003", patience);
    table_readers fourth("h004", patience);
    CHECK(f.reads(fourth)); // it knows no peers
    for (const char *host : { "h001", "h002" })
        f.hear(host, store_access::Served);
    CHECK(f.reads(fourth));
    f.hear("h003", store_access::Served);
    for (int i = 5; i < 48; ++i)
        f.hear("h0" + std::to_string(i + 10), store_access::Unused);
    CHECK_FALSE(f.reads(fourth));
    CHECK(f.reads(third));
    CHECK(fourth.peerAccess() == store_access::Served);
    CHECK(tableReceivers(f.domain, f.now).size() == 43);
    f.now += lifetime; // the digests have expired
    CHECK(f.reads(fourth));
}

// Guards against a gateway that hears of others, but of no reader, and reads nothing.
TEST_CASE("a gateway that hears no reader reads for itself", "[gateway][tables]")
{
    domain_fixture f;
    table_readers last("h9", patience);
    for (const char *host : { "h1", "h2", "h3", "h4" })
        f.hear(host, store_access::Unused);
    CHECK(f.reads(last));
    f.hear("h1", store_access::Served);
    CHECK_FALSE(f.reads(last));
    const auto othersStay = [&](duration time) {
        f.now += time;
        for (const char *host : { "h2", "h3", "h4" })
            f.hear(host, store_access::Unused);
    };
    othersStay(lifetime - milliseconds(1));
    CHECK_FALSE(f.reads(last));
    othersStay(patience - milliseconds(1)); // the digest of h1 has expired
    CHECK_FALSE(f.reads(last));
    othersStay(milliseconds(1));
    CHECK(f.reads(last));
}

// Load: an outage of the store. Guards against readers that are cut off from the store while the
// rest of their domain waits for them, and against a domain in which all gateways retry.
TEST_CASE("gateways replace readers that the store does not answer", "[gateway][tables]")
{
    domain_fixture f;
    table_readers fourth("h4", patience);
    table_readers seventh("h7", patience);
    for (const char *host : { "h1", "h2", "h3" })
        f.hear(host, store_access::Failing);
    CHECK(f.reads(fourth));
    CHECK(fourth.peerAccess() == store_access::Failing);
    for (const char *host : { "h4", "h5", "h6" })
        f.hear(host, store_access::Served);
    CHECK_FALSE(f.reads(seventh));
    CHECK(seventh.peerAccess() == store_access::Served);
    for (const char *host : { "h4", "h5", "h6" })
        f.hear(host, store_access::Failing);
    CHECK(f.reads(seventh));
    CHECK_FALSE(f.reads(seventh, store_access::Failing)); // it has tried
    table_readers first("h0", patience);
    CHECK(f.reads(first, store_access::Failing));
}

// Guards against connections that gateways of an earlier version close on a message which they do
// not know, and against waiting for pages that these never send.
TEST_CASE("gateways of an earlier version neither get pages nor count as readers",
          "[gateway][tables]")
{
    domain_fixture f;
    table_readers fifth("h5", patience);
    f.hear("h4", store_access::Served);
    for (const char *host : { "h1", "h2", "h3", "h6" })
        f.hearEarlierVersion(host);
    CHECK(f.reads(fifth));
    CHECK(tableReceivers(f.domain, f.now).empty());
}

TEST_CASE("a gateway notices a table of which peers have read more", "[gateway][tables]")
{
    domain_fixture f;
    table_lag lag(milliseconds(1000));
    std::map<std::string, table_position> own{ { "endpoints", { 1, 5 } } };
    const auto isBehind = [&] { return !lag.update(own, f.domain, f.now).empty(); };
    f.hear("h1", store_access::Served, { 1, 5 });
    CHECK_FALSE(isBehind());
    SECTION("by an offset")
    {
        f.hear("h1", store_access::Served, { 1, 6 });
    }
    SECTION("by the epoch of a restored store")
    {
        f.hear("h1", store_access::Served, { 2, 1 });
    }
    CHECK_FALSE(isBehind());
    f.now += milliseconds(999);
    CHECK_FALSE(isBehind());
    f.now += milliseconds(1);
    CHECK(isBehind());
    CHECK_FALSE(isBehind());
    f.now += milliseconds(400);
    own["endpoints"] = { 2, 6 };
    CHECK_FALSE(isBehind());
}

} // namespace fescuedeck
