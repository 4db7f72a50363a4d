// Idle connections of an HTTP client, by address.
#ifndef FESCUEDECK_NET_CONNECTION_POOL_H
#define FESCUEDECK_NET_CONNECTION_POOL_H

#include <cstddef>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/ip/tcp.hpp>

#include "fescuedeck/base/time.h"

namespace fescuedeck::detail {

// Ids of the requests that got an error response on a connection. A faulty server may send a copy
// of such a response later. If the request is under way again on the same connection then, its id
// does not tell the copy from the response to the second sending.
class failed_request_ids
{
public:
    bool contains(const std::string &id) const;
    void add(const std::string &id) { m_ids.push_back(id); }
    // A full connection is to be closed, because it could not remember a further id.
    bool isFull() const { return m_ids.size() >= maxIds; }

private:
    static constexpr std::size_t maxIds = 16;

    std::vector<std::string> m_ids;
};

struct pooled_connection
{
    boost::asio::ip::tcp::socket socket;
    failed_request_ids failedRequests;
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
