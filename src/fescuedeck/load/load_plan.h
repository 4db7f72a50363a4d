// What the load generator sends and when, fixed by a seed before the run starts.
#ifndef FESCUEDECK_LOAD_LOAD_PLAN_H
#define FESCUEDECK_LOAD_LOAD_PLAN_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "fescuedeck/base/error.h"
#include "fescuedeck/base/time.h"

namespace fescuedeck {

enum class load_kind { Draft, Write, Read };
// "draft", "write" or "read".
std::string loadKindName(load_kind kind);

struct load_workspace
{
    std::string name;
    std::string token; // bearer token
    double weight = 1; // share of the arrivals
};

struct load_options
{
    std::vector<std::string> routers; // ip:port of callers' addresses
    std::vector<load_workspace> workspaces;
    std::string model;
    std::string adapter;
    int maxTokens = 32;
    int prompts = 50; // distinct prompts; repeated ones allow tokens to be compared
    int promptBytes = 64;
    std::string servicePrefix = "/desk";
    double draftShare = 1;
    double writeShare = 0;
    double readShare = 0;
    double requestsPerSecond = 10;
    int count = 100;                          // most requests
    duration time = std::chrono::seconds(60); // no arrivals after this
    duration requestTimeout = std::chrono::seconds(60);
    int maxInFlight = 2000; // arrivals beyond this are counted, not sent
    std::uint64_t seed = 1;
};

struct planned_request
{
    duration at{ 0 }; // since the start of the run
    load_kind kind = load_kind::Draft;
    std::size_t workspace = 0; // index in the options
    std::size_t router = 0;    // index in the options
    std::string id;            // of a write's record; unique within the plan
    std::string prompt;
};

// InvalidSettings if there is no router, workspace or share, or a number is out of range.
result<load_options> checkLoadOptions(load_options options);
// "name:token" or "name:token:weight", separated by commas.
result<std::vector<load_workspace>> parseWorkspaces(const std::string &text);
// Arrivals of a Poisson process, in order of time. The same options give the same plan.
std::vector<planned_request> planLoad(const load_options &options);

} // namespace fescuedeck

#endif
