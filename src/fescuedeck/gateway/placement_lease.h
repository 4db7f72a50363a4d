// Keeps the placement lease, which is the exclusive right of one gateway to order engines to load
// layers, and plans and sends those orders while this gateway holds the lease.
#ifndef FESCUEDECK_GATEWAY_PLACEMENT_LEASE_H
#define FESCUEDECK_GATEWAY_PLACEMENT_LEASE_H

#include <cstdint>
#include <map>
#include <string>

#include <boost/asio/spawn.hpp>

#include "fescuedeck/gateway/gateway_context.h"
#include "fescuedeck/gateway/placement_controller.h"

namespace fescuedeck {

struct placement_lease_settings
{
    // The lease expires this long after its last renewal. A short duration lets another gateway
    // take over soon.
    duration leaseDuration = std::chrono::milliseconds(2200);
    duration renewInterval = std::chrono::milliseconds(500);
    duration renewTimeout = std::chrono::milliseconds(1200);
    // In each failure domain, this many gateways ask for the lease.
    int candidatesPerDomain = 3;
    // How long after the last renewal the holder may go on while the store does not answer. It
    // applies only if the engines check the fencing token, because they then refuse the orders of a
    // former holder.
    duration maxExtension = std::chrono::seconds(60);
    duration planInterval = std::chrono::milliseconds(50);
    // No order is sent in this last part of the lease duration, unless the lease is extended.
    duration sendMargin = std::chrono::milliseconds(400);
    duration orderTimeout = std::chrono::milliseconds(1000);
    // While no engine holds layers, planning waits until no new engine has announced itself for
    // this long. It is longer than the interval between two announcements of an engine.
    duration settleTime = std::chrono::milliseconds(1600);
};

// Not thread-safe. Must live until the io_context has stopped running.
class placement_lease
{
public:
    placement_lease(gateway_context &context, std::string member,
                    placement_lease_settings settings = {});

    // Starts the coroutines that renew the lease and plan.
    void start();
    // Whether this gateway may send orders now. It may not while it reaches no engine but some peer
    // does.
    bool isHolder(time_point now) const;
    // Treats the lease as expired until the next renewal, without telling the store. Call it after
    // a process pause, during which the lease may have expired unnoticed.
    void markExpired();

private:
    bool isCandidate() const;
    bool leavesDutyToPeer() const;
    void renew(boost::asio::yield_context yield);
    void renewForever(boost::asio::yield_context yield);
    void release(boost::asio::yield_context yield);
    void planForever(boost::asio::yield_context yield);
    bool isFleetStable(const std::vector<endpoint_ptr> &endpoints, time_point now) const;
    void planService(const service_rule &service, time_point now);
    void sendOrder(const std::string &service, const placement_order &order,
                   boost::asio::yield_context yield);
    void fetchReport(const std::string &service, const std::string &endpoint,
                     boost::asio::yield_context yield);

    gateway_context &m_context;
    const std::string m_member;
    const placement_lease_settings m_settings;
    std::map<std::string, placement_controller> m_controllers; // by service name
    time_point m_expiresAt{};
    time_point m_extendedUntil{};
    bool m_isMember = false;           // of the group whose members may get the lease
    bool m_isGranted = false;          // by the store's last answer, as long as it is a member
    bool m_isStoreUnavailable = false; // the last request to the store failed
    std::int64_t m_fencingToken = 0;
};

} // namespace fescuedeck

#endif
