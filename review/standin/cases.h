// The cases of the review that are shown by a script.
#ifndef REVIEW_STANDIN_CASES_H
#define REVIEW_STANDIN_CASES_H

#include "platform.h"

namespace review {

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

struct case_context
{
    std::string gateway; // the program
    std::string folder;  // for settings and logs
    recorder &record;
    bool hasTrouble;
};

int playCase(const std::string &name, const case_context &context);

} // namespace review

#endif
