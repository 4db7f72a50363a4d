// Follows the control stream of the log and puts what it decides into force on this router: the
// bundle, drained hosts and quarantines. Appends checkpoints when they are due.
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

    // Spawns the loops; they end when the io_context stops.
    void start();
    // Adopts a state that a peer offers if it is newer. Thread-safe.
    void adopt(const std::string &checkpoint);
    // Makes a host leave at once, before its record has been read from the log. Thread-safe.
    void drainLocally(const std::string &host);
    // Replaces the hosts that leave because peers say so. Thread-safe.
    void setPeerDrains(const std::set<std::string> &hosts);
    // Appends a record of this router's own; repeats it during an outage. Thread-safe.
    void append(const std::string &body);

private:
    void follow(boost::asio::yield_context yield);
    void scheduleCheckpoints(boost::asio::yield_context yield);
    void appendWithRetries(const log_append &record, boost::asio::yield_context yield);
    // Puts the folded state into force. Called without locks, on one strand at a time.
    void install();

    router_context &m_context;
    draft_admission &m_admission;
    log_client &m_log;
    ranked_mutex m_installMutex{ lock_rank::Installation };
    std::int64_t m_installedVersion = 0;
};

} // namespace fescuedeck

#endif
