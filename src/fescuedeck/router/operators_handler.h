// HTTP interface for operators: /healthz, /readyz, /metrics, /status, /traces/<trace id> and
// POST /drain. It listens on an address of its own that callers do not reach.
#ifndef FESCUEDECK_ROUTER_OPERATORS_HANDLER_H
#define FESCUEDECK_ROUTER_OPERATORS_HANDLER_H

#include <functional>
#include <string>

#include "fescuedeck/net/http_server.h"
#include "fescuedeck/router/draft_admission.h"
#include "fescuedeck/router/router_context.h"

namespace fescuedeck {

struct operators_hooks
{
    // Makes a host leave at once on this router and its peers, before the log knows.
    std::function<void(const std::string &host)> drainHost;
    std::function<std::vector<std::string>()> livePeers;
};

class operators_handler
{
public:
    operators_handler(router_context &context, const draft_admission &admission,
                      operators_hooks hooks);

    void handle(http_exchange &exchange) const;

private:
    http_response answer(const http_request &request) const;
    http_response readiness() const;
    http_response status() const;
    http_response drain(const std::string &body) const;

    router_context &m_context;
    const draft_admission &m_admission;
    operators_hooks m_hooks;
};

} // namespace fescuedeck

#endif
