#include "fescuedeck/rerouting/chain_repair.h"

#include <algorithm>
#include <optional>

namespace fescuedeck {
namespace {

layer_range intersectionOf(const layer_range &a, const layer_range &b)
{
    return { std::max(a.begin, b.begin), std::min(a.end, b.end) };
}

bool isAvoided(const repair_request &request, const chain_part &part)
{
    return request.avoided.count(part.endpoint) > 0;
}

// The part as a stage that can run only exactly its layers, at no cost. Between two such stages the
// finder counts the changes of failure domain at both ends of the layers that it fills.
chain_stage fixedStage(const running_part &running)
{
    return { running.part.endpoint, running.part.address,
             running.part.layers,   0,
             running.failureDomain, 0 };
}

// Returns the cheapest parts for the layers between two kept parts. Engines in used are left out.
// after is null at the end of the chain.
std::optional<std::vector<chain_part>> fillGap(const repair_request &request,
                                               const running_part &before,
                                               const running_part *after, const layer_range &gap,
                                               const std::set<std::string> &used)
{
    const int shift = before.part.layers.begin;
    std::vector<chain_stage> stages = { fixedStage(before) };
    if (after != nullptr)
        stages.push_back(fixedStage(*after));
    for (const chain_stage &stage : request.stages) {
        if (used.count(stage.endpoint) > 0 || request.avoided.count(stage.endpoint) > 0)
            continue;
        stages.push_back(stage);
        stages.back().heldLayers = intersectionOf(stage.heldLayers, gap);
        if (stages.back().heldLayers.size() <= 0)
            stages.pop_back();
    }
    for (chain_stage &stage : stages)
        stage.heldLayers = { stage.heldLayers.begin - shift, stage.heldLayers.end - shift };
    const int layers = (after != nullptr ? after->part.layers.end : gap.end) - shift;
    std::optional<layer_chain> found = findChain(stages, layers, request.costs);
    if (!found)
        return std::nullopt;
    std::vector<chain_part> parts(found->parts.begin() + 1,
                                  found->parts.end() - (after != nullptr ? 1 : 0));
    for (chain_part &part : parts)
        part.layers = { part.layers.begin + shift, part.layers.end + shift };
    return parts;
}

// Replaces only the parts of avoided engines. Empty if other engines cannot run their layers.
std::optional<std::vector<chain_part>> replaceAvoided(const repair_request &request)
{
    const std::vector<running_part> &chain = request.chain;
    std::set<std::string> used;
    for (const running_part &running : chain)
        used.insert(running.part.endpoint);
    std::vector<chain_part> repaired = { chain.front().part };
    for (std::size_t i = 1; i < chain.size(); ++i) {
        if (!isAvoided(request, chain[i].part)) {
            repaired.push_back(chain[i].part);
            continue;
        }
        layer_range gap = chain[i].part.layers;
        const running_part &before = chain[i - 1];
        while (i + 1 < chain.size() && isAvoided(request, chain[i + 1].part))
            gap.end = chain[++i].part.layers.end;
        const running_part *after = i + 1 < chain.size() ? &chain[i + 1] : nullptr;
        const auto parts = fillGap(request, before, after, gap, used);
        if (!parts)
            return std::nullopt;
        for (const chain_part &part : *parts) {
            used.insert(part.endpoint);
            repaired.push_back(part);
        }
    }
    return repaired;
}

// Plans everything behind the first part anew.
std::optional<std::vector<chain_part>> replaceRest(const repair_request &request)
{
    const running_part &first = request.chain.front();
    const layer_range rest{ first.part.layers.end, request.chain.back().part.layers.end };
    auto parts = fillGap(request, first, nullptr, rest, { first.part.endpoint });
    if (parts)
        parts->insert(parts->begin(), first.part);
    return parts;
}

double tokensReadAgain(const repair_request &request, const std::vector<chain_part> &repaired)
{
    const double layers = std::max(1, request.chain.back().part.layers.end);
    double readLayers = 0;
    for (const chain_part &part : repaired) {
        const bool isKept
                = std::any_of(request.chain.begin(), request.chain.end(),
                              [&](const running_part &running) { return running.part == part; });
        readLayers += isKept ? 0 : part.layers.size();
    }
    return static_cast<double>(request.tokens) * readLayers / layers;
}

} // namespace

chain_repair planRepair(const repair_request &request)
{
    const std::vector<running_part> &chain = request.chain;
    const bool hasAvoided = std::any_of(chain.begin(), chain.end(), [&](const auto &running) {
        return isAvoided(request, running.part);
    });
    if (!hasAvoided)
        return {};
    const chain_repair newRun{ repair_action::NewRun, {}, static_cast<double>(request.tokens) };
    if (isAvoided(request, chain.front().part))
        return newRun;
    std::optional<std::vector<chain_part>> repaired = replaceAvoided(request);
    if (!repaired || static_cast<int>(repaired->size()) > request.costs.maxParts)
        repaired = replaceRest(request);
    if (!repaired || static_cast<int>(repaired->size()) > request.costs.maxParts)
        return newRun;
    const double tokens = tokensReadAgain(request, *repaired);
    return { repair_action::ChangePath, std::move(*repaired), tokens };
}

} // namespace fescuedeck
