// The connections that a server has accepted, and which of them gives up its place for a new one.
//
// Each caller's host has a fair share of the places. A new connection takes the place of one that
// waits for its caller, of a host that has more connections. Connections whose request is being
// handled keep their place.
#ifndef FESCUEDECK_NET_CONNECTION_PLACES_H
#define FESCUEDECK_NET_CONNECTION_PLACES_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "fescuedeck/base/time.h"

namespace fescuedeck::detail {

// The waiting phases come first, in the order in which their connections give up their places.
enum class connection_phase {
    Idle,     // between requests
    Closing,  // the last response was sent; the caller has not closed yet
    Reading,  // a part of a request has arrived
    Handling, // a request is handled or answered
};

// Not thread-safe. Nothing here waits or reads a clock.
class connection_places
{
public:
    using connection_number = std::uint64_t;

    // A connection that reads a request keeps its place for this long without progress, unless its
    // host has more than its share.
    static constexpr duration minStall = std::chrono::seconds(1);

    // Adds a connection in the phase Handling.
    void add(connection_number number, const std::string &host);
    void remove(connection_number number);
    // Begins a phase. A connection that was taken stays so until its phase changes.
    void setPhase(connection_number number, connection_phase phase, time_point now);
    // The caller has sent a substantial part of its request.
    void noteProgress(connection_number number, time_point now);

    std::size_t size() const { return m_places.size(); }
    // Takes the place of a connection, which is to be closed, for a new one of the host that is not
    // added yet. Empty if the new one must be refused.
    std::optional<connection_number> takeFor(const std::string &host, time_point now);

private:
    static constexpr std::size_t waitingPhases
            = static_cast<std::size_t>(connection_phase::Handling);

    struct waiting_connection
    {
        connection_number number;
        time_point since; // of the phase, or of the last progress
    };
    using waiting_list = std::list<waiting_connection>; // the longest wait first
    struct host_places
    {
        std::size_t connections = 0;
        std::array<waiting_list, waitingPhases> waiting; // by phase
    };
    struct place
    {
        host_places *host = nullptr;
        std::string hostName;
        std::optional<connection_phase> waitsIn; // empty unless it is in the list of a phase
        waiting_list::iterator position;
    };

    static void stopWaiting(place &of);
    // The connection of the host that gives up its place first; null if none does.
    static const waiting_connection *candidateOf(const host_places &host, bool hasMoreThanShare,
                                                 time_point now);

    std::unordered_map<connection_number, place> m_places;
    std::map<std::string, host_places> m_hosts;
};

} // namespace fescuedeck::detail

#endif
