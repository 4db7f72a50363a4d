// Client of the list of live and leaving hosts. The list lags, so that its entries are
// hints: what a host reports about itself is newer.
#ifndef FESCUEDECK_CLIENTS_HOST_LIST_CLIENT_H
#define FESCUEDECK_CLIENTS_HOST_LIST_CLIENT_H

#include <string>
#include <vector>

#include <boost/asio/spawn.hpp>

#include "fescuedeck/base/error.h"
#include "fescuedeck/base/name_table.h"
#include "fescuedeck/base/time.h"
#include "fescuedeck/net/http_client.h"

namespace fescuedeck {

enum class host_role { Router, Endpoint };
enum class host_state { Live, Leaving };

inline constexpr name_table<host_role, 2> hostRoleNames
        = { { { host_role::Router, "router" }, { host_role::Endpoint, "endpoint" } } };
inline constexpr name_table<host_state, 2> hostStateNames
        = { { { host_state::Live, "live" }, { host_state::Leaving, "leaving" } } };

struct host_entry
{
    std::string host;
    std::string address; // ip:port
    host_role role = host_role::Endpoint;
    host_state state = host_state::Live;
    std::string incarnation;
};

// Entries with a role or state that this version does not know are left out. InvalidMessage if the
// text is no host list.
result<std::vector<host_entry>> parseHostList(const std::string &text);

// Thread-safe.
class host_list_client
{
public:
    // The client must outlive this object; address is ip:port.
    host_list_client(http_client &client, std::string address);

    result<std::vector<host_entry>> fetch(duration timeout, boost::asio::yield_context yield);

private:
    http_client &m_client;
    const std::string m_address;
};

} // namespace fescuedeck

#endif
