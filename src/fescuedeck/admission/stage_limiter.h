// Limits the number of items in flight on one pipeline stage to about the lowest number that gives
// the full throughput.
//
// The throughput of a batching engine grows with the number of items in flight up to its largest
// batch; with more items only the latency grows. The limiter records the mean latency at each level
// of items in flight and computes the throughput of the level as items in flight / latency. The
// limit is the lowest level whose throughput is close enough to the best one. If that is the
// highest level measured so far, the limit leaves room to try the next higher one.
//
// Not thread-safe.
#ifndef FESCUEDECK_ADMISSION_STAGE_LIMITER_H
#define FESCUEDECK_ADMISSION_STAGE_LIMITER_H

#include <array>
#include <cstddef>

namespace fescuedeck {

struct stage_limiter_settings
{
    double initialLimit = 8;
    double minLimit = 1;
    double maxLimit = 4096;
    double margin = 0.97; // fraction of the best throughput that a level must reach
};

class stage_limiter
{
public:
    explicit stage_limiter(stage_limiter_settings settings = {});

    // Records that an item took `seconds` to pass the stage while `inFlight` items were in flight.
    void record(double inFlight, double seconds);
    // The largest number of items that should be in flight.
    double limit() const { return m_limit; }

private:
    static constexpr std::size_t levelCount = 48;

    struct level
    {
        double seconds = 0;  // mean latency
        double inFlight = 0; // mean number of items in flight
        int samples = 0;     // at most samplesToTrust
    };

    static std::size_t levelOf(double inFlight);
    void update();

    stage_limiter_settings m_settings;
    std::array<level, levelCount> m_levels{};
    double m_limit;
    int m_untilUpdate;
};

} // namespace fescuedeck

#endif
