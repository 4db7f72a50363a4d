// POST /v1/completions: authenticates, admits and runs a draft, and answers whole or as server-sent
// events.
#ifndef FESCUEDECK_ROUTER_COMPLETIONS_HANDLER_H
#define FESCUEDECK_ROUTER_COMPLETIONS_HANDLER_H

#include <string>

#include "fescuedeck/base/error.h"
#include "fescuedeck/bundle/bundle.h"
#include "fescuedeck/net/http_server.h"
#include "fescuedeck/router/draft_admission.h"
#include "fescuedeck/router/router_context.h"

namespace fescuedeck {

// A caller's request for a draft.
struct completion_request
{
    std::string model;
    std::string prompt;
    std::string adapter; // empty: none
    int maxTokens = 0;   // 0: the model's limit
    bool stream = false;
};

// Strict: a field that would change the answer and is not supported is an error and not ignored.
result<completion_request> parseCompletion(const std::string &body);

class completions_handler
{
public:
    completions_handler(router_context &context, draft_admission &admission);

    // Answers the exchange. index is the bundle in force.
    void handle(http_exchange &exchange, const std::shared_ptr<const bundle_index> &index,
                const trace_context &trace);

private:
    router_context &m_context;
    draft_admission &m_admission;
};

} // namespace fescuedeck

#endif
