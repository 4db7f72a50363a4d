// Holds the duty of ordering layers, and carries the orders out while it is held.
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
    // Of the duty, after the last renewal. A short one lets another gateway take over soon.
    duration leaseDuration = std::chrono::milliseconds(2200);
    duration renewInterval = std::chrono::milliseconds(500);
    duration renewTimeout = std::chrono::milliseconds(1200);
    // After the last renewal, while the store answers nobody and engines check the fencing token.
    duration maxExtension = std::chrono::seconds(60);
    duration planInterval = std::chrono::milliseconds(50);
    // No order is sent in this last part of the term.
    duration sendMargin = std::chrono::milliseconds(400);
    duration orderTimeout = std::chrono::milliseconds(1000);
    // While no engine holds layers, planning waits until no new engine has announced itself for
    // this long: more than one interval between two announcements.
    duration settleTime = std::chrono::milliseconds(1600);
};

// Not thread-safe. Must outlive its io_context's run.
class placement_lease
{
public:
    placement_lease(gateway_context &context, std::string member,
                    placement_lease_settings settings = {});

    void start();
    bool isHolder(time_point now) const;
    // The process stood still, so that the term may have ended unnoticed.
    void markExpired();

private:
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
    std::map<std::string, placement_controller> m_controllers; // by service
    time_point m_expiresAt{};
    time_point m_extendedUntil{};
    bool m_isStoreUnavailable = false; // the last renewal got no answer
    std::int64_t m_fencingToken = 0;
};

} // namespace fescuedeck

#endif
