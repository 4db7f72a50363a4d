// Reports the attempts of an HTTP client to open connections.
#ifndef FESCUEDECK_NET_CONNECTION_OBSERVER_H
#define FESCUEDECK_NET_CONNECTION_OBSERVER_H

#include <cstdint>
#include <functional>
#include <string>

namespace fescuedeck {

enum class connection_outcome {
    Connected,
    Failed,    // refused, reset or unreachable
    GivenUpOn, // the call was cancelled, or its time limit has passed
};

// Both hooks are called on the strand of the call. Each attempt has its own number.
struct connection_observer
{
    std::function<void(std::uint64_t number, const std::string &address)> onBegin
            = [](std::uint64_t, const std::string &) {};
    std::function<void(std::uint64_t number, connection_outcome outcome)> onEnd
            = [](std::uint64_t, connection_outcome) {};
};

} // namespace fescuedeck

#endif
