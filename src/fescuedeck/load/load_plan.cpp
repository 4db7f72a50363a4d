#include "fescuedeck/load/load_plan.h"

#include <cmath>
#include <cstdlib>
#include <sstream>

#include "fescuedeck/base/name_table.h"
#include "fescuedeck/base/random.h"

namespace fescuedeck {
namespace {

constexpr name_table<load_kind, 3> kindNames = { {
        { load_kind::Draft, "draft" },
        { load_kind::Write, "write" },
        { load_kind::Read, "read" },
} };

constexpr std::string_view promptLetters = "abcdefghijklmnopqrstuvwxyz      ";

std::vector<std::string> makePrompts(const load_options &options, const random_fn &random)
{
    std::vector<std::string> prompts;
    for (int i = 0; i < options.prompts; ++i) {
        std::string prompt = "prompt " + std::to_string(i) + ": ";
        while (static_cast<int>(prompt.size()) < options.promptBytes)
            prompt.push_back(promptLetters[uniformBelow(random, promptLetters.size())]);
        prompts.push_back(prompt);
    }
    return prompts;
}

// Index drawn with the given weights.
std::size_t drawIndex(const std::vector<double> &weights, const random_fn &random)
{
    double total = 0;
    for (const double weight : weights)
        total += weight;
    double left = uniformReal(random) * total;
    for (std::size_t i = 0; i + 1 < weights.size(); ++i) {
        if (left < weights[i])
            return i;
        left -= weights[i];
    }
    return weights.size() - 1;
}

duration exponential(double perSecond, const random_fn &random)
{
    const double seconds = -std::log(1 - uniformReal(random)) / perSecond;
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

} // namespace

std::string loadKindName(load_kind kind)
{
    return std::string(nameOf(kindNames, kind));
}

result<load_options> checkLoadOptions(load_options options)
{
    const double shares = options.draftShare + options.writeShare + options.readShare;
    if (options.routers.empty())
        return makeFailure(errc::InvalidSettings, "no router is named");
    if (options.workspaces.empty())
        return makeFailure(errc::InvalidSettings, "no workspace is named");
    if (shares <= 0 || options.draftShare < 0 || options.writeShare < 0 || options.readShare < 0)
        return makeFailure(errc::InvalidSettings, "the shares must be at least 0 and not all 0");
    if (options.draftShare > 0 && options.model.empty())
        return makeFailure(errc::InvalidSettings, "drafts need a model");
    const bool isPositive = options.requestsPerSecond > 0 && options.count > 0
                            && options.prompts > 0 && options.maxTokens > 0
                            && options.maxInFlight > 0;
    if (!isPositive)
        return makeFailure(errc::InvalidSettings,
                           "rate, count, prompts, tokens and requests in flight must be above 0");
    return options;
}

result<std::vector<load_workspace>> parseWorkspaces(const std::string &text)
{
    std::vector<load_workspace> workspaces;
    std::istringstream list(text);
    std::string item;
    while (std::getline(list, item, ',')) {
        std::istringstream fields(item);
        load_workspace workspace;
        std::string weight;
        std::getline(fields, workspace.name, ':');
        std::getline(fields, workspace.token, ':');
        std::getline(fields, weight, ':');
        if (!weight.empty())
            workspace.weight = std::strtod(weight.c_str(), nullptr);
        if (workspace.name.empty() || workspace.token.empty() || workspace.weight <= 0)
            return makeFailure(errc::InvalidSettings,
                               "workspace \"" + item + "\" is not name:token[:weight]");
        workspaces.push_back(workspace);
    }
    return workspaces;
}

std::vector<planned_request> planLoad(const load_options &options)
{
    const random_fn random = seededRandom(options.seed);
    const std::vector<std::string> prompts = makePrompts(options, random);
    const std::vector<double> shares
            = { options.draftShare, options.writeShare, options.readShare };
    std::vector<double> weights;
    for (const load_workspace &workspace : options.workspaces)
        weights.push_back(workspace.weight);
    std::vector<planned_request> plan;
    duration at{ 0 };
    while (static_cast<int>(plan.size()) < options.count) {
        at += exponential(options.requestsPerSecond, random);
        if (at > options.time)
            break;
        planned_request request;
        request.at = at;
        request.kind = static_cast<load_kind>(drawIndex(shares, random));
        request.workspace = drawIndex(weights, random);
        request.router = uniformBelow(random, options.routers.size());
        request.id = "load-" + std::to_string(options.seed) + "-" + std::to_string(plan.size());
        request.prompt = prompts[uniformBelow(random, prompts.size())];
        plan.push_back(request);
    }
    return plan;
}

} // namespace fescuedeck
