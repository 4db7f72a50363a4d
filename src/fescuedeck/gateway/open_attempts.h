// The attempts in progress at endpoints. When the gateway loses its links to the endpoints, those
// without progress are replaced at once, so that their requests go on through a peer.
#ifndef FESCUEDECK_GATEWAY_OPEN_ATTEMPTS_H
#define FESCUEDECK_GATEWAY_OPEN_ATTEMPTS_H

#include <functional>
#include <map>

#include "fescuedeck/base/time.h"

namespace fescuedeck {

struct gateway_context;

// An attempt without progress for this long is replaced while the gateway is isolated.
constexpr duration isolatedStallLimit = std::chrono::milliseconds(200);

// Notifies the open attempts if the gateway is isolated, a peer can relay their requests, and no
// endpoint has made progress within isolatedStallLimit. Connections that were open before may live
// on while new ones fail. Progress that arrived after handledUntil may not have been handled. Call
// it repeatedly.
void moveRequestsIfIsolated(const gateway_context &context, time_point handledUntil);

// Not thread-safe.
class open_attempts
{
public:
    // Calls the hooks of all open attempts. Each hook decides whether its attempt is replaced.
    void notifyIsolated() const;

private:
    friend class open_attempt;

    std::map<int, std::function<void()>> m_hooks; // by number
    int m_lastNumber = 0;
};

// Lists one attempt while this object lives.
class open_attempt
{
public:
    open_attempt(open_attempts &attempts, std::function<void()> onIsolated);
    ~open_attempt();
    open_attempt(const open_attempt &) = delete;
    open_attempt &operator=(const open_attempt &) = delete;

private:
    open_attempts &m_attempts;
    const int m_number;
};

} // namespace fescuedeck

#endif
