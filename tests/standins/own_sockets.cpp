#include "standins/own_sockets.h"

#include <cstdlib>
#include <functional>

#include <arpa/inet.h>
#include <dirent.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace fescuedeck::standins {
namespace {

using address_query = int (*)(int, sockaddr *, socklen_t *);

// Port 0 if the descriptor is not a connected IPv4 socket.
sockaddr_in addressOf(int descriptor, address_query query)
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    const bool known = query(descriptor, reinterpret_cast<sockaddr *>(&address), &size) == 0;
    if (!known || address.sin_family != AF_INET)
        return {};
    return address;
}

std::string textOf(const sockaddr_in &address)
{
    char host[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &address.sin_addr, host, sizeof(host));
    return std::string(host) + ":" + std::to_string(ntohs(address.sin_port));
}

void forEachConnection(std::uint16_t listeningPort,
                       const std::function<void(int, const std::string &)> &visit)
{
    DIR *directory = opendir("/proc/self/fd");
    if (directory == nullptr)
        return;
    while (const dirent *entry = readdir(directory)) {
        const int descriptor = static_cast<int>(std::strtol(entry->d_name, nullptr, 10));
        const sockaddr_in local = addressOf(descriptor, getsockname);
        const sockaddr_in peer = addressOf(descriptor, getpeername);
        if (peer.sin_port != 0 && ntohs(local.sin_port) == listeningPort)
            visit(descriptor, textOf(peer));
    }
    closedir(directory);
}

} // namespace

std::set<std::string> connectedPeers(std::uint16_t listeningPort)
{
    std::set<std::string> peers;
    forEachConnection(listeningPort, [&](int, const std::string &peer) { peers.insert(peer); });
    return peers;
}

void shutDownConnection(std::uint16_t listeningPort, const std::string &peer)
{
    forEachConnection(listeningPort, [&](int descriptor, const std::string &address) {
        if (address == peer)
            shutdown(descriptor, SHUT_RDWR);
    });
}

} // namespace fescuedeck::standins
