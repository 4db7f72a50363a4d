// A one-shot event that a coroutine waits for and any thread may set.
//
// Use it where a coroutine must wait for a decision that another coroutine or a callback makes,
// such as admission or the result of a log append.
#ifndef FESCUEDECK_ROUTER_WAIT_EVENT_H
#define FESCUEDECK_ROUTER_WAIT_EVENT_H

#include <memory>

#include <boost/asio/spawn.hpp>

#include "fescuedeck/base/time.h"

namespace fescuedeck {

// Copies refer to the same event.
class wait_event
{
public:
    // Only the coroutine of yield may wait.
    explicit wait_event(const boost::asio::yield_context &yield);

    // Thread-safe; further calls have no effect.
    void set() const;
    // Returns true if the event was set before the deadline.
    bool waitUntil(time_point deadline, boost::asio::yield_context yield) const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

// Suspends the coroutine.
void sleepFor(duration time, boost::asio::yield_context yield);

} // namespace fescuedeck

#endif
