#include "fescuedeck/router/wait_event.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include "fescuedeck/net/tcp_socket.h"

namespace fescuedeck {

// All members are accessed only on the strand of the waiting coroutine.
struct wait_event::state
{
    explicit state(const boost::asio::any_io_executor &strand)
        : timer(strand)
    {
    }

    boost::asio::steady_timer timer;
    bool isSet = false;
};

wait_event::wait_event(const boost::asio::yield_context &yield)
    : m_state(std::make_shared<state>(detail::executorOf(yield)))
{
}

void wait_event::set() const
{
    boost::asio::post(m_state->timer.get_executor(), [shared = m_state] {
        shared->isSet = true;
        shared->timer.cancel();
    });
}

bool wait_event::waitUntil(time_point deadline, boost::asio::yield_context yield) const
{
    const std::shared_ptr<state> shared = m_state;
    if (shared->isSet)
        return true;
    boost::system::error_code ignored; // isSet tells whether set() cancelled the timer
    shared->timer.expires_at(deadline);
    shared->timer.async_wait(yield[ignored]);
    return shared->isSet;
}

void sleepFor(duration time, boost::asio::yield_context yield)
{
    boost::asio::steady_timer timer(detail::executorOf(yield), time);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
}

} // namespace fescuedeck
