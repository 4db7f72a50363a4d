#include "fescuedeck/telemetry/bounded_appender.h"

#include <array>

#include <fcntl.h>
#include <unistd.h>

#include <catch2/catch.hpp>

namespace fescuedeck {
namespace {

struct test_pipe
{
    test_pipe() { REQUIRE(::pipe(ends.data()) == 0); }
    ~test_pipe()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }

    std::string drain()
    {
        std::string text;
        std::array<char, 4096> bytes{};
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
        for (ssize_t count = 0; (count = ::read(ends[0], bytes.data(), bytes.size())) > 0;)
            text.append(bytes.data(), static_cast<std::size_t>(count));
        return text;
    }

    std::array<int, 2> ends{};
};

} // namespace

// Guards against a process that stops serving because nobody reads its log.
TEST_CASE("a reader that stops reading never holds the writer up", "[telemetry]")
{
    test_pipe pipe;
    bounded_line_writer writer(pipe.ends[1], 100 * 1000);
    const std::string line(999, 'x');
    for (int i = 0; i < 1000; ++i)
        writer.write(line);
    CHECK(writer.linesLeftOut() > 500);
    std::string text;
    for (int i = 0; i < 100; ++i) {
        text += pipe.drain();
        writer.flush();
    }
    CHECK(text.find("\"event\":\"log_lines_left_out\"") != std::string::npos);
    // What was written is whole.
    CHECK(text.substr(0, 1000) == line + "\n");
}

TEST_CASE("lines reach a reader in order", "[telemetry]")
{
    test_pipe pipe;
    bounded_line_writer writer(pipe.ends[1], 1000);
    writer.write("one");
    writer.write("two");
    CHECK(pipe.drain() == "one\ntwo\n");
    CHECK(writer.linesLeftOut() == 0);
}

} // namespace fescuedeck
