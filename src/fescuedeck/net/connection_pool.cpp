#include "fescuedeck/net/connection_pool.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "fescuedeck/base/hash.h"
#include "fescuedeck/net/tcp_socket.h"

namespace fescuedeck::detail {
namespace {

constexpr duration sweepInterval = std::chrono::seconds(1);

} // namespace

bool failed_requests::contains(const std::string &id) const
{
    return std::any_of(m_requests.begin(), m_requests.end(),
                       [hash = stableHash(id)](const failed_request &request) {
                           return request.idHash == hash;
                       });
}

void failed_requests::add(const std::string &id, time_point until)
{
    m_requests.push_back({ stableHash(id), until });
}

bool failed_requests::isFull(time_point now)
{
    const auto isOver = [now](const failed_request &request) { return request.until <= now; };
    m_requests.erase(std::remove_if(m_requests.begin(), m_requests.end(), isOver),
                     m_requests.end());
    return m_requests.size() >= maxRequests;
}

connection_pool::connection_pool(int maxPerAddress, duration maxAge)
    : m_maxPerAddress(maxPerAddress)
    , m_maxAge(maxAge)
{
}

std::optional<pooled_connection> connection_pool::take(const std::string &address,
                                                       const std::string &requestId)
{
    idle_list aged;
    std::optional<idle_connection> taken;
    bool isUsable = false;
    do {
        const std::lock_guard lock(m_mutex);
        if (aged.empty())
            aged = sweep(steadyNow());
        const auto found = m_idle.find(address);
        if (found == m_idle.end())
            return std::nullopt;
        taken = takeLast(found->second, requestId);
        if (!taken)
            return std::nullopt;
        isUsable = steadyNow() - taken->since <= m_maxAge
                   && probeSocket(taken->connection.socket) == socket_state::Quiet;
    } while (!isUsable);
    return std::move(taken->connection);
}

std::optional<connection_pool::idle_connection>
connection_pool::takeLast(idle_list &list, const std::string &requestId)
{
    const auto last = std::find_if(list.rbegin(), list.rend(), [&](const idle_connection &idle) {
        return !idle.connection.failedRequests.contains(requestId);
    });
    if (last == list.rend())
        return std::nullopt;
    idle_connection taken = std::move(*last);
    list.erase(std::next(last).base());
    return taken;
}

void connection_pool::put(const std::string &address, pooled_connection connection)
{
    if (connection.failedRequests.isFull(steadyNow()))
        return;
    idle_list aged;
    const std::lock_guard lock(m_mutex);
    aged = sweep(steadyNow());
    idle_list &list = m_idle[address];
    if (static_cast<int>(list.size()) < m_maxPerAddress)
        list.push_back({ std::move(connection), steadyNow() });
}

connection_pool::idle_list connection_pool::sweep(time_point now)
{
    idle_list aged;
    if (now - m_lastSweep < sweepInterval)
        return aged;
    m_lastSweep = now;
    for (auto entry = m_idle.begin(); entry != m_idle.end();) {
        idle_list &list = entry->second;
        const auto firstKept
                = std::find_if(list.begin(), list.end(), [&](const idle_connection &idle) {
                      return now - idle.since <= m_maxAge;
                  });
        std::move(list.begin(), firstKept, std::back_inserter(aged));
        list.erase(list.begin(), firstKept);
        entry = list.empty() ? m_idle.erase(entry) : std::next(entry);
    }
    return aged;
}

void connection_pool::drop(const std::string &address)
{
    idle_list dropped;
    const std::lock_guard lock(m_mutex);
    const auto found = m_idle.find(address);
    if (found == m_idle.end())
        return;
    dropped = std::move(found->second);
    m_idle.erase(found);
}

int connection_pool::size()
{
    const std::lock_guard lock(m_mutex);
    std::size_t count = 0;
    for (const auto &entry : m_idle)
        count += entry.second.size();
    return static_cast<int>(count);
}

} // namespace fescuedeck::detail
