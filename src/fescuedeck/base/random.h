// Randomness as a hook. Production code passes a hook over a seeded std::mt19937_64; tests pass a
// fixed seed so that a run can be repeated.
#ifndef FESCUEDECK_BASE_RANDOM_H
#define FESCUEDECK_BASE_RANDOM_H

#include <cstdint>
#include <functional>
#include <memory>
#include <random>

namespace fescuedeck {

// Returns 64 uniformly distributed bits. Not thread-safe.
using random_fn = std::function<std::uint64_t()>;

inline random_fn seededRandom(std::uint64_t seed)
{
    auto engine = std::make_shared<std::mt19937_64>(seed);
    return [engine] { return (*engine)(); };
}

// Seeded by the system.
inline random_fn systemRandom()
{
    std::random_device device;
    const std::uint64_t high = device();
    return seededRandom((high << 32U) | device());
}

// Uniform in [0, 1).
inline double uniformReal(const random_fn &random)
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53: the precision of a double
    return static_cast<double>(random() >> 11U) * scale;
}

// Uniform in [0, bound); bound > 0. The bias of the modulo is below 2^-32 for bounds up to 2^32.
inline std::uint64_t uniformBelow(const random_fn &random, std::uint64_t bound)
{
    return random() % bound;
}

} // namespace fescuedeck

#endif
