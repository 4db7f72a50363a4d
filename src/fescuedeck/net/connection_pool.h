// Idle connections of an HTTP client, by address.
#ifndef FESCUEDECK_NET_CONNECTION_POOL_H
#define FESCUEDECK_NET_CONNECTION_POOL_H

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "fescuedeck/base/time.h"

namespace fescuedeck::detail {

// The requests that got an error response on a connection. A faulty server may send a copy of such
// a response later. If the request is under way again on the same connection then, its id does not
// tell the copy from the response to the second sending.
//
// Ids are kept as hashes, because callers choose their length. A collision costs a connection.
class failed_requests
{
public:
    bool contains(const std::string &id) const;
    // The request may be sent again until the given time.
    void add(const std::string &id, time_point until);
    // Whether the connection is to be closed, because it could not remember a further request.
    // Forgets the requests that cannot be sent again.
    bool isFull(time_point now);

private:
    struct failed_request
    {
        std::uint64_t idHash = 0;
        time_point until{};
    };
    static constexpr std::size_t maxRequests = 64;

    std::vector<failed_request> m_requests;
};

struct pooled_connection
{
    boost::asio::ip::tcp::socket socket;
    failed_requests failedRequests;
};

// Thread-safe.
class connection_pool
{
public:
    // Keeps at most maxPerAddress connections to an address, and none beyond maxAge.
    connection_pool(int maxPerAddress, duration maxAge);

    // Returns the connection that was used last of those on which the request with the id has not
    // failed, or nothing. It is open, and the other end has sent nothing on it. The id may be
    // empty.
    std::optional<pooled_connection> take(const std::string &address, const std::string &requestId);
    // Closes the connection instead if it can remember no further failed request.
    void put(const std::string &address, pooled_connection connection);
    // Closes the connections to the address.
    void drop(const std::string &address);
    int size();

private:
    struct idle_connection
    {
        pooled_connection connection;
        time_point since;
    };
    using idle_list = std::vector<idle_connection>;

    // Removes the connection that take() returns from the list. It may be closed or aged.
    static std::optional<idle_connection> takeLast(idle_list &list, const std::string &requestId);
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
