// Limit of the work in flight on one stage, near the knee of its throughput.
//
// Batching engines gain throughput with the number of items in flight up to their largest batch;
// beyond it only the latency grows. The limiter records the latency seen at each level of work in
// flight, derives the throughput at that level (level / latency), and allows the lowest level whose
// throughput is within a margin of the best, plus room to explore one step above what was seen.
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
    double margin = 0.97; // of the best throughput
};

class stage_limiter
{
public:
    explicit stage_limiter(stage_limiter_settings settings = {});

    // seconds: time in which one item passed the stage while inFlight items were there.
    void record(double inFlight, double seconds);
    double limit() const { return m_limit; }

private:
    static constexpr std::size_t levelCount = 48;

    struct level
    {
        double seconds = 0;
        double inFlight = 0;
        int samples = 0;
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
