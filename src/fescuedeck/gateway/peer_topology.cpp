#include "fescuedeck/gateway/peer_topology.h"

#include <algorithm>

#include "fescuedeck/base/hash.h"

namespace fescuedeck {
namespace {

constexpr char separator = ' ';

struct candidate
{
    std::uint64_t rank = 0;
    std::string address;
};

} // namespace

std::string toText(const gateway_location &location)
{
    if (location.failureDomain.empty())
        return location.address;
    return location.address + separator + location.failureDomain;
}

gateway_location parseLocation(const std::string &text)
{
    const std::size_t end = text.find(separator);
    if (end == std::string::npos)
        return { text, {} };
    return { text.substr(0, end), text.substr(end + 1) };
}

std::vector<std::string> choosePeers(const std::string &host, const std::string &failureDomain,
                                     const gateway_locations &gateways)
{
    std::vector<std::string> chosen;
    std::map<std::string, std::vector<candidate>> others; // by domain
    for (const auto &[peer, location] : gateways) {
        if (peer == host)
            continue;
        const bool isNear
                = location.failureDomain.empty() || location.failureDomain == failureDomain;
        if (isNear)
            chosen.push_back(location.address);
        else
            others[location.failureDomain].push_back(
                    { stableHash(peer, stableHash(host)), location.address });
    }
    for (auto &[domain, candidates] : others) {
        std::sort(candidates.begin(), candidates.end(),
                  [](const candidate &a, const candidate &b) { return a.rank > b.rank; });
        candidates.resize(std::min(candidates.size(), linksPerOtherDomain));
        for (const candidate &each : candidates)
            chosen.push_back(each.address);
    }
    return chosen;
}

} // namespace fescuedeck
