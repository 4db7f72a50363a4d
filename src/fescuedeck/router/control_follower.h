// Reads the control stream of the log and applies its state to this router: the accepted bundle
// (the signed configuration of models, endpoints and services), the drained hosts and the
// quarantined requests. Also appends checkpoints of that state when they are due.
#ifndef FESCUEDECK_ROUTER_CONTROL_FOLLOWER_H
#define FESCUEDECK_ROUTER_CONTROL_FOLLOWER_H

#include <set>
#include <string>

#include "fescuedeck/clients/log_client.h"
#include "fescuedeck/control/checkpoint_scheduler.h"
#include "fescuedeck/router/draft_admission.h"
#include "fescuedeck/router/router_context.h"

namespace fescuedeck {

class control_follower
{
public:
    control_follower(router_context &context, draft_admission &admission, log_client &log);

    // Spawns the loops. They end when the io_context stops.
    void start();
    // Replaces the control state by a peer's checkpoint if that is newer. Thread-safe.
    void adopt(const std::string &checkpoint);
    // Drains a host at once, without waiting until its record has been read from the log.
    // Thread-safe.
    void drainLocally(const std::string &host);
    // Replaces the set of hosts that are drained because peers report them as drained. Thread-safe.
    void setPeerDrains(const std::set<std::string> &hosts);
    // Appends a record to the control stream in the background. Failed appends are retried with
    // backoff. After the last attempt the record is dropped and a warning is logged. Thread-safe.
    void append(const std::string &body);

private:
    // Reads the control stream in an endless loop.
    void follow(boost::asio::yield_context yield);
    void scheduleCheckpoints(boost::asio::yield_context yield);
    void appendWithRetries(const log_append &record, boost::asio::yield_context yield);
    // Applies the control state to the fleet, the admission and the suspects. The caller must not
    // hold a lock of the context. Concurrent calls run one after the other.
    void install();

    router_context &m_context;
    draft_admission &m_admission;
    log_client &m_log;
    ranked_mutex m_installMutex{ lock_rank::Installation };
    std::int64_t m_installedVersion = 0; // bundle version, guarded by m_installMutex
};

} // namespace fescuedeck

#endif
