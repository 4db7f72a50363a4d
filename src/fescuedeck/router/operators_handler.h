// HTTP interface for operators: GET /healthz, /readyz, /metrics, /status and /traces/<trace id>,
// and POST /drain. It is served on a separate address that callers cannot reach.
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
    // Drains a host at once on this router and its peers, before the log has recorded it.
    std::function<void(const std::string &host)> drainHost;
    // Returns the router ids of the live peers. May be empty if the router has no peers.
    std::function<std::vector<std::string>()> livePeers;
};

class operators_handler
{
public:
    operators_handler(router_context &context, const draft_admission &admission,
                      operators_hooks hooks);

    // Answers the exchange.
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
