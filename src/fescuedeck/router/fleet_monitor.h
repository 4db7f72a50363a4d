// Keeps the fleet's state up to date: polls the endpoints' reports and the host list, runs the
// probes that the state asks for, and logs its changes.
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

    // Spawns the loops; they end when the io_context stops.
    void start();

private:
    void pollEndpoints(boost::asio::yield_context yield);
    void pollHostList(boost::asio::yield_context yield);
    void refreshState(boost::asio::yield_context yield);
    void pollOnce(const endpoint_spec &endpoint, bool isProbe, boost::asio::yield_context yield);
    void spawnPoll(const endpoint_spec &endpoint, bool isProbe);
    void reportCrash(const endpoint_spec &endpoint, const std::string &previousIncarnation,
                     const std::string &currentIncarnation);
    void logChanges();

    router_context &m_context;
    host_list_client m_hostList;
    guarded<std::set<std::string>> m_polling; // endpoints with a poll in flight
};

} // namespace fescuedeck

#endif
