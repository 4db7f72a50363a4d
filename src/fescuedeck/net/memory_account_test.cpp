// Tests of the memory account. The loads: clients that send large bodies, stop short of their end
// and stay open; one client address with many bodies beside others.
#include "fescuedeck/net/memory_account.h"

#include <memory>
#include <vector>

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

constexpr std::size_t kibibyte = 1024;
constexpr std::size_t limit = 8192 * kibibyte;
constexpr std::size_t large = 1024 * kibibyte;
constexpr duration interval = std::chrono::milliseconds(100);
constexpr std::size_t slowestLinkBytes = 175000; // in an interval, 14 Mbit/s
constexpr std::size_t trickle = 16 * kibibyte;   // in an interval

class account_fixture
{
public:
    memory_holder &add(const std::string &caller)
    {
        holders.push_back(
                std::make_unique<memory_holder>(account, memory_owner::CallerBodies, caller, now));
        return *holders.back();
    }
    // A body that may be reclaimed. Returns whether it was granted.
    bool addBody(const std::string &caller, std::size_t size)
    {
        memory_holder &holder = add(caller);
        holder.allowReclaim([this, size] { reclaimed.push_back(size); });
        return holder.reserve(size, now);
    }

    // Each of the first holders moves its bytes in each of ten intervals.
    void move(const std::vector<std::size_t> &bytes)
    {
        for (int i = 0; i < 10; ++i) {
            now += interval;
            for (std::size_t each = 0; each < bytes.size(); ++each)
                holders[each]->noteProgress(bytes[each], now);
        }
    }

    time_point now{};
    memory_account account{ limit };
    std::vector<std::unique_ptr<memory_holder>> holders;
    std::vector<std::size_t> reclaimed;
};

} // namespace

// Guards against bodies in progress that together exceed the budget.
TEST_CASE_METHOD(account_fixture, "bodies in progress are kept and further ones refused",
                 "[memory]")
{
    for (int i = 0; i < 7; ++i)
        CHECK(addBody("a", large));
    CHECK_FALSE(addBody("a", large));
    CHECK(account.used() == 7 * large);
    CHECK(account.usedBy(memory_owner::CallerBodies) == 7 * large);
    CHECK(reclaimed.empty());
    // The rest is for small bodies.
    CHECK(addBody("a", 32 * kibibyte));
    holders.clear();
    CHECK(account.used() == 0);
}

// Guards against clients that hold memory without sending, and against more losses than needed.
TEST_CASE_METHOD(account_fixture, "the largest idle holder loses what it holds first", "[memory]")
{
    CHECK(addBody("a", 2 * large));
    CHECK(addBody("a", 3 * large));
    CHECK(addBody("a", 2 * large));
    now += memory_account::idleTime;
    CHECK(addBody("b", large));
    CHECK(reclaimed == std::vector<std::size_t>{ 3 * large });
    CHECK(account.used() == 5 * large);
}

// Guards against clients that trickle, and against the loss of a body that is being read as fast as
// the slowest link permits or that runs.
TEST_CASE_METHOD(account_fixture, "only holders without progress are reclaimed", "[memory]")
{
    CHECK(addBody("a", 3 * large));          // sends enough
    CHECK(addBody("a", 2 * large));          // trickles
    CHECK(add("a").reserve(2 * large, now)); // its request runs
    move({ slowestLinkBytes, 1 });
    CHECK_FALSE(addBody("b", 4 * large));
    CHECK(reclaimed.empty()); // not in vain
    CHECK(addBody("b", 2 * large));
    CHECK(reclaimed == std::vector<std::size_t>{ 2 * large });
}

// Guards against large bodies that trickle and keep another address from being served.
TEST_CASE_METHOD(account_fixture, "a slow holder of a caller above its share gives way to another",
                 "[memory]")
{
    CHECK(addBody("a", 4 * large));
    CHECK(addBody("a", 3 * large));
    move({ trickle, trickle });
    CHECK(addBody("b", 2 * large));
    CHECK(reclaimed == std::vector<std::size_t>{ 4 * large }); // the slowest for its size
    CHECK(account.used() == 5 * large);
}

// Guards against the loss of bodies that come as fast as the slowest link permits, although their
// caller is above its share.
TEST_CASE_METHOD(account_fixture, "holders at the pace of the slowest link are kept", "[memory]")
{
    CHECK(addBody("a", 4 * large));
    CHECK(addBody("a", 3 * large));
    move({ slowestLinkBytes, slowestLinkBytes });
    CHECK_FALSE(addBody("b", 2 * large));
    CHECK(reclaimed.empty());
}

// Guards against the loss of a body whose first bytes are still on their way.
TEST_CASE_METHOD(account_fixture, "holders that have just begun are kept", "[memory]")
{
    CHECK(addBody("a", 4 * large));
    CHECK(addBody("a", 3 * large));
    now += memory_account::slowGrace;
    CHECK_FALSE(addBody("b", 2 * large));
    CHECK(reclaimed.empty());
}

// Guards against the loss of slow bodies of callers that hold no more than their share.
TEST_CASE_METHOD(account_fixture, "slow holders of a caller within its share are kept", "[memory]")
{
    CHECK(addBody("a", 2 * large));
    CHECK(addBody("b", 2 * large));
    CHECK(addBody("c", 2 * large));
    CHECK(addBody("d", large));
    for (int i = 0; i < 4; ++i) {
        now += memory_account::idleTime / 4;
        for (const auto &holder : holders)
            holder->noteProgress(memory_account::minProgress, now);
    }
    CHECK_FALSE(addBody("a", large));
    CHECK_FALSE(addBody("d", large));
    CHECK(reclaimed.empty());
}

// Guards against large bodies that replace each other before any of them is read, and against
// losses that do not help.
TEST_CASE_METHOD(account_fixture, "bodies beyond the share of their caller reclaim no slow holder",
                 "[memory]")
{
    CHECK(addBody("a", 4 * large));
    CHECK(add("c").reserve(3 * large, now)); // its request runs
    move({ trickle });
    CHECK_FALSE(addBody("b", 4 * large)); // of a share of a third
    CHECK(reclaimed.empty());
    CHECK(addBody("b", 2 * large));
    CHECK(reclaimed == std::vector<std::size_t>{ 4 * large });
}

// Guards against one client address that keeps the others from being served.
TEST_CASE_METHOD(account_fixture, "a caller gets no more than its share while others wait",
                 "[memory]")
{
    for (int i = 0; i < 6; ++i)
        CHECK(addBody("a", large));
    CHECK_FALSE(addBody("b", 2 * large));
    CHECK_FALSE(addBody("a", large));
    CHECK(addBody("b", large));
    holders.erase(holders.begin(), holders.begin() + 4);
    CHECK(addBody("a", large));
    CHECK(addBody("a", large));
    CHECK_FALSE(addBody("a", large)); // b still counts as waiting
    now += memory_account::waitingTime;
    CHECK(addBody("a", large));
}

// Guards against a budget that refuses the only request of a small host, and against answers that
// are lost although they are ready.
TEST_CASE_METHOD(account_fixture, "a single body and a ready answer are always granted", "[memory]")
{
    CHECK(addBody("a", 2 * limit));
    add("").charge(large, now);
    CHECK(account.used() == 2 * limit + large);
    CHECK_FALSE(addBody("b", kibibyte));
    CHECK(holders[0]->reserve(large, now)); // holds more already
}

} // namespace fescuedeck
