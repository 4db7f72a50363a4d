// Idle connections of an HTTP client, by address.
#ifndef FESCUEDECK_NET_CONNECTION_POOL_H
#define FESCUEDECK_NET_CONNECTION_POOL_H

#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "fescuedeck/base/time.h"

namespace fescuedeck::detail {

// Thread-safe.
class connection_pool
{
public:
    using tcp = boost::asio::ip::tcp;

    // Keeps at most maxPerAddress connections to an address, and none beyond maxAge.
    connection_pool(int maxPerAddress, duration maxAge);

    // Returns the connection that was used last, or nothing. It is open, and the other end has sent
    // nothing on it.
    std::optional<tcp::socket> take(const std::string &address);
    void put(const std::string &address, tcp::socket socket);
    // Closes the connections to the address.
    void drop(const std::string &address);
    int size();

private:
    struct idle_connection
    {
        tcp::socket socket;
        time_point since;
    };
    using idle_list = std::vector<idle_connection>;

    // Returns the connections beyond the age limit, to be closed after the lock is released.
    idle_list sweep(time_point now);

    const int m_maxPerAddress;
    const duration m_maxAge;
    std::mutex m_mutex;                                // leaf lock
    std::unordered_map<std::string, idle_list> m_idle; // the newest connection is last
    time_point m_lastSweep{};
};

} // namespace fescuedeck::detail

#endif
