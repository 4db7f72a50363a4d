// Plays one case of the review against a gateway process.
//
// Usage: review_case CASE GATEWAY FOLDER RECORD
// The exit status is 0 if the rule held, 1 if it was broken and 2 if the case could not run. The
// variable TROUBLE=0 leaves out the disruption.
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "cases.h"

namespace {

bool isTroubleWanted()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::strcmp(value, "0") != 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 5) {
        std::fprintf(stderr, "usage: review_case CASE GATEWAY FOLDER RECORD\n");
        return review::couldNotRun;
    }
    review::recorder record(argv[4]);
    const review::case_context context{ argv[2], argv[3], record, isTroubleWanted() };
    record.note(std::string("disruption: ") + (context.hasTrouble ? "yes" : "no"));
    const int result = review::playCase(argv[1], context);
    record.note("result: " + std::to_string(result));
    std::printf("%s\n", result == review::ruleHeld     ? "the rule held"
                        : result == review::ruleBroken ? "the rule was broken"
                                                       : "the case could not run");
    return result;
}
