// Keeps the fleet state of a router up to date. It polls the reports of the endpoints and the host
// list, runs the probes that the fleet state requests, and logs the state changes of endpoints.
#ifndef FESCUEDECK_ROUTER_FLEET_MONITOR_H
#define FESCUEDECK_ROUTER_FLEET_MONITOR_H

#include <set>
#include <string>

#include "fescuedeck/base/guarded.h"
#include "fescuedeck/clients/host_list_client.h"
#include "fescuedeck/router/router_context.h"

namespace fescuedeck {

class fleet_monitor
{
public:
    explicit fleet_monitor(router_context &context);

    // Spawns the loops. They end when the io_context stops.
    void start();

private:
    void pollEndpoints(boost::asio::yield_context yield);
    void pollHostList(boost::asio::yield_context yield);
    void refreshState(boost::asio::yield_context yield);
    // Fetches the endpoint's report and applies the result to the fleet state.
    void pollOnce(const endpoint_spec &endpoint, bool isProbe, boost::asio::yield_context yield);
    // Starts pollOnce on its own coroutine unless a poll of this endpoint is already in flight.
    void spawnPoll(const endpoint_spec &endpoint, bool isProbe);
    // Reports a crash if the incarnation has changed. An empty incarnation is unknown and never
    // counts as a change.
    void reportCrash(const endpoint_spec &endpoint, const std::string &previousIncarnation,
                     const std::string &currentIncarnation);
    void logChanges();

    router_context &m_context;
    host_list_client m_hostList;
    guarded<std::set<std::string>> m_polling; // ids of the endpoints with a poll in flight
};

} // namespace fescuedeck

#endif
