#include "fescuedeck/stream/step_timeout.h"

#include <catch2/catch.hpp>

namespace fescuedeck {

TEST_CASE("the step timeout is a multiple of the stage's own step times", "[stream]")
{
    // Guards against failing a healthy stage that runs on a slow kind of accelerator.
    using std::chrono::milliseconds;
    step_timeout_settings settings;
    settings.minimumSamples = 4;
    CHECK(stepTimeout({}, 1, settings) == settings.initial);
    CHECK(stepTimeout(std::vector<duration>(4, milliseconds(1)), 1, settings) == settings.floor);
    const std::vector<duration> slow
            = { milliseconds(90), milliseconds(100), milliseconds(80), milliseconds(70) };
    CHECK(stepTimeout(slow, 1, settings) == milliseconds(400));
    CHECK(stepTimeout(slow, 101, settings) == milliseconds(2400));
}

} // namespace fescuedeck
