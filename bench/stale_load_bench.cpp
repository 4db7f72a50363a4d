// Compares ways to choose an endpoint by loads that are some time old, on virtual time.
//
// Many deciders send requests to the endpoints of one failure domain. Each decider knows its own
// work exactly and that of the others as it was a given time ago. Prints one line for each case,
// number of deciders, age and way: the mean of "largest load over mean load, less one" and the
// variance of the loads relative to their mean, both of loads per capacity, sampled every 50 ms.
// For the cases with a joining or silent endpoint it also prints the greatest load of that endpoint
// over the mean. The case "chains" runs chooseChain() for engines that hold a third of the layers
// each, with the age of the figures as it is (spread) and taken for zero (as_fresh).
// Usage: stale_load_bench [seed [equal|mixed|join|silent|chains]]
#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <numeric>
#include <queue>
#include <string>
#include <vector>

#include "fescuedeck/base/hash.h"
#include "fescuedeck/base/random.h"
#include "fescuedeck/gateway/endpoint_choice.h"
#include "fescuedeck/gateway/load_estimate.h"
#include "fescuedeck/gateway/stale_choice.h"

namespace fescuedeck::bench {
namespace {

constexpr int endpoints = 33; // of one failure domain of the larger site
constexpr double holdSeconds = 7;
constexpr double utilization = 0.6;
constexpr double warmUpSeconds = 30;
constexpr double runSeconds = 90;
constexpr double eventSeconds = 45; // when an endpoint joins or falls silent
constexpr double eventWindowSeconds = 10;

enum class way {
    LeastReported,  // of the others, without the own choices since
    LeastLoaded,    // of the others and own, as before
    BestOfTwo,      // the less loaded of two drawn by capacity
    FreeCapacity,   // drawn in proportion to the free capacity
    HandedShare,    // an equal share of the free capacity, less the own choices since
    Rendezvous,     // the least loaded of three that the decider prefers
    EvenFill,       // chooseByStaleLoad
    EvenFillChange, // the same, with the loads moved by their change
    OffsetQuarter,  // least loaded with an offset of up to a quarter of the unseen work
    Offset,         // of up to all of the unseen work
};

struct way_name
{
    way value;
    const char *name;
};

constexpr way_name ways[] = {
    { way::LeastReported, "least_reported" }, { way::LeastLoaded, "least_loaded" },
    { way::BestOfTwo, "best_of_two" },        { way::FreeCapacity, "free_capacity" },
    { way::HandedShare, "handed_share" },     { way::Rendezvous, "rendezvous" },
    { way::EvenFill, "even_fill" },           { way::EvenFillChange, "even_fill_change" },
    { way::OffsetQuarter, "offset_quarter" }, { way::Offset, "offset" },
};

struct options
{
    std::uint64_t seed = 1;
    int deciders = 4;
    double ageSeconds = 0;
    bool isMixed = false;
    bool joins = false;  // the last endpoint joins at eventSeconds
    bool silent = false; // the figures of the last endpoint stop at eventSeconds
};

struct outcome
{
    double excess = 0;
    double variance = 0;
    double eventPeak = 0;
};

struct event
{
    enum kind { Arrival, End, Reported, Sample };
    double at;
    kind what;
    int decider;
    int endpoint;
    int change; // of the reported load
    bool operator>(const event &other) const { return at > other.at; }
};

class simulation
{
public:
    simulation(const options &given, way chosen)
        : m_options(given)
        , m_way(chosen)
        , m_random(seededRandom(given.seed))
        , m_load(endpoints)
        , m_reported(endpoints)
        , m_sampled(endpoints)
        , m_peers(endpoints)
        , m_unreported(static_cast<std::size_t>(given.deciders) * endpoints)
    {
        for (int i = 0; i < endpoints; ++i)
            m_capacity.push_back(given.isMixed ? 16 << (i % 3) : 32);
        m_used = given.joins ? endpoints - 1 : endpoints;
        m_rate = utilization * std::accumulate(m_capacity.begin(), m_capacity.end(), 0.0)
                 / holdSeconds;
    }

    outcome run()
    {
        push(0, event::Arrival);
        push(warmUpSeconds, event::Sample);
        while (m_events.top().at < runSeconds) {
            const event next = m_events.top();
            m_events.pop();
            m_now = next.at;
            handle(next);
        }
        return { m_excess / m_samples, m_variance / m_samples, m_eventPeak };
    }

private:
    void push(double after, event::kind what, int decider = 0, int endpoint = 0, int change = 0)
    {
        m_events.push({ m_now + after, what, decider, endpoint, change });
    }

    void handle(const event &next)
    {
        switch (next.what) {
        case event::Arrival:
            arrive();
            break;
        case event::End:
            change(next.decider, next.endpoint, -1);
            break;
        case event::Reported:
            m_reported[next.endpoint] += next.change;
            at(m_unreported, next.decider, next.endpoint) -= next.change;
            break;
        case event::Sample:
            sample();
            push(0.05, event::Sample);
            break;
        }
    }

    void arrive()
    {
        if (m_options.joins && m_now >= eventSeconds)
            m_used = endpoints;
        const int decider = static_cast<int>(
                uniformBelow(m_random, static_cast<std::uint64_t>(m_options.deciders)));
        const int endpoint = choose(decider);
        change(decider, endpoint, 1);
        push(exponential(holdSeconds), event::End, decider, endpoint);
        push(exponential(1 / m_rate), event::Arrival);
    }

    void change(int decider, int endpoint, int amount)
    {
        m_load[endpoint] += amount;
        at(m_unreported, decider, endpoint) += amount;
        const bool isSilent
                = m_options.silent && endpoint == endpoints - 1 && m_now >= eventSeconds;
        if (!isSilent)
            push(m_options.ageSeconds, event::Reported, decider, endpoint, amount);
    }

    double exponential(double mean) { return -mean * std::log(1 - uniformReal(m_random)); }

    int &at(std::vector<int> &of, int decider, int endpoint)
    {
        return of[static_cast<std::size_t>(decider) * endpoints
                  + static_cast<std::size_t>(endpoint)];
    }

    // What the decider takes for the load.
    std::vector<choice_candidate> view(int decider)
    {
        std::vector<choice_candidate> seen;
        for (int i = 0; i < m_used; ++i) {
            double load = m_reported[i];
            if (m_way == way::EvenFillChange) {
                const peer_figures figures{ timeOf(m_now - m_options.ageSeconds),
                                            m_peers[i].changePerSecond };
                load = estimateLoad(0, m_reported[i], figures, timeOf(m_now)).load;
            }
            if (m_way != way::LeastReported && m_way != way::HandedShare)
                load += at(m_unreported, decider, i);
            seen.push_back({ load, m_capacity[i] });
        }
        return seen;
    }

    int choose(int decider)
    {
        const std::vector<choice_candidate> seen = view(decider);
        const std::uint64_t hash = m_random();
        double total = 0;
        for (const choice_candidate &one : seen)
            total += one.load;
        const double unseen = total * std::min(1.0, m_options.ageSeconds / holdSeconds)
                              * (m_options.deciders - 1) / m_options.deciders;
        switch (m_way) {
        case way::LeastReported:
        case way::LeastLoaded:
            return static_cast<int>(chooseByStaleLoad(seen, 0, hash));
        case way::BestOfTwo: {
            const int a = drawBy(seen, [](const choice_candidate &one) { return one.capacity; });
            const int b = drawBy(seen, [](const choice_candidate &one) { return one.capacity; });
            return fill(seen[a]) <= fill(seen[b]) ? a : b;
        }
        case way::FreeCapacity:
            return drawBy(seen, [](const choice_candidate &one) {
                return std::max(0.01, one.capacity - one.load);
            });
        case way::HandedShare:
            return leastBy(seen, [&](int i) {
                const double free = seen[i].capacity - seen[i].load;
                return at(m_unreported, decider, i) - free / m_options.deciders;
            });
        case way::Rendezvous:
            return preferred(decider, seen);
        case way::EvenFill:
        case way::EvenFillChange:
            return static_cast<int>(chooseByStaleLoad(seen, unseen, hash));
        case way::OffsetQuarter:
        case way::Offset: {
            const double spread = m_way == way::Offset ? unseen : unseen / 4;
            return leastBy(seen, [&](int i) {
                return fill(seen[i])
                       + loadOffset(std::to_string(i), spread, hash) / seen[i].capacity;
            });
        }
        }
        return 0;
    }

    static double fill(const choice_candidate &one) { return one.load / one.capacity; }

    template <typename Weight>
    int drawBy(const std::vector<choice_candidate> &seen, Weight weight)
    {
        double total = 0;
        for (const choice_candidate &one : seen)
            total += weight(one);
        double draw = uniformReal(m_random) * total;
        for (std::size_t i = 0; i < seen.size(); ++i) {
            draw -= weight(seen[i]);
            if (draw < 0)
                return static_cast<int>(i);
        }
        return 0;
    }

    template <typename Cost>
    static int leastBy(const std::vector<choice_candidate> &seen, Cost cost)
    {
        int best = 0;
        double bestCost = cost(0);
        for (int i = 1; i < static_cast<int>(seen.size()); ++i) {
            const double next = cost(i);
            if (next < bestCost) {
                best = i;
                bestCost = next;
            }
        }
        return best;
    }

    int preferred(int decider, const std::vector<choice_candidate> &seen) const
    {
        std::vector<std::pair<std::uint64_t, int>> order;
        for (int i = 0; i < static_cast<int>(seen.size()); ++i)
            order.emplace_back(
                    stableHash(std::to_string(i), static_cast<std::uint64_t>(decider) + 1), i);
        std::partial_sort(order.begin(), order.begin() + 3, order.end());
        int best = order[0].second;
        for (int k = 1; k < 3; ++k) {
            if (fill(seen[order[k].second]) < fill(seen[best]))
                best = order[k].second;
        }
        return best;
    }

    static time_point timeOf(double seconds)
    {
        return time_point{} + std::chrono::hours(1)
               + std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
    }

    void sample()
    {
        double load = 0;
        double capacity = 0;
        for (int i = 0; i < m_used; ++i) {
            load += m_load[i];
            capacity += m_capacity[i];
            recordFigures(m_peers[i], m_sampled[i], m_reported[i],
                          timeOf(m_now - m_options.ageSeconds));
            m_sampled[i] = m_reported[i];
        }
        const double mean = load / capacity;
        double largest = 0;
        double variance = 0;
        for (int i = 0; i < m_used; ++i) {
            const double relative = m_load[i] / m_capacity[i] / mean;
            largest = std::max(largest, relative);
            variance += (relative - 1) * (relative - 1) / m_used;
        }
        const bool isInWindow = m_now >= eventSeconds && m_now < eventSeconds + eventWindowSeconds;
        if (isInWindow)
            m_eventPeak = std::max(m_eventPeak,
                                   m_load[endpoints - 1] / m_capacity[endpoints - 1] / mean);
        m_excess += largest - 1;
        m_variance += variance;
        ++m_samples;
    }

    const options m_options;
    const way m_way;
    random_fn m_random;
    double m_now = 0;
    double m_rate = 0; // requests a second
    int m_used = endpoints;
    std::vector<double> m_capacity;
    std::vector<double> m_load;
    std::vector<double> m_reported; // of all deciders, as old as the figures are
    std::vector<double> m_sampled;  // m_reported at the last sample
    std::vector<peer_figures> m_peers;
    std::vector<int> m_unreported; // by decider and endpoint: own changes not in m_reported yet
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    double m_excess = 0;
    double m_variance = 0;
    double m_eventPeak = 0;
    int m_samples = 0;
};

void compare(const std::string &name, options given)
{
    for (const int deciders : { 4, 30, 142, 640 }) {
        for (const double age : { 0.0, 0.1, 0.4, 1.0 }) {
            for (const way_name &one : ways) {
                given.deciders = deciders;
                given.ageSeconds = age;
                const outcome result = simulation(given, one.value).run();
                std::printf("%s deciders %d age_ms %.0f %s excess %.3f variance %.4f peak %.2f\n",
                            name.c_str(), deciders, age * 1000, one.name, result.excess,
                            result.variance, result.eventPeak);
                std::fflush(stdout);
            }
        }
    }
}

engine_spec chainSpec()
{
    engine_spec spec;
    spec.layers = 81;
    spec.layerMb = 400;
    spec.cacheBytesPerToken = 2e6;
    spec.stepMs = 30;
    spec.slots = 32;
    spec.usualPromptTokens = 760;
    spec.usualAnswerTokens = 138;
    spec.kinds = { { "card", 24000, 1, 1 } };
    return spec;
}

// Sends requests over chains of three engines. Figures of the peers have one age.
class chain_simulation
{
public:
    chain_simulation(const options &given, bool spreads)
        : m_options(given)
        , m_spreads(spreads)
        , m_random(seededRandom(given.seed))
        , m_load(endpoints)
        , m_reported(endpoints)
    {
        for (int decider = 0; decider < given.deciders; ++decider) {
            m_views.emplace_back();
            for (int i = 0; i < endpoints; ++i)
                m_views.back().push_back(engine(i));
            m_unreported.emplace_back(endpoints);
        }
        const double room = cacheFillTokens();
        m_rate = utilization * room * endpoints / parts / requestTokens / holdSeconds;
    }

    outcome run()
    {
        m_events.push({ 0, [this] { arrive(); } });
        m_events.push({ warmUpSeconds, [this] { sample(); } });
        while (m_events.top().at < runSeconds) {
            const timed next = m_events.top();
            m_events.pop();
            m_now = next.at;
            next.handle();
        }
        return { m_excess / m_samples, m_variance / m_samples, 0 };
    }

private:
    static constexpr int parts = 3;
    static constexpr double requestTokens = 898;

    struct timed
    {
        double at;
        std::function<void()> handle;
        bool operator>(const timed &other) const { return at > other.at; }
    };

    static endpoint_ptr engine(int number)
    {
        const int layers = chainSpec().layers / parts;
        const int begin = layers * (number % parts);
        auto made = std::make_shared<endpoint_record>();
        made->entry.id = "e" + std::to_string(number);
        made->entry.failureDomain = "a";
        made->entry.accelerator = "card";
        made->entry.layers = layer_range{ begin, begin + layers };
        made->usualHoldTime = std::chrono::milliseconds(static_cast<int>(holdSeconds * 1000));
        return made;
    }

    // Tokens that fill the usable cache of one engine.
    static double cacheFillTokens()
    {
        endpoint_record one = *engine(0);
        one.tokensInFlight = 1000;
        return 1000 / cacheFill(chainSpec(), one);
    }

    void arrive()
    {
        const auto decider = uniformBelow(m_random, static_cast<std::uint64_t>(m_options.deciders));
        std::vector<endpoint_ptr> &view = m_views[decider];
        const time_point now
                = time_point{} + std::chrono::hours(1)
                  + std::chrono::duration_cast<duration>(std::chrono::duration<double>(m_now));
        for (std::size_t i = 0; i < view.size(); ++i) {
            view[i]->peerTokensInFlight
                    = m_reported[i] - (view[i]->tokensInFlight - m_unreported[decider][i]);
            if (m_spreads)
                view[i]->peerFigures.at
                        = now
                          - std::chrono::microseconds(static_cast<int>(m_options.ageSeconds * 1e6));
        }
        const auto to = chooseChain(chainSpec(), view, { "a", {}, now, m_random(), 0 });
        for (const endpoint_ptr &stage : to->stages) {
            const auto index = static_cast<std::size_t>(std::stoi(stage->entry.id.substr(1)));
            change(decider, index, requestTokens);
        }
        const auto stages = to->stages;
        const double held = exponential(holdSeconds);
        m_events.push(
                { m_now + held, [this, decider, stages] {
                     for (const endpoint_ptr &stage : stages)
                         change(decider,
                                static_cast<std::size_t>(std::stoi(stage->entry.id.substr(1))),
                                -requestTokens);
                 } });
        m_events.push({ m_now + exponential(1 / m_rate), [this] { arrive(); } });
    }

    void change(std::size_t decider, std::size_t index, double tokens)
    {
        m_load[index] += tokens;
        m_views[decider][index]->tokensInFlight += tokens;
        m_unreported[decider][index] += tokens;
        m_events.push({ m_now + m_options.ageSeconds, [this, decider, index, tokens] {
                           m_reported[index] += tokens;
                           m_unreported[decider][index] -= tokens;
                       } });
    }

    double exponential(double mean) { return -mean * std::log(1 - uniformReal(m_random)); }

    void sample()
    {
        const double mean = std::accumulate(m_load.begin(), m_load.end(), 0.0) / endpoints;
        double largest = 0;
        for (const double load : m_load) {
            largest = std::max(largest, load / mean);
            m_variance += (load / mean - 1) * (load / mean - 1) / endpoints;
        }
        m_excess += largest - 1;
        ++m_samples;
        m_events.push({ m_now + 0.05, [this] { sample(); } });
    }

    const options m_options;
    const bool m_spreads;
    random_fn m_random;
    double m_now = 0;
    double m_rate = 0;                              // requests a second
    std::vector<std::vector<endpoint_ptr>> m_views; // by decider
    std::vector<std::vector<double>> m_unreported;  // by decider: own changes not reported yet
    std::vector<double> m_load;
    std::vector<double> m_reported;
    std::priority_queue<timed, std::vector<timed>, std::greater<>> m_events;
    double m_excess = 0;
    double m_variance = 0;
    int m_samples = 0;
};

void compareChains(options given)
{
    for (const int deciders : { 2, 4, 10, 47 }) {
        for (const double age : { 0.0, 0.15, 0.4, 1.0 }) {
            for (const bool spreads : { false, true }) {
                given.deciders = deciders;
                given.ageSeconds = age;
                const outcome result = chain_simulation(given, spreads).run();
                std::printf("chains deciders %d age_ms %.0f %s excess %.3f variance %.4f\n",
                            deciders, age * 1000, spreads ? "spread" : "as_fresh", result.excess,
                            result.variance);
                std::fflush(stdout);
            }
        }
    }
}

int run(int argc, char **argv)
{
    options given;
    given.seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    const std::string only = argc > 2 ? argv[2] : "";
    const auto isWanted = [&](const char *name) { return only.empty() || only == name; };
    if (isWanted("equal"))
        compare("equal", given);
    options mixed = given;
    mixed.isMixed = true;
    if (isWanted("mixed"))
        compare("mixed", mixed);
    options joining = given;
    joining.joins = true;
    if (isWanted("join"))
        compare("join", joining);
    options silent = given;
    silent.silent = true;
    if (isWanted("silent"))
        compare("silent", silent);
    if (isWanted("chains"))
        compareChains(given);
    return 0;
}

} // namespace
} // namespace fescuedeck::bench

int main(int argc, char **argv)
{
    return fescuedeck::bench::run(argc, argv);
}
