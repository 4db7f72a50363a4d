// Runs the script that counts the tests of CI.
#include <catch2/catch.hpp>

#include "harness.h"

namespace fescuedeck::process_tests {

// Guards against tests that never ran being counted as passed.
TEST_CASE("tests that did not run because the test program ended count as failed", "[process]")
{
    const temporary_folder folder;
    child_process script("../scripts/run-test-program", { programPath("aborting_tests") },
                         folder.path(), "script");
    CHECK(script.waitForExit() == 1);
    const std::string output = script.output();
    CHECK(output.find("in the test \"b: ends the program\": 1 of 3 tests did not run")
          != std::string::npos);
    CHECK(output.find("1 of 3 tests passed\n") != std::string::npos);
}

} // namespace fescuedeck::process_tests
