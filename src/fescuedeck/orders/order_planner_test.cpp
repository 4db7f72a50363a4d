#include "fescuedeck/orders/order_planner.h"

#include <algorithm>

#include <catch2/catch.hpp>

#include "fescuedeck/orders/chain_capacity.h"

namespace fescuedeck {
namespace {

constexpr int chains = 5;
constexpr duration tick = std::chrono::milliseconds(100);

// Returns a bundle in which each chain consists of two endpoints, one for each half of the model's
// layers. If `swapped` is true, the endpoints of the first chain have exchanged their halves.
std::shared_ptr<const bundle> makeBundle(const std::string &version, bool swapped,
                                         const std::vector<bool> &checksFencing)
{
    auto content = std::make_shared<bundle>();
    model_spec model;
    model.name = "waiver";
    model.version = version;
    model.layers = 32;
    content->models = { model };
    for (int i = 0; i < 2 * chains; ++i) {
        endpoint_spec endpoint;
        endpoint.id = "e" + std::to_string(i);
        endpoint.model = model.name;
        endpoint.version = version;
        const bool isFirstHalf = (i % 2 == 0) != (swapped && i < 2);
        endpoint.layers = isFirstHalf ? layer_range{ 0, 16 } : layer_range{ 16, 32 };
        endpoint.tokensPerSecond = 100;
        endpoint.checksFencing = checksFencing[i];
        content->endpoints.push_back(endpoint);
    }
    return content;
}

struct sim_engine
{
    bool checksFencing = true;
    std::int64_t fencing = -1;
    std::vector<engine_load> loads;
    std::vector<std::pair<engine_load, time_point>> loading;
    load_report reported; // shows the loads with a delay
    time_point reportedAt{};

    bool apply(const engine_order &order, time_point ready)
    {
        if (checksFencing && order.fencing < fencing)
            return false;
        fencing = order.fencing;
        const auto isDropped = [&](const engine_load &load) {
            return std::find(order.loads.begin(), order.loads.end(), load) == order.loads.end();
        };
        loads.erase(std::remove_if(loads.begin(), loads.end(), isDropped), loads.end());
        loading.clear();
        for (const engine_load &load : order.loads) {
            if (std::find(loads.begin(), loads.end(), load) == loads.end())
                loading.emplace_back(load, ready);
        }
        return true;
    }

    void advance(time_point now, duration lag)
    {
        for (const auto &[load, ready] : loading) {
            if (ready <= now)
                loads.push_back(load);
        }
        loading.erase(std::remove_if(loading.begin(), loading.end(),
                                     [&](const auto &entry) { return entry.second <= now; }),
                      loading.end());
        if (now < reportedAt + lag)
            return;
        reported = { "i1", false, loads };
        reportedAt = now;
    }
};

struct sim_order
{
    int router;
    engine_order order;
    time_point arrives;
};

struct sim_router
{
    lease_keeper keeper;
    order_planner planner;
    time_point pausedUntil{};
};

// Simulates engines, the log's lease table and two routers on virtual time.
class simulation
{
public:
    explicit simulation(std::uint64_t seed)
        : m_random(seededRandom(seed))
    {
        std::vector<bool> checks;
        for (int i = 0; i < 2 * chains; ++i)
            checks.push_back(randomBelow(2) == 0);
        const auto oldBundle = makeBundle("1", false, checks);
        m_wanted = makeBundle("2", true, checks);
        for (const endpoint_spec &endpoint : oldBundle->endpoints) {
            sim_engine &engine = m_engines[endpoint.id];
            engine.checksFencing = endpoint.checksFencing;
            engine.loads = { { "waiver", "1", endpoint.layers, {} } };
            engine.reported = { "i1", false, engine.loads };
        }
        for (int i = 0; i < 2; ++i) {
            m_routers.push_back(
                    { lease_keeper({}, "waiver", "r" + std::to_string(i), seededRandom(seed + i)),
                      order_planner({}, "waiver") });
            m_routers.back().planner.setBundle(m_wanted);
        }
    }

    // Returns the time at which the lease holder found that the engines hold what the bundle wants,
    // or time_point::max() if this did not happen within the simulated time.
    time_point run()
    {
        for (time_point now{}; now < time_point(std::chrono::minutes(10)); now += tick) {
            step(now);
            REQUIRE((capacity() >= neededTokens || bestCapacity() >= neededTokens));
            for (const sim_router &router : m_routers) {
                if (router.planner.hasConverged(now) && router.keeper.authority(now))
                    return now;
            }
        }
        return time_point::max();
    }

    double capacity() const
    {
        std::map<std::string, std::vector<engine_load>> held;
        for (const auto &[id, engine] : m_engines)
            held[id] = engine.loads;
        return detail::serving_capacity(*m_wanted, held).currentCapacity("waiver");
    }

    // Returns the largest capacity over all ways to choose one load for each engine.
    double bestCapacity() const
    {
        double best = 0;
        for (unsigned choice = 0; choice < 1U << (2U * chains); ++choice) {
            std::map<std::string, std::vector<engine_load>> held;
            unsigned bits = choice;
            for (const auto &[id, engine] : m_engines) {
                if (!engine.loads.empty())
                    held[id] = { engine.loads[(bits & 1U) % engine.loads.size()] };
                bits >>= 1U;
            }
            best = std::max(best,
                            detail::serving_capacity(*m_wanted, held).currentCapacity("waiver"));
        }
        return best;
    }

    int refusals() const { return m_refusals; }

    static constexpr double neededTokens = 0.8 * 100 * chains;

private:
    std::int64_t randomBelow(std::int64_t bound)
    {
        return static_cast<std::int64_t>(uniformBelow(m_random, bound));
    }

    duration randomMillisBelow(std::int64_t bound)
    {
        return std::chrono::milliseconds(randomBelow(bound));
    }

    void step(time_point now)
    {
        const unix_millis wall = std::chrono::duration_cast<unix_millis>(now.time_since_epoch());
        for (auto &[id, engine] : m_engines)
            engine.advance(now, std::chrono::milliseconds(1500));
        deliver(now);
        for (int i = 0; i < 2; ++i) {
            sim_router &router = m_routers[i];
            if (now < router.pausedUntil)
                continue;
            const auto request = router.keeper.poll(now, wall, m_log.find("waiver"), true);
            if (request && randomBelow(10) != 0)
                m_log.apply(*request, m_offset++, wall);
            for (const auto &[id, engine] : m_engines)
                router.planner.recordReport(id, engine.reported, now);
            plan(i, now);
            if (randomBelow(150) == 0)
                router.pausedUntil = now + randomMillisBelow(20'000);
        }
    }

    void plan(int index, time_point now)
    {
        sim_router &router = m_routers[index];
        const auto authority = router.keeper.authority(now);
        if (!authority)
            return;
        for (const engine_order &order : router.planner.plan(now, *authority)) {
            // An engine that checks the fencing number may also get an order long after it was
            // sent.
            const bool isLate = m_engines[order.endpoint].checksFencing && randomBelow(10) == 0;
            if (randomBelow(10) != 0)
                m_orders.push_back(
                        { index, order, now + randomMillisBelow(isLate ? 30'000 : 1000) });
        }
    }

    void deliver(time_point now)
    {
        std::vector<sim_order> later;
        for (const sim_order &sent : m_orders) {
            if (sent.arrives > now) {
                later.push_back(sent);
                continue;
            }
            const duration loadTime = std::chrono::seconds(1) + randomMillisBelow(15'000);
            const bool accepted = m_engines[sent.order.endpoint].apply(sent.order, now + loadTime);
            m_refusals += accepted ? 0 : 1;
            if (randomBelow(10) != 0)
                m_routers[sent.router].planner.recordAnswer(sent.order.endpoint, accepted, now);
        }
        m_orders = later;
    }

    random_fn m_random;
    std::shared_ptr<const bundle> m_wanted;
    std::map<std::string, sim_engine> m_engines;
    std::vector<sim_router> m_routers;
    std::vector<sim_order> m_orders;
    detail::lease_table m_log;
    std::int64_t m_offset = 0;
    int m_refusals = 0;
};

order_authority authorityFrom(std::int64_t firstFencing, time_point removalsAllowedFrom = {},
                              std::int64_t fencing = 0)
{
    return { std::max(firstFencing, fencing), firstFencing, removalsAllowedFrom };
}

planner_policy unlimitedLoadRate()
{
    planner_policy policy;
    policy.layersPerSecond = policy.burstLayers = 1e6;
    return policy;
}

struct planner_fixture
{
    explicit planner_fixture(bool checksFencing)
        : wanted(makeBundle("2", false, std::vector<bool>(2 * chains, checksFencing)))
    {
        planner.setBundle(wanted);
    }

    // Every engine reports that it holds its wanted range in these versions of the model.
    void reportAll(time_point now, const std::vector<std::string> &versions = { "1", "2" })
    {
        for (const endpoint_spec &endpoint : wanted->endpoints) {
            load_report report{ "i1", false, {} };
            for (const std::string &version : versions)
                report.loads.push_back({ "waiver", version, endpoint.layers, {} });
            planner.recordReport(endpoint.id, report, now);
        }
    }

    std::shared_ptr<const bundle> wanted;
    order_planner planner{ unlimitedLoadRate(), "waiver" };
};

} // namespace

TEST_CASE("two routers with process pauses bring the engines to what the bundle wants", "[orders]")
{
    // Guards against orders of two holders that together reduce the model's capacity below the
    // needed one. Some engines check the fencing number and some ignore it.
    int refusals = 0;
    for (int seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        simulation sim(seed);
        REQUIRE(sim.run() != time_point::max());
        CHECK(sim.capacity() == Approx(100.0 * chains));
        refusals += sim.refusals();
    }
    CHECK(refusals > 0);
}

TEST_CASE("removals wait until orders of a previous holder can no longer take effect", "[orders]")
{
    const bool checksFencing = GENERATE(false, true);
    CAPTURE(checksFencing);
    planner_fixture test(checksFencing);
    const order_authority authority = authorityFrom(9, time_point(std::chrono::seconds(6)));
    const time_point answered(std::chrono::seconds(8));
    const time_point settled = checksFencing ? answered : authority.removalsAllowedFrom;
    const time_point removed = settled + planner_policy().reportLag;
    int orders = 0;
    for (time_point now{}; now < removed; now += tick) {
        test.reportAll(now);
        for (const engine_order &order : test.planner.plan(now, authority)) {
            REQUIRE(order.loads.size() == 2);
            ++orders;
        }
        for (const endpoint_spec &endpoint : test.wanted->endpoints) {
            if (now == answered)
                test.planner.recordAnswer(endpoint.id, true, now);
        }
    }
    // Only an engine that checks the fencing number needs an order that changes nothing, because
    // accepting it makes the engine refuse the orders of the previous holder.
    CHECK((orders > 0) == checksFencing);
    test.reportAll(removed);
    CHECK(test.planner.plan(removed, authority).size() == 2 * chains);
}

TEST_CASE("a load that an unanswered order may still drop does not count as capacity", "[orders]")
{
    // Guards against counting on a load that an older order drops again, because the older order
    // arrives after the newer one that added the load.
    planner_fixture test(true);
    const auto at = [](int seconds) { return time_point(std::chrono::seconds(seconds)); };
    test.reportAll(at(0), { "1" });
    for (const engine_order &order : test.planner.plan(at(0), authorityFrom(9)))
        test.planner.recordAnswer(order.endpoint, order.endpoint > "e2", at(0));
    // The engines e0, e1 and e2 did not answer their first order, so it may still arrive. They
    // accept the next one, as do all other engines.
    test.wanted = makeBundle("3", false, std::vector<bool>(2 * chains, true));
    test.planner.setBundle(test.wanted);
    for (const engine_order &order : test.planner.plan(at(2), authorityFrom(9)))
        test.planner.recordAnswer(order.endpoint, true, at(2));
    test.reportAll(at(5), { "1", "3" });
    const auto removals = test.planner.plan(at(5), authorityFrom(9));
    for (const engine_order &order : removals)
        CHECK(order.endpoint > "e2");
    // Once an engine has accepted a higher fencing number, it refuses the late orders.
    for (const engine_order &order : test.planner.plan(at(6), authorityFrom(9, {}, 12)))
        test.planner.recordAnswer(order.endpoint, true, at(6));
    test.reportAll(at(9), { "1", "3" });
    CHECK(removals.size() + test.planner.plan(at(9), authorityFrom(9, {}, 12)).size()
          >= 2 * chains);
}

TEST_CASE("an engine that changes its model keeps the old layers while they are needed", "[orders]")
{
    // Guards against a removal that checks only the capacity of the model that the engine now
    // belongs to, and so takes needed capacity from the old model.
    auto wanted = std::make_shared<bundle>(
            *makeBundle("1", false, std::vector<bool>(2 * chains, false)));
    model_spec writer = wanted->models.front();
    writer.name = "writer";
    wanted->models.push_back(writer);
    wanted->endpoints[0].model = "writer";
    wanted->endpoints[0].layers = { 0, 32 };
    order_planner planner(unlimitedLoadRate(), "writer");
    planner.setBundle(wanted);
    const auto removes = [&](time_point now, int chainsInUse) {
        planner.recordReport(
                "e0",
                { "i1",
                  false,
                  { { "waiver", "1", { 0, 16 }, {} }, { "writer", "1", { 0, 32 }, {} } } },
                now);
        for (int i = 1; i < 2 * chainsInUse; ++i)
            planner.recordReport(
                    "e" + std::to_string(i),
                    { "i1", false, { { "waiver", "1", wanted->endpoints[i].layers, {} } } }, now);
        return !planner.plan(now, authorityFrom(1)).empty();
    };
    // The bundle wants four chains of the old model, and 80 % of their capacity is needed. If three
    // of them and the old chain of e0 are in use, e0 must keep its old layers.
    CHECK_FALSE(removes(time_point(std::chrono::seconds(5)), 4));
    CHECK(removes(time_point(std::chrono::seconds(6)), 5));
}

TEST_CASE("loads are limited to the weight store's rate", "[orders]")
{
    const std::vector<bool> ignoreFencing(2 * chains, false);
    const auto wanted = makeBundle("2", false, ignoreFencing);
    planner_policy policy;
    policy.layersPerSecond = 4;
    policy.burstLayers = 20;
    order_planner planner(policy, "waiver");
    planner.setBundle(wanted);
    int ordered = 0;
    for (time_point now{}; now <= time_point(std::chrono::seconds(12)); now += tick) {
        for (const endpoint_spec &endpoint : wanted->endpoints)
            planner.recordReport(endpoint.id, { "i1", false, {} }, now);
        for (const engine_order &order : planner.plan(now, authorityFrom(1))) {
            CHECK(order.loads.size() == 1);
            planner.recordAnswer(order.endpoint, true, now);
            ++ordered;
        }
        // One load of 16 layers may make the balance of the budget negative.
        const double seconds = std::chrono::duration<double>(now.time_since_epoch()).count();
        REQUIRE(ordered * 16 <= 20 + 4 * seconds + 16);
    }
    CHECK(ordered >= 4);
}

// Guards against an overload of the weight store after a bundle with more models, each of which
// must then get a lower rate.
TEST_CASE("a new load rate replaces that of the policy", "[orders]")
{
    const std::vector<bool> ignoreFencing(2 * chains, false);
    const auto wanted = makeBundle("2", false, ignoreFencing);
    order_planner planner({}, "waiver");
    planner.setBundle(wanted);
    planner.setLoadRate({ 4, 16 });
    const auto ordersAt = [&](time_point now) {
        for (const endpoint_spec &endpoint : wanted->endpoints)
            planner.recordReport(endpoint.id, { "i1", false, {} }, now);
        const auto orders = planner.plan(now, authorityFrom(1));
        for (const engine_order &order : orders)
            planner.recordAnswer(order.endpoint, true, now);
        return orders.size();
    };
    CHECK(ordersAt({}) == 1);
    CHECK(ordersAt({}) == 0);
    CHECK(ordersAt(time_point(std::chrono::seconds(4))) == 1);
}

TEST_CASE("an engine that restarts gets its order again", "[orders]")
{
    const std::vector<bool> checkFencing(2 * chains, true);
    const auto wanted = makeBundle("2", false, checkFencing);
    order_planner planner({}, "waiver");
    planner.setBundle(wanted);
    planner.recordReport("e0", { "i1", false, {} }, {});
    REQUIRE(planner.plan({}, authorityFrom(1)).size() == 1);
    planner.recordAnswer("e0", true, {});
    CHECK(planner.plan(time_point(std::chrono::seconds(5)), authorityFrom(1)).empty());
    planner.recordReport("e0", { "i2", false, {} }, time_point(std::chrono::seconds(5)));
    CHECK(planner.plan(time_point(std::chrono::seconds(5)), authorityFrom(1)).size() == 1);
    planner.recordReport("e0", { "i2", true, {} }, time_point(std::chrono::seconds(9)));
    CHECK(planner.plan(time_point(std::chrono::seconds(9)), authorityFrom(1)).empty());
}

TEST_CASE("only ranges that form a complete chain add to the capacity", "[orders]")
{
    using detail::chainCapacity;
    CHECK(chainCapacity({ { { 0, 16 }, 100 }, { { 16, 32 }, 60 } }, 32) == Approx(60));
    // The ranges cover all layers, but neither begins where the other ends.
    CHECK(chainCapacity({ { { 0, 20 }, 100 }, { { 16, 32 }, 60 } }, 32) == Approx(0));
    CHECK(chainCapacity({ { { 0, 8 }, 50 },
                          { { 8, 32 }, 20 },
                          { { 0, 16 }, 30 },
                          { { 8, 16 }, 40 },
                          { { 16, 32 }, 45 } },
                        32)
          == Approx(65));
}

TEST_CASE("reports and orders keep their JSON format", "[orders]")
{
    const auto report = parseLoadReport(R"({"incarnation":"i1","state":"serving","layers":[
            {"model":"waiver","version":"2","begin":0,"end":16,"adapters":["tent"]}]})");
    REQUIRE(report);
    CHECK(report.value().loads.front() == engine_load{ "waiver", "2", { 0, 16 }, { "tent" } });
    CHECK_FALSE(parseLoadReport(R"({"incarnation":"i1"})"));
    CHECK(orderBody({ "e0", "", 7, report.value().loads }, { { "waiver", 32 } })
          == R"({"fencing":7,"wanted":{"loads":[{"adapters":["tent"],"layer_begin":0,)"
             R"("layer_end":16,"layers":32,"model":"waiver","version":"2"}],"role":"serving"}})");
}

} // namespace fescuedeck
