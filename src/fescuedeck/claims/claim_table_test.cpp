#include "fescuedeck/claims/claim_table.h"

#include <catch2/catch.hpp>

#include "fescuedeck/base/ids.h"

namespace fescuedeck {
namespace {

constexpr unix_millis start = std::chrono::hours(500000);

std::string keyAt(unix_millis created)
{
    return scopedKey("sable", makeUuidV7(created, seededRandom(created.count())));
}

// A log whose records are applied to a table when they are added.
class table_log
{
public:
    explicit table_log(const claim_table_settings &settings = {})
        : table(settings, 0)
    {
    }
    template <class Event>
    void add(const Event &event, unix_millis time = start)
    {
        const auto offset = static_cast<std::int64_t>(records.size());
        records.push_back({ offset, std::to_string(offset), time, toJson(event) });
        table.apply(records.back());
    }
    claim_made claim(const std::string &key, const std::string &attempt,
                     unix_millis accepted = start)
    {
        return { key, attempt, "r1", "f1", accepted };
    }

    claim_table table;
    std::vector<log_record> records;
};

} // namespace

TEST_CASE("the first claim of a key wins and its answer is kept", "[claims]")
{
    // Guards against a second execution of a call after a later claim, release or answer.
    table_log log;
    const std::string key = keyAt(start);
    log.add(log.claim(key, "t1"));
    log.add(log.claim(key, "t2"));
    log.add(claim_completed{ key, "t2", { 500, "", "wrong" } });
    CHECK(log.table.find(key).attempt == "t1");
    CHECK(log.table.find(key).status == claim_status::Claimed);
    log.add(claim_completed{ key, "t1", { 201, "text/plain", std::string("\xff\0", 2) } });
    log.add(claim_released{ key, "t1" });
    CHECK(log.table.find(key).status == claim_status::Completed);
    CHECK(log.table.find(key).answer->body == std::string("\xff\0", 2));
}

TEST_CASE("a released attempt never claims again", "[claims]")
{
    // Guards against a claim record that reaches the log after the release of its attempt: the
    // caller may already have been told that nothing runs.
    table_log log;
    const std::string key = keyAt(start);
    log.add(claim_released{ key, "t1" });
    log.add(log.claim(key, "t1"));
    CHECK(log.table.find(key).status == claim_status::Unclaimed);
}

TEST_CASE("copies accepted before or soon after a release never claim the key", "[claims]")
{
    // Guards against a copy that waits in a paused router and runs after "not-run" was reported.
    table_log log;
    const std::string key = keyAt(start);
    const unix_millis delay = claim_table_settings{}.reclaimDelay;
    log.add(log.claim(key, "t1"));
    log.add(claim_released{ key, "t1" }, start);
    log.add(log.claim(key, "t2", start + delay), start + delay * 2);
    CHECK(log.table.find(key).status == claim_status::Released);
    CHECK(log.table.find(key).releasedAt == start + delay * 2);
    log.add(log.claim(key, "t3", start + delay * 3 + unix_millis(1)), start + delay * 4);
    CHECK(log.table.find(key).attempt == "t3");
}

TEST_CASE("expired keys and keys above the limit become too old", "[claims]")
{
    // Guards against a key that runs twice because the table dropped its first claim and then
    // treats it as unclaimed.
    claim_table_settings settings;
    settings.maxKeys = 3;
    table_log log(settings);
    std::vector<std::string> keys;
    for (int i = 0; i < 5; ++i) {
        keys.push_back(keyAt(start + unix_millis(i)));
        log.add(log.claim(keys.back(), "t" + std::to_string(i)));
    }
    CHECK(log.table.size() == 3);
    CHECK(log.table.isTooOld(keys[1]));
    CHECK_FALSE(log.table.isTooOld(keys[2]));
    log.table.expire(start + unix_millis(3) + settings.keepFor);
    CHECK(log.table.size() == 1);
    CHECK(log.table.isTooOld(keys[3]));
    CHECK(log.table.isTooOld("sable/not-a-uuid"));
}

TEST_CASE("a table that starts late knows every key that is not too old", "[claims]")
{
    // Guards against a restarted router that treats a claimed key as unclaimed, because the log no
    // longer has the record of its claim.
    table_log log;
    const std::string old = keyAt(start);
    const std::string young = keyAt(start + std::chrono::minutes(2));
    const auto later = start + std::chrono::minutes(1);
    log.add(log.claim(old, "t1"));
    log.add(claim_released{ keyAt(later), "t9" }, later);
    const claim_checkpoint checkpoint = log.table.checkpoint();
    log.add(claim_completed{ old, "t1", { 201, "text/plain", "lot 7" } }, later);
    log.add(log.claim(young, "t2"), later);

    claim_table late({}, 1);
    CHECK(late.isTooOld(young));
    for (std::size_t i = 1; i < log.records.size(); ++i)
        late.apply(log.records[i]);
    CHECK(late.find(young).attempt == "t2");
    CHECK(late.isTooOld(old));

    log.add(checkpoint, later);
    late.apply(log.records.back());
    CHECK_FALSE(late.isTooOld(old));
    CHECK(late.find(old).answer->body == "lot 7");
    CHECK(late.checkpoint().state == log.table.checkpoint().state);
}

TEST_CASE("malformed records are counted and leave the table usable", "[claims]")
{
    // Guards against a record that throws while it is applied and so stops the replay. The
    // checkpoint is well-formed; its state is not read, because the table started at offset 0.
    table_log log;
    int offset = 0;
    for (const char *body : { "", "[]", "{\"type\":1}", "{\"type\":\"claim\",\"key\":\"k\"}",
                              "{\"type\":\"checkpoint\",\"covers\":1,\"state\":\"x\"}" })
        log.table.apply({ offset++, "x", start, body });
    CHECK(log.table.invalidRecords() == 4);
    CHECK(log.table.nextOffset() == 5);
}

} // namespace fescuedeck
