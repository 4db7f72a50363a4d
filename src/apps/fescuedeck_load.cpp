// Command line of the load generator.
#include <cstdio>
#include <sstream>

#include <gflags/gflags.h>

#include "fescuedeck/load/load_generator.h"

DEFINE_string(routers, "", "callers' addresses (ip:port), separated by commas");
DEFINE_string(workspaces, "", "name:token[:weight], separated by commas");
DEFINE_string(model, "", "model of the drafts");
DEFINE_string(adapter, "", "adapter of the drafts");
DEFINE_int32(max_tokens, 32, "tokens of each draft");
DEFINE_int32(prompts, 50, "distinct prompts");
DEFINE_int32(prompt_bytes, 64, "length of each prompt");
DEFINE_string(service_prefix, "/desk", "path prefix of the plain service");
DEFINE_double(draft_share, 1, "share of drafts among the requests");
DEFINE_double(write_share, 0, "share of writes to the plain service");
DEFINE_double(read_share, 0, "share of reads from the plain service");
DEFINE_double(rate, 10, "requests per second");
DEFINE_int32(count, 100, "most requests");
DEFINE_double(seconds, 60, "no requests are sent after this time");
DEFINE_double(request_timeout, 60, "seconds after which a request is given up");
DEFINE_int32(max_in_flight, 2000, "requests beyond this are counted and not sent");
DEFINE_uint64(seed, 1, "seed of the arrivals and the prompts");
DEFINE_bool(json, false, "print the report as JSON");

namespace {

fescuedeck::duration seconds(double count)
{
    return std::chrono::duration_cast<fescuedeck::duration>(std::chrono::duration<double>(count));
}

std::vector<std::string> splitList(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream list(text);
    std::string part;
    while (std::getline(list, part, ','))
        parts.push_back(part);
    return parts;
}

fescuedeck::result<fescuedeck::load_options> optionsFromFlags()
{
    const auto workspaces = fescuedeck::parseWorkspaces(FLAGS_workspaces);
    if (!workspaces)
        return workspaces.error();
    fescuedeck::load_options options;
    options.routers = splitList(FLAGS_routers);
    options.workspaces = workspaces.value();
    options.model = FLAGS_model;
    options.adapter = FLAGS_adapter;
    options.maxTokens = FLAGS_max_tokens;
    options.prompts = FLAGS_prompts;
    options.promptBytes = FLAGS_prompt_bytes;
    options.servicePrefix = FLAGS_service_prefix;
    options.draftShare = FLAGS_draft_share;
    options.writeShare = FLAGS_write_share;
    options.readShare = FLAGS_read_share;
    options.requestsPerSecond = FLAGS_rate;
    options.count = FLAGS_count;
    options.time = seconds(FLAGS_seconds);
    options.requestTimeout = seconds(FLAGS_request_timeout);
    options.maxInFlight = FLAGS_max_in_flight;
    options.seed = FLAGS_seed;
    return fescuedeck::checkLoadOptions(options);
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("sends load to routers and reports latencies and errors; exits with 1 "
                            "if tokens were duplicated or missing");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto options = optionsFromFlags();
    if (!options) {
        std::fprintf(stderr, "%s\n", options.error().message().c_str());
        return 2;
    }
    const fescuedeck::load_report report = fescuedeck::runLoad(options.value());
    const std::string text = FLAGS_json ? report.toJson().dump(2) + "\n" : report.toText();
    std::fputs(text.c_str(), stdout);
    return report.duplicateTokens() + report.missingTokens() > 0 ? 1 : 0;
}
