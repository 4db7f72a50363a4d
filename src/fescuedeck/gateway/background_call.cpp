#include "fescuedeck/gateway/background_call.h"

#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>

#include "fescuedeck/router/wait_event.h"

namespace fescuedeck {
namespace {

// The wait for the owner is renewed this often. A timer without an end overflows in
// Boost.Asio 1.74, which then polls without a pause.
constexpr duration waitInterval = std::chrono::minutes(1);

} // namespace

// Shared by the owner and the coroutine, which may end later.
struct background_call::state : std::enable_shared_from_this<background_call::state>
{
    void run(boost::asio::yield_context yield);
    void handOver(std::string part, const boost::asio::yield_context &yield);
    void notify() const
    {
        if (isOwned)
            hooks.onNews();
    }
    // The hook may refer to the owner, so it is skipped once the owner has gone.
    template <typename Result, typename... Arguments>
    void disableWithoutOwner(std::function<Result(Arguments...)> &hook)
    {
        if (!hook)
            return;
        hook = [this, inner = std::move(hook)](Arguments... arguments) -> Result {
            return isOwned ? inner(arguments...) : Result();
        };
    }

    http_client *client = nullptr;
    std::string address;
    http_request request;
    call_options options;
    background_call_hooks hooks;
    bool isOwned = true;
    std::string part; // waits to be taken
    std::optional<wait_event> partTaken;
    std::optional<call_result> result;
};

void background_call::state::run(boost::asio::yield_context yield)
{
    disableWithoutOwner(options.timeUntilStall);
    disableWithoutOwner(options.isExpected);
    disableWithoutOwner(options.onSending);
    disableWithoutOwner(options.onHead);
    if (hooks.readPart) {
        options.onBodyPart = [this, &yield](std::string_view received) {
            if (isOwned)
                handOver(hooks.readPart(received), yield);
        };
    }
    call_result ended = client->send(address, request, options, yield);
    if (!isOwned)
        return;
    result = std::move(ended);
    notify();
}

void background_call::state::handOver(std::string received, const boost::asio::yield_context &yield)
{
    if (received.empty() || !isOwned)
        return;
    part = std::move(received);
    partTaken.emplace(yield);
    const wait_event taken = *partTaken;
    notify();
    while (!taken.waitUntil(steadyNow() + waitInterval, yield) && isOwned)
        continue;
}

background_call::background_call(boost::asio::io_context &ioContext, http_client &client,
                                 std::string address, http_request request, call_options options,
                                 background_call_hooks hooks)
    : m_state(std::make_shared<state>())
{
    m_state->client = &client;
    m_state->address = std::move(address);
    m_state->request = std::move(request);
    m_state->options = std::move(options);
    m_state->hooks = std::move(hooks);
    // Posted, because a new coroutine may otherwise run at once.
    boost::asio::post(ioContext, [&ioContext, shared = m_state] {
        boost::asio::spawn(ioContext, [shared](boost::asio::yield_context yield) {
            if (shared->isOwned)
                shared->run(yield);
        });
    });
}

background_call::~background_call()
{
    m_state->isOwned = false;
    m_state->options.cancellation->cancel();
    if (m_state->partTaken)
        m_state->partTaken->set();
}

bool background_call::hasPart() const
{
    return !m_state->part.empty();
}

std::string background_call::takePart()
{
    if (m_state->partTaken)
        m_state->partTaken->set();
    return std::exchange(m_state->part, {});
}

const std::optional<call_result> &background_call::result() const
{
    return m_state->result;
}

} // namespace fescuedeck
