// An HTTP call that runs beside the work of its owner, in a coroutine of its own.
//
// Use it where one request has several attempts open at the same time. The owner learns of parts of
// the response's body by a hook and takes them when it is ready for them.
#ifndef FESCUEDECK_GATEWAY_BACKGROUND_CALL_H
#define FESCUEDECK_GATEWAY_BACKGROUND_CALL_H

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/io_context.hpp>

#include "fescuedeck/net/http_client.h"

namespace fescuedeck {

struct background_call_hooks
{
    // Returns what the owner is to take of a part of the body; it may be empty. Set it only if
    // parts are to be taken.
    std::function<std::string(std::string_view part)> readPart;
    // Something waits to be taken, or the call has ended.
    std::function<void()> onNews;
};

// Not thread-safe: one thread runs the io_context and uses this object. No hook of the options or
// the hooks is called during the constructor, or after the destructor has begun. A hook may destroy
// this object.
class background_call
{
public:
    // Starts the call soon after the constructor has returned. The options have a cancellation, and
    // no onBodyPart.
    background_call(boost::asio::io_context &ioContext, http_client &client, std::string address,
                    http_request request, call_options options, background_call_hooks hooks);
    // Cancels the call.
    ~background_call();
    background_call(const background_call &) = delete;
    background_call &operator=(const background_call &) = delete;

    bool hasPart() const;
    // Returns what waits. The call reads on only then, so that no more than one part is held.
    std::string takePart();
    // Empty until the call has ended and everything has been taken.
    const std::optional<call_result> &result() const;

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace fescuedeck

#endif
