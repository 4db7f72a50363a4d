// Handles POST /v1/completions: authenticates the caller, waits for admission, runs a draft (the
// generation of one completion by the engines) and sends the completion either as one JSON response
// or as a stream of server-sent events.
#ifndef FESCUEDECK_ROUTER_COMPLETIONS_HANDLER_H
#define FESCUEDECK_ROUTER_COMPLETIONS_HANDLER_H

#include <string>

#include "fescuedeck/base/error.h"
#include "fescuedeck/bundle/bundle.h"
#include "fescuedeck/net/http_server.h"
#include "fescuedeck/router/draft_admission.h"
#include "fescuedeck/router/router_context.h"

namespace fescuedeck {

// The fields of a caller's request.
struct completion_request
{
    std::string model;
    std::string prompt;
    std::string adapter; // empty: none
    int maxTokens = 0;   // 0: the limit of the model
    bool stream = false;
};

// Parses the body of POST /v1/completions. Fails with InvalidRequest if the body is not a JSON
// object, if a field is missing or has the wrong type, or if a field is not supported. An
// unsupported field is not ignored, because the caller would get another completion than the one it
// asked for.
result<completion_request> parseCompletion(const std::string &body);

class completions_handler
{
public:
    completions_handler(router_context &context, draft_admission &admission);

    // Handles one exchange and returns when its response is complete. index is the bundle in force
    // and must not be null; trace is the span of the request. Thread-safe.
    void handle(http_exchange &exchange, const std::shared_ptr<const bundle_index> &index,
                const trace_context &trace);

private:
    router_context &m_context;
    draft_admission &m_admission;
};

} // namespace fescuedeck

#endif
