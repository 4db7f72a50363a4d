// Test support for simulations: a queue of events on virtual time, random choices that a seed
// determines, and a function that runs a simulation for many seeds.
#ifndef FESCUEDECK_STREAM_VIRTUAL_SCHEDULE_H
#define FESCUEDECK_STREAM_VIRTUAL_SCHEDULE_H

#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "fescuedeck/base/random.h"
#include "fescuedeck/base/time.h"

namespace fescuedeck {

// Events and random choices of one simulation. The same seed gives the same run.
class virtual_schedule
{
public:
    explicit virtual_schedule(std::uint64_t seed)
        : m_random(seededRandom(seed))
    {
    }

    time_point now() const { return m_now; }
    // Returns the wall time, which is 2026-01-01 00:00 UTC when now() is 0.
    unix_millis wall() const
    {
        return unix_millis(1767225600000)
               + std::chrono::duration_cast<unix_millis>(m_now.time_since_epoch());
    }
    const random_fn &random() const { return m_random; }
    // Returns a random number in [0, bound).
    int below(int bound) { return static_cast<int>(uniformBelow(m_random, bound)); }
    bool chance(double probability) { return uniformReal(m_random) < probability; }
    // Returns a random duration in [low, high].
    duration between(duration low, duration high)
    {
        return low + duration(below(static_cast<int>((high - low).count()) + 1));
    }

    // Schedules an event at now() + delay.
    void after(duration delay, std::function<void()> event)
    {
        m_events.emplace(m_now + delay, std::move(event));
    }
    // Runs the events up to and including the limit in the order of their times. Events with the
    // same time run in the order in which they were scheduled.
    void run(time_point limit)
    {
        while (!m_events.empty() && m_events.begin()->first <= limit) {
            const auto next = m_events.begin();
            m_now = next->first;
            const std::function<void()> event = std::move(next->second);
            m_events.erase(next);
            event();
        }
    }

private:
    random_fn m_random;
    time_point m_now{};
    std::multimap<time_point, std::function<void()>> m_events;
};

// Descriptions of the invariants that a simulation violated; empty if it violated none.
using violations = std::vector<std::string>;

// Returns the value of FESCUEDECK_SEED, or null if it is not set.
inline const char *onlySeed()
{
    return std::getenv("FESCUEDECK_SEED");
}

inline bool runsOneSeed()
{
    return onlySeed() != nullptr;
}

// Runs the simulation for the seeds 1 to count and returns the violations, each with its seed. If
// FESCUEDECK_SEED is set, runs only that seed.
inline violations runSeeds(int count,
                           const std::function<violations(std::uint64_t seed)> &simulation)
{
    violations all;
    const char *only = onlySeed();
    const std::uint64_t first = only ? std::strtoull(only, nullptr, 10) : 1;
    const std::uint64_t last = only ? first : count;
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        for (const std::string &violation : simulation(seed))
            all.push_back("seed " + std::to_string(seed) + ": " + violation);
    }
    return all;
}

// Returns a message for a failed check: the number of violations and the first few of them.
inline std::string summaryOf(const violations &all)
{
    constexpr std::size_t shown = 5;
    std::string text = std::to_string(all.size()) + " violations";
    for (std::size_t i = 0; i < all.size() && i < shown; ++i)
        text += "\n" + all[i];
    return text;
}

} // namespace fescuedeck

#endif
