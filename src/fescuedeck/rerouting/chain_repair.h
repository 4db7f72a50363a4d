// Decides how a running request avoids engines of its chain: by a change of the rest of its path,
// or by a new run elsewhere. Only engines that are new in a path read the tokens of the request
// again; the others keep their KV cache.
#ifndef FESCUEDECK_REROUTING_CHAIN_REPAIR_H
#define FESCUEDECK_REROUTING_CHAIN_REPAIR_H

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "fescuedeck/gateway/chain_finder.h"

namespace fescuedeck {

// One part of the running chain.
struct running_part
{
    chain_part part;
    std::string failureDomain; // of its engine
};

struct repair_request
{
    std::vector<running_part> chain; // in order, over all layers of the model
    std::set<std::string> avoided;   // ids of engines
    std::vector<chain_stage> stages; // engines that may become part of the chain
    chain_costs costs;
    std::int64_t tokens = 0; // prompt and answer so far
};

enum class repair_action {
    Nothing,    // the chain contains no avoided engine
    ChangePath, // to the chain of the result
    NewRun,     // the first engine is avoided, or no path avoids the others
};

struct chain_repair
{
    repair_action action = repair_action::Nothing;
    std::vector<chain_part> chain; // the changed path; empty for the other actions
    // Tokens that are read again, in tokens read through all layers: a part that runs a quarter of
    // the layers counts a quarter of the tokens. All tokens for a new run.
    double tokensReadAgain = 0;
};

// Keeps the first part, and as many of the other parts as possible. Layers of avoided engines go to
// engines outside the chain if these can run them; otherwise everything behind the first part is
// planned anew. Each engine appears at most once in the result.
chain_repair planRepair(const repair_request &request);

} // namespace fescuedeck

#endif
