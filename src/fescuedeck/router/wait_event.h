// A one-shot event that a coroutine waits for and any thread may set.
//
// Use it where a coroutine waits for a result that another coroutine or a callback provides, for
// example its admission or the end of a log append.
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
    // Only the coroutine of yield may call waitUntil().
    explicit wait_event(const boost::asio::yield_context &yield);

    // Sets the event; further calls have no effect. Thread-safe.
    void set() const;
    // Suspends the coroutine until the event is set or the deadline passes. Returns true if the
    // event is set.
    bool waitUntil(time_point deadline, boost::asio::yield_context yield) const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

// Suspends the calling coroutine for the given time.
void sleepFor(duration time, boost::asio::yield_context yield);

} // namespace fescuedeck

#endif
