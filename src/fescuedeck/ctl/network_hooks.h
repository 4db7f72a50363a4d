// Hooks of the commands over the network.
#ifndef FESCUEDECK_CTL_NETWORK_HOOKS_H
#define FESCUEDECK_CTL_NETWORK_HOOKS_H

#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>

#include "fescuedeck/ctl/ctl_hooks.h"
#include "fescuedeck/net/http_client.h"

namespace fescuedeck {

// For use within the coroutine of yield. platform is the log's address, ip:port. The io_context and
// the client must outlive the hooks.
ctl_hooks makeNetworkHooks(boost::asio::io_context &ioContext, http_client &client,
                           const std::string &platform, boost::asio::yield_context yield);

} // namespace fescuedeck

#endif
